package core

import (
	"log/slog"

	"yewpass/internal/bitset"
	"yewpass/internal/failover"
	"yewpass/internal/kv"
	"yewpass/internal/peermsg"
	"yewpass/internal/recovery"
	"yewpass/internal/replica"
	"yewpass/internal/restore"
	"yewpass/internal/writebatch"
)

// recordsPerLoadStep bounds how many records one step loads.
const recordsPerLoadStep = 400

// failoverLeader implements failover.Leader for the current leadership.
type failoverLeader struct{ c *Core }

// Observed returns the highest era, term and revision seen in the store, including the new term.
func (h failoverLeader) Observed() recovery.Observed { return h.c.observed }

// IsLinked reports whether the link to a peer is up.
func (h failoverLeader) IsLinked(peer string) bool { return h.c.election.IsLinked(peer) }

// EndTerm resigns because a term higher than the stored one is known, which proves a data loss.
func (h failoverLeader) EndTerm(higher uint64) { h.c.handleHigherTerm(higher) }

// Recovered starts loading the records that the recovery has found.
func (h failoverLeader) Recovered(o *failover.Outcome) { h.c.handleRecovered(o) }

// startRecovery starts to determine which records exist. before is what this node had seen of the
// store before its campaign, and read is what the campaign read of the term.
func (c *Core) startRecovery(before recovery.Observed, read recovery.TermRead, ledLastTerm bool) {
	l := c.leadership
	l.recovery = failover.New(c.Engine, l.scope, c.cfg, c.replicas, failoverLeader{c}, failover.Term{
		Number:          l.term,
		ProcessID:       c.processID,
		LeaderLease:     leaseTTL,
		Observed:        before,
		Read:            read,
		LossReason:      c.dataLossReason,
		LedPreviousTerm: ledLastTerm,
	})
	l.recovery.Start()
}

// handlePeerState processes what a peer knows of earlier terms. After the recovery it matters only
// to a leader that found no earlier term on record: the peer may know of one.
func (c *Core) handlePeerState(from string, k *peermsg.PeerState) {
	l := c.leadership
	switch {
	case l.recovery != nil:
		l.recovery.HandlePeerState(from, k)
	case l.noEarlierTerm && k.Era == c.observed.Era && k.Term > l.term && k.HighestPastTerm < l.term:
		// A successor was elected in the same era while this node was isolated.
		if c.hasAuthority() {
			c.verifyTerm("a peer knows of a newer term", func() {})
		} else {
			c.stepDown("a peer knows of a newer term")
		}
	case l.noEarlierTerm && k.HasHigherTerm(c.observed.Era, l.term, c.processID):
		// The store has lost a term that this peer knows.
		c.handleHigherTerm(max(k.HighestPastTerm, k.Term))
	}
}

// handleHigherTerm resigns because the store has lost a higher term: workers that have seen it
// reject lower ones.
func (c *Core) handleHigherTerm(term uint64) {
	c.observed.Term = max(c.observed.Term, term)
	c.reportDataLoss("a term higher than the stored one is known")
}

// handleRecovered applies the outcome of the recovery and starts loading the records.
func (c *Core) handleRecovered(o *failover.Outcome) {
	l := c.leadership
	if o.Restored != nil {
		c.cacheFinalRecords(o.Restored)
	}
	for _, key := range o.Deletes {
		l.writes.Add(&writebatch.Change{Priority: writebatch.Bulk, Writes: []kv.Write{{Key: key}}})
	}
	if o.LossReason != "" {
		l.restorer.Begin(o.Restore, o.LossReason, o.Source)
		c.Log(slog.LevelError, "recovering from data loss", "term", l.term, "era", c.observed.Era, "reason", o.LossReason, "source", o.Source, "records", len(o.Records), "restored", len(o.Restore))
		if o.Restored == nil {
			c.Log(slog.LevelError, "no replica available, records lost by the key-value store cannot be restored", "term", l.term)
		}
	}
	c.dataLossReason = ""
	c.replicas.SetOwn(o.Replica)
	l.finalRecords.SetSource(o.FinalRecordsSource)
	l.noEarlierTerm, l.earlierLeaderOverlap = o.NoEarlierTerm, o.EarlierLeaderOverlap
	c.loadRecords(o.Records)
}

// loadRecords loads up to recordsPerLoadStep records in each step and then starts the work of the
// term.
func (c *Core) loadRecords(records []replica.Record) {
	n := min(len(records), recordsPerLoadStep)
	for _, r := range records[:n] {
		e := kv.Entry{Key: r.Key, Value: r.Value, Rev: r.Rev}
		c.loadRecord(e)
		c.replicate(e)
	}
	if n < len(records) {
		c.afterWhileLeading(0, func() { c.loadRecords(records[n:]) })
		return
	}
	l := c.leadership
	l.recovery = nil
	l.machineRecords.Restore(l.restorer.Prepare())
	if source := l.finalRecords.Source(); source != "" {
		c.Emit(peermsg.Outgoing{To: source, Msg: peermsg.Message{Kind: peermsg.ReplicaRequest, Term: l.term}})
	}
	c.startTermWork()
}

// restoreLeader implements restore.Leader for a leadership.
type restoreLeader struct {
	c *Core
	l *leadership
}

// IsUnfinished reports whether a job is known and its final record is not being written.
func (h restoreLeader) IsUnfinished(job string) bool {
	j := h.l.jobs[job]
	return j != nil && !j.Finishing
}

// ScheduleProgressWrite schedules a write of the progress of one chunk of a job if it is known.
func (h restoreLeader) ScheduleProgressWrite(job string, chunk int) {
	if j := h.l.jobs[job]; j != nil {
		h.l.lifecycle.ScheduleProgressWrite(j, chunk*bitset.ChunkSize)
	}
}

// SetConfigHeadRevision records the revision at which the configuration's head record was restored.
func (h restoreLeader) SetConfigHeadRevision(rev uint64) { h.l.config.SetHeadRevision(rev) }

// newRestorer returns the restorer of lost records for a leadership.
func (c *Core) newRestorer(l *leadership) *restore.Restorer {
	return restore.New(c.Engine, l.scope, restore.Config{
		Writes:    l.writes,
		Publisher: l.publisher,
		Replicas:  c.replicas,
		Leader:    restoreLeader{c, l},
		Schedules: l.recurring,
		Term:      l.term,
		MaxQueued: c.cfg.Settings.State.TxnOps,
	})
}
