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

	flushDelay           = 20 * time.Millisecond
	malformedRetryDelay = time.Second
	minBackoff          = 100 * time.Millisecond
	maxBackoff          = 2 * time.Second
)

// Flush sends what may be sent.
func (b *Batcher) Flush() {
	if !b.leader.CanAct() || b.engine.Now.Before(b.pausedUntil) {
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
	// What waits for the allowance is seen to when it has come back.
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

// flushDeferrable sends bulk changes and occurrences in turns, as long as they leave room
// in the allowance for what users wait for.
func (b *Batcher) flushDeferrable() {
	for range 2 {
		if len(b.queued[Urgent]) > 0 || !b.hasHalfWriteBudget(b.engine.Now) {
			return
		}
		b.bulkNext = !b.bulkNext
		if b.bulkNext && len(b.queued[Bulk]) > 0 && b.inFlight[Bulk] == 0 {
			b.send(Bulk)
		} else if !b.bulkNext && b.inFlight[Occurrence] < maxOccurrenceInFlight {
			b.leader.QueueDueOccurrences()
			if len(b.queued[Occurrence]) > 0 {
				b.send(Occurrence)
			}
		}
	}
}

// ScheduleFlush has the state machine take a step soon, which flushes the batcher.
func (b *Batcher) ScheduleFlush() {
	if !b.flushScheduled {
		b.flushScheduled = true
		b.scope.After(flushDelay, func() { b.flushScheduled = false })
	}
}

// send sends the next batch of a priority and reports whether there was one.
func (b *Batcher) send(p Priority) bool {
	now := b.engine.Now
	ops := b.AvailableWrites(p, now, b.maxOps)
	if !b.allowsRequest(now) || ops < minWrites(p) {
		b.ScheduleFlush()
		return false
	}
	batch := b.takeBatch(p, ops)
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
		b.handleReply(batch, r)
	})
	return true
}

// handleReply settles a batch, or queues again what has not been applied.
func (b *Batcher) handleReply(batch []*Change, r kv.Response) {
	switch r.Outcome {
	case rpc.OK:
		b.backoff = 0
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
		// Known not to have been executed, or not known: both are sent again.
		// Should the first try be applied as well, the second meets a condition
		// of its own, which is read back.
		b.backOff()
		b.requeue(batch)
	}
}

// handleConflict drops the changes whose own conditions have failed and queues the others
// again.
func (b *Batcher) handleConflict(batch []*Change, failedKeys []string) {
	if slices.Contains(failedKeys, b.termCondition.Key) {
		b.leader.StepDown("a newer term has been written")
		return
	}
	var rest []*Change
	for _, ch := range batch {
		own := slices.ContainsFunc(ch.Conditions, func(c kv.Condition) bool { return slices.Contains(failedKeys, c.Key) })
		switch {
		case own && ch.OnConflict != nil:
			ch.OnConflict()
		case own:
		default:
			rest = append(rest, ch)
		}
	}
	if len(rest) == len(batch) {
		// It names none of ours: nothing would be different the next time.
		b.backOff()
	} else {
		b.backoff = 0
	}
	b.requeue(rest)
}

// handleMalformed deals with a batch that the store calls malformed. That is our fault:
// it is logged loudly, and the changes are tried one by one so that a single bad one does
// not block the rest for ever.
func (b *Batcher) handleMalformed(batch []*Change) {
	b.engine.Log(slog.LevelError, "transaction rejected as malformed", "changes", len(batch), "key", batch[0].Writes[0].Key)
	switch ch := batch[0]; {
	case len(batch) > 1:
		b.sendSingly = max(b.sendSingly, len(batch))
		b.requeue(batch)
	case ch.OnReject != nil:
		ch.OnReject()
	default:
		// The bad one, or one of them: behind all others, and later.
		b.scope.After(b.engine.Jitter(malformedRetryDelay), func() { b.Add(ch) })
	}
}

// backOff pauses the batcher, longer each time in a row.
func (b *Batcher) backOff() {
	b.backoff = min(max(2*b.backoff, minBackoff), maxBackoff)
	d := b.engine.Jitter(b.backoff)
	b.pausedUntil = b.engine.Now.Add(d)
	b.scope.After(d, func() {}) // a step then flushes the batcher
}
