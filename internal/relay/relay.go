// Package relay defines the protocol by which controllers forward heartbeats of workers to the
// leader. A controller that is not the leader, called a relay, encodes each heartbeat as a delta
// from the machine's previous one (Encoder); the leader decodes it (Decoder). The package also
// balances workers between controllers (LeastLoaded, Imbalanced).
//
// The package does no I/O and reads no clock. Invariant: Decoder returns exactly the reports given
// to Encoder, in order, or an error.
package relay

import "yewpass/internal/heartbeat"

// Batch is a message from a relay to the leader with zero or more heartbeats.
type Batch struct {
	Session   uint64   `json:"s"`
	Number    uint64   `json:"n"`           // position in the session, starting at 1
	Reports   []Delta  `json:"r,omitempty"` // in the order of encoding
	Abandoned []uint64 `json:"g,omitempty"` // refs of heartbeats that need no reply any more
	Released  []uint64 `json:"l,omitempty"` // handles of machines that no longer report to the relay
}

// Delta is the difference of a heartbeat from the machine's previous one in the session.
type Delta struct {
	Ref          uint64    `json:"i,omitempty"` // identifies the heartbeat at the relay; 0 if no reply is expected
	Handle       uint64    `json:"h"`           // identifies the machine within the session
	Identity     *Identity `json:"w,omitempty"` // set in the first heartbeat and on changes; Added then lists all tasks
	Incarnation  uint64    `json:"t"`
	Counter      uint64    `json:"c"`
	FencingToken uint64    `json:"e,omitempty"`
	Notice       *int64    `json:"v,omitempty"` // milliseconds until the cloud interrupts the spot instance

	Dropped []int        `json:"d,omitempty"` // indexes into the previous list, in ascending order
	Changed []TaskChange `json:"p,omitempty"` // by index into the list without the dropped tasks
	Added   Tasks        `json:"a,omitempty"` // appended to the list
}

// MaxMessageWeight is the weight at which senders flush or split a message.
const MaxMessageWeight = 400

// baseWeight is the weight of a heartbeat or a reply without its tasks or orders.
const baseWeight = 4

// Weight returns the approximate size of the delta, in units of one task.
func (d *Delta) Weight() int { return baseWeight + len(d.Added) + len(d.Changed) + len(d.Dropped) }

// Weight returns the approximate size of the reply, in units of one order.
func (r *Reply) Weight() int { return baseWeight + len(r.Orders) }

// Identity has the fields of a heartbeat that describe the machine and rarely change.
type Identity struct {
	Host         string `json:"host"`
	Address      string `json:"address,omitempty"`
	InstanceType string `json:"flavor,omitempty"`
	Zone         string `json:"zone,omitempty"`
	Spot         bool   `json:"low,omitempty"`
}

// TaskChange is the new phase and cause of exit of a task.
type TaskChange struct {
	Index int             `json:"k"` // into the list without the dropped tasks
	Phase heartbeat.Phase `json:"p"`
	Cause string          `json:"c,omitempty"`
}

// Replies is a message from the leader to a relay with replies to forwarded heartbeats.
type Replies struct {
	Session uint64  `json:"s"` // session of the heartbeats
	List    []Reply `json:"r,omitempty"`
	Resync  bool    `json:"a,omitempty"` // the relay must open a new session with all pending heartbeats
}

// Reply is the reply to the heartbeat with the same Ref.
type Reply struct {
	Ref      uint64 `json:"i"`
	Status   int    `json:"s,omitempty"` // HTTP status code; 0 stands for 200
	Upstream string `json:"u,omitempty"` // controller to report to, with status 421
	Orders   Orders `json:"o,omitempty"`
}

// Valid reports whether all replies are well-formed: each has status 0 and known orders for tasks
// of a named job, or an error status and no orders.
func (r *Replies) Valid() bool {
	for i := range r.List {
		reply := &r.List[i]
		if reply.Status != 0 && (reply.Status < 400 || reply.Status > 599) || reply.Status != 0 && len(reply.Orders) > 0 {
			return false
		}
		for _, o := range reply.Orders {
			if !o.Verb.Known() || o.Task.Job == "" {
				return false
			}
		}
	}
	return true
}
