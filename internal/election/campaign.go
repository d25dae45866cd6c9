package election

import (
	"log/slog"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/recovery"
	"yewpass/internal/rpc"
)

const (
	campaignRetryDelay = 200 * time.Millisecond
	// handOverCooldown is for how long a node that has handed over does not campaign: the
	// others have long begun by then, unless none of them is able to.
	handOverCooldown = 3 * time.Second
)

// Victory is a campaign that was won.
type Victory struct {
	Term        uint64
	Era         uint64
	Revision    uint64        // at which the term is on record
	LeaseID     uint64        // of the leader's key
	SentAt      time.Time     // when the lease was asked for: authority counts from there
	ClockSkew   time.Duration // of the time of day at that time
	LedLastTerm bool          // by this very process
	Before      recovery.Observed
	Read        recovery.TermRead // what the term's record said
}

// campaign is one attempt to become the leader.
type campaign struct {
	*Election
	keyRevision uint64 // that the leader's key must have; 0: it must not be there
	victory     Victory
}

// NoteHandOver notes that this node hands over the leadership.
func (e *Election) NoteHandOver() { e.handedOverAt = e.engine.Now }

// Campaign stands for election: one transaction takes the leader's key, which must be at a
// revision (0: not there), under a short lease and raises the term.
func (e *Election) Campaign(keyRevision uint64) {
	if e.host.IsLeading() {
		return
	}
	if wait := e.handedOverAt.Add(handOverCooldown).Sub(e.engine.Now); wait > 0 {
		e.engine.After(wait, e.Watch)
		return
	}
	k := &campaign{Election: e, keyRevision: keyRevision}
	k.victory.SentAt, k.victory.ClockSkew = e.engine.Now, e.engine.ClockSkew(e.engine.Now)
	e.engine.CallStore(kv.Request{Op: kv.GrantLease, TTL: e.timing.LeaderLease}, func(r kv.Response) {
		if r.Outcome != rpc.OK {
			e.WatchAfter(campaignRetryDelay)
			return
		}
		k.victory.LeaseID = r.LeaseID
		e.engine.CallStore(kv.Request{Op: kv.Get, Key: record.TermKey}, k.chooseTerm)
	})
}

// giveUp ends the campaign, and its lease at once: should the transaction have been applied
// all the same, its key goes with it.
func (k *campaign) giveUp() {
	k.engine.CallStore(kv.Request{Op: kv.RevokeLease, LeaseID: k.victory.LeaseID}, func(kv.Response) {})
	k.WatchAfter(campaignRetryDelay)
}

// chooseTerm chooses the term by what the term's record says.
func (k *campaign) chooseTerm(r kv.Response) {
	if r.Outcome != rpc.OK && r.Outcome != rpc.NotFound {
		k.giveUp()
		return
	}
	v := &k.victory
	v.Before = k.host.Observed()
	v.Read = recovery.TermRead{Missing: r.Outcome == rpc.NotFound, StoreRevision: r.Rev}
	if r.Outcome == rpc.OK {
		if rec, _ := r.Entries[0].Value.(*record.Term); rec != nil {
			v.Read.Term, v.Read.Era = rec.Term, rec.Era
		}
	}
	v.Era = v.Read.Era
	if lost := k.host.CheckDataLoss(v.Before, v.Read); lost != "" || v.Era == 0 {
		v.Era = k.engine.RandomID()
	}
	var termRevision uint64
	v.Term, termRevision = k.nextTerm(r)
	if v.Term > record.MaxTerm {
		k.engine.Log(slog.LevelError, "terms exhausted", "key", record.TermKey, "term", v.Term)
		k.giveUp()
		return
	}
	k.take(termRevision)
}

// take takes the leader's key and raises the term.
func (k *campaign) take(termRevision uint64) {
	v := &k.victory
	k.engine.CallStore(kv.Request{
		Op: kv.Txn,
		Conditions: []kv.Condition{
			{Key: record.LeaderKey, Rev: k.keyRevision},
			{Key: record.TermKey, Rev: termRevision},
		},
		Writes: []kv.Write{
			{Key: record.LeaderKey, Value: &record.Leader{Node: k.cfg.HostName, Term: v.Term, ProcessID: k.processID, Era: v.Era}, LeaseID: v.LeaseID},
			{Key: record.TermKey, Value: &record.Term{Term: v.Term, Era: v.Era}},
		},
	}, func(r kv.Response) {
		// What was heard of terms does not count here, only the record: a peer may say
		// anything. An answer that comes this late finds the lease over.
		if r.Outcome != rpc.OK || !k.engine.Now.Before(v.SentAt.Add(k.timing.Authority())) {
			k.giveUp()
			return
		}
		v.Revision = r.Rev
		v.LedLastTerm = k.lastLedTerm != 0 && k.lastLedTerm == v.Before.Term
		k.host.BeginTerm(*v)
	})
}

// nextTerm returns the term to begin and the revision that the term's key must have.
//
// A record that is damaged or gone must not begin the count anew: fencing tokens and
// attempts would fall and names of machines repeat. No term was ever above the revision of
// the transaction that began it, because each begins with a change of its own; so one above
// the revision at hand is above them all.
func (e *Election) nextTerm(r kv.Response) (term, rev uint64) {
	known := max(e.confirmedTerm, e.host.Observed().Term)
	if r.Outcome == rpc.NotFound {
		if term = max(r.Rev, known) + 1; r.Rev > 0 {
			e.engine.Log(slog.LevelWarn, "no term on record, continuing above the store's revision", "key", record.TermKey, "term", term)
		}
		return term, 0
	}
	entry := r.Entries[0]
	if rec, _ := entry.Value.(*record.Term); rec != nil {
		return max(rec.Term, known) + 1, entry.Rev // the record may be of an old copy
	}
	term = max(entry.Rev, known) + 1
	e.engine.Log(slog.LevelError, "record is unreadable", "key", record.TermKey, "effect", "terms go on above its revision", "term", term)
	return term, entry.Rev
}
