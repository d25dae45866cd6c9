package core

import (
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/reconcile"
)

// handleHeartbeat processes a worker's heartbeat, received directly or through a relay. A node that
// is not the leader passes it to the forwarder.
func (c *Core) handleHeartbeat(in heartbeat.Received) {
	if l := c.leadership; l != nil && in.Report.FencingToken > l.term && !c.hasAuthority() {
		c.stepDown("a worker has seen a newer fencing token")
	}
	l := c.leadership
	if l == nil {
		c.forwarder.Receive(in)
		return
	}
	rep := &in.Report
	var m *fleet.Machine
	v := c.screenHeartbeat(rep)
	if v == reconcile.Accepted {
		m = l.inventory.Ensure(rep.Host, rep.InstanceType, rep.Zone, rep.Spot)
		if m.Record == fleet.Unrecorded {
			m.Address = rep.Address // never changes
		}
		v = reconcile.Classify(m, in, c.hasAuthority())
	}
	switch v {
	case reconcile.Accepted, reconcile.Resent:
		c.acceptHeartbeat(m, in, v == reconcile.Resent)
	case reconcile.Superseded:
		// A probe reply was newer, but the worker still waits for an answer.
		l.relays.Reply(in.Via, heartbeat.Reply{Ref: in.Ref, Status: 200, FencingToken: l.term})
		m.LastReply = c.Now
	case reconcile.Deferred:
		l.pendingHeartbeats = append(l.pendingHeartbeats, in)
	case reconcile.Stale:
		c.staleHeartbeats++
		c.refuseHeartbeat(in)
	case reconcile.Refused:
		c.refuseHeartbeat(in)
	case reconcile.UnknownToken:
		c.refuseHeartbeat(in)
		c.handleNewerToken(rep.Host, rep.FencingToken, func() {
			c.leadership.autoscaler.Release(c.leadership.inventory.Ensure(rep.Host, rep.InstanceType, rep.Zone, rep.Spot))
		})
	}
}

func (c *Core) refuseHeartbeat(in heartbeat.Received) {
	c.leadership.relays.Reply(in.Via, heartbeat.Reply{Ref: in.Ref, Status: 503})
}

// screenHeartbeat returns the verdict that follows from the leader's state alone.
func (c *Core) screenHeartbeat(rep *heartbeat.Report) reconcile.Verdict {
	l := c.leadership
	switch {
	case rep.FencingToken > l.term:
		return reconcile.UnknownToken
	case !c.hasAuthority() && !c.inGracePeriod():
		return reconcile.Refused
	case l.inventory.Released(rep.Host):
		return reconcile.Stale // sent before the machine was terminated
	case !l.loaded:
		return reconcile.Deferred
	}
	return reconcile.Accepted
}

// inGracePeriod reports whether a leader whose authority has expired may still answer workers. Time
// by which the wall clock has run ahead of the steady clock counts against the grace period; a
// leader that lost its authority only through such a pause has none.
func (c *Core) inGracePeriod() bool {
	l := c.leadership
	over := c.leaseTiming.GracePeriodExpired(c.Now.Sub(l.expiresAt), c.ClockSkew(c.Now)-l.clockSkew)
	return !over && !c.Now.Before(l.expiresAt)
}

// acceptHeartbeat reconciles a heartbeat with the known state, unless it is a retransmission, and
// answers or redirects the worker.
func (c *Core) acceptHeartbeat(m *fleet.Machine, in heartbeat.Received, resent bool) {
	l := c.leadership
	l.dispatcher.Refuse(m) // the worker no longer waits for the reply to its previous heartbeat
	first := !m.Reported && !l.inventory.IsUnaccounted(m.Host)
	if !resent {
		m.Probed = false
		l.reconciler.Reconcile(m, &in.Report)
	}
	l.relays.Attach(m, in.Via.Relay)
	if m.Record == fleet.Unrecorded && c.hasAuthority() && m.Schedulable() {
		l.machineRecords.Add(m)
	}
	if to := l.relays.RedirectTarget(m, in.Via.Relay, first); to != "" {
		l.relays.Reply(in.Via, heartbeat.Reply{Ref: in.Ref, Status: 421, Upstream: to})
		return
	}
	l.dispatcher.ReplyOrHold(m, in)
}

// markAccounted records that the machine runs no unknown task of an earlier term. The last machine
// completes the failover.
func (c *Core) markAccounted(host string) {
	l := c.leadership
	if !l.inventory.MarkAccounted(host) {
		return
	}
	if l.allAccounted() {
		c.Log(slog.LevelInfo, "failover complete", "term", l.term, "after", c.Now.Sub(l.electedAt))
		for _, j := range l.sortedJobs() {
			if j.Cancelled {
				c.leadership.lifecycle.FinishIfEnded(j)
			}
		}
		l.dispatcher.EnqueueAll()
	}
}

// lastContact returns when the machine was last known to receive replies from this leader.
// Heartbeats that have acknowledged no reply for longer than the relays' recovery time do not
// count, because the machine would otherwise block the failover.
func (c *Core) lastContact(m *fleet.Machine) time.Time {
	if !m.UnacknowledgedSince.IsZero() && c.Now.Sub(m.UnacknowledgedSince) > c.leadership.relays.MaxReconnectTime() {
		return m.UnacknowledgedSince
	}
	return m.LastHeartbeat
}

// abandonLocalHeartbeat drops a heartbeat that a worker has sent to this node and abandoned.
func (c *Core) abandonLocalHeartbeat(ref uint64) {
	if c.leadership != nil {
		c.abandonHeartbeat(fleet.HeartbeatKey{Ref: ref})
	} else {
		c.forwarder.Abandon(ref)
	}
}

// abandonHeartbeat drops an abandoned heartbeat on the leader.
func (c *Core) abandonHeartbeat(key fleet.HeartbeatKey) {
	l := c.leadership
	l.dispatcher.Abandon(key)
	// Otherwise the pending heartbeats would accumulate while loading the records fails.
	if len(l.pendingHeartbeats) > 0 {
		l.pendingHeartbeats = slices.DeleteFunc(l.pendingHeartbeats, func(r heartbeat.Received) bool { return r.Ref == key.Ref && r.Via == key.Via })
	}
}

// reconcileLeader implements reconcile.Leader for a leadership.
type reconcileLeader struct {
	core       *Core
	leadership *leadership
}

// Booted implements reconcile.Leader.
func (v reconcileLeader) Booted(instanceType string) { v.leadership.autoscaler.Booted(instanceType) }

// MarkAccounted implements reconcile.Leader.
func (v reconcileLeader) MarkAccounted(host string) { v.core.markAccounted(host) }

// dispatchLeader implements dispatch.Leader for a leadership.
type dispatchLeader struct {
	core       *Core
	leadership *leadership
}

// HasAuthority implements dispatch.Leader.
func (v dispatchLeader) HasAuthority() bool { return v.core.hasAuthority() }

// Machines implements dispatch.Leader.
func (v dispatchLeader) Machines() []*fleet.Machine { return v.leadership.inventory.Machines() }

// Unreadable implements dispatch.Leader.
func (v dispatchLeader) Unreadable(job string) bool { return v.leadership.unreadableJobs[job] }
