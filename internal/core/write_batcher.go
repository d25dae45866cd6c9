package core

import (
	"log/slog"
	"slices"
	"time"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/rpc"

	"golang.org/x/time/rate"
)

// writePriority says how pressing a change is.
type writePriority int

const (
	priorityUrgent     writePriority = iota // users or machines wait for it
	priorityConfig                          // changes of configuration, which have a part of the allowance of their own
	priorityOccurrence                      // occurrences of schedules, by deadline
	priorityBulk                            // progress and other news that can wait
	priorities
)

// change is a set of writes that go together, with the conditions of its own.
type change struct {
	Conditions []kv.Condition
	Writes     []kv.Write
	Size       int // estimated bytes
	Priority   writePriority
	Prepare    func() bool // called when it is about to go, to set what it writes; false: nothing any more
	OnCommit   func(rev uint64)
	OnConflict func() // a condition of its own did not hold

	OnReject func() // malformed in the state service's eyes, on its own

	Sent bool // at least once: it may be on record
}

// writeBatcher batches changes into transactions within the state service's limits.
// The other lanes only go when nothing urgent waits and half of the allowance is
// left, so that an acceptance is never delayed behind them; they take turns.
// Changes of the same key never overlap.
type writeBatcher struct {
	Writes, Requests *rate.Limiter
	ConfigWrites     *rate.Limiter // the part of writes that configuration has
	Queued           [priorities][]*change
	InFlight         [priorities]int
	BulkNext         bool
	KeysInFlight     map[string]bool // keys of transactions on their way
	PausedUntil      time.Time
	Backoff          time.Duration
	WakeScheduled    bool
	Singly           int // so many changes go one by one, to find a malformed one
}

func (p *writeBatcher) Add(ch *change) {
	if ch.Size == 0 {
		ch.Size = 120 * (len(ch.Writes) + len(ch.Conditions))
	}
	p.Queued[ch.Priority] = append(p.Queued[ch.Priority], ch)
}

// maxTxnBytes keeps a transaction below the protocol's 64 KiB.
const maxTxnBytes = 48 << 10

// Take removes a batch from list.
func (p *writeBatcher) Take(list *[]*change, ops int) []*change {
	var batch []*change
	n, conds, size := 0, 1, 0
	keys := map[string]bool{}
	rest := (*list)[:0:0]
	for i, ch := range *list {
		clash := slices.ContainsFunc(ch.Writes, func(w kv.Write) bool { return p.KeysInFlight[w.Key] || keys[w.Key] })
		full := p.Singly > 0 || n+len(ch.Writes) > ops || conds+len(ch.Conditions) > 4*ops || size+ch.Size > maxTxnBytes
		if full && len(batch) > 0 {
			rest = append(rest, (*list)[i:]...)
			break
		}
		for _, w := range ch.Writes {
			keys[w.Key] = true // also when it must wait: what comes later waits behind it
		}
		if clash {
			rest = append(rest, ch)
			continue
		}
		if ch.Prepare != nil && !ch.Prepare() {
			continue
		}
		batch = append(batch, ch)
		n, conds, size = n+len(ch.Writes), conds+len(ch.Conditions), size+ch.Size
	}
	*list = rest
	p.Singly = max(0, p.Singly-len(batch))
	return batch
}

// flushWrites sends what may be sent.
func (c *Core) flushWrites() {
	p := &c.leadership.writes
	if !c.canAct() || c.Now.Before(p.PausedUntil) {
		return
	}
	if len(p.Queued[priorityConfig]) > 0 && p.InFlight[priorityConfig] == 0 {
		if c.configBatchDue() {
			c.sendBatch(priorityConfig)
		} else {
			c.wakeBatcherSoon()
		}
	}
	for len(p.Queued[priorityUrgent]) > 0 && p.InFlight[priorityUrgent] < 3 {
		if !c.sendBatch(priorityUrgent) {
			return
		}
	}
	c.restoreNext()
	// The others leave room in the allowance for what users wait for.
	for range 2 {
		if len(p.Queued[priorityUrgent]) > 0 || p.Writes.TokensAt(c.Now) < float64(p.Writes.Burst())/2 {
			break
		}
		p.BulkNext = !p.BulkNext
		if p.BulkNext && len(p.Queued[priorityBulk]) > 0 && p.InFlight[priorityBulk] == 0 {
			c.sendBatch(priorityBulk)
		} else if !p.BulkNext && p.InFlight[priorityOccurrence] < 2 {
			c.makeOccurrences()
			if len(p.Queued[priorityOccurrence]) > 0 {
				c.sendBatch(priorityOccurrence)
			}
		}
	}
	// What waits for the allowance is seen to when it has come back.
	if p.InFlight[priorityOccurrence] == 0 && c.occurrencesWait() {
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

// minBatchRoom is how many changes a transaction of a lane has at the least: one of
// configuration has an object and the head.
func minBatchRoom(ln writePriority) int {
	if ln == priorityConfig {
		return 2
	}
	return 1
}

// RoomFor is how many changes may go in a transaction of a lane now.
func (p *writeBatcher) RoomFor(ln writePriority, now time.Time, ops int) int {
	limiter := p.Writes
	if ln == priorityConfig {
		limiter = p.ConfigWrites
	}
	return min(ops, int(limiter.TokensAt(now)))
}

// Spend takes changes out of the allowance. What configuration takes goes out of the whole
// too, also ahead of time: together they stay below what the state service takes.
func (p *writeBatcher) Spend(ln writePriority, now time.Time, writes int) {
	p.Requests.AllowN(now, 1)
	if ln == priorityConfig {
		p.ConfigWrites.ReserveN(now, min(writes, p.ConfigWrites.Burst()))
	}
	p.Writes.ReserveN(now, min(writes, p.Writes.Burst()))
}

func (c *Core) sendBatch(ln writePriority) bool {
	p := &c.leadership.writes
	ops := p.RoomFor(ln, c.Now, c.cfg.Settings.State.TxnOps)
	if p.Requests.TokensAt(c.Now) < 1 || ops < minBatchRoom(ln) {
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

func (c *Core) handleBatchReply(batch []*change, r kv.Response) {
	p := &c.leadership.writes
	again := func(chs []*change) {
		for _, ch := range slices.Backward(chs) {
			p.Queued[ch.Priority] = slices.Insert(p.Queued[ch.Priority], 0, ch)
		}
	}
	switch r.Outcome {
	case rpc.OK:
		p.Backoff = 0
		c.replicateBatch(batch, r.Rev)
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
		var rest []*change
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
