package failover

import (
	"yewpass/internal/lease"
	"yewpass/internal/peermsg"
	"yewpass/internal/recovery"
	"yewpass/internal/replica"
)

// advance continues the recovery after new data or a timeout, as far as the gathered data allows.
func (r *Recovery) advance() {
	if r.phase != collecting || !r.allStored || r.awaitsPeerStates() {
		return
	}
	past := r.collectPeerStates()
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
	case offersChanged:
		r.advance()
		return
	}
	if read := r.term.Read; r.replica != nil && r.term.LossReason == "" && !read.Missing && r.replica.Era != 0 && r.replica.Era != read.Era {
		r.term.LossReason = "an earlier leader found a data loss and did not complete the recovery"
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

// pastTerms is what this node and the peers that have responded know about earlier terms.
type pastTerms struct {
	observed   recovery.Observed
	offers     []recovery.Offer // available replicas
	higherTerm uint64           // a known term that is not lower than the new one, or 0
}

func (r *Recovery) collectPeerStates() pastTerms {
	p := pastTerms{observed: r.term.Observed}
	if newest := r.replicas.Newest(); newest != nil && newest.Term < r.term.Number {
		p.offers = append(p.offers, recovery.Offer{Version: newest.Version})
	}
	era := r.leader.Observed().Era
	for _, seed := range r.cfg.Seeds {
		k := r.peerStates[seed.HostName]
		if k == nil {
			continue
		}
		if k.HasHigherTerm(era, r.term.Number, r.term.ProcessID) {
			p.higherTerm = max(p.higherTerm, k.HighestPastTerm, k.Term)
		}
		if k.Era != era { // otherwise the peer has already observed the new term
			p.observed = p.observed.Merge(k.Observed)
		} else if r.term.LossReason == "" && r.term.Read.Missing && k.HighestPastTerm > 0 {
			r.term.LossReason = "the term record is missing"
		}
		if !r.fetch.failed[seed.HostName] {
			p.offers = append(p.offers, recovery.Offer{Source: seed.HostName, Version: replica.Version{Term: k.ReplicaTerm, Seq: k.ReplicaSeq}})
		}
	}
	return p
}

type replicaChoice int

const (
	replicaChosen   replicaChoice = iota
	replicaFetching               // waiting for a replica from a peer
	noReplicaOffered
	storeIsComplete // the store has every live record of the newest replica
	offersChanged   // an offer was withdrawn or changed: choose again
)

// chooseReplica decides which replica to restore from, and requests it if a peer holds it.
func (r *Recovery) chooseReplica(offers []recovery.Offer) replicaChoice {
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
	received, peer := r.fetch.receiver.Replica(), r.peerStates[newest.Source]
	switch {
	case received != nil && r.fetch.source == newest.Source:
		if newest.After(received.Version) {
			// The received replica is older than the offered one, so another may be newer.
			peer.ReplicaTerm, peer.ReplicaSeq = received.Term, received.Seq
			return offersChanged
		}
		r.replica = received
		return replicaChosen
	case r.term.LossReason == "" && peer.LiveDigest == replica.DigestOf(r.stored) && peer.ReplicaEra == r.term.Read.Era:
		// The digest of keys shows that no live record is missing. Final records are fetched later.
		r.finalRecordsSource = newest.Source
		return storeIsComplete
	case r.fetch.source != newest.Source:
		r.requestReplica(newest.Source)
		return replicaFetching
	case r.engine.Now.Before(r.fetch.deadline):
		return replicaFetching
	}
	r.fetch.failed[newest.Source], r.fetch.source = true, ""
	return offersChanged
}

// requestReplica also schedules a check for the timeout.
func (r *Recovery) requestReplica(source string) {
	r.fetch.source, r.fetch.deadline, r.fetch.receiver = source, r.engine.Now.Add(replicaTimeout), replica.Receiver{}
	r.send(source, peermsg.ReplicaRequest)
	r.scope.After(replicaTimeout+timerMargin, r.advance)
}

// earlierLeaderMayAct reports whether an earlier leader may still have authority. After a data loss
// its lease may still exist, or the leader may not have noticed its loss. There is no such leader
// if this process led the last term.
func (r *Recovery) earlierLeaderMayAct(observed recovery.Observed) bool {
	lastTerm := max(observed.Term, r.term.Read.Term)
	ledLastTerm := r.term.LedPreviousTerm && lastTerm == r.term.Observed.Term && len(r.peerStates) == len(r.cfg.Seeds)
	if !ledLastTerm {
		r.earlierLeaderOverlap = lease.WithDrift(r.term.LeaderLease)
	}
	return r.engine.Now.Sub(r.startedAt) < r.earlierLeaderOverlap
}
