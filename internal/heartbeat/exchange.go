package heartbeat

import (
	"time"

	"yewpass/internal/rpc"
)

// Causes of a task's exit.
const (
	CauseDone        = "done"
	CauseStopped     = "stopped"
	CauseError       = "error"
	CauseNoRoom      = "no_room"
	CauseBusy        = "busy"
	CauseUnknownTask = "no_such"
)

// Received is a worker's report that waits for its reply. It came in on this
// controller's own socket or was forwarded by a relay.
type Received struct {
	Ref    uint64
	Via    RelaySession // zero: this controller's own socket
	Report Report
}

// Abandoned says that a worker no longer waits for the reply to its report.
type Abandoned struct{ Ref uint64 }

// Reply answers a Received.
type Reply struct {
	Ref          uint64
	Status       int
	FencingToken uint64
	Orders       []Order
	Upstream     string // with status 421, the controller to report to; "" for any other
}

// Probe shows a worker a leader's fencing token, without orders, and asks for its
// report.
type Probe struct {
	Ref                       uint64
	Address                   string
	FencingToken, Incarnation uint64
	Timeout                   time.Duration
}

// ProbeReply answers a Probe: OK when the worker has accepted the fencing token,
// Conflict when its incarnation is another or it has seen a newer fencing token.
type ProbeReply struct {
	Ref     uint64
	Outcome rpc.Outcome
	Report  Report
}

// RelaySession is one uninterrupted stream of batches from a relay to a leader. A relay
// draws a new number for every leader, every term and every interruption, so that what
// was meant for an earlier stream, or an earlier process of the relay, is told from what
// is meant for this one.
type RelaySession struct {
	Relay   string // the relay's name
	Session uint64
}
