// Package dispatch replies to the heartbeats of workers. It holds a reply until there are orders
// for the worker, and paces replies to keep heartbeats within the configured bandwidth.
package dispatch

import (
	"slices"
	"time"

	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/placement"
	"yewpass/internal/relaylinks"
)

// Leader is the leader that a Dispatcher belongs to.
type Leader interface {
	// HasAuthority reports whether the leader holds its lease, and may therefore start tasks and
	// acknowledge exits.
	HasAuthority() bool
	// Machines returns the machines of the fleet, sorted by host name.
	Machines() []*fleet.Machine
	// Unreadable reports whether the job's record exists but cannot be decoded.
	Unreadable(job string) bool
}

// Pacing configures how long replies are held.
type Pacing struct {
	IdleReplyDelay, BusyReplyDelay time.Duration // for replies without orders
	BytesPerSecond                 float64       // bandwidth of a worker's heartbeats; 0: unlimited
}

// Dispatcher replies to the heartbeats of one leadership term.
type Dispatcher struct {
	// Pacing may be changed at any time.
	Pacing Pacing

	engine    *engine.Engine
	scope     *engine.Scope
	leader    Leader
	relays    *relaylinks.Links
	placement *placement.Scheduler
	term      uint64

	held         map[fleet.HeartbeatKey]*fleet.Machine // machines with a held reply
	pending      []*fleet.Machine                      // to be checked; see Enqueue
	allPending   bool                                  // see EnqueueAll
	nextFullPass time.Time                             // earliest next pass over all machines
	timerSet     bool                                  // for nextFullPass
}

// New returns a dispatcher for the given term; its timers stop when scope is closed.
func New(e *engine.Engine, scope *engine.Scope, leader Leader, relays *relaylinks.Links, scheduler *placement.Scheduler, term uint64) *Dispatcher {
	return &Dispatcher{
		engine: e, scope: scope, leader: leader, relays: relays, placement: scheduler, term: term,
		held: map[fleet.HeartbeatKey]*fleet.Machine{},
	}
}

// fullPassInterval is the minimum time between two passes over all machines, since events arrive
// much more often on a large fleet.
const fullPassInterval = 40 * time.Millisecond

// Enqueue schedules a check of the machine in the next Run. Call it when there may be orders for
// the machine.
func (d *Dispatcher) Enqueue(m *fleet.Machine) {
	if !m.DispatchPending {
		m.DispatchPending = true
		d.pending = append(d.pending, m)
	}
}

// EnqueueAll schedules a check of all machines with held replies. Call it when tasks may have
// become startable on any of them.
func (d *Dispatcher) EnqueueAll() { d.allPending = true }

// Pending reports whether Run has machines to check.
func (d *Dispatcher) Pending() bool { return d.allPending || len(d.pending) > 0 }

// Run checks the enqueued machines and replies to those that have orders. Passes over all machines
// are at least fullPassInterval apart.
func (d *Dispatcher) Run() {
	for i := 0; i < len(d.pending); i++ {
		m := d.pending[i]
		m.DispatchPending = false
		d.replyIfOrders(m)
	}
	d.pending = d.pending[:0]
	if !d.allPending {
		return
	}
	now := d.engine.Now
	if now.Before(d.nextFullPass) {
		if !d.timerSet {
			d.timerSet = true
			// The leader calls Run in the same step, after the timer.
			d.scope.After(d.nextFullPass.Sub(now), func() { d.timerSet = false })
		}
		return
	}
	d.allPending = false
	d.nextFullPass = now.Add(fullPassInterval)
	for _, m := range d.leader.Machines() {
		if m.HeldReply == nil || m.FreeResources().CPU <= 0 {
			continue
		}
		if !slices.ContainsFunc(d.placement.Queue, d.placement.MayStartWithinLimit) {
			break
		}
		d.replyIfOrders(m)
	}
}

// replyIfOrders sends the held reply of a machine if there are orders for it.
func (d *Dispatcher) replyIfOrders(m *fleet.Machine) {
	if m.HeldReply == nil || m.FencingToken != d.term {
		return
	}
	orders := d.orders(m)
	if d.paceDelay(m, orders) > 0 {
		return // a timer sends the reply after the delay
	}
	if orders = append(orders, d.placement.StartTasksOn(m)...); len(orders) > 0 {
		d.send(m, orders)
	}
}

// orders returns the stop and reap orders for the machine.
func (d *Dispatcher) orders(m *fleet.Machine) []heartbeat.Order {
	var orders []heartbeat.Order
	for _, a := range m.Attempts {
		switch {
		case a.Phase == heartbeat.Exited:
			if d.mayReap(a) {
				orders = append(orders, heartbeat.Order{Verb: heartbeat.Reap, Task: a.ID, Attempt: a.Number})
			}
		case a.StopRequested || isCancelledOrCancelling(a.Job):
			drain := a.DrainTime
			if a.Job == nil || isCancelledOrCancelling(a.Job) {
				drain = 0
			}
			if a.StopSentAt.IsZero() {
				a.StopSentAt = d.engine.Now
			}
			orders = append(orders, heartbeat.Order{Verb: heartbeat.Stop, Task: a.ID, Attempt: a.Number, Drain: drain})
		}
	}
	return orders
}

func (d *Dispatcher) mayReap(a *fleet.Attempt) bool {
	if a.Job == nil {
		return a.Forgettable || !d.leader.Unreadable(a.ID.Job)
	}
	return a.Forgettable || a.Job.Cancelled
}

// isCancelledOrCancelling accepts a nil job, for which it returns false.
func isCancelledOrCancelling(j *fleet.Job) bool { return j != nil && (j.Cancelled || j.Cancelling) }
