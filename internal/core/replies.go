package core

import (
	"slices"
	"time"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/timeline"
)

// Replies to reports: what they order, and how long they are held.

// takeHeldReply takes away the report that a machine waits on and returns what names it.
func (c *Core) takeHeldReply(m *fleet.Machine) fleet.HeartbeatKey {
	key := m.HeldReply.HeartbeatKey
	delete(c.leadership.heldReplies, key)
	m.HeldReply = nil
	return key
}

// refuseHeldReply answers the report that a machine waits on with a no.
func (c *Core) refuseHeldReply(m *fleet.Machine) {
	key := c.takeHeldReply(m)
	c.leadership.relays.Reply(key.Via, heartbeat.Reply{Ref: key.Ref, Status: 503})
}

// requestDispatch has a held reply to the machine go out soon if there are orders for it.
func (c *Core) requestDispatch(m *fleet.Machine) {
	if !m.DispatchPending {
		m.DispatchPending = true
		c.leadership.pendingDispatch = append(c.leadership.pendingDispatch, m)
	}
}

// orders collects what the machine has to do, other than to start tasks.
func (c *Core) orders(m *fleet.Machine) []heartbeat.Order {
	var os []heartbeat.Order
	for _, r := range m.Attempts {
		if r.Phase == heartbeat.Exited {
			if r.Forgettable || r.Job == nil && !c.leadership.unreadableJobs[r.ID.Job] || r.Job != nil && r.Job.Cancelled {
				os = append(os, heartbeat.Order{Verb: heartbeat.Reap, Task: r.ID, Try: r.Number})
			}
			continue
		}
		unwanted := r.Job != nil && (r.Job.Cancelled || r.Job.Cancelling)
		if r.StopRequested || unwanted {
			drain := r.DrainTime
			if r.Job == nil || unwanted {
				drain = 0
			}
			if r.StopSentAt.IsZero() {
				r.StopSentAt = c.Now
			}
			os = append(os, heartbeat.Order{Verb: heartbeat.Stop, Task: r.ID, Try: r.Number, Drain: drain})
		}
	}
	return os
}

// reply answers a machine's report, or keeps it waiting a little while there is
// nothing to say and something may come.
func (c *Core) reply(m *fleet.Machine, due bool) {
	l := c.leadership
	h := m.HeldReply
	if h == nil {
		return
	}
	os := c.orders(m)
	if !c.hasAuthority() {
		// Out of authority: no starts, no acknowledgements; but what has been
		// cancelled is stopped, or has been begun to be, since that was decided while we
		// had it.
		os = slices.DeleteFunc(os, func(o heartbeat.Order) bool { return o.Verb != heartbeat.Stop })
		c.sendReply(m, os)
		return
	}
	if wait := c.paceDelay(m, os); wait > 0 {
		c.afterWhileLeading(wait, func() {
			if m.HeldReply == h {
				c.reply(m, due)
			}
		})
		return
	}
	if m.FencingToken == l.term {
		os = append(os, c.leadership.placement.StartTasksOn(m)...)
	}
	if len(os) > 0 || due || m.FencingToken != l.term || m.Releasing {
		c.sendReply(m, os)
		return
	}
	hold := c.leadership.holdIdle
	if len(m.Attempts) > 0 && (m.WarmReserve == 0 || m.Room().CPU < m.WarmReserve/2) {
		hold = c.leadership.holdBusy
		if !m.Usable() || m.Room().CPU <= 0 {
			hold = 0
		}
	}
	if hold <= 0 {
		c.sendReply(m, nil)
		return
	}
	c.afterWhileLeading(hold, func() {
		if m.HeldReply == h {
			c.reply(m, true)
		}
	})
}

func (c *Core) sendReply(m *fleet.Machine, os []heartbeat.Order) {
	key := c.takeHeldReply(m)
	if m.FencingToken != c.leadership.term && m.UnacknowledgedSince.IsZero() {
		m.UnacknowledgedSince = c.Now
	}
	c.leadership.relays.Reply(key.Via, heartbeat.Reply{Ref: key.Ref, Status: 200, FencingToken: c.leadership.term, Orders: os})
	m.LastReply = c.Now
}

// dispatch looks again at machines whose replies are held: at those that have
// got orders, and at all when there is work that any of them may take.
func (c *Core) dispatch() {
	l := c.leadership
	for i := 0; i < len(l.pendingDispatch); i++ {
		m := l.pendingDispatch[i]
		m.DispatchPending = false
		c.replyIfOrders(m)
	}
	l.pendingDispatch = l.pendingDispatch[:0]
	if !l.dispatchAll {
		return
	}
	if c.Now.Before(l.nextDispatch) {
		if !l.dispatchScheduled {
			l.dispatchScheduled = true
			c.afterWhileLeading(l.nextDispatch.Sub(c.Now), func() { l.dispatchScheduled = false })
		}
		return
	}
	l.dispatchAll = false
	l.nextDispatch = c.Now.Add(dispatchInterval)
	for _, m := range l.inventory.Machines() {
		if m.HeldReply == nil || m.Room().CPU <= 0 {
			continue
		}
		if !slices.ContainsFunc(l.placement.Queue, c.leadership.placement.CouldStart) {
			break
		}
		c.replyIfOrders(m)
	}
}

// replyIfOrders answers a held report if there are orders for the machine.
func (c *Core) replyIfOrders(m *fleet.Machine) {
	if m.HeldReply == nil || m.FencingToken != c.leadership.term {
		return
	}
	os := c.orders(m)
	if c.paceDelay(m, os) > 0 {
		return // it is seen to when the time has come
	}
	if os = append(os, c.leadership.placement.StartTasksOn(m)...); len(os) > 0 {
		c.sendReply(m, os)
	}
}

// What a report and its reply take on the wire, about: HTTP's headers and the fields of the
// machine, and each task that is listed.
const (
	heartbeatBytes     = 480
	heartbeatTaskBytes = 90
	// maxPaceDelay bounds for how long a reply is held for its bytes: workers give up after 4 s.
	maxPaceDelay = 2500 * time.Millisecond
)

// paceDelay is for how long a reply to the machine is still held so that its worker keeps to
// the bytes a second that operators allow: a worker sends its next report after the reply at
// the earliest, and one with many tasks has news all the time. Stops are never held back.
func (c *Core) paceDelay(m *fleet.Machine, os []heartbeat.Order) time.Duration {
	budget := c.leadership.reportBudget
	if budget <= 0 || m.FencingToken != c.leadership.term || m.Releasing || slices.ContainsFunc(os, func(o heartbeat.Order) bool { return o.Verb == heartbeat.Stop }) {
		return 0
	}
	size := float64(heartbeatBytes + heartbeatTaskBytes*len(m.Attempts))
	gap := min(timeline.Seconds(size/budget), maxPaceDelay)
	return m.HeldReply.Since.Add(gap).Sub(c.Now)
}

// flushHeldReplies answers all held reports.
func (c *Core) flushHeldReplies() {
	for _, m := range c.leadership.inventory.Machines() {
		if m.HeldReply != nil {
			c.reply(m, true)
		}
	}
}

// abandonHeldReply: nobody waits for the reply to a report any more.
func (c *Core) abandonHeldReply(key fleet.HeartbeatKey) {
	l := c.leadership
	if m := l.heldReplies[key]; m != nil {
		c.takeHeldReply(m)
	}
	// Reports that wait for the records to be read would pile up while that fails.
	if len(l.pendingHeartbeats) > 0 {
		l.pendingHeartbeats = slices.DeleteFunc(l.pendingHeartbeats, func(r heartbeat.Received) bool { return r.Ref == key.Ref && r.Via == key.Via })
	}
}

// dispatchInterval bounds how often all held replies are looked at: news come
// many times as often on a large fleet, and each look goes over all of it.
const dispatchInterval = 40 * time.Millisecond
