package heartbeat

import (
	"time"

	"yewpass/internal/rpc"
)

// Causes of a task's exit, as reported by workers.
const (
	CauseDone        = "done"
	CauseStopped     = "stopped"
	CauseError       = "error"
	CauseNoRoom      = "no_room"
	CauseBusy        = "busy"
	CauseUnknownTask = "no_such"
)

// Received is a worker's heartbeat that needs a reply, received directly or through a relay.
type Received struct {
	Ref    uint64
	Via    RelaySession // zero if received directly
	Report Report
}

// Abandoned is the input that a worker no longer waits for the reply to its heartbeat.
type Abandoned struct{ Ref uint64 }

// Reply is the reply to the Received with the same Ref.
type Reply struct {
	Ref          uint64
	Status       int // HTTP status
	FencingToken uint64
	Orders       []Order
	Upstream     string // with status 421: the controller to send heartbeats to; "" means any other
}

// Probe sends a worker the leader's fencing token without orders and requests a report.
type Probe struct {
	Ref                       uint64
	Address                   string
	FencingToken, Incarnation uint64
	Timeout                   time.Duration
}

// ProbeReply is the reply to a Probe. The outcome is OK if the worker has accepted the fencing
// token, and Conflict if its incarnation differs or it has seen a newer fencing token.
type ProbeReply struct {
	Ref     uint64
	Outcome rpc.Outcome
	Report  Report
}

// RelaySession identifies one uninterrupted stream of batches from a relay to a leader. A relay
// draws a new session number for every leader, every term and after every interruption, so that
// messages of an earlier stream or process can be rejected.
type RelaySession struct {
	Relay   string // name of the relaying controller
	Session uint64
}
