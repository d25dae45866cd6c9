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

// recordsPerLoadStep is how many records are loaded in one step.
const recordsPerLoadStep = 400

// recoveryLeader is what package failover sees of the new leader.
type recoveryLeader struct{ c *Core }

// Observed returns what has been seen of the store by now.
func (h recoveryLeader) Observed() recovery.Observed { return h.c.observed }

// IsLinked reports whether the link to a peer is up.
func (h recoveryLeader) IsLinked(peer string) bool { return h.c.election.IsLinked(peer) }

// EndTerm ends the term, because a higher one is known.
func (h recoveryLeader) EndTerm(higher uint64) { h.c.handleHigherTerm(higher) }

// Recovered loads the records that there are.
func (h recoveryLeader) Recovered(o *failover.Outcome) { h.c.handleRecovered(o) }

// startRecovery begins to find out which records there are. before is what we had seen of the
// store before the campaign.
func (c *Core) startRecovery(before recovery.Observed, read recovery.TermRead, ledLastTerm bool) {
	l := c.leadership
	l.recovery = failover.New(c.Engine, l.scope, c.cfg, c.replicas, recoveryLeader{c}, failover.Term{
		Number:      l.term,
		ProcessID:   c.processID,
		LeaderLease: leaseTTL,
		Observed:    before,
		Read:        read,
		LossReason:  c.dataLossReason,
		LedLastTerm: ledLastTerm,
	})
	l.recovery.Start()
}

// handleKnowledge takes in what a peer knows.
func (c *Core) handleKnowledge(from string, k *peermsg.PeerState) {
	l := c.leadership
	switch {
	case l.recovery != nil:
		l.recovery.HandleKnowledge(from, k)
	case l.noEarlierTerm && k.Era == c.observed.Era && k.Term > l.term && k.HighestPastTerm < l.term:
		// Of the same data: somebody leads after us, and we were cut off meanwhile.
		if c.hasAuthority() {
			c.verifyTerm("a newer term is known", func() {})
		} else {
			c.stepDown("a newer term is known")
		}
	case l.noEarlierTerm && k.HasHigherTerm(c.observed.Era, l.term, c.processID):
		// Nothing was on record and nobody in reach when we began; now somebody is.
		c.handleHigherTerm(max(k.HighestPastTerm, k.Term))
	}
}

// handleHigherTerm ends the term: terms have begun again, below one that workers have seen.
func (c *Core) handleHigherTerm(term uint64) {
	c.observed.Term = max(c.observed.Term, term)
	c.reportDataLoss("a higher term is known than those on record")
}

// handleRecovered takes over the outcome of the recovery.
func (c *Core) handleRecovered(o *failover.Outcome) {
	l := c.leadership
	if o.Restored != nil {
		c.rememberFinals(o.Restored)
	}
	for _, key := range o.Drops {
		l.writes.Add(&writebatch.Change{Priority: writebatch.Bulk, Writes: []kv.Write{{Key: key}}})
	}
	if o.LossReason != "" {
		l.restorer.Begin(o.Restore, o.LossReason, o.Source)
		c.Log(slog.LevelError, "recovering from data loss", "term", l.term, "era", c.observed.Era, "reason", o.LossReason, "copy of", o.Source, "records", len(o.Records), "restored", len(o.Restore))
		if o.Restored == nil {
			c.Log(slog.LevelError, "no replica left, data lost by the state service cannot be restored", "term", l.term)
		}
	}
	c.dataLossReason = ""
	c.replicas.SetOwn(o.Replica)
	l.finals.SetSource(o.FinalsSource)
	l.noEarlierTerm, l.earlierLeaderLag = o.NoEarlierTerm, o.EarlierLeaderLag
	c.loadRecords(o.Records)
}

// loadRecords loads records, a part in each step.
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
	if source := l.finals.Source(); source != "" {
		c.Emit(peermsg.Outgoing{To: source, Msg: peermsg.Message{Kind: peermsg.ReplicaRequest, Term: l.term}})
	}
	c.startWork()
}

// restoreLeader is what package restore sees of the leader.
type restoreLeader struct {
	c *Core
	l *leadership
}

// IsUnfinished reports whether a job is known whose final record is not on its way.
func (h restoreLeader) IsUnfinished(job string) bool {
	j := h.l.jobs[job]
	return j != nil && !j.Finishing
}

// RecordProgress has the progress of one chunk of a job written, if the job is known.
func (h restoreLeader) RecordProgress(job string, chunk int) {
	if j := h.l.jobs[job]; j != nil {
		h.l.lifecycle.RecordProgressSoon(j, chunk*bitset.ChunkSize)
	}
}

// NoteConfigHead is told the revision at which the head of the configuration was written.
func (h restoreLeader) NoteConfigHead(rev uint64) { h.l.config.SetHeadRevision(rev) }

// newRestorer returns the restorer of a new leadership.
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
