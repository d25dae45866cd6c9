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

import (
	"time"

	"yewpass/internal/report"
)

// Link is one uninterrupted stream of batches from a relay to a leader. A relay draws
// a new session for every leader, every term and every time the stream breaks, so
// that what was meant for an earlier stream, or an earlier life of the relay, is told
// from what is meant for this one.
type Link struct {
	From    string // the relay
	Session uint64
}

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
	Ref     uint64 `json:"i,omitempty"` // the relay's number of the report; 0: nobody waits for a reply
	Handle  uint64 `json:"h"`           // stands for the machine
	Machine *Who   `json:"w,omitempty"` // with its first report, and when it changes; then all tasks are listed
	Tenure  uint64 `json:"t"`
	Counter uint64 `json:"c"`
	Epoch   uint64 `json:"e,omitempty"`
	Notice  *int64 `json:"v,omitempty"` // milliseconds until the cloud takes the machine away

	Dropped []int    `json:"d,omitempty"` // places in the list of the report before, rising
	Changed []Change `json:"p,omitempty"` // by place in what is left of it
	Added   []Added  `json:"a,omitempty"` // at the end
}

// Who is what a machine is.
type Who struct {
	Host        string `json:"host"`
	Address     string `json:"address,omitempty"`
	Flavor      string `json:"flavor,omitempty"`
	Zone        string `json:"zone,omitempty"`
	Reclaimable bool   `json:"low,omitempty"`
}

// Change is a task whose state has changed.
type Change struct {
	At    int          `json:"k"`
	Phase report.Phase `json:"p"`
	Cause string       `json:"c,omitempty"`
}

// Added is a task that was not listed before.
type Added struct {
	Job   string       `json:"j"`
	Index int          `json:"x,omitempty"`
	Try   uint64       `json:"y"`
	Phase report.Phase `json:"p"`
	Cause string       `json:"c,omitempty"`
}

// Replies is what a leader has a relay tell its workers, in one line.
type Replies struct {
	Session uint64  `json:"s"`           // the relay's, which it answers
	List    []Reply `json:"r,omitempty"` // empty: the leader is there
	Again   bool    `json:"a,omitempty"` // something is missing: begin a new session and tell all that waits
}

// Reply answers a report.
type Reply struct {
	Ref      uint64  `json:"i"`
	Status   int     `json:"s,omitempty"` // of HTTP; 0 is 200
	Upstream string  `json:"u,omitempty"`
	Orders   []Order `json:"o,omitempty"`
}

// Order is a report.Order on the wire.
type Order struct {
	Verb    report.Verb `json:"v"`
	Job     string      `json:"j"`
	Index   int         `json:"x,omitempty"`
	Try     uint64      `json:"y"`
	DrainMS int64       `json:"d,omitempty"`
}

// Orders puts orders on the wire.
func Orders(os []report.Order) []Order {
	if len(os) == 0 {
		return nil
	}
	ws := make([]Order, len(os))
	for i, o := range os {
		ws[i] = Order{o.Verb, o.Task.Job, o.Task.Index, o.Try, o.Drain.Milliseconds()}
	}
	return ws
}

// Read takes a reply's orders off the wire.
func (r *Reply) Read() []report.Order {
	if len(r.Orders) == 0 {
		return nil
	}
	os := make([]report.Order, len(r.Orders))
	for i, o := range r.Orders {
		os[i] = report.Order{Verb: o.Verb, Task: report.TaskID{Job: o.Job, Index: o.Index}, Try: o.Try, Drain: time.Duration(o.DrainMS) * time.Millisecond}
	}
	return os
}

// Sound reports whether replies are ones that a leader gives.
func (r *Replies) Sound() bool {
	for i := range r.List {
		x := &r.List[i]
		if x.Status != 0 && (x.Status < 400 || x.Status > 599) || x.Status != 0 && len(x.Orders) > 0 {
			return false
		}
		for _, o := range x.Orders {
			if !o.Verb.Known() || o.Job == "" || o.Index < 0 || o.DrainMS < 0 {
				return false
			}
		}
	}
	return true
}
