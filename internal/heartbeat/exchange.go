package heartbeat

import (
	"time"
	"yewpass/internal/rpc"
)

// Causes of an exit.
const (
	CauseDone    = "done"
	CauseStopped = "stopped"
	CauseError   = "error"
	CauseNoRoom  = "no_room"
	CauseBusy    = "busy"
	CauseNoSuch  = "no_such"
)

// Received is a worker's report waiting for its reply, from this node's own socket or
// handed on by a relay.
type Received struct {
	Ref    uint64
	Relay  Link // which it came by; zero: our own socket
	Report Report
}

// Abandoned says that the worker gave up on a report: its reply goes nowhere.
type Abandoned struct{ Ref uint64 }

// Reply answers a Received.
type Reply struct {
	Ref          uint64
	Status       int
	FencingToken uint64
	Orders       []Order
	Upstream     string
}

// Probe shows a worker our epoch, with no orders, and asks for its report.
type Probe struct {
	Ref                       uint64
	Address                   string
	FencingToken, Incarnation uint64
	Timeout                   time.Duration
}

// ProbeReply answers a Probe: OK when the worker has taken note of the
// epoch, Conflict when the tenure is another or it knows a newer epoch.
type ProbeReply struct {
	Ref     uint64
	Outcome rpc.Outcome
	Report  Report
}

// Link is one uninterrupted stream of batches from a relay to a leader. A relay draws
// a new session for every leader, every term and every time the stream breaks, so
// that what was meant for an earlier stream, or an earlier life of the relay, is told
// from what is meant for this one.
type Link struct {
	From    string // the relay
	Session uint64
}
