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

// The key-value store may lose data or go back to an older state. Package recovery defines the
// evidence for that. Under the next leader, package failover determines the recoverable records,
// and package restore writes them back. See docs/design/rebuild.md.

// DataLossDetected is the message that a controller logs when it detects a data loss of the store.
// The scenarios fail if it is logged without one.
const DataLossDetected = "data loss detected in the key-value store"

// RecoveringFromDataLoss is the message that a new leader logs when it restores records after a data
// loss. The scenarios fail if it is logged without one.
const RecoveringFromDataLoss = "recovering from data loss"

// unknownJobGrace is how long after a data loss no job is reported as unknown.
const unknownJobGrace = 30 * time.Second

// observeRevision records the store's revision from a response. seen and era were known when the
// call was sent: a lower revision in the same era proves a data loss.
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

// reportDataLoss records and logs evidence that the store has lost data. A leader resigns, so that
// the next one recovers the records. Further reports have no effect until then.
func (c *Core) reportDataLoss(reason string) { c.reportDataLossThen(reason, func() {}) }

// reportDataLossThen is like reportDataLoss. On a leader it calls then after the store has
// responded to the revocation of the lease.
func (c *Core) reportDataLossThen(reason string, then func()) {
	if c.dataLossReason != "" {
		return
	}
	c.dataLossReason = reason
	c.Log(slog.LevelError, DataLossDetected, "reason", reason, "era", c.observed.Era, "term", c.observed.Term, "revision", c.observed.Revision)
	if l := c.leadership; l != nil {
		c.resignThen(reason, then)
	}
}

func (c *Core) observeTerm(era, term, processID uint64) {
	before := c.observed.Era
	if c.observed = c.observed.AdvanceTo(era, term, processID); c.observed.Era != before {
		c.dataLossReason = "" // a leader has started a new era and recovers the data
	}
}

// peerState returns what this node sends to a new leader: what it has observed of the store, and
// its replica's version.
func (c *Core) peerState() *peermsg.PeerState {
	k := &peermsg.PeerState{Observed: c.observed}
	if newest := c.newestReplica(); newest != nil {
		k.ReplicaEra, k.ReplicaTerm, k.ReplicaSeq, k.LiveDigest = newest.Era, newest.Term, newest.Seq, newest.Digest(record.LivePrefix)
	}
	return k
}

// mayHaveLostJobs reports whether an unknown job's record may be lost, so that it must not be
// reported as nonexistent yet.
func (l *leadership) mayHaveLostJobs(now time.Time) bool {
	loss := l.restorer.Loss()
	return loss != nil && now.Sub(loss.Since) < unknownJobGrace || l.noEarlierTerm && now.Sub(l.electedAt) < 5*failover.UnknownHistoryTimeout
}

// confirmTerm checks in one transaction without writes that the term and leader records are
// unchanged and that the extra conditions hold. It resigns if another term or leader is on record.
func (c *Core) confirmTerm(extra []kv.Condition, f func(r kv.Response)) {
	l := c.leadership
	conditions := append([]kv.Condition{{Key: record.TermKey, Rev: l.termRevision}, {Key: record.LeaderKey, Rev: l.termRevision}}, extra...)
	c.callStoreWhileLeading(kv.Request{Op: kv.Txn, Conditions: conditions, Timeout: leaseTTL / 2}, func(r kv.Response) {
		if r.Outcome == rpc.Conflict && (slices.Contains(r.FailedKeys, record.TermKey) || slices.Contains(r.FailedKeys, record.LeaderKey)) {
			c.resign("the term record or the leader record has changed")
		}
		f(r)
	})
}
