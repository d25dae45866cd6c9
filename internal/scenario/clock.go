// Package scenario plays small text files against controllers in virtual time,
// with a state service, a cloud, workers, users and a network of its own, and
// checks every rule after every event.
package scenario

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq uint64
	do  func()
}

// events is a heap of events, the earliest at the top.
type events []event

// Len is the number of events waiting.
func (e events) Len() int { return len(e) }

// Less puts the earlier event first and, of two at one time, the one with the lower number.
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event; heap.Push then moves it to its place.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop takes the last event off, where heap.Pop has put the earliest.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// clock is virtual time.
type clock struct {
	start, now time.Time
	queue      events
	seq        uint64
	rng        *rand.Rand
}

func newClock(seed uint64) *clock {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	return &clock{start: start, now: start, rng: rand.New(rand.NewPCG(seed, 99))}
}

func (c *clock) at(t time.Time, f func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.seq++
	heap.Push(&c.queue, event{t, c.seq, f})
}

func (c *clock) after(d time.Duration, f func()) { c.at(c.now.Add(d), f) }

// elapsed is the time since the start.
func (c *clock) elapsed() time.Duration { return c.now.Sub(c.start) }

// step runs the next event, unless it comes after end.
func (c *clock) step(end time.Time) bool {
	if len(c.queue) == 0 || c.queue[0].at.After(end) {
		return false
	}
	e := heap.Pop(&c.queue).(event)
	c.now = e.at
	e.do()
	return true
}

// spread returns d give or take part of it.
func (c *clock) spread(d time.Duration, part float64) time.Duration {
	return time.Duration(float64(d) * (1 + part*(2*c.rng.Float64()-1)))
}

// network carries messages between hosts, named by strings. The outside
// services and users are hosts too.
type network struct {
	*clock
	latency time.Duration
	cuts    []*cut
	last    map[[2]string]time.Time                // messages of a pair stay in order
	take    func(kind, a, b string, f func()) bool // takes a message out of the ordinary way
}

// cut separates some hosts from all others: messages across are held back until
// it ends, or lost.
type cut struct {
	hosts map[string]bool
	only  map[string]bool // when set, only from these
	hold  bool
	zones []string // whose machines it parts, new ones as well
	held  []func()
}

func (c *cut) parts(a, b string) bool {
	if c.hosts[a] == c.hosts[b] {
		return false
	}
	// Of those behind the cut one may be among those it is from, a leader among all nodes:
	// only the other side says whether this message is concerned.
	other := a
	if c.hosts[a] {
		other = b
	}
	return c.only == nil || c.only[other]
}

// open reports whether a message could pass now.
func (n *network) open(a, b string) bool {
	for _, c := range n.cuts {
		if c.parts(a, b) {
			return false
		}
	}
	return true
}

// send has a message of a kind on its way from a to b; f is its arrival.
func (n *network) send(kind, a, b string, f func()) {
	for _, c := range n.cuts {
		if c.parts(a, b) {
			if c.hold {
				c.held = append(c.held, func() { n.send(kind, a, b, f) })
			}
			return
		}
	}
	if n.take != nil && n.take(kind, a, b, f) {
		return
	}
	key := [2]string{a, b}
	at := n.now.Add(n.spread(n.latency, 0.5))
	if last := n.last[key]; at.Before(last) {
		at = last
	}
	n.last[key] = at
	n.at(at, f)
}

// joins puts a new host behind the cuts of its zone.
func (n *network) joins(host, zone string) {
	for _, c := range n.cuts {
		if slices.Contains(c.zones, zone) {
			c.hosts[host] = true
		}
	}
}

// split begins a cut that ends after d; machines that come up in the zones are behind it too.
func (n *network) split(hosts, only map[string]bool, hold bool, d time.Duration, zones ...string) {
	c := &cut{hosts: hosts, only: only, hold: hold, zones: zones}
	n.cuts = append(n.cuts, c)
	n.after(d, func() {
		for i, x := range n.cuts {
			if x == c {
				n.cuts = append(n.cuts[:i:i], n.cuts[i+1:]...)
				break
			}
		}
		for _, f := range c.held {
			f()
		}
	})
}
