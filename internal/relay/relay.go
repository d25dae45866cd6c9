// Package relay defines how workers' heartbeats travel between controllers. A
// controller that does not lead encodes the heartbeats that it receives as differences
// from the previous ones (Encoder) and sends them to the leader, which restores them
// (Decoder). The package also decides which controller a worker should report to
// (LeastLoaded, Imbalanced).
//
// It does no I/O, reads no clock, and knows nothing of a heartbeat beyond its list of
// tasks. The invariant: Decoder returns exactly the reports that Encoder was given, in
// the order of their session, or an error.
package relay

import "yewpass/internal/heartbeat"

// Batch is the heartbeats that a relay sends to the leader in one message.
type Batch struct {
	Session   uint64   `json:"s"`
	Number    uint64   `json:"n"`           // 1, 2, 3… within the session
	Reports   []Delta  `json:"r,omitempty"` // in the order in which they were received
	Abandoned []uint64 `json:"g,omitempty"` // refs of heartbeats whose workers no longer wait
	Released  []uint64 `json:"l,omitempty"` // handles that are no longer used
}

// Delta is a heartbeat as its difference from the previous one of the same machine in
// the same session.
type Delta struct {
	Ref          uint64    `json:"i,omitempty"` // the relay's number of the heartbeat; 0: no reply is expected
	Handle       uint64    `json:"h"`           // stands for the machine within the session
	Identity     *Identity `json:"w,omitempty"` // with the first heartbeat, and when it changes; all tasks are then listed as added
	Incarnation  uint64    `json:"t"`
	Counter      uint64    `json:"c"`
	FencingToken uint64    `json:"e,omitempty"`
	Notice       *int64    `json:"v,omitempty"` // milliseconds until the cloud interrupts the machine

	Dropped []int        `json:"d,omitempty"` // indexes into the previous list, ascending
	Changed []TaskChange `json:"p,omitempty"` // by index into what remains of it
	Added   Tasks        `json:"a,omitempty"` // at the end
}

// MaxMessageWeight is about how much goes into one message between controllers, as
// measured by Delta.Weight and Reply.Weight.
const MaxMessageWeight = 400

// baseWeight is the weight of a heartbeat or a reply without its tasks or orders.
const baseWeight = 4

// Weight returns the approximate size of the delta, in units of one task.
func (d *Delta) Weight() int { return baseWeight + len(d.Added) + len(d.Changed) + len(d.Dropped) }

// Weight returns the approximate size of the reply, in units of one order.
func (r *Reply) Weight() int { return baseWeight + len(r.Orders) }

// Identity is what a worker reports about its machine.
type Identity struct {
	Host         string `json:"host"`
	Address      string `json:"address,omitempty"`
	InstanceType string `json:"flavor,omitempty"`
	Zone         string `json:"zone,omitempty"`
	Spot         bool   `json:"low,omitempty"`
}

// TaskChange is a task whose phase or cause of exit has changed.
type TaskChange struct {
	Index int             `json:"k"` // index in the list
	Phase heartbeat.Phase `json:"p"`
	Cause string          `json:"c,omitempty"`
}

// Replies is the replies that the leader sends to a relay's workers in one message.
type Replies struct {
	Session uint64  `json:"s"` // the relay's session that they answer
	List    []Reply `json:"r,omitempty"`
	Resync  bool    `json:"a,omitempty"` // a batch is missing: the relay must open a new session and send all that waits
}

// Reply answers one heartbeat.
type Reply struct {
	Ref      uint64 `json:"i"`
	Status   int    `json:"s,omitempty"` // of HTTP; 0 stands for 200
	Upstream string `json:"u,omitempty"` // with status 421, the controller to report to
	Orders   Orders `json:"o,omitempty"`
}

// Valid reports whether the replies are ones that a leader may send.
func (r *Replies) Valid() bool {
	for i := range r.List {
		x := &r.List[i]
		if x.Status != 0 && (x.Status < 400 || x.Status > 599) || x.Status != 0 && len(x.Orders) > 0 {
			return false
		}
		for _, o := range x.Orders {
			if !o.Verb.Known() || o.Task.Job == "" {
				return false
			}
		}
	}
	return true
}
