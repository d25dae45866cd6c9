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

// Observed implements failover.Leader.
func (h failoverLeader) Observed() recovery.Observed { return h.c.observed }

// IsLinked implements failover.Leader.
func (h failoverLeader) IsLinked(peer string) bool { return h.c.election.IsLinked(peer) }

// EndTerm implements failover.Leader. The higher term proves a data loss.
func (h failoverLeader) EndTerm(higher uint64) { h.c.handleHigherTerm(higher) }

// Recovered implements failover.Leader. It starts loading the records.
func (h failoverLeader) Recovered(o *failover.Outcome) { h.c.handleRecovered(o) }

// startRecovery starts to determine which records exist. before is the state of the store observed
// before the campaign, and read the term record that it read.
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
// to a leader that found no earlier term.
func (c *Core) handlePeerState(from string, k *peermsg.PeerState) {
	l := c.leadership
	switch {
	case l.recovery != nil:
		l.recovery.HandlePeerState(from, k)
	case l.noEarlierTerm && k.Era == c.observed.Era && k.Term > l.term && k.HighestPastTerm < l.term:
		// A successor was elected while this node was isolated.
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

func (c *Core) handleRecovered(o *failover.Outcome) {
	l := c.leadership
	if o.Restored != nil {
		c.cacheFinalRecords(o.Restored)
	}
	for _, key := range o.Deletes {
		l.writes.Add(&writebatch.Change{Priority: writebatch.Bulk, Writes: []kv.Write{{Key: key}}})
	}
	l.restorer.Begin(o.Restore, o.LossReason, o.Source)
	if o.LossReason != "" {
		c.Log(slog.LevelError, RecoveringFromDataLoss, "term", l.term, "era", c.observed.Era, "reason", o.LossReason, "source", o.Source, "records", len(o.Records), "restored", len(o.Restore))
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

// IsUnfinished implements restore.Leader.
func (h restoreLeader) IsUnfinished(job string) bool {
	j := h.l.jobs[job]
	return j != nil && !j.Finishing
}

// ScheduleProgressWrite implements restore.Leader.
func (h restoreLeader) ScheduleProgressWrite(job string, chunk int) {
	if j := h.l.jobs[job]; j != nil {
		h.l.lifecycle.ScheduleProgressWrite(j, chunk*bitset.ChunkSize)
	}
}

// SetConfigHeadRevision implements restore.Leader.
func (h restoreLeader) SetConfigHeadRevision(rev uint64) { h.l.config.SetHeadRevision(rev) }

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
