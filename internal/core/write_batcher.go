package core

import (
	"log/slog"
	"slices"
	"time"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/rpc"
	"yewpass/internal/writebatch"
)

// flushWrites sends what may be sent.
func (c *Core) flushWrites() {
	p := &c.leadership.writes
	if !c.canAct() || c.Now.Before(p.PausedUntil) {
		return
	}
	if len(p.Queued[writebatch.Config]) > 0 && p.InFlight[writebatch.Config] == 0 {
		if c.configBatchDue() {
			c.sendBatch(writebatch.Config)
		} else {
			c.wakeBatcherSoon()
		}
	}
	for len(p.Queued[writebatch.Urgent]) > 0 && p.InFlight[writebatch.Urgent] < 3 {
		if !c.sendBatch(writebatch.Urgent) {
			return
		}
	}
	c.restoreNext()
	// The others leave room in the allowance for what users wait for.
	for range 2 {
		if len(p.Queued[writebatch.Urgent]) > 0 || p.Writes.TokensAt(c.Now) < float64(p.Writes.Burst())/2 {
			break
		}
		p.BulkNext = !p.BulkNext
		if p.BulkNext && len(p.Queued[writebatch.Bulk]) > 0 && p.InFlight[writebatch.Bulk] == 0 {
			c.sendBatch(writebatch.Bulk)
		} else if !p.BulkNext && p.InFlight[writebatch.Occurrence] < 2 {
			c.makeOccurrences()
			if len(p.Queued[writebatch.Occurrence]) > 0 {
				c.sendBatch(writebatch.Occurrence)
			}
		}
	}
	// What waits for the allowance is seen to when it has come back.
	if p.InFlight[writebatch.Occurrence] == 0 && c.occurrencesWait() {
		c.wakeBatcherSoon()
	}
}

// answerFromRecords reads a record whose write met a condition that does not hold, until
// the state service answers; found is false if there is none.
func (c *Core) readBack(key string, f func(e kv.Entry, found bool)) {
	c.storeWhileLeading(kv.Request{Op: kv.Get, Key: key}, func(r kv.Response) {
		switch r.Outcome {
		case rpc.OK:
			c.replicate(r.Entries[0])
			f(r.Entries[0], true)
		case rpc.NotFound:
			f(kv.Entry{}, false)
		default:
			c.afterWhileLeading(c.Jitter(500*time.Millisecond), func() { c.readBack(key, f) })
		}
	})
}

// wakeBatcherSoon has the pump run again soon.
func (c *Core) wakeBatcherSoon() {
	p := &c.leadership.writes
	if !p.WakeScheduled {
		p.WakeScheduled = true
		c.afterWhileLeading(20*time.Millisecond, func() { p.WakeScheduled = false })
	}
}

func (c *Core) sendBatch(ln writebatch.Priority) bool {
	p := &c.leadership.writes
	ops := p.RoomFor(ln, c.Now, c.cfg.Settings.State.TxnOps)
	if p.Requests.TokensAt(c.Now) < 1 || ops < writebatch.MinRoom(ln) {
		c.wakeBatcherSoon()
		return false
	}
	batch := p.Take(&p.Queued[ln], ops)
	if len(batch) == 0 {
		return false
	}
	call := kv.Request{Op: kv.Txn, Conditions: []kv.Condition{{Key: record.TermKey, Rev: c.leadership.termRevision}}}
	for _, ch := range batch {
		ch.Sent = true
		call.Conditions = append(call.Conditions, ch.Conditions...)
		call.Writes = append(call.Writes, ch.Writes...)
	}
	p.Spend(ln, c.Now, len(call.Writes))
	for _, w := range call.Writes {
		p.KeysInFlight[w.Key] = true
	}
	p.InFlight[ln]++
	c.storeWhileLeading(call, func(r kv.Response) {
		p.InFlight[ln]--
		for _, w := range call.Writes {
			delete(p.KeysInFlight, w.Key)
		}
		c.handleBatchReply(batch, r)
	})
	return true
}

func (c *Core) handleBatchReply(batch []*writebatch.Change, r kv.Response) {
	p := &c.leadership.writes
	again := func(chs []*writebatch.Change) {
		for _, ch := range slices.Backward(chs) {
			p.Queued[ch.Priority] = slices.Insert(p.Queued[ch.Priority], 0, ch)
		}
	}
	switch r.Outcome {
	case rpc.OK:
		p.Backoff = 0
		c.leadership.publisher.PutCommitted(batch, r.Rev)
		for _, ch := range batch {
			if ch.OnCommit != nil {
				ch.OnCommit(r.Rev)
			}
		}
	case rpc.Conflict:
		if slices.Contains(r.FailedKeys, record.TermKey) {
			c.stepDown("a newer term has been written")
			return
		}
		var rest []*writebatch.Change
		for _, ch := range batch {
			own := slices.ContainsFunc(ch.Conditions, func(w kv.Condition) bool { return slices.Contains(r.FailedKeys, w.Key) })
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
			c.backOff()
		} else {
			p.Backoff = 0
		}
		again(rest)
	case rpc.Invalid:
		// Ours to get right: log it loudly, and try the changes one by one so
		// that a single bad one does not block the rest for ever.
		c.Log(slog.LevelError, "transaction rejected as malformed", "changes", len(batch), "key", batch[0].Writes[0].Key)
		if len(batch) == 1 && batch[0].OnReject != nil {
			batch[0].OnReject()
			return
		}
		if len(batch) == 1 {
			// The bad one, or one of them: behind all others, and later.
			ch := batch[0]
			c.afterWhileLeading(c.Jitter(time.Second), func() { p.Add(ch) })
			return
		}
		p.Singly = max(p.Singly, len(batch))
		again(batch)
	default:
		// Known not to have been executed, or not known: both are sent again.
		// Should the first try be applied as well, the second meets a condition
		// of its own, which is read back.
		c.backOff()
		again(batch)
	}
}

// backOff has the pipeline wait a little, longer each time in a row.
func (c *Core) backOff() {
	p := &c.leadership.writes
	p.Backoff = min(max(2*p.Backoff, 100*time.Millisecond), 2*time.Second)
	d := c.Jitter(p.Backoff)
	p.PausedUntil = c.Now.Add(d)
	c.afterWhileLeading(d, func() {})
}
