// Package relay decides how workers' reports travel between controllers: what a
// controller that does not lead passes on to the one that does (Fold), how that
// becomes the reports again (Unfold), and which controller should take a worker
// (Spread).
//
// It knows neither sockets nor clocks, and nothing of what is in a report beyond its
// list of tasks. The state machine of package core calls it; package peer puts its
// types on the wire. What must never happen here: that Unfold returns a report which
// differs from the one that Fold was given, or one out of the order of its link.
package relay

import "yewpass/internal/heartbeat"

// Batch is what a relay passes on in one line.
type Batch struct {
	Session uint64   `json:"s"`
	Number  uint64   `json:"n"`           // 1, 2, 3… within the session
	Reports []Item   `json:"r,omitempty"` // in the order in which they came
	Gone    []uint64 `json:"g,omitempty"` // numbers of reports whose workers wait no more
	Left    []uint64 `json:"l,omitempty"` // handles that are not used any more
}

// Item is a worker's report, told by what has changed since the one before it on the
// same link.
type Item struct {
	Ref          uint64 `json:"i,omitempty"` // the relay's number of the report; 0: nobody waits for a reply
	Handle       uint64 `json:"h"`           // stands for the machine
	Machine      *Who   `json:"w,omitempty"` // with its first report, and when it changes; then all tasks are listed
	Incarnation  uint64 `json:"t"`
	Counter      uint64 `json:"c"`
	FencingToken uint64 `json:"e,omitempty"`
	Notice       *int64 `json:"v,omitempty"` // milliseconds until the cloud takes the machine away

	Dropped []int    `json:"d,omitempty"` // places in the list of the report before, rising
	Changed []Change `json:"p,omitempty"` // by place in what is left of it
	Added   Tasks    `json:"a,omitempty"` // at the end
}

// headWeight is what a report or a reply weighs beside the tasks or orders in it.
const headWeight = 4

// Weight is about how much an item takes of a line, a task counting as 1.
func (it *Item) Weight() int { return headWeight + len(it.Added) + len(it.Changed) + len(it.Dropped) }

// Weight is about how much a reply takes of a line, an order counting as 1.
func (r *Reply) Weight() int { return headWeight + len(r.Orders) }

// Who is what a machine is.
type Who struct {
	Host         string `json:"host"`
	Address      string `json:"address,omitempty"`
	InstanceType string `json:"flavor,omitempty"`
	Zone         string `json:"zone,omitempty"`
	Spot         bool   `json:"low,omitempty"`
}

// Change is a task whose state has changed.
type Change struct {
	At    int             `json:"k"`
	Phase heartbeat.Phase `json:"p"`
	Cause string          `json:"c,omitempty"`
}

// Replies is what a leader has a relay tell its workers, in one line.
type Replies struct {
	Session uint64  `json:"s"` // the relay's, which it answers
	List    []Reply `json:"r,omitempty"`
	Again   bool    `json:"a,omitempty"` // something is missing: begin a new session and tell all that waits
}

// Reply answers a report.
type Reply struct {
	Ref      uint64 `json:"i"`
	Status   int    `json:"s,omitempty"` // of HTTP; 0 is 200
	Upstream string `json:"u,omitempty"`
	Orders   Orders `json:"o,omitempty"`
}

// Sound reports whether replies are ones that a leader gives.
func (r *Replies) Sound() bool {
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
