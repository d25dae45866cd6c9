package core

import (
	"yewpass/internal/engine"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/writebatch"
)

// writeBatchLeader implements writebatch.Leader for the current leadership.
type writeBatchLeader struct{ c *Core }

// IsActive reports whether the leader has authority and has loaded the records.
func (b writeBatchLeader) IsActive() bool { return b.c.isActive() }

// ConfigBatchDue reports whether the queued batch of configuration changes should be written now.
func (b writeBatchLeader) ConfigBatchDue() bool { return b.c.leadership.config.BatchDue() }

// QueueRestores queues lost records to be written back.
func (b writeBatchLeader) QueueRestores() { b.c.leadership.restorer.QueueNext() }

// QueueDueOccurrences queues as many due occurrences as fit into one transaction.
func (b writeBatchLeader) QueueDueOccurrences() { b.c.queueDueOccurrences() }

// HasDueOccurrences reports whether occurrences wait only for the store's rate limit.
func (b writeBatchLeader) HasDueOccurrences() bool { return b.c.hasDueOccurrences() }

// ReplicateBatch publishes a committed batch to the replicas.
func (b writeBatchLeader) ReplicateBatch(batch []*writebatch.Change, rev uint64) {
	b.c.leadership.publisher.PublishCommitted(batch, rev)
}

// Replicate publishes an entry that was read to the replicas.
func (b writeBatchLeader) Replicate(e kv.Entry) { b.c.replicate(e) }

// StepDown ends the leadership without revoking the lease.
func (b writeBatchLeader) StepDown(reason string) { b.c.stepDown(reason) }

// newWriteBatcher returns the write batcher of a leadership. Its transactions are conditional on
// the term record having the given revision.
func (c *Core) newWriteBatcher(scope *engine.Scope, termRevision uint64) *writebatch.Batcher {
	term := kv.Condition{Key: record.TermKey, Rev: termRevision}
	return writebatch.New(c.Engine, scope, c.cfg.Settings.State, term, writeBatchLeader{c})
}

// readBack reads an entry after a write of it failed on a condition.
func (c *Core) readBack(key string, f func(e kv.Entry, found bool)) {
	c.leadership.writes.ReadBack(key, f)
}
