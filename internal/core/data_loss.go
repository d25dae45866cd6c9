package core

import (
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/failover"
	"yewpass/internal/kv"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/rpc"
)

// The key-value store may lose data: all of it, some of it, or go back to an older state.
// Package recovery says what shows that; package failover finds out, under the next leader,
// which records there are after all, and package restore writes them back.
// docs/design/rebuild.md has the argument.

// DataLossDetected is the log line of a controller that has found a data loss of the store. The
// scenarios look for it where there was none.
const DataLossDetected = "data loss detected in the state service"

// unknownJobGrace is for how long after a data loss no job is reported as unknown.
const unknownJobGrace = 30 * time.Second

// observeRevision takes note of the store's revision in a response. seen and era are of when the
// call was sent: a revision below what had been seen by then has fallen.
func (c *Core) observeRevision(rev, seen, era uint64) {
	if rev == 0 || era != c.observed.Era {
		return
	}
	if rev < seen {
		c.reportDataLoss("the state service's revision has fallen")
		return
	}
	c.observed.Revision = max(c.observed.Revision, rev)
}

// reportDataLoss is called when the store has proved to have lost data. A leader's records may be
// gone, so it resigns; the next one finds out what there is.
func (c *Core) reportDataLoss(why string) { c.reportDataLossThen(why, func() {}) }

// reportDataLossThen is reportDataLoss; a leader calls then once its lease has been revoked.
func (c *Core) reportDataLossThen(why string, then func()) {
	if c.dataLossReason != "" {
		return
	}
	c.dataLossReason = why
	c.Log(slog.LevelError, DataLossDetected, "reason", why, "era", c.observed.Era, "term", c.observed.Term, "revision", c.observed.Revision)
	if l := c.leadership; l != nil {
		c.resignThen(why, then)
	}
}

// observeTerm takes note of the era and the term that are on record.
func (c *Core) observeTerm(era, term, processID uint64) {
	before := c.observed.Era
	if c.observed = c.observed.AdvanceTo(era, term, processID); c.observed.Era != before {
		c.dataLossReason = "" // a leader has recovered from it
	}
}

// knowledge is what we tell a new leader.
func (c *Core) knowledge() *peermsg.PeerState {
	k := &peermsg.PeerState{Observed: c.observed}
	if newest := c.newestReplica(); newest != nil {
		k.ReplicaEra, k.ReplicaTerm, k.ReplicaSeq, k.LiveDigest = newest.Era, newest.Term, newest.Seq, newest.Digest(record.LivePrefix)
	}
	return k
}

// mayHaveLostJobs reports whether an unknown job may be one that was lost.
func (l *leadership) mayHaveLostJobs(now time.Time) bool {
	loss := l.restorer.Loss()
	return loss != nil && now.Sub(loss.Since) < unknownJobGrace || l.noEarlierTerm && now.Sub(l.electedAt) < 5*failover.UnknownPastTimeout
}

// confirmTerm asks the store whether our term and its leader are still on record, which
// everything that a leader says rests on, and whether further conditions hold at the same time.
func (c *Core) confirmTerm(further []kv.Condition, f func(r kv.Response)) {
	l := c.leadership
	conditions := append([]kv.Condition{{Key: record.TermKey, Rev: l.termRevision}, {Key: record.LeaderKey, Rev: l.termRevision}}, further...)
	c.storeWhileLeading(kv.Request{Op: kv.Txn, Conditions: conditions, Timeout: leaseTTL / 2}, func(r kv.Response) {
		if r.Outcome == rpc.Conflict && (slices.Contains(r.FailedKeys, record.TermKey) || slices.Contains(r.FailedKeys, record.LeaderKey)) {
			c.resign("the term is not on record any more")
		}
		f(r)
	})
}
