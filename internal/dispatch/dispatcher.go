// Package dispatch answers the heartbeats of workers: it holds a reply while there is
// nothing to say, paces replies so that workers keep to the bandwidth that operators
// allow, and sends orders as soon as there are any.
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

// Leader is what the dispatcher needs of the leadership that it is part of.
type Leader interface {
	// HasAuthority reports whether the leader may start tasks and acknowledge exits.
	HasAuthority() bool
	// Machines returns the machines of the fleet, by name.
	Machines() []*fleet.Machine
	// Unreadable reports whether a job's record cannot be read.
	Unreadable(job string) bool
}

// Pacing is how long replies are held, as the operators' policy has it.
type Pacing struct {
	HoldIdle, HoldBusy time.Duration // while there is nothing to say
	BytesPerSecond     float64       // that heartbeats may take of a worker's network; 0: no bound
}

// Dispatcher answers the heartbeats of one term.
type Dispatcher struct {
	// Pacing may be set at any time.
	Pacing Pacing

	engine    *engine.Engine
	scope     *engine.Scope
	leader    Leader
	relays    *relaylinks.Links
	placement *placement.Scheduler
	term      uint64

	held      map[fleet.HeartbeatKey]*fleet.Machine // machines whose replies are held
	pending   []*fleet.Machine                      // see Request
	all       bool                                  // see RequestAll
	nextAll   time.Time                             // not before this are all machines looked at again
	scheduled bool                                  // a timer is set for then
}

// New returns the dispatcher of the term that begins now.
func New(e *engine.Engine, scope *engine.Scope, leader Leader, relays *relaylinks.Links, scheduler *placement.Scheduler, term uint64) *Dispatcher {
	return &Dispatcher{
		engine: e, scope: scope, leader: leader, relays: relays, placement: scheduler, term: term,
		held: map[fleet.HeartbeatKey]*fleet.Machine{},
	}
}

// interval bounds how often all held replies are looked at: there is news many times as
// often on a large fleet, and each time takes a pass over all of it.
const interval = 40 * time.Millisecond

// Request has the machine looked at soon if its reply is held, as there may be orders
// for it.
func (d *Dispatcher) Request(m *fleet.Machine) {
	if !m.DispatchPending {
		m.DispatchPending = true
		d.pending = append(d.pending, m)
	}
}

// RequestAll has all machines looked at soon whose replies are held, as there may be
// something for any of them to start.
func (d *Dispatcher) RequestAll() { d.all = true }

// Pending reports whether machines are to be looked at.
func (d *Dispatcher) Pending() bool { return d.all || len(d.pending) > 0 }

// Run looks at the machines for which there are requests, and answers those for which
// there are orders.
func (d *Dispatcher) Run() {
	for i := 0; i < len(d.pending); i++ {
		m := d.pending[i]
		m.DispatchPending = false
		d.replyIfOrders(m)
	}
	d.pending = d.pending[:0]
	if !d.all {
		return
	}
	now := d.engine.Now
	if now.Before(d.nextAll) {
		if !d.scheduled {
			d.scheduled = true
			d.scope.After(d.nextAll.Sub(now), func() { d.scheduled = false }) // Run follows in the same step
		}
		return
	}
	d.all = false
	d.nextAll = now.Add(interval)
	for _, m := range d.leader.Machines() {
		if m.HeldReply == nil || m.Room().CPU <= 0 {
			continue
		}
		if !slices.ContainsFunc(d.placement.Queue, d.placement.CouldStart) {
			break
		}
		d.replyIfOrders(m)
	}
}

// replyIfOrders answers a held heartbeat if there are orders for the machine.
func (d *Dispatcher) replyIfOrders(m *fleet.Machine) {
	if m.HeldReply == nil || m.FencingToken != d.term {
		return
	}
	orders := d.orders(m)
	if d.paceDelay(m, orders) > 0 {
		return // it is answered when the time has come
	}
	if orders = append(orders, d.placement.StartTasksOn(m)...); len(orders) > 0 {
		d.send(m, orders)
	}
}

// orders returns what the machine has to do other than to start tasks.
func (d *Dispatcher) orders(m *fleet.Machine) []heartbeat.Order {
	var orders []heartbeat.Order
	for _, a := range m.Attempts {
		switch {
		case a.Phase == heartbeat.Exited:
			if d.mayForget(a) {
				orders = append(orders, heartbeat.Order{Verb: heartbeat.Reap, Task: a.ID, Attempt: a.Number})
			}
		case a.StopRequested || isCancelled(a.Job):
			drain := a.DrainTime
			if a.Job == nil || isCancelled(a.Job) {
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

// mayForget reports whether the worker may forget an attempt that has exited.
func (d *Dispatcher) mayForget(a *fleet.Attempt) bool {
	if a.Job == nil {
		return a.Forgettable || !d.leader.Unreadable(a.ID.Job)
	}
	return a.Forgettable || a.Job.Cancelled
}

// isCancelled reports whether the tasks of a job, if it is known, are not wanted any more.
func isCancelled(j *fleet.Job) bool { return j != nil && (j.Cancelled || j.Cancelling) }
