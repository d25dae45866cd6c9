package writebatch

import (
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/rpc"
)

const (
	maxUrgentInFlight     = 3
	maxOccurrenceInFlight = 2

	flushDelay          = 20 * time.Millisecond
	malformedRetryDelay = time.Second
	minBackoff          = 100 * time.Millisecond
	maxBackoff          = 2 * time.Second
)

// Flush sends queued changes as far as the rate limits allow. It does nothing while the leader is
// inactive or the batcher backs off.
func (b *Batcher) Flush() {
	if !b.leader.IsActive() || b.engine.Now.Before(b.pausedUntil) {
		return
	}
	b.flushConfig()
	for len(b.queued[Urgent]) > 0 && b.inFlight[Urgent] < maxUrgentInFlight {
		if !b.send(Urgent) {
			return
		}
	}
	b.leader.QueueRestores()
	b.flushDeferrable()
	if b.inFlight[Occurrence] == 0 && b.leader.HasDueOccurrences() {
		b.ScheduleFlush()
	}
}

func (b *Batcher) flushConfig() {
	if len(b.queued[Config]) == 0 || b.inFlight[Config] > 0 {
		return
	}
	if b.leader.ConfigBatchDue() {
		b.send(Config)
	} else {
		b.ScheduleFlush()
	}
}

// flushDeferrable sends bulk changes and occurrences alternately. It stops when urgent changes are
// queued or less than half of the write burst is left.
func (b *Batcher) flushDeferrable() {
	for range 2 {
		if len(b.queued[Urgent]) > 0 || !b.hasHalfWriteBudget(b.engine.Now) {
			return
		}
		b.bulkTurn = !b.bulkTurn
		if b.bulkTurn && len(b.queued[Bulk]) > 0 && b.inFlight[Bulk] == 0 {
			b.send(Bulk)
		} else if !b.bulkTurn && b.inFlight[Occurrence] < maxOccurrenceInFlight {
			b.leader.QueueDueOccurrences()
			if len(b.queued[Occurrence]) > 0 {
				b.send(Occurrence)
			}
		}
	}
}

// ScheduleFlush schedules a flush after flushDelay.
func (b *Batcher) ScheduleFlush() {
	if !b.flushScheduled {
		b.flushScheduled = true
		b.scope.After(flushDelay, func() { b.flushScheduled = false })
	}
}

// send sends the next batch of a priority and reports whether it sent one.
func (b *Batcher) send(p Priority) bool {
	now := b.engine.Now
	ops := b.AvailableWrites(p, now, b.maxOps)
	if !b.allowsRequest(now) || ops < minWrites(p) {
		b.ScheduleFlush()
		return false
	}
	batch := b.dequeueBatch(p, ops)
	if len(batch) == 0 {
		return false
	}
	call := kv.Request{Op: kv.Txn, Conditions: []kv.Condition{b.termCondition}}
	for _, ch := range batch {
		ch.Sent = true
		call.Conditions = append(call.Conditions, ch.Conditions...)
		call.Writes = append(call.Writes, ch.Writes...)
	}
	b.Consume(p, now, len(call.Writes))
	b.markInFlight(p, call.Writes)
	b.scope.CallStore(call, func(r kv.Response) {
		b.clearInFlight(p, call.Writes)
		b.handleResponse(batch, r)
	})
	return true
}

// handleResponse completes or requeues the changes of a batch.
func (b *Batcher) handleResponse(batch []*Change, r kv.Response) {
	switch r.Outcome {
	case rpc.OK:
		b.backoff = 0
		b.markBatchWritten(batch)
		b.leader.ReplicateBatch(batch, r.Rev)
		for _, ch := range batch {
			if ch.OnCommit != nil {
				ch.OnCommit(r.Rev)
			}
		}
	case rpc.Conflict:
		b.handleConflict(batch, r.FailedKeys)
	case rpc.Invalid:
		b.handleMalformed(batch)
	default:
		// Send the transaction again. If it was applied after all, a condition now fails
		// and is read back.
		b.backOff()
		b.requeue(batch)
	}
}

// handleConflict drops the changes whose own conditions have failed, after calling OnConflict,
// and requeues the others. It ends the leadership if the term condition has failed.
func (b *Batcher) handleConflict(batch []*Change, failedKeys []string) {
	if slices.Contains(failedKeys, b.termCondition.Key) {
		b.leader.StepDown("a newer term has been written")
		return
	}
	var others []*Change
	for _, ch := range batch {
		failed := slices.ContainsFunc(ch.Conditions, func(c kv.Condition) bool { return slices.Contains(failedKeys, c.Key) })
		switch {
		case failed && ch.OnConflict != nil:
			ch.OnConflict()
		case failed:
		default:
			others = append(others, ch)
		}
	}
	if len(others) == len(batch) {
		// No failed key belongs to the batch, so an immediate retry would fail as well.
		b.backOff()
	} else {
		b.backoff = 0
	}
	b.requeue(others)
}

// handleMalformed retries the changes of a batch that the store has rejected as malformed one by
// one, so that a malformed one does not block the others.
func (b *Batcher) handleMalformed(batch []*Change) {
	b.engine.Log(slog.LevelError, "transaction rejected as malformed", "changes", len(batch), "key", batch[0].Writes[0].Key)
	switch ch := batch[0]; {
	case len(batch) > 1:
		b.sendSingly = max(b.sendSingly, len(batch))
		b.requeue(batch)
	case ch.OnReject != nil:
		ch.OnReject()
	default:
		// This change is malformed: retry it later, behind all others.
		b.scope.After(b.engine.Jitter(malformedRetryDelay), func() { b.Add(ch) })
	}
}

// backOff pauses the batcher. The delay doubles with each call, up to maxBackoff.
func (b *Batcher) backOff() {
	b.backoff = min(max(2*b.backoff, minBackoff), maxBackoff)
	delay := b.engine.Jitter(b.backoff)
	b.pausedUntil = b.engine.Now.Add(delay)
	b.scope.After(delay, func() {}) // the step that runs the timer flushes the batcher
}
