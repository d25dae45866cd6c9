package core

import (
	"yewpass/internal/engine"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/writebatch"
)

// writeBatchLeader answers the batcher's questions about the leadership and carries out what
// it asks for.
type writeBatchLeader struct{ c *Core }

// CanAct reports whether the leader has authority and has loaded the records.
func (b writeBatchLeader) CanAct() bool { return b.c.canAct() }

// ConfigBatchDue reports whether the queued batch of configuration changes is to go now.
func (b writeBatchLeader) ConfigBatchDue() bool { return b.c.leadership.config.BatchDue() }

// RestoreRecords queues lost records to be written back.
func (b writeBatchLeader) RestoreRecords() { b.c.leadership.restorer.QueueNext() }

// MakeOccurrences queues due occurrences of schedules.
func (b writeBatchLeader) MakeOccurrences() { b.c.createOccurrences() }

// OccurrencesWait reports whether occurrences would be written if the allowance let them.
func (b writeBatchLeader) OccurrencesWait() bool { return b.c.occurrencesPending() }

// ReplicateBatch publishes a committed batch to the replicas.
func (b writeBatchLeader) ReplicateBatch(batch []*writebatch.Change, rev uint64) {
	b.c.leadership.publisher.PutCommitted(batch, rev)
}

// ReplicateEntry publishes an entry that was read to the replicas.
func (b writeBatchLeader) ReplicateEntry(e kv.Entry) { b.c.replicate(e) }

// StepDown ends the leadership.
func (b writeBatchLeader) StepDown(why string) { b.c.stepDown(why) }

// newBatcher returns the batcher of a leadership whose term is on record at a revision.
func (c *Core) newBatcher(scope *engine.Scope, termRevision uint64) *writebatch.Batcher {
	term := kv.Condition{Key: record.TermKey, Rev: termRevision}
	return writebatch.New(c.Engine, scope, c.cfg.Settings.State, term, writeBatchLeader{c})
}

// readBack reads an entry whose write met a condition that does not hold.
func (c *Core) readBack(key string, f func(e kv.Entry, found bool)) {
	c.leadership.writes.ReadBack(key, f)
}
