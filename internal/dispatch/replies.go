package dispatch

import (
	"slices"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/timeline"
)

// Answer answers a heartbeat that has been accepted, at once or when there is something
// to say.
func (d *Dispatcher) Answer(m *fleet.Machine, in heartbeat.Received) {
	m.HeldReply = &fleet.HeldReply{HeartbeatKey: fleet.HeartbeatKey{Via: in.Via, Ref: in.Ref}, Since: d.engine.Now}
	if in.Via.Relay == "" {
		m.HeldReply.Report = in.Report
	}
	d.held[m.HeldReply.HeartbeatKey] = m
	d.reply(m, false)
}

// take removes the heartbeat whose reply is held for a machine and returns its key.
func (d *Dispatcher) take(m *fleet.Machine) fleet.HeartbeatKey {
	key := m.HeldReply.HeartbeatKey
	delete(d.held, key)
	m.HeldReply = nil
	return key
}

// Refuse refuses the heartbeat whose reply is held for a machine, if there is one.
func (d *Dispatcher) Refuse(m *fleet.Machine) {
	if m.HeldReply != nil {
		key := d.take(m)
		d.relays.Reply(key.Via, heartbeat.Reply{Ref: key.Ref, Status: 503})
	}
}

// Abandon forgets a heartbeat for whose reply nobody waits any more.
func (d *Dispatcher) Abandon(key fleet.HeartbeatKey) {
	if m := d.held[key]; m != nil {
		d.take(m)
	}
}

// AbandonRelay forgets all heartbeats that came through a relay.
func (d *Dispatcher) AbandonRelay(name string) {
	for _, m := range d.leader.Machines() {
		if m.HeldReply != nil && m.HeldReply.Via.Relay == name {
			d.take(m)
		}
	}
}

// Flush answers all held heartbeats.
func (d *Dispatcher) Flush() {
	for _, m := range d.leader.Machines() {
		d.reply(m, true)
	}
}

// reply answers a machine's heartbeat, or holds the reply for a while as long as there is
// nothing to say; due says that it has been held for long enough.
func (d *Dispatcher) reply(m *fleet.Machine, due bool) {
	if m.HeldReply == nil {
		return
	}
	orders := d.orders(m)
	if !d.leader.HasAuthority() {
		// No starts and no acknowledgements; but what has been cancelled, or whose
		// cancellation has begun, is stopped: that was decided under authority.
		orders = slices.DeleteFunc(orders, func(o heartbeat.Order) bool { return o.Verb != heartbeat.Stop })
		d.send(m, orders)
		return
	}
	if wait := d.paceDelay(m, orders); wait > 0 {
		d.replyAfter(wait, m, due)
		return
	}
	if m.FencingToken == d.term {
		orders = append(orders, d.placement.StartTasksOn(m)...)
	}
	if len(orders) > 0 || due || m.FencingToken != d.term || m.Releasing {
		d.send(m, orders)
		return
	}
	if hold := d.holdTime(m); hold > 0 {
		d.replyAfter(hold, m, true)
	} else {
		d.send(m, nil)
	}
}

// replyAfter answers a machine's heartbeat later unless it has been answered by then.
func (d *Dispatcher) replyAfter(wait time.Duration, m *fleet.Machine, due bool) {
	held := m.HeldReply
	d.scope.After(wait, func() {
		if m.HeldReply == held {
			d.reply(m, due)
		}
	})
}

// holdTime returns for how long a reply without orders is held.
func (d *Dispatcher) holdTime(m *fleet.Machine) time.Duration {
	if len(m.Attempts) == 0 || m.WarmReserve != 0 && m.FreeResources().CPU >= m.WarmReserve/2 {
		return d.Pacing.HoldIdle
	}
	if !m.Schedulable() || m.FreeResources().CPU <= 0 {
		return 0
	}
	return d.Pacing.HoldBusy
}

func (d *Dispatcher) send(m *fleet.Machine, orders []heartbeat.Order) {
	key := d.take(m)
	if m.FencingToken != d.term && m.UnacknowledgedSince.IsZero() {
		m.UnacknowledgedSince = d.engine.Now
	}
	d.relays.Reply(key.Via, heartbeat.Reply{Ref: key.Ref, Status: 200, FencingToken: d.term, Orders: orders})
	m.LastReply = d.engine.Now
}

// What a heartbeat and its reply take on the wire, approximately: the headers of HTTP
// and the fields of the machine, and each task that is listed.
const (
	heartbeatBytes     = 480
	heartbeatTaskBytes = 90
)

// MaxPaceDelay bounds for how long a reply is held for its bytes: workers give up after
// 4 s.
const MaxPaceDelay = 2500 * time.Millisecond

// paceDelay returns for how long a reply to the machine is still held so that its worker
// keeps to the bytes a second that operators allow: a worker sends its next heartbeat
// after the reply at the earliest, and one with many tasks has news all the time. Stops
// are never held back.
func (d *Dispatcher) paceDelay(m *fleet.Machine, orders []heartbeat.Order) time.Duration {
	budget := d.Pacing.BytesPerSecond
	if budget <= 0 || m.FencingToken != d.term || m.Releasing || slices.ContainsFunc(orders, func(o heartbeat.Order) bool { return o.Verb == heartbeat.Stop }) {
		return 0
	}
	size := float64(heartbeatBytes + heartbeatTaskBytes*len(m.Attempts))
	gap := min(timeline.Seconds(size/budget), MaxPaceDelay)
	return m.HeldReply.Since.Add(gap).Sub(d.engine.Now)
}
