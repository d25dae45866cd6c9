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
	// handOverCooldown is how long a node does not campaign after handing over leadership, so
	// that another node wins.
	handOverCooldown = 3 * time.Second
)

// CampaignResult describes a won campaign.
type CampaignResult struct {
	Term             uint64
	Era              uint64
	Revision         uint64        // revision at which the term record was written
	LeaseID          uint64        // lease of the leader key
	LeaseRequestedAt time.Time     // when the lease request was sent; authority is measured from then
	ClockSkew        time.Duration // skew of the wall clock at LeaseRequestedAt
	LedPreviousTerm  bool          // this process led the newest term in ObservedBefore
	ObservedBefore   recovery.Observed
	TermRead         recovery.TermRead // term record as read during the campaign
}

// campaign is one attempt to become leader.
type campaign struct {
	*Election
	keyRevision uint64 // required revision of the leader key; 0 if the key must not exist
	result      CampaignResult
}

// RecordHandOver records that this node has just handed over leadership. It does not campaign for
// handOverCooldown.
func (e *Election) RecordHandOver() { e.handedOverAt = e.engine.Now }

// Campaign tries to become leader. It requests a lease, then writes the leader key under that lease
// and increments the term in one transaction. The leader key must be at keyRevision, or not exist
// if that is 0.
func (e *Election) Campaign(keyRevision uint64) {
	if e.host.IsLeader() {
		return
	}
	if wait := e.handedOverAt.Add(handOverCooldown).Sub(e.engine.Now); wait > 0 {
		e.engine.After(wait, e.Watch)
		return
	}
	c := &campaign{Election: e, keyRevision: keyRevision}
	c.result.LeaseRequestedAt, c.result.ClockSkew = e.engine.Now, e.engine.ClockSkew(e.engine.Now)
	e.engine.CallStore(kv.Request{Op: kv.GrantLease, TTL: e.timing.LeaderLease}, func(r kv.Response) {
		if r.Outcome != rpc.OK {
			e.WatchAfter(campaignRetryDelay)
			return
		}
		c.result.LeaseID = r.LeaseID
		e.engine.CallStore(kv.Request{Op: kv.Get, Key: record.TermKey}, c.chooseTerm)
	})
}

// abort ends the campaign and revokes its lease. This also deletes the leader key if the
// transaction was applied despite a failed or late response.
func (c *campaign) abort() {
	c.engine.CallStore(kv.Request{Op: kv.RevokeLease, LeaseID: c.result.LeaseID}, func(kv.Response) {})
	c.WatchAfter(campaignRetryDelay)
}

// chooseTerm chooses the new term and era from the response to the read of the term record.
func (c *campaign) chooseTerm(r kv.Response) {
	if r.Outcome != rpc.OK && r.Outcome != rpc.NotFound {
		c.abort()
		return
	}
	result := &c.result
	result.ObservedBefore = c.host.Observed()
	result.TermRead = recovery.TermRead{Missing: r.Outcome == rpc.NotFound, StoreRevision: r.Rev}
	if r.Outcome == rpc.OK {
		if rec, _ := r.Entries[0].Value.(*record.Term); rec != nil {
			result.TermRead.Term, result.TermRead.Era = rec.Term, rec.Era
		}
	}
	result.Era = result.TermRead.Era
	if lost := c.host.CheckDataLoss(result.ObservedBefore, result.TermRead); lost != "" || result.Era == 0 {
		result.Era = c.engine.RandomID()
	}
	var termRevision uint64
	result.Term, termRevision = c.nextTerm(r)
	if result.Term > record.MaxTerm {
		c.engine.Log(slog.LevelError, "cannot start a new term: the maximum term is exceeded", "key", record.TermKey, "term", result.Term)
		c.abort()
		return
	}
	c.acquireLeaderKey(termRevision)
}

// acquireLeaderKey writes the leader key and the new term in one compare-and-swap.
func (c *campaign) acquireLeaderKey(termRevision uint64) {
	result := &c.result
	c.engine.CallStore(kv.Request{
		Op: kv.Txn,
		Conditions: []kv.Condition{
			{Key: record.LeaderKey, Rev: c.keyRevision},
			{Key: record.TermKey, Rev: termRevision},
		},
		Writes: []kv.Write{
			{Key: record.LeaderKey, Value: &record.Leader{Node: c.cfg.HostName, Term: result.Term, ProcessID: c.processID, Era: result.Era}, LeaseID: result.LeaseID},
			{Key: record.TermKey, Value: &record.Term{Term: result.Term, Era: result.Era}},
		},
	}, func(r kv.Response) {
		// Only the transaction decides; claims of peers are not verified. A response after
		// the authority has expired is a failure.
		if r.Outcome != rpc.OK || !c.engine.Now.Before(result.LeaseRequestedAt.Add(c.timing.Authority())) {
			c.abort()
			return
		}
		result.Revision = r.Rev
		result.LedPreviousTerm = c.lastLedTerm != 0 && c.lastLedTerm == result.ObservedBefore.Term
		c.host.BeginTerm(*result)
	})
}

// nextTerm returns the next term and the required revision of the term key.
//
// Terms must not restart when the term record is damaged or missing: fencing tokens and attempt
// numbers would decrease and machine names repeat. No term exceeds the store revision at its start,
// so a term above the current revision exceeds all earlier ones.
func (e *Election) nextTerm(r kv.Response) (term, rev uint64) {
	known := max(e.confirmedTerm, e.host.Observed().Term)
	if r.Outcome == rpc.NotFound {
		if term = max(r.Rev, known) + 1; r.Rev > 0 {
			e.engine.Log(slog.LevelWarn, "term record is missing; choosing a term above the store revision", "key", record.TermKey, "term", term)
		}
		return term, 0
	}
	entry := r.Entries[0]
	if rec, _ := entry.Value.(*record.Term); rec != nil {
		return max(rec.Term, known) + 1, entry.Rev // the record may come from an old backup
	}
	term = max(entry.Rev, known) + 1
	e.engine.Log(slog.LevelError, "record is unreadable", "key", record.TermKey, "effect", "the next term is chosen above the revision of the record", "term", term)
	return term, entry.Rev
}
