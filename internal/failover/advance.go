package failover

import (
	"yewpass/internal/lease"
	"yewpass/internal/peermsg"
	"yewpass/internal/recovery"
	"yewpass/internal/replica"
)

// advance goes on as far as what has been gathered allows.
func (r *Recovery) advance() {
	if r.phase != gathering || !r.allStored || r.awaitsPeers() {
		return
	}
	past := r.collectKnowledge()
	if past.higherTerm >= r.term.Number {
		r.leader.EndTerm(past.higherTerm)
		return
	}
	if r.term.LossReason == "" {
		r.term.LossReason = past.observed.LossReason(r.term.Read)
	}
	switch r.chooseReplica(past.offers) {
	case replicaFetching:
		return
	case choiceOutdated:
		r.advance()
		return
	}
	if read := r.term.Read; r.replica != nil && r.term.LossReason == "" && !read.Missing && r.replica.Era != 0 && r.replica.Era != read.Era {
		r.term.LossReason = "a leader has found a loss and has not passed on what there is"
	}
	if r.term.LossReason != "" && r.earlierLeaderMayAct(past.observed) {
		return
	}
	if r.replica != nil {
		r.phase = resolvingJobs
		r.resolveMissingJobs()
		return
	}
	r.merge()
}

// past is what is known, here and at the peers that have told, of the terms before ours.
type past struct {
	observed   recovery.Observed
	offers     []recovery.Offer // replicas
	higherTerm uint64           // a term known to be no lower than ours, or 0
}

// collectKnowledge puts together what the peers have told.
func (r *Recovery) collectKnowledge() past {
	p := past{observed: r.term.Observed}
	if newest := r.replicas.Newest(); newest != nil && newest.Term < r.term.Number {
		p.offers = append(p.offers, recovery.Offer{Version: newest.Version})
	}
	era := r.leader.Observed().Era
	for _, seed := range r.cfg.Seeds {
		k := r.knowledge[seed.HostName]
		if k == nil {
			continue
		}
		if k.HasHigherTerm(era, r.term.Number, r.term.ProcessID) {
			p.higherTerm = max(p.higherTerm, k.HighestPastTerm, k.Term)
		}
		if k.Era != era { // else it has read of our term already
			p.observed = p.observed.Merge(k.Observed)
		} else if r.term.LossReason == "" && r.term.Read.Missing && k.HighestPastTerm > 0 {
			r.term.LossReason = "no term is on record, and one was"
		}
		if !r.fetch.failed[seed.HostName] {
			p.offers = append(p.offers, recovery.Offer{Source: seed.HostName, Version: replica.Version{Term: k.ReplicaTerm, Seq: k.ReplicaSeq}})
		}
	}
	return p
}

// choice is the result of chooseReplica.
type choice int

const (
	replicaChosen   choice = iota
	replicaFetching        // it is on its way from a peer
	noReplicaOffered
	replicaNotNeeded // the store has all that the newest replica has
	choiceOutdated   // an offer has turned out to be void: choose anew
)

// chooseReplica decides which replica to restore from, and requests it if a peer has it.
func (r *Recovery) chooseReplica(offers []recovery.Offer) choice {
	if r.replica != nil {
		return replicaChosen
	}
	newest, found := recovery.NewestOf(offers)
	if !found {
		return noReplicaOffered
	}
	if newest.Source == "" {
		r.replica = r.replicas.Newest()
		return replicaChosen
	}
	received, peer := r.fetch.receiver.Replica(), r.knowledge[newest.Source]
	switch {
	case received != nil && r.fetch.source == newest.Source:
		if newest.After(received.Version) {
			// Not the one that was offered. Another peer's may be newer by now.
			peer.ReplicaTerm, peer.ReplicaSeq = received.Term, received.Seq
			return choiceOutdated
		}
		r.replica = received
		return replicaChosen
	case r.term.LossReason == "" && peer.LiveDigest == replica.DigestOf(r.stored) && peer.ReplicaEra == r.term.Read.Era:
		// Nothing is missing, as far as the keys tell, except how jobs have ended, which is
		// learned beside the work.
		r.finalsSource = newest.Source
		return replicaNotNeeded
	case r.fetch.source != newest.Source:
		r.request(newest.Source)
		return replicaFetching
	case r.engine.Now.Before(r.fetch.deadline):
		return replicaFetching
	}
	r.fetch.failed[newest.Source], r.fetch.source = true, ""
	return choiceOutdated
}

// request requests the replica of a peer.
func (r *Recovery) request(source string) {
	r.fetch.source, r.fetch.deadline, r.fetch.receiver = source, r.engine.Now.Add(replicaTimeout), replica.Receiver{}
	r.send(source, peermsg.ReplicaRequest)
	r.scope.After(replicaTimeout+timerMargin, r.advance)
}

// earlierLeaderMayAct reports whether the leader before us may still act: after a data loss its
// lease may not have been lost, or not be missed yet. There is none if this very process led
// last.
func (r *Recovery) earlierLeaderMayAct(observed recovery.Observed) bool {
	lastTerm := max(observed.Term, r.term.Read.Term)
	ours := r.term.LedLastTerm && lastTerm == r.term.Observed.Term && len(r.knowledge) == len(r.cfg.Seeds)
	if !ours {
		r.earlierLeaderLag = lease.WithDrift(r.term.LeaderLease)
	}
	return r.engine.Now.Sub(r.startedAt) < r.earlierLeaderLag
}
