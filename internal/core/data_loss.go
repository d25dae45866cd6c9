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

// The state service may lose data: all of it, some of it, or go back to an older copy of
// its own. Package rebuild says what shows it and what there is after all; loss.go, gather.go,
// merge.go and restore.go are what the controllers do about it. docs/design/rebuild.md has the
// argument.

// DataLossDetected is the log line of a controller that has found a loss of the state
// service's data. The scenarios look for it where there was none.
const DataLossDetected = "data loss detected in the state service"

// unknownJobGrace is how long after a loss a job that nobody knows is not called unknown.
const unknownJobGrace = 30 * time.Second

// observeRevision takes note of the state service's revision. seen and era are of when the call was
// sent: a revision below what had been seen by then is one that has fallen.
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

// reportDataLoss: what we have seen shows that data was lost. A leader's word rests on records
// that may be gone, so it leads no more until it is known what there is.
func (c *Core) reportDataLoss(why string) { c.reportDataLossThen(why, func() {}) }

// reportDataLossThen is suspect, with what a leader does once its grant has been given back.
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
func (c *Core) observeTerm(era, term, life uint64) {
	was := c.observed.Era
	if c.observed = c.observed.AdvanceTo(era, term, life); c.observed.Era != was {
		c.dataLossReason = "" // somebody leads who knows
	}
}

// knowledge is what we tell a new leader.
func (c *Core) knowledge() *peermsg.Knowledge {
	k := &peermsg.Knowledge{Observed: c.observed}
	if best := c.newestReplica(); best != nil {
		k.ReplicaEra, k.ReplicaTerm, k.ReplicaSeq, k.LiveDigest = best.Era, best.Term, best.Seq, best.Digest(record.LivePrefix)
	}
	return k
}

// mayHaveLostJobs reports whether a job that nobody knows may be one that was lost.
func (l *leadership) mayHaveLostJobs(now time.Time) bool {
	loss := l.restorer.Loss()
	return loss != nil && now.Sub(loss.Since) < unknownJobGrace || l.noEarlierTerm && now.Sub(l.electedAt) < 5*failover.UnknownPastTimeout
}

// confirmTerm asks the state service whether our term is on record with its leader, as whatever
// a leader says rests on it, and whether more holds at the same time.
func (c *Core) confirmTerm(more []kv.Condition, f func(r kv.Response)) {
	l := c.leadership
	when := append([]kv.Condition{{Key: record.TermKey, Rev: l.termRevision}, {Key: record.LeaderKey, Rev: l.termRevision}}, more...)
	c.storeWhileLeading(kv.Request{Op: kv.Txn, Conditions: when, Timeout: leaseTTL / 2}, func(r kv.Response) {
		if r.Outcome == rpc.Conflict && (slices.Contains(r.FailedKeys, record.TermKey) || slices.Contains(r.FailedKeys, record.LeaderKey)) {
			c.resign("the term is not on record any more")
		}
		f(r)
	})
}
