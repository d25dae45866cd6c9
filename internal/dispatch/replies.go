package dispatch

import (
	"slices"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/timeline"
)

// ReplyOrHold replies to an accepted heartbeat at once or, if there are no orders, when some arise
// or the hold time has passed.
func (d *Dispatcher) ReplyOrHold(m *fleet.Machine, in heartbeat.Received) {
	m.HeldReply = &fleet.HeldReply{HeartbeatKey: fleet.HeartbeatKey{Via: in.Via, Ref: in.Ref}, Since: d.engine.Now}
	if in.Via.Relay == "" {
		m.HeldReply.Report = in.Report
	}
	d.held[m.HeldReply.HeartbeatKey] = m
	d.reply(m, false)
}

// removeHeld removes the held reply of a machine, which must exist, and returns its key.
func (d *Dispatcher) removeHeld(m *fleet.Machine) fleet.HeartbeatKey {
	key := m.HeldReply.HeartbeatKey
	delete(d.held, key)
	m.HeldReply = nil
	return key
}

// Refuse sends the held reply of a machine, if any, with status 503.
func (d *Dispatcher) Refuse(m *fleet.Machine) {
	if m.HeldReply != nil {
		key := d.removeHeld(m)
		d.relays.Reply(key.Via, heartbeat.Reply{Ref: key.Ref, Status: 503})
	}
}

// Abandon discards a held reply that the worker or relay no longer waits for.
func (d *Dispatcher) Abandon(key fleet.HeartbeatKey) {
	if m := d.held[key]; m != nil {
		d.removeHeld(m)
	}
}

// AbandonRelay discards the held replies to heartbeats from the named relay.
func (d *Dispatcher) AbandonRelay(name string) {
	for _, m := range d.leader.Machines() {
		if m.HeldReply != nil && m.HeldReply.Via.Relay == name {
			d.removeHeld(m)
		}
	}
}

// Flush sends all held replies, unless pacing delays them.
func (d *Dispatcher) Flush() {
	for _, m := range d.leader.Machines() {
		d.reply(m, true)
	}
}

// reply sends the held reply of a machine, or holds it longer while there are no orders, unless
// delayExpired is true.
func (d *Dispatcher) reply(m *fleet.Machine, delayExpired bool) {
	if m.HeldReply == nil {
		return
	}
	orders := d.orders(m)
	if !d.leader.HasAuthority() {
		// Without authority no task is started and no exit acknowledged. Stops are still sent,
		// because they were decided while the leader had authority.
		orders = slices.DeleteFunc(orders, func(o heartbeat.Order) bool { return o.Verb != heartbeat.Stop })
		d.send(m, orders)
		return
	}
	if wait := d.paceDelay(m, orders); wait > 0 {
		d.replyAfter(wait, m, delayExpired)
		return
	}
	if m.FencingToken == d.term {
		orders = append(orders, d.placement.StartTasksOn(m)...)
	}
	if len(orders) > 0 || delayExpired || m.FencingToken != d.term || m.Releasing {
		d.send(m, orders)
		return
	}
	if delay := d.replyDelay(m); delay > 0 {
		d.replyAfter(delay, m, true)
	} else {
		d.send(m, nil)
	}
}

// replyAfter calls reply after a delay, unless the held reply has been sent by then.
func (d *Dispatcher) replyAfter(wait time.Duration, m *fleet.Machine, delayExpired bool) {
	held := m.HeldReply
	d.scope.After(wait, func() {
		if m.HeldReply == held {
			d.reply(m, delayExpired)
		}
	})
}

// replyDelay returns how long a reply without orders is held.
func (d *Dispatcher) replyDelay(m *fleet.Machine) time.Duration {
	if len(m.Attempts) == 0 || m.WarmReserve != 0 && m.FreeResources().CPU >= m.WarmReserve/2 {
		return d.Pacing.IdleReplyDelay
	}
	if !m.Schedulable() || m.FreeResources().CPU <= 0 {
		return 0
	}
	return d.Pacing.BusyReplyDelay
}

func (d *Dispatcher) send(m *fleet.Machine, orders []heartbeat.Order) {
	key := d.removeHeld(m)
	if m.FencingToken != d.term && m.UnacknowledgedSince.IsZero() {
		m.UnacknowledgedSince = d.engine.Now
	}
	d.relays.Reply(key.Via, heartbeat.Reply{Ref: key.Ref, Status: 200, FencingToken: d.term, Orders: orders})
	m.LastReply = d.engine.Now
}

// Approximate bytes on the network of a heartbeat and its reply, and of each listed task.
const (
	heartbeatBytes     = 480
	heartbeatTaskBytes = 90
)

// MaxPaceDelay is the longest time by which pacing delays a reply. It is below the 4 s after which
// workers stop waiting for a reply.
const MaxPaceDelay = 2500 * time.Millisecond

// paceDelay returns how long the held reply of a machine has to be delayed to keep its worker
// within Pacing.BytesPerSecond, since a worker sends the next heartbeat only after the reply, and
// one with many tasks always has changes to report.
// Replies with stop orders are never delayed.
func (d *Dispatcher) paceDelay(m *fleet.Machine, orders []heartbeat.Order) time.Duration {
	budget := d.Pacing.BytesPerSecond
	if budget <= 0 || m.FencingToken != d.term || m.Releasing || slices.ContainsFunc(orders, func(o heartbeat.Order) bool { return o.Verb == heartbeat.Stop }) {
		return 0
	}
	size := float64(heartbeatBytes + heartbeatTaskBytes*len(m.Attempts))
	gap := min(timeline.Seconds(size/budget), MaxPaceDelay)
	return m.HeldReply.Since.Add(gap).Sub(d.engine.Now)
}
