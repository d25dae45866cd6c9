// Package writebatch batches the leader's changes into transactions of the key-value
// store, within the rates that the store allows, and sends them until they are committed
// or turn out to be in conflict with what is stored.
package writebatch

import (
	"slices"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/kv"
	"yewpass/internal/rpc"
)

// Priority says how pressing a change is.
type Priority int

// The priorities, the most pressing first.
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
	OnReject   func() // malformed by the store's judgement, on its own

	Sent bool // at least once: it may have been applied
}

func (ch *Change) writesTo(key string) bool {
	return slices.ContainsFunc(ch.Writes, func(w kv.Write) bool { return w.Key == key })
}

// Leader is what a Batcher asks of the leadership whose changes it writes.
type Leader interface {
	// CanAct reports whether the leader has authority and has loaded the records.
	CanAct() bool
	// ConfigBatchDue reports whether the queued batch of configuration changes is to go now.
	ConfigBatchDue() bool
	// QueueRestores queues lost records to be written back, as many as there is room for.
	QueueRestores()
	// QueueDueOccurrences queues due occurrences of schedules, as many as a transaction takes.
	QueueDueOccurrences()
	// HasDueOccurrences reports whether occurrences would be written if the allowance let them.
	HasDueOccurrences() bool
	// ReplicateBatch passes a committed batch on to the replicas.
	ReplicateBatch(batch []*Change, rev uint64)
	// ReplicateEntry passes an entry that was read on to the replicas.
	ReplicateEntry(e kv.Entry)
	// StepDown ends the leadership.
	StepDown(why string)
}

// Batcher batches changes into transactions within the store's limits. The priorities
// below Urgent only go when nothing urgent waits and half of the allowance is left, so
// that an acceptance is never delayed behind them; they take turns. Changes of the same
// key never overlap.
type Batcher struct {
	limits
	queue
	engine *engine.Engine
	scope  *engine.Scope
	leader Leader
	termCondition   kv.Condition // of every transaction: it fails once a successor has begun a term
	maxOps int          // writes in a transaction

	bulkNext      bool // bulk changes are next in turn, not occurrences
	pausedUntil   time.Time
	backoff       time.Duration
	flushScheduled bool
}

// New returns a Batcher for the leadership of a scope. The condition term holds as long
// as its term is the newest.
func New(eng *engine.Engine, scope *engine.Scope, st config.State, term kv.Condition, leader Leader) *Batcher {
	return &Batcher{
		limits: newLimits(st),
		queue:  queue{keysInFlight: map[string]bool{}},
		engine: eng,
		scope:  scope,
		leader: leader,
		termCondition:   term,
		maxOps: st.TxnOps,
	}
}

// Add queues a change.
func (b *Batcher) Add(ch *Change) {
	if ch.Size == 0 {
		ch.Size = 120 * (len(ch.Writes) + len(ch.Conditions))
	}
	b.queued[ch.Priority] = append(b.queued[ch.Priority], ch)
}

// Queued returns the changes of a priority that wait, in their order.
func (b *Batcher) Queued(p Priority) []*Change { return b.queued[p] }

// HasUncommitted reports whether a change of the key is on its way, or has been sent with
// an unknown outcome.
func (b *Batcher) HasUncommitted(key string) bool {
	if b.keysInFlight[key] {
		return true
	}
	for _, list := range b.queued {
		if slices.ContainsFunc(list, func(ch *Change) bool { return ch.Sent && ch.writesTo(key) }) {
			return true
		}
	}
	return false
}

// ReadBack reads an entry whose write met a condition that does not hold, until the store
// answers; found is false if there is none.
func (b *Batcher) ReadBack(key string, f func(e kv.Entry, found bool)) {
	b.scope.CallStore(kv.Request{Op: kv.Get, Key: key}, func(r kv.Response) {
		switch r.Outcome {
		case rpc.OK:
			b.leader.ReplicateEntry(r.Entries[0])
			f(r.Entries[0], true)
		case rpc.NotFound:
			f(kv.Entry{}, false)
		default:
			b.scope.After(b.engine.Jitter(readBackRetryDelay), func() { b.ReadBack(key, f) })
		}
	})
}

const readBackRetryDelay = 500 * time.Millisecond
