package core

import (
	"yewpass/internal/engine"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/writebatch"
)

// batchLeader answers the batcher's questions about the leadership and carries out what
// it asks for.
type batchLeader struct{ c *Core }

// CanAct reports whether the leader has authority and has loaded the records.
func (b batchLeader) CanAct() bool { return b.c.canAct() }

// ConfigBatchDue reports whether the queued batch of configuration changes is to go now.
func (b batchLeader) ConfigBatchDue() bool { return b.c.leadership.config.BatchDue() }

// RestoreRecords queues lost records to be written back.
func (b batchLeader) RestoreRecords() { b.c.leadership.restorer.QueueNext() }

// MakeOccurrences queues due occurrences of schedules.
func (b batchLeader) MakeOccurrences() { b.c.makeOccurrences() }

// OccurrencesWait reports whether occurrences would be written if the allowance let them.
func (b batchLeader) OccurrencesWait() bool { return b.c.occurrencesWait() }

// ReplicateBatch publishes a committed batch to the replicas.
func (b batchLeader) ReplicateBatch(batch []*writebatch.Change, rev uint64) {
	b.c.leadership.publisher.PublishCommitted(batch, rev)
}

// ReplicateEntry publishes an entry that was read to the replicas.
func (b batchLeader) ReplicateEntry(e kv.Entry) { b.c.replicate(e) }

// StepDown ends the leadership.
func (b batchLeader) StepDown(why string) { b.c.stepDown(why) }

// newBatcher returns the batcher of a leadership whose term is on record at a revision.
func (c *Core) newBatcher(scope *engine.Scope, termRevision uint64) *writebatch.Batcher {
	term := kv.Condition{Key: record.TermKey, Rev: termRevision}
	return writebatch.New(c.Engine, scope, c.cfg.Settings.State, term, batchLeader{c})
}

// readBack reads an entry whose write met a condition that does not hold.
func (c *Core) readBack(key string, f func(e kv.Entry, found bool)) {
	c.leadership.writes.ReadBack(key, f)
}
