// Package scenario runs scripted failure scenarios against controllers in virtual time. It
// simulates the key-value store, the cloud, the workers, the users and the network, and checks
// the rules of the service after every event.
package scenario

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// event is a callback scheduled at a virtual time.
type event struct {
	at  time.Time
	seq uint64
	do  func()
}

// events is a min-heap of events, ordered by time and then by sequence number.
type events []event

// Len returns the number of pending events.
func (e events) Len() int { return len(e) }

// Less orders events by time; events at the same time run in the order they were scheduled.
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}

// Swap exchanges the events at two indexes, for container/heap.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event. Call heap.Push instead, which restores the heap order.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event. Call heap.Pop instead, which returns the earliest one.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// clock is a virtual clock with its event queue and the world's seeded random source.
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

// elapsed returns the virtual time since the start of the scenario.
func (c *clock) elapsed() time.Duration { return c.now.Sub(c.start) }

// step runs the next event and returns true, or returns false if none is due by end.
func (c *clock) step(end time.Time) bool {
	if len(c.queue) == 0 || c.queue[0].at.After(end) {
		return false
	}
	e := heap.Pop(&c.queue).(event)
	c.now = e.at
	e.do()
	return true
}

// jitter returns a random duration within d*(1±part).
func (c *clock) jitter(d time.Duration, part float64) time.Duration {
	return time.Duration(float64(d) * (1 + part*(2*c.rng.Float64()-1)))
}

// network delivers messages between named hosts, including the store, the cloud and the users.
type network struct {
	*clock
	latency      time.Duration
	partitions   []*partition
	lastDelivery map[[2]string]time.Time                // of the latest message, by sender and receiver; keeps them in order
	intercept    func(kind, a, b string, f func()) bool // if not nil and true, it delivers the message instead
}

// partition separates hosts from all others. Messages across it are dropped, or held until it ends.
type partition struct {
	hosts map[string]bool
	peers map[string]bool // unless nil, only messages to and from these hosts are blocked
	hold  bool
	zones []string // new machines in these zones join hosts
	held  []func()
}

func (c *partition) blocks(a, b string) bool {
	if c.hosts[a] == c.hosts[b] {
		return false
	}
	// peers may contain the separated host too, so check only the other end.
	other := a
	if c.hosts[a] {
		other = b
	}
	return c.peers == nil || c.peers[other]
}

// reachable reports whether no partition blocks messages between two hosts.
func (n *network) reachable(a, b string) bool {
	for _, c := range n.partitions {
		if c.blocks(a, b) {
			return false
		}
	}
	return true
}

// send delivers a message from a to b after the network latency, by calling f.
func (n *network) send(kind, a, b string, f func()) {
	for _, c := range n.partitions {
		if c.blocks(a, b) {
			if c.hold {
				c.held = append(c.held, func() { n.send(kind, a, b, f) })
			}
			return
		}
	}
	if n.intercept != nil && n.intercept(kind, a, b, f) {
		return
	}
	key := [2]string{a, b}
	at := n.now.Add(n.jitter(n.latency, 0.5))
	if last := n.lastDelivery[key]; at.Before(last) {
		at = last
	}
	n.lastDelivery[key] = at
	n.at(at, f)
}

// addHost adds a new host to the partitions of its zone.
func (n *network) addHost(host, zone string) {
	for _, c := range n.partitions {
		if slices.Contains(c.zones, zone) {
			c.hosts[host] = true
		}
	}
}

// addPartition starts a partition for d. Machines created in the zones join it.
func (n *network) addPartition(hosts, peers map[string]bool, hold bool, d time.Duration, zones ...string) {
	c := &partition{hosts: hosts, peers: peers, hold: hold, zones: zones}
	n.partitions = append(n.partitions, c)
	n.after(d, func() {
		for i, x := range n.partitions {
			if x == c {
				n.partitions = append(n.partitions[:i:i], n.partitions[i+1:]...)
				break
			}
		}
		for _, f := range c.held {
			f()
		}
	})
}
