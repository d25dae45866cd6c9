package core

import (
	"log/slog"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// lane says how pressing a change is.
type lane int

const (
	urgent        lane = iota // users or machines wait for it
	configuration             // changes of configuration, which have a part of the allowance of their own
	due                       // occurrences of schedules, by deadline
	bulk                      // progress and other news that can wait
	lanes
)

// change is a set of writes that go together, with the conditions of its own.
type change struct {
	conditions []Condition
	writes     []Write
	size       int // estimated bytes
	lane       lane
	fill       func() bool // called when it is about to go, to set what it writes; false: nothing any more
	done       func(rev uint64)
	failed     func() // a condition of its own did not hold

	rejected func() // malformed in the state service's eyes, on its own

	sent bool // at least once: it may be on record
}

// pipeline batches changes into transactions within the state service's limits.
// The other lanes only go when nothing urgent waits and half of the allowance is
// left, so that an acceptance is never delayed behind them; they take turns.
// Changes of the same key never overlap.
type pipeline struct {
	writes, reqs *rate.Limiter
	configWrites *rate.Limiter // the part of writes that configuration has
	waits        [lanes][]*change
	flying       [lanes]int
	bulkNext     bool
	busy         map[string]bool // keys of transactions on their way
	pause        time.Time
	backoff      time.Duration
	nudged       bool
	single       int // so many changes go one by one, to find a malformed one
}

func (p *pipeline) add(ch *change) {
	if ch.size == 0 {
		ch.size = 120 * (len(ch.writes) + len(ch.conditions))
	}
	p.waits[ch.lane] = append(p.waits[ch.lane], ch)
}

// txnBytes keeps a transaction below the protocol's 64 KiB.
const txnBytes = 48 << 10

// take removes a batch from list.
func (p *pipeline) take(list *[]*change, ops int) []*change {
	var batch []*change
	n, conds, size := 0, 1, 0
	keys := map[string]bool{}
	rest := (*list)[:0:0]
	for i, ch := range *list {
		clash := slices.ContainsFunc(ch.writes, func(w Write) bool { return p.busy[w.Key] || keys[w.Key] })
		full := p.single > 0 || n+len(ch.writes) > ops || conds+len(ch.conditions) > 4*ops || size+ch.size > txnBytes
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
		if ch.fill != nil && !ch.fill() {
			continue
		}
		batch = append(batch, ch)
		n, conds, size = n+len(ch.writes), conds+len(ch.conditions), size+ch.size
	}
	*list = rest
	p.single = max(0, p.single-len(batch))
	return batch
}

// pumpStore sends what may be sent.
func (c *Core) pumpStore() {
	p := &c.leadership.pipe
	if !c.canAct() || c.now.Before(p.pause) {
		return
	}
	if len(p.waits[configuration]) > 0 && p.flying[configuration] == 0 {
		if c.batchDue() {
			c.sendBatch(configuration)
		} else {
			c.nudge()
		}
	}
	for len(p.waits[urgent]) > 0 && p.flying[urgent] < 3 {
		if !c.sendBatch(urgent) {
			return
		}
	}
	c.restoreNext()
	// The others leave room in the allowance for what users wait for.
	for range 2 {
		if len(p.waits[urgent]) > 0 || p.writes.TokensAt(c.now) < float64(p.writes.Burst())/2 {
			break
		}
		p.bulkNext = !p.bulkNext
		if p.bulkNext && len(p.waits[bulk]) > 0 && p.flying[bulk] == 0 {
			c.sendBatch(bulk)
		} else if !p.bulkNext && p.flying[due] < 2 {
			c.makeOccurrences()
			if len(p.waits[due]) > 0 {
				c.sendBatch(due)
			}
		}
	}
	// What waits for the allowance is seen to when it has come back.
	if p.flying[due] == 0 && c.occurrencesWait() {
		c.nudge()
	}
}

// answerFromRecords reads a record whose write met a condition that does not hold, until
// the state service answers; found is false if there is none.
func (c *Core) readBack(key string, f func(e Entry, found bool)) {
	c.storeWhileLeading(StoreCall{Op: StoreGet, Key: key}, func(r StoreReply) {
		switch r.Outcome {
		case OK:
			c.replicate(r.Entries[0])
			f(r.Entries[0], true)
		case NotFound:
			f(Entry{}, false)
		default:
			c.afterWhileLeading(c.jitter(500*time.Millisecond), func() { c.readBack(key, f) })
		}
	})
}

// nudge has the pump run again soon.
func (c *Core) nudge() {
	p := &c.leadership.pipe
	if !p.nudged {
		p.nudged = true
		c.afterWhileLeading(20*time.Millisecond, func() { p.nudged = false })
	}
}

// leastRoom is how many changes a transaction of a lane has at the least: one of
// configuration has an object and the head.
func leastRoom(ln lane) int {
	if ln == configuration {
		return 2
	}
	return 1
}

// roomFor is how many changes may go in a transaction of a lane now.
func (p *pipeline) roomFor(ln lane, now time.Time, ops int) int {
	limiter := p.writes
	if ln == configuration {
		limiter = p.configWrites
	}
	return min(ops, int(limiter.TokensAt(now)))
}

// spend takes changes out of the allowance. What configuration takes goes out of the whole
// too, also ahead of time: together they stay below what the state service takes.
func (p *pipeline) spend(ln lane, now time.Time, writes int) {
	p.reqs.AllowN(now, 1)
	if ln == configuration {
		p.configWrites.ReserveN(now, min(writes, p.configWrites.Burst()))
	}
	p.writes.ReserveN(now, min(writes, p.writes.Burst()))
}

func (c *Core) sendBatch(ln lane) bool {
	p := &c.leadership.pipe
	ops := p.roomFor(ln, c.now, c.cfg.Settings.State.TxnOps)
	if p.reqs.TokensAt(c.now) < 1 || ops < leastRoom(ln) {
		c.nudge()
		return false
	}
	batch := p.take(&p.waits[ln], ops)
	if len(batch) == 0 {
		return false
	}
	call := StoreCall{Op: StoreTxn, Conditions: []Condition{{termKey, c.leadership.termRevision}}}
	for _, ch := range batch {
		ch.sent = true
		call.Conditions = append(call.Conditions, ch.conditions...)
		call.Writes = append(call.Writes, ch.writes...)
	}
	p.spend(ln, c.now, len(call.Writes))
	for _, w := range call.Writes {
		p.busy[w.Key] = true
	}
	p.flying[ln]++
	c.storeWhileLeading(call, func(r StoreReply) {
		p.flying[ln]--
		for _, w := range call.Writes {
			delete(p.busy, w.Key)
		}
		c.batchDone(batch, r)
	})
	return true
}

func (c *Core) batchDone(batch []*change, r StoreReply) {
	p := &c.leadership.pipe
	again := func(chs []*change) {
		for _, ch := range slices.Backward(chs) {
			p.waits[ch.lane] = slices.Insert(p.waits[ch.lane], 0, ch)
		}
	}
	switch r.Outcome {
	case OK:
		p.backoff = 0
		c.replicateBatch(batch, r.Rev)
		for _, ch := range batch {
			if ch.done != nil {
				ch.done(r.Rev)
			}
		}
	case Conflict:
		if slices.Contains(r.FailedKeys, termKey) {
			c.stepDown("a newer term has been written")
			return
		}
		var rest []*change
		for _, ch := range batch {
			own := slices.ContainsFunc(ch.conditions, func(w Condition) bool { return slices.Contains(r.FailedKeys, w.Key) })
			switch {
			case own && ch.failed != nil:
				ch.failed()
			case own:
			default:
				rest = append(rest, ch)
			}
		}
		if len(rest) == len(batch) {
			// It names none of ours: nothing would be different the next time.
			c.standBack()
		} else {
			p.backoff = 0
		}
		again(rest)
	case Invalid:
		// Ours to get right: log it loudly, and try the changes one by one so
		// that a single bad one does not block the rest for ever.
		c.note(slog.LevelError, "transaction rejected as malformed", "changes", len(batch), "key", batch[0].writes[0].Key)
		if len(batch) == 1 && batch[0].rejected != nil {
			batch[0].rejected()
			return
		}
		if len(batch) == 1 {
			// The bad one, or one of them: behind all others, and later.
			ch := batch[0]
			c.afterWhileLeading(c.jitter(time.Second), func() { p.add(ch) })
			return
		}
		p.single = max(p.single, len(batch))
		again(batch)
	default:
		// Known not to have been executed, or not known: both are sent again.
		// Should the first try be applied as well, the second meets a condition
		// of its own, which is read back.
		c.standBack()
		again(batch)
	}
}

// standBack has the pipeline wait a little, longer each time in a row.
func (c *Core) standBack() {
	p := &c.leadership.pipe
	p.backoff = min(max(2*p.backoff, 100*time.Millisecond), 2*time.Second)
	d := c.jitter(p.backoff)
	p.pause = c.now.Add(d)
	c.afterWhileLeading(d, func() {})
}
