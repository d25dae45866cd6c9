// Package writebatch batches changes of records into transactions within the limits of
// the key-value store.
package writebatch

import (
	"slices"
	"time"
	"yewpass/internal/config"
	"yewpass/internal/kv"

	"golang.org/x/time/rate"
)

// ConfigShare of the changes that the state service allows is kept for configuration:
// neither a storm of submissions nor one of changes holds up the other.
const ConfigShare = 0.15

// NewConfigLimiter returns the limiter of the part of the changes that configuration has.
func NewConfigLimiter(st config.State) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(st.WriteRPS*ConfigShare), max(2, st.TxnOps))
}

// Parts of the state service's allowance that the leader's pipeline takes.
const (
	writeShare   = 0.9 // of the changes a second
	writeBurst   = 0.8 // of a second's changes at once
	requestShare = 0.6 // of the requests a second
	requestBurst = 0.5 // of a second's requests at once
)

// New returns a batcher that keeps to the given limits.
func New(st config.State) Batcher {
	return Batcher{
		Writes:       rate.NewLimiter(rate.Limit(st.WriteRPS*writeShare), max(st.TxnOps, int(st.WriteRPS*writeBurst))),
		ConfigWrites: NewConfigLimiter(st),
		Requests:     rate.NewLimiter(rate.Limit(st.RPS*requestShare), max(1, int(st.RPS*requestBurst))),
		KeysInFlight: map[string]bool{},
	}
}

// Priority says how pressing a change is.
type Priority int

const (
	Urgent     Priority = iota // users or machines wait for it
	Config                     // changes of configuration, which have a part of the allowance of their own
	Occurrence                 // occurrences of schedules, by deadline
	Bulk                       // progress and other news that can wait
	priorities
)

// Change is a set of writes that go together, with the conditions of its own.
type Change struct {
	Conditions []kv.Condition
	Writes     []kv.Write
	Size       int // estimated bytes
	Priority   Priority
	Prepare    func() bool // called when it is about to go, to set what it writes; false: nothing any more
	OnCommit   func(rev uint64)
	OnConflict func() // a condition of its own did not hold

	OnReject func() // malformed in the state service's eyes, on its own

	Sent bool // at least once: it may be on record
}

// Batcher batches changes into transactions within the state service's limits.
// The other lanes only go when nothing urgent waits and half of the allowance is
// left, so that an acceptance is never delayed behind them; they take turns.
// Changes of the same key never overlap.
type Batcher struct {
	Writes, Requests *rate.Limiter
	ConfigWrites     *rate.Limiter // the part of writes that configuration has
	Queued           [priorities][]*Change
	InFlight         [priorities]int
	BulkNext         bool
	KeysInFlight     map[string]bool // keys of transactions on their way
	PausedUntil      time.Time
	Backoff          time.Duration
	WakeScheduled    bool
	Singly           int // so many changes go one by one, to find a malformed one
}

// Add queues a change behind those of its priority.
func (p *Batcher) Add(ch *Change) {
	if ch.Size == 0 {
		ch.Size = 120 * (len(ch.Writes) + len(ch.Conditions))
	}
	p.Queued[ch.Priority] = append(p.Queued[ch.Priority], ch)
}

// maxTxnBytes keeps a transaction below the protocol's 64 KiB.
const maxTxnBytes = 48 << 10

// Take removes a batch from list.
func (p *Batcher) Take(list *[]*Change, ops int) []*Change {
	var batch []*Change
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

// MinRoom is how many changes a transaction of a lane has at the least: one of
// configuration has an object and the head.
func MinRoom(ln Priority) int {
	if ln == Config {
		return 2
	}
	return 1
}

// RoomFor is how many changes may go in a transaction of a lane now.
func (p *Batcher) RoomFor(ln Priority, now time.Time, ops int) int {
	limiter := p.Writes
	if ln == Config {
		limiter = p.ConfigWrites
	}
	return min(ops, int(limiter.TokensAt(now)))
}

// Spend takes changes out of the allowance. What configuration takes goes out of the whole
// too, also ahead of time: together they stay below what the state service takes.
func (p *Batcher) Spend(ln Priority, now time.Time, writes int) {
	p.Requests.AllowN(now, 1)
	if ln == Config {
		p.ConfigWrites.ReserveN(now, min(writes, p.ConfigWrites.Burst()))
	}
	p.Writes.ReserveN(now, min(writes, p.Writes.Burst()))
}

// HasUncommitted reports whether a change of the key is in flight, or was sent and may have
// been applied without our knowing.
func (p *Batcher) HasUncommitted(key string) bool {
	if p.KeysInFlight[key] {
		return true
	}
	for _, changes := range p.Queued {
		for _, ch := range changes {
			if ch.Sent && slices.ContainsFunc(ch.Writes, func(w kv.Write) bool { return w.Key == key }) {
				return true
			}
		}
	}
	return false
}
