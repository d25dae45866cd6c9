// Package writebatch batches the leader's changes into transactions, within the rate limits of the
// key-value store. Each change is retried until it is committed or one of its conditions fails.
package writebatch

import (
	"slices"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/kv"
	"yewpass/internal/rpc"
)

// Priority orders changes by urgency.
type Priority int

// The priorities, the most urgent first.
const (
	Urgent     Priority = iota // a user or a machine waits for the change
	Config                     // configuration changes, which have their own share of the write rate
	Occurrence                 // occurrences of schedules, ordered by deadline
	Bulk                       // progress and other changes that may be delayed
	priorities
)

// Change is a set of writes that are applied atomically, if all conditions of the change hold.
type Change struct {
	Conditions []kv.Condition
	Writes     []kv.Write
	Size       int // estimated bytes
	Priority   Priority
	Prepare    func() bool      // called before sending, to set the values; false drops the change
	OnCommit   func(rev uint64) // called with the revision of the commit
	OnConflict func()           // called if a condition of the change failed
	OnReject   func()           // called if the store rejects the change as malformed

	Sent bool // sent at least once, so it may have been applied
}

func (ch *Change) writesTo(key string) bool {
	return slices.ContainsFunc(ch.Writes, func(w kv.Write) bool { return w.Key == key })
}

// Leader is the leader that a Batcher writes for.
type Leader interface {
	// IsActive reports whether the leader has authority and has loaded the records.
	IsActive() bool
	// ConfigBatchDue reports whether the queued configuration changes are to be sent now.
	ConfigBatchDue() bool
	// QueueRestores queues lost records to be written back, up to the limit of queued changes.
	QueueRestores()
	// QueueDueOccurrences queues due occurrences of schedules, up to one transaction.
	QueueDueOccurrences()
	// HasDueOccurrences reports whether occurrences are waiting for the rate limit.
	HasDueOccurrences() bool
	// ReplicateBatch replicates a batch that was committed at revision rev.
	ReplicateBatch(batch []*Change, rev uint64)
	// Replicate adds an entry that was read from the store to the replicas.
	Replicate(e kv.Entry)
	// StepDown ends the leadership for the reason why.
	StepDown(why string)
}

// Batcher batches changes into transactions within the rate limits of the store. Occurrence and
// Bulk changes take turns, and only while no urgent change is queued and half of the write burst is
// left. Transactions that write the same key are never in flight at the same time. A Batcher is not
// safe for concurrent use.
type Batcher struct {
	limits
	queue
	readTracker
	engine        *engine.Engine
	scope         *engine.Scope
	leader        Leader
	termCondition kv.Condition // added to every transaction; fails once a newer term has started
	maxOps        int          // maximum number of writes in a transaction

	bulkTurn       bool // the current turn is for bulk changes, not for occurrences
	pausedUntil    time.Time
	backoff        time.Duration
	flushScheduled bool
}

// New returns a Batcher for one leadership. Its timers and store calls belong to scope and end with
// it. termCondition must hold exactly as long as the leader's term is the newest.
func New(eng *engine.Engine, scope *engine.Scope, st config.State, termCondition kv.Condition, leader Leader) *Batcher {
	return &Batcher{
		limits:        newLimits(st),
		queue:         queue{keysInFlight: map[string]bool{}},
		readTracker:   readTracker{readsInFlight: map[string][]*read{}},
		engine:        eng,
		scope:         scope,
		leader:        leader,
		termCondition: termCondition,
		maxOps:        st.TxnOps,
	}
}

// Add queues a change. If ch.Size is 0, Add estimates it from the number of writes and conditions.
func (b *Batcher) Add(ch *Change) {
	if ch.Size == 0 {
		ch.Size = 120 * (len(ch.Writes) + len(ch.Conditions))
	}
	b.queued[ch.Priority] = append(b.queued[ch.Priority], ch)
}

// Queued returns the queued changes of a priority in order. The caller must not modify the slice.
func (b *Batcher) Queued(p Priority) []*Change { return b.queued[p] }

// HasUncommitted reports whether a change of key is in flight, or has been sent with an unknown
// outcome.
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

// ReadBack reads the entry of key like Read, replicates it and passes it to f. found is false if
// the entry does not exist. ReadBack retries until the store responds.
func (b *Batcher) ReadBack(key string, f func(e kv.Entry, found bool)) {
	b.Read(key, func(r kv.Response) {
		switch r.Outcome {
		case rpc.OK:
			b.leader.Replicate(r.Entries[0])
			f(r.Entries[0], true)
		case rpc.NotFound:
			f(kv.Entry{}, false)
		default:
			b.scope.After(b.engine.Jitter(readBackRetryDelay), func() { b.ReadBack(key, f) })
		}
	})
}

const readBackRetryDelay = 500 * time.Millisecond
