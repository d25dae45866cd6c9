// Package kv defines the requests to the external, consensus-backed key-value store that holds the
// cluster's durable state, and its responses. Package kvclient implements its protocol.
package kv

import (
	"time"

	"yewpass/internal/rpc"
)

// Op is a kind of request.
type Op int

// Kinds of requests.
const (
	Get         Op = iota // reads one key
	List                  // reads a page of the keys with a prefix, in key order
	Txn                   // compare-and-swap over several keys
	GrantLease            // creates a lease with a TTL
	KeepAlive             // renews a lease
	RevokeLease           // revokes a lease and removes the keys attached to it
	Watch                 // waits until a key with a prefix changes after a revision
)

// Request is a request to the store. Op determines which fields it uses.
type Request struct {
	Ref          uint64 // matches the response to the request
	Op           Op
	Key          string        // Get: the key; List and Watch: the prefix
	From         string        // List: the last key of the previous page
	FromRev      uint64        // Watch: only changes after this revision are reported
	Limit        int           // List: maximum number of keys
	WatchTimeout time.Duration // Watch: time that the store waits for a change
	TTL          time.Duration // GrantLease and KeepAlive
	LeaseID      uint64        // KeepAlive and RevokeLease
	Conditions   []Condition   // Txn
	Writes       []Write       // Txn; if empty, it only checks the conditions
	Timeout      time.Duration // after this time the outcome is rpc.Unknown
}

// Condition is a condition of a transaction.
type Condition struct {
	Key string
	Rev uint64 // revision that the key must have; 0: the key must not exist
}

// Write sets or deletes one key in a transaction.
type Write struct {
	Key     string
	Value   any    // a record, see Entry; nil deletes the key
	LeaseID uint64 // lease to attach the key to, or 0
}

// Response is the store's answer to a Request.
type Response struct {
	Ref        uint64
	Outcome    rpc.Outcome
	Rev        uint64   // revision of the whole store; 0 if the response has none
	LeaseID    uint64   // GrantLease and KeepAlive
	FailedKeys []string // Txn with rpc.Conflict: keys whose condition failed
	Entries    []Entry  // Get and List
	More       bool     // List: there are more pages
}

// Entry is a key in the store with its value.
type Entry struct {
	Key string
	// Value is a pointer to a type of package record, a schedule.Record, liveconfig.HeadRecord
	// or liveconfig.TeamRecord, or nil if the stored value is not a valid record.
	Value   any
	Rev     uint64
	LeaseID uint64 // lease that the key is attached to; only set by Get
}

// WatchPrefix returns a Watch request that waits up to 20 seconds for a key with the prefix to
// change after the given revision.
func WatchPrefix(prefix string, after uint64) Request {
	return Request{Op: Watch, Key: prefix, FromRev: after, WatchTimeout: 20 * time.Second, Timeout: 25 * time.Second}
}
