package core

import (
	"strings"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/recovery"
	"yewpass/internal/replica"
	"yewpass/internal/rpc"
)

// What a new leader finds out, from the state service and the other controllers, before its
// term begins its work.

// How long a new leader waits for what the others know.
const (
	askInterval              = 100 * time.Millisecond
	noReplicaDelay           = 150 * time.Millisecond
	peerAnswerTimeout        = 300 * time.Millisecond // peers are left to answer a new leader
	peerAnswerTimeoutUnknown = time.Second            // the same where nothing is known and nothing on record
	replicaTimeout           = 5 * time.Second        // a peer is left to send its copy
	// maxSingleFinalReads is how many jobs that a copy has and the service has not are asked after
	// at a take-over, one read each; for more all that have ended are listed.
	maxSingleFinalReads = 50
)

// recoveryState is what a new leader finds out before its term begins its work.
type recoveryState struct {
	observed        recovery.Observed // what we had seen before we stood
	termRead        recovery.TermRead
	lossReason      string // why data must have been lost, or ""
	stored          []replica.Record
	complete        bool // all of it
	peerKnowledge   map[string]*peermsg.Knowledge
	replica         *replica.Replica // to go by
	replicaSource   string           // whose copy is on its way
	receiver        replica.Receiver
	failedSources   map[string]bool
	replicaDeadline time.Time // the copy is waited for
	askedEnded      bool      // about jobs that may have ended
	merged          bool
	ledLastTerm     bool // the last term that we knew of was our own
}

// dataLoss is what is known of a loss under the leader that has found it.
type dataLoss struct {
	restored int // records that were lost or older
	pending  int // of them, not on record yet
	since    time.Time
	reason   string // what showed the loss
	source   string // whose copy was gone by
}

// startRecovery begins to gather.
func (c *Core) startRecovery() {
	c.askPeers()
	c.afterWhileLeading(peerAnswerTimeout, c.advanceRecovery)
	c.afterWhileLeading(peerAnswerTimeoutUnknown, c.advanceRecovery)
	c.afterWhileLeading(withDrift(leaseTTL)+time.Millisecond, c.advanceRecovery)
}

// askPeers asks those again who have not told: their link to a process that has just begun
// comes up later than its own to them.
func (c *Core) askPeers() {
	g := c.leadership.recovery
	if g == nil || g.merged {
		return
	}
	for _, p := range c.cfg.Seeds {
		if g.peerKnowledge[p.HostName] == nil {
			c.Emit(peermsg.Outgoing{To: p.HostName, Msg: peermsg.Message{Kind: peermsg.AskKnowledge, Term: c.leadership.term}})
		}
	}
	c.afterWhileLeading(askInterval, c.askPeers)
}

// handleKnowledge takes in what a peer knows.
func (c *Core) handleKnowledge(from string, k *peermsg.Knowledge) {
	l := c.leadership
	if g := l.recovery; g != nil {
		if g.peerKnowledge[from] == nil && k.ReplicaTerm == 0 {
			c.replicas.StartTransfer(from)
		}
		g.peerKnowledge[from] = k
		c.advanceRecovery()
	} else if l.noEarlierTerm && k.Era == c.observed.Era && k.Term > l.term && k.HighestPastTerm < l.term {
		// Of the same data: somebody leads after us, and we were cut off meanwhile.
		if c.hasAuthority() {
			c.verifyTerm("a newer term is known", func() {})
		} else {
			c.stepDown("a newer term is known")
		}
	} else if l.noEarlierTerm && k.HasHigherTerm(c.observed.Era, l.term, c.processID) {
		// Nothing was on record and nobody in reach when we began; now somebody is.
		c.handleHigherTerm(max(k.HighestPastTerm, k.Term))
	}
}

// handleHigherTerm: terms have begun again, below one that workers have seen.
func (c *Core) handleHigherTerm(term uint64) {
	c.observed.Term = max(c.observed.Term, term)
	c.reportDataLoss("a higher term is known than those on record")
}

// awaitsPeers reports whether somebody may still tell what is not known here.
func (g *recoveryState) awaitsPeers(c *Core) bool {
	waited := c.Now.Sub(c.leadership.electedAt)
	within, all := peerAnswerTimeout, false
	best := c.newestReplica()
	switch {
	case g.lossReason != "" || g.termRead.Missing:
	case best != nil && best.Term == g.termRead.Term && best.Era == g.termRead.Era:
		return false // nobody knows more
	case best == nil && waited < peerAnswerTimeoutUnknown:
		// A process that has just begun: the others may have copies, and the links to it
		// come up.
		for _, k := range g.peerKnowledge {
			if k.ReplicaTerm+1 >= g.termRead.Term {
				return false
			}
		}
		return len(g.peerKnowledge) < len(c.cfg.Seeds)
	}
	if g.lossReason != "" || g.termRead.Missing && g.observed.Term == 0 {
		within, all = peerAnswerTimeoutUnknown, true // also for those to whom the link is not up yet
	}
	if waited >= within {
		return false
	}
	for _, s := range c.cfg.Seeds {
		if g.peerKnowledge[s.HostName] == nil && (all || c.links[s.HostName]) {
			return true
		}
	}
	return false
}

// advanceRecovery goes on with a take-over as far as what has been gathered allows: to the records
// that there are, from the service and, where it has lost some, from the newest copy.
func (c *Core) advanceRecovery() {
	l := c.leadership
	g := l.recovery
	if g == nil || !g.complete || g.askedEnded || g.merged || g.awaitsPeers(c) {
		return
	}
	known := g.observed
	last := g.observed.Term
	if !g.termRead.Missing {
		last = max(last, g.termRead.Term)
	}
	offers, names := []replica.Version{}, []string{}
	floor := uint64(0)
	offer := func(name string, age replica.Version) {
		if !g.failedSources[name] {
			offers, names = append(offers, age), append(names, name)
		}
	}
	if own := c.newestReplica(); own != nil && own.Term < l.term {
		offer("", own.Version)
	}
	for _, s := range c.cfg.Seeds {
		if k := g.peerKnowledge[s.HostName]; k != nil {
			if k.HasHigherTerm(c.observed.Era, l.term, c.processID) {
				floor = max(floor, k.HighestPastTerm, k.Term)
			}
			if k.Era != c.observed.Era { // else it has read of our term already
				known = known.Merge(k.Observed)
			} else if g.lossReason == "" && g.termRead.Missing && k.HighestPastTerm > 0 {
				g.lossReason = "no term is on record, and one was"
			}
			offer(s.HostName, replica.Version{Term: k.ReplicaTerm, Seq: k.ReplicaSeq})
		}
	}
	if floor >= l.term {
		c.handleHigherTerm(floor)
		return
	}
	last = max(last, known.Term)
	if g.lossReason == "" {
		g.lossReason = known.LossReason(g.termRead)
	}
	best := recovery.NewestOf(offers)
	if best >= 0 && g.replica == nil {
		name := names[best]
		switch {
		case name == "":
			g.replica = c.newestReplica()
		case g.receiver.Replica() != nil && g.replicaSource == name:
			if came := g.receiver.Replica(); offers[best].After(came.Version) {
				// Not the one that was offered. Another may be newer by now.
				g.peerKnowledge[name].ReplicaTerm, g.peerKnowledge[name].ReplicaSeq = came.Term, came.Seq
				c.advanceRecovery()
				return
			}
			g.replica = g.receiver.Replica()
		case g.lossReason == "" && g.peerKnowledge[name].LiveDigest == digestRecords(g.stored) && g.peerKnowledge[name].ReplicaEra == g.termRead.Era:
			// Nothing is missing, as far as its keys tell; but for how jobs have ended,
			// which is learned beside the work.
			l.finals.SetSource(name)
		case g.replicaSource != name:
			g.replicaSource, g.replicaDeadline, g.receiver = name, c.Now.Add(replicaTimeout), replica.Receiver{}
			c.Emit(peermsg.Outgoing{To: name, Msg: peermsg.Message{Kind: peermsg.WantReplica, Term: l.term}})
			c.afterWhileLeading(replicaTimeout+time.Millisecond, c.advanceRecovery)
			return
		case c.Now.Before(g.replicaDeadline):
			return
		default:
			g.failedSources[name], g.replicaSource = true, ""
			c.advanceRecovery()
			return
		}
	}
	if g.replica != nil && g.lossReason == "" && !g.termRead.Missing && g.replica.Era != 0 && g.replica.Era != g.termRead.Era {
		g.lossReason = "a leader has found a loss and has not passed on what there is"
	}
	if g.lossReason != "" {
		// The leader before us may still go by a grant that was not lost, or has not been
		// missed yet, for as long as one lasts; unless it was this very process.
		ours := g.ledLastTerm && last == g.observed.Term && len(g.peerKnowledge) == len(c.cfg.Seeds)
		if !ours {
			l.earlierLeaderLag = withDrift(leaseTTL)
		}
		if c.Now.Sub(l.electedAt) < l.earlierLeaderLag {
			return
		}
	}
	if g.replica != nil {
		c.resolveMissingJobs()
		return
	}
	c.mergeRecords()
}

// digestRecords is the digest of live records.
func digestRecords(rs []replica.Record) (d replica.Digest) {
	for _, r := range rs {
		d.Add(r.Key)
	}
	return d
}

// resolveMissingJobs asks the service about jobs that a copy has and it has not: they have ended
// after the copy's last line, or are lost. What it says is taken into the copy.
func (c *Core) resolveMissingJobs() {
	l := c.leadership
	g := l.recovery
	g.askedEnded = true
	have := map[string]bool{}
	for _, r := range g.stored {
		have[r.Key] = true
	}
	var missing []string // keys of their final records, in order
	for _, key := range g.replica.Keys(record.JobPrefix) {
		final := record.FinalPrefix + strings.TrimPrefix(key, record.JobPrefix)
		if _, over := g.replica.Get(final); !have[key] && !over {
			missing = append(missing, final)
		}
	}
	if len(missing) == 0 {
		c.mergeRecords()
		return
	}
	if len(missing) > maxSingleFinalReads {
		c.listFinalRecords(missing[0], missing[len(missing)-1])
		return
	}
	left := len(missing)
	var read func(key string)
	read = func(key string) {
		c.storeWhileLeading(kv.Request{Op: kv.Get, Key: key}, func(r kv.Response) {
			switch r.Outcome {
			case rpc.OK:
				g.replica.Put(key, r.Entries[0].Value, r.Entries[0].Rev)
			case rpc.NotFound:
			default:
				c.afterWhileLeading(c.Jitter(200*time.Millisecond), func() { read(key) })
				return
			}
			if left--; left == 0 {
				c.mergeRecords()
			}
		})
	}
	for _, key := range missing {
		read(key)
	}
}

// listFinalRecords is resolveMissingJobs for many: all final records from one key to another.
func (c *Core) listFinalRecords(from, to string) {
	g := c.leadership.recovery
	c.storeWhileLeading(kv.Request{Op: kv.List, Key: record.FinalPrefix, From: from[:len(from)-1], Limit: 1000}, func(r kv.Response) {
		if r.Outcome != rpc.OK {
			c.afterWhileLeading(c.Jitter(200*time.Millisecond), func() { c.listFinalRecords(from, to) })
			return
		}
		for _, e := range r.Entries {
			id := strings.TrimPrefix(e.Key, record.FinalPrefix)
			if _, live := g.replica.Get(record.JobPrefix + id); live && e.Value != nil {
				g.replica.Put(e.Key, e.Value, e.Rev)
			}
		}
		if n := len(r.Entries); r.More && n > 0 && r.Entries[n-1].Key < to {
			c.listFinalRecords(r.Entries[n-1].Key+"0", to)
			return
		}
		c.mergeRecords()
	})
}
