package core

import (
	"yewpass/internal/engine"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/writebatch"
)

// writeBatchLeader implements writebatch.Leader for the current leadership.
type writeBatchLeader struct{ c *Core }

// IsActive implements writebatch.Leader.
func (b writeBatchLeader) IsActive() bool { return b.c.isActive() }

// ConfigBatchDue implements writebatch.Leader.
func (b writeBatchLeader) ConfigBatchDue() bool { return b.c.leadership.config.BatchDue() }

// QueueRestores implements writebatch.Leader.
func (b writeBatchLeader) QueueRestores() { b.c.leadership.restorer.QueueNext() }

// QueueDueOccurrences implements writebatch.Leader.
func (b writeBatchLeader) QueueDueOccurrences() { b.c.queueDueOccurrences() }

// HasDueOccurrences implements writebatch.Leader.
func (b writeBatchLeader) HasDueOccurrences() bool { return b.c.hasDueOccurrences() }

// ReplicateBatch implements writebatch.Leader.
func (b writeBatchLeader) ReplicateBatch(batch []*writebatch.Change, rev uint64) {
	b.c.leadership.publisher.PublishCommitted(batch, rev)
}

// Replicate implements writebatch.Leader.
func (b writeBatchLeader) Replicate(e kv.Entry) { b.c.replicate(e) }

// StepDown implements writebatch.Leader. It does not revoke the lease.
func (b writeBatchLeader) StepDown(reason string) { b.c.stepDown(reason) }

// newWriteBatcher returns the write batcher of a leadership. Its transactions require the term
// record to have the given revision.
func (c *Core) newWriteBatcher(scope *engine.Scope, termRevision uint64) *writebatch.Batcher {
	term := kv.Condition{Key: record.TermKey, Rev: termRevision}
	return writebatch.New(c.Engine, scope, c.cfg.Settings.State, term, writeBatchLeader{c})
}

// readBack reads an entry after a write of it failed on a condition.
func (c *Core) readBack(key string, f func(e kv.Entry, found bool)) {
	c.leadership.writes.ReadBack(key, f)
}
