// Package kv holds the requests to the key-value store that keeps the cluster's durable
// state, and its responses. The store is consensus-backed and not part of this program:
// transactions compare revisions and set, keys may hang on a lease, prefixes can be watched.
// Package kvclient maps them to the store's protocol.
package kv

import (
	"time"

	"yewpass/internal/rpc"
)

// Op is a kind of call to the store.
type Op int

// The calls to the store.
const (
	Get         Op = iota
	List           // keys with a prefix, in order, a page at a time
	Txn            // writes on conditions: compare-and-swap over several keys
	GrantLease     // a lease with a TTL, for keys to hang on
	KeepAlive      // renews a lease
	RevokeLease    // ends a lease, and with it its keys
	Watch          // returns when a key with a prefix has changed after a revision
)

// Request is a call to the store.
type Request struct {
	Ref          uint64
	Op           Op
	Key          string        // of Get; of List and Watch, the prefix
	From         string        // of List: the last key of the page before
	FromRev      uint64        // of Watch: the revision after which changes count
	Limit        int           // of List: how many keys at most
	WatchTimeout time.Duration // of Watch: how long the store waits for a change
	TTL          time.Duration // of GrantLease and KeepAlive
	LeaseID      uint64        // of KeepAlive and RevokeLease
	Conditions   []Condition   // of Txn
	Writes       []Write       // of Txn; without any, the conditions are checked alone
	Timeout      time.Duration // after which the outcome is unknown
}

// Condition is a condition of a transaction.
type Condition struct {
	Key string
	Rev uint64 // that the key must have; 0: there is no such key
}

// Write is one change of a transaction.
type Write struct {
	Key     string
	Value   any    // a record, see Entry; nil removes the key
	LeaseID uint64 // that the key hangs on, or 0
}

// Response is the store's answer to a Request.
type Response struct {
	Ref        uint64
	Outcome    rpc.Outcome
	Rev        uint64   // of the whole store; 0 where the response does not tell
	LeaseID    uint64   // of GrantLease and KeepAlive
	FailedKeys []string // of Txn with the outcome Conflict: whose conditions did not hold
	Entries    []Entry  // of Get and List
	More       bool     // of List: there are further pages
}

// Entry is a key of the store.
type Entry struct {
	Key string
	// Value is a pointer to one of the types of package record, schedule.Record,
	// liveconfig.HeadRecord or liveconfig.TeamRecord. It is nil if the record cannot be
	// read.
	Value   any
	Rev     uint64
	LeaseID uint64 // that the key hangs on; known from Get alone
}

// WatchPrefix returns the request that waits until a key below the prefix has changed after
// a revision, or for long.
func WatchPrefix(prefix string, after uint64) Request {
	return Request{Op: Watch, Key: prefix, FromRev: after, WatchTimeout: 20 * time.Second, Timeout: 25 * time.Second}
}
