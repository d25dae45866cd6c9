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
	conditions []kv.Condition
	writes     []kv.Write
	size       int // estimated bytes
	priority   writePriority
	prepare    func() bool // called when it is about to go, to set what it writes; false: nothing any more
	onCommit   func(rev uint64)
	onConflict func() // a condition of its own did not hold

	onReject func() // malformed in the state service's eyes, on its own

	sent bool // at least once: it may be on record
}

// writeBatcher batches changes into transactions within the state service's limits.
// The other lanes only go when nothing urgent waits and half of the allowance is
// left, so that an acceptance is never delayed behind them; they take turns.
// Changes of the same key never overlap.
type writeBatcher struct {
	writes, requests *rate.Limiter
	configWrites     *rate.Limiter // the part of writes that configuration has
	queued           [priorities][]*change
	inFlight         [priorities]int
	bulkNext         bool
	keysInFlight     map[string]bool // keys of transactions on their way
	pausedUntil      time.Time
	backoff          time.Duration
	wakeScheduled    bool
	singly           int // so many changes go one by one, to find a malformed one
}

func (p *writeBatcher) add(ch *change) {
	if ch.size == 0 {
		ch.size = 120 * (len(ch.writes) + len(ch.conditions))
	}
	p.queued[ch.priority] = append(p.queued[ch.priority], ch)
}

// maxTxnBytes keeps a transaction below the protocol's 64 KiB.
const maxTxnBytes = 48 << 10

// take removes a batch from list.
func (p *writeBatcher) take(list *[]*change, ops int) []*change {
	var batch []*change
	n, conds, size := 0, 1, 0
	keys := map[string]bool{}
	rest := (*list)[:0:0]
	for i, ch := range *list {
		clash := slices.ContainsFunc(ch.writes, func(w kv.Write) bool { return p.keysInFlight[w.Key] || keys[w.Key] })
		full := p.singly > 0 || n+len(ch.writes) > ops || conds+len(ch.conditions) > 4*ops || size+ch.size > maxTxnBytes
		if full && len(batch) > 0 {
			rest = append(rest, (*list)[i:]...)
			break
		}
		for _, w := range ch.writes {
			keys[w.Key] = true // also when it must wait: what comes later waits behind it
		}
		if clash {
			rest = append(rest, ch)
			continue
		}
		if ch.prepare != nil && !ch.prepare() {
			continue
		}
		batch = append(batch, ch)
		n, conds, size = n+len(ch.writes), conds+len(ch.conditions), size+ch.size
	}
	*list = rest
	p.singly = max(0, p.singly-len(batch))
	return batch
}

// flushWrites sends what may be sent.
func (c *Core) flushWrites() {
	p := &c.leadership.writes
	if !c.canAct() || c.Now.Before(p.pausedUntil) {
		return
	}
	if len(p.queued[priorityConfig]) > 0 && p.inFlight[priorityConfig] == 0 {
		if c.configBatchDue() {
			c.sendBatch(priorityConfig)
		} else {
			c.wakeBatcherSoon()
		}
	}
	for len(p.queued[priorityUrgent]) > 0 && p.inFlight[priorityUrgent] < 3 {
		if !c.sendBatch(priorityUrgent) {
			return
		}
	}
	c.restoreNext()
	// The others leave room in the allowance for what users wait for.
	for range 2 {
		if len(p.queued[priorityUrgent]) > 0 || p.writes.TokensAt(c.Now) < float64(p.writes.Burst())/2 {
			break
		}
		p.bulkNext = !p.bulkNext
		if p.bulkNext && len(p.queued[priorityBulk]) > 0 && p.inFlight[priorityBulk] == 0 {
			c.sendBatch(priorityBulk)
		} else if !p.bulkNext && p.inFlight[priorityOccurrence] < 2 {
			c.makeOccurrences()
			if len(p.queued[priorityOccurrence]) > 0 {
				c.sendBatch(priorityOccurrence)
			}
		}
	}
	// What waits for the allowance is seen to when it has come back.
	if p.inFlight[priorityOccurrence] == 0 && c.occurrencesWait() {
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
	if !p.wakeScheduled {
		p.wakeScheduled = true
		c.afterWhileLeading(20*time.Millisecond, func() { p.wakeScheduled = false })
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

// roomFor is how many changes may go in a transaction of a lane now.
func (p *writeBatcher) roomFor(ln writePriority, now time.Time, ops int) int {
	limiter := p.writes
	if ln == priorityConfig {
		limiter = p.configWrites
	}
	return min(ops, int(limiter.TokensAt(now)))
}

// spend takes changes out of the allowance. What configuration takes goes out of the whole
// too, also ahead of time: together they stay below what the state service takes.
func (p *writeBatcher) spend(ln writePriority, now time.Time, writes int) {
	p.requests.AllowN(now, 1)
	if ln == priorityConfig {
		p.configWrites.ReserveN(now, min(writes, p.configWrites.Burst()))
	}
	p.writes.ReserveN(now, min(writes, p.writes.Burst()))
}

func (c *Core) sendBatch(ln writePriority) bool {
	p := &c.leadership.writes
	ops := p.roomFor(ln, c.Now, c.cfg.Settings.State.TxnOps)
	if p.requests.TokensAt(c.Now) < 1 || ops < minBatchRoom(ln) {
		c.wakeBatcherSoon()
		return false
	}
	batch := p.take(&p.queued[ln], ops)
	if len(batch) == 0 {
		return false
	}
	call := kv.Request{Op: kv.Txn, Conditions: []kv.Condition{{Key: record.TermKey, Rev: c.leadership.termRevision}}}
	for _, ch := range batch {
		ch.sent = true
		call.Conditions = append(call.Conditions, ch.conditions...)
		call.Writes = append(call.Writes, ch.writes...)
	}
	p.spend(ln, c.Now, len(call.Writes))
	for _, w := range call.Writes {
		p.keysInFlight[w.Key] = true
	}
	p.inFlight[ln]++
	c.storeWhileLeading(call, func(r kv.Response) {
		p.inFlight[ln]--
		for _, w := range call.Writes {
			delete(p.keysInFlight, w.Key)
		}
		c.handleBatchReply(batch, r)
	})
	return true
}

func (c *Core) handleBatchReply(batch []*change, r kv.Response) {
	p := &c.leadership.writes
	again := func(chs []*change) {
		for _, ch := range slices.Backward(chs) {
			p.queued[ch.priority] = slices.Insert(p.queued[ch.priority], 0, ch)
		}
	}
	switch r.Outcome {
	case rpc.OK:
		p.backoff = 0
		c.replicateBatch(batch, r.Rev)
		for _, ch := range batch {
			if ch.onCommit != nil {
				ch.onCommit(r.Rev)
			}
		}
	case rpc.Conflict:
		if slices.Contains(r.FailedKeys, record.TermKey) {
			c.stepDown("a newer term has been written")
			return
		}
		var rest []*change
		for _, ch := range batch {
			own := slices.ContainsFunc(ch.conditions, func(w kv.Condition) bool { return slices.Contains(r.FailedKeys, w.Key) })
			switch {
			case own && ch.onConflict != nil:
				ch.onConflict()
			case own:
			default:
				rest = append(rest, ch)
			}
		}
		if len(rest) == len(batch) {
			// It names none of ours: nothing would be different the next time.
			c.backOff()
		} else {
			p.backoff = 0
		}
		again(rest)
	case rpc.Invalid:
		// Ours to get right: log it loudly, and try the changes one by one so
		// that a single bad one does not block the rest for ever.
		c.Log(slog.LevelError, "transaction rejected as malformed", "changes", len(batch), "key", batch[0].writes[0].Key)
		if len(batch) == 1 && batch[0].onReject != nil {
			batch[0].onReject()
			return
		}
		if len(batch) == 1 {
			// The bad one, or one of them: behind all others, and later.
			ch := batch[0]
			c.afterWhileLeading(c.Jitter(time.Second), func() { p.add(ch) })
			return
		}
		p.singly = max(p.singly, len(batch))
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
	p.backoff = min(max(2*p.backoff, 100*time.Millisecond), 2*time.Second)
	d := c.Jitter(p.backoff)
	p.pausedUntil = c.Now.Add(d)
	c.afterWhileLeading(d, func() {})
}
