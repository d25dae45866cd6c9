// Package kv holds the requests to the key-value store that keeps the cluster's durable
// state, and its responses. The store is consensus-backed and not part of this program:
// transactions compare revisions and set, keys may hang on a lease, prefixes can be watched.
// Package kvclient maps them to the store's protocol.
package kv

import (
	"time"
	"yewpass/internal/rpc"
)

// Entry is one key of the state service.
type Entry struct {
	Key     string
	Value   any // *Job, *Final, *Machines, *Progress, *Leader, *Term, *ScheduleNumber, *schedule.Record, *liveconfig.HeadRecord, *liveconfig.TeamRecord, or nil when unreadable
	Rev     uint64
	LeaseID uint64 // that the key is attached to; known from Get alone
}

// Response answers a Request.
type Response struct {
	Ref        uint64
	Outcome    rpc.Outcome
	Rev        uint64
	LeaseID    uint64
	FailedKeys []string
	Entries    []Entry
	More       bool
}

// Op is a kind of call to the state service.
type Op int

// The calls to the state service.
const (
	Get Op = iota
	List
	Txn
	GrantLease
	KeepAlive
	RevokeLease
	Watch
)

// Condition is a condition of a transaction: the revision a key must have.
type Condition struct {
	Key string
	Rev uint64
}

// Write is one change of a transaction; a nil value drops the key.
type Write struct {
	Key     string
	Value   any
	LeaseID uint64
}

// Request asks the state service for something.
type Request struct {
	Ref        uint64
	Op         Op
	Key        string // or prefix
	From       string
	FromRev    uint64
	Limit      int
	Block      time.Duration // of Watch
	TTL        time.Duration
	LeaseID    uint64
	Conditions []Condition
	Writes     []Write
	Timeout    time.Duration // give up after this
}

// WatchPrefix returns the request that waits until a key below the prefix has changed after
// a revision, or for long.
func WatchPrefix(prefix string, after uint64) Request {
	return Request{Op: Watch, Key: prefix, FromRev: after, Block: 20 * time.Second, Timeout: 25 * time.Second}
}
