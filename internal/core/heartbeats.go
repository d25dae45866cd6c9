package core

import (
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/reconcile"
)

// handleHeartbeat takes in a worker's heartbeat from our own socket or a relay.
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
			m.Address = rep.Address // a machine keeps it
		}
		v = reconcile.Compare(m, in, c.hasAuthority())
	}
	switch v {
	case reconcile.Accepted, reconcile.Resent:
		c.acceptHeartbeat(m, in, v == reconcile.Resent)
	case reconcile.Overtaken:
		// Nothing new, but a worker that waits for its reply.
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

// screenHeartbeat judges a heartbeat by the state of the leadership alone.
func (c *Core) screenHeartbeat(rep *heartbeat.Report) reconcile.Verdict {
	l := c.leadership
	switch {
	case rep.FencingToken > l.term:
		return reconcile.UnknownToken
	case !c.hasAuthority() && !c.inGracePeriod():
		return reconcile.Refused
	case l.inventory.Released(rep.Host):
		return reconcile.Stale // the machine is proven gone: whatever arrives now was sent before
	case !l.loaded:
		return reconcile.Deferred
	}
	return reconcile.Accepted
}

// inGracePeriod reports whether a leader without authority may still answer workers: not
// once the grace period is over by one of our clocks, nor if the steady one has stood
// still and cannot say.
func (c *Core) inGracePeriod() bool {
	l := c.leadership
	over := c.leaseTiming.GraceOver(c.Now.Sub(l.expiresAt), c.ClockSkew(c.Now)-l.clockSkew)
	return !over && !c.Now.Before(l.expiresAt)
}

// acceptHeartbeat takes in a heartbeat that is believed, and answers it.
func (c *Core) acceptHeartbeat(m *fleet.Machine, in heartbeat.Received, resent bool) {
	l := c.leadership
	l.dispatcher.Refuse(m) // the worker has given up on an earlier one whose reply is held
	first := !m.Reported && !l.inventory.Unaccounted(m.Host)
	if !resent {
		m.Probed = false
		l.reconciler.Reconcile(m, &in.Report)
	}
	l.relays.Attach(m, in.Via.Relay)
	if m.Record == fleet.Unrecorded && c.hasAuthority() && m.Usable() {
		l.machineRecords.Add(m)
	}
	if to := l.relays.RedirectTarget(m, in.Via.Relay, first); to != "" {
		l.relays.Reply(in.Via, heartbeat.Reply{Ref: in.Ref, Status: 421, Upstream: to})
		return
	}
	l.dispatcher.Answer(m, in)
}

// markAccounted notes that no unknown task of an earlier term can be on the machine.
func (c *Core) markAccounted(host string) {
	l := c.leadership
	if !l.inventory.MarkAccounted(host) {
		return
	}
	if l.allAccounted() {
		c.Log(slog.LevelInfo, "failover complete", "term", l.term, "after", c.Now.Sub(l.electedAt))
		for _, j := range l.sortedJobs() {
			if j.Cancelled {
				c.leadership.lifecycle.FinishIfOver(j)
			}
		}
		l.dispatcher.RequestAll()
	}
}

// lastHeard returns when the machine was last heard in a way that shows that it hears us
// as well. One that was answered long ago and whose reports still do not show it does not
// hear: everything accepted in earlier terms would wait for it for as long as that lasts.
func (c *Core) lastHeard(m *fleet.Machine) time.Time {
	if !m.UnacknowledgedSince.IsZero() && c.Now.Sub(m.UnacknowledgedSince) > c.leadership.relays.MaxReconnectTime() {
		return m.UnacknowledgedSince
	}
	return m.LastHeartbeat
}

// dropHeartbeat forgets a heartbeat from our own socket for whose reply nobody waits any
// more.
func (c *Core) dropHeartbeat(ref uint64) {
	if c.leadership != nil {
		c.abandonHeartbeat(fleet.HeartbeatKey{Ref: ref})
	} else {
		c.forwarder.Abandon(ref)
	}
}

// abandonHeartbeat forgets a heartbeat for whose reply nobody waits any more.
func (c *Core) abandonHeartbeat(key fleet.HeartbeatKey) {
	l := c.leadership
	l.dispatcher.Abandon(key)
	// Those that wait for the records to be read would pile up while that fails.
	if len(l.pendingHeartbeats) > 0 {
		l.pendingHeartbeats = slices.DeleteFunc(l.pendingHeartbeats, func(r heartbeat.Received) bool { return r.Ref == key.Ref && r.Via == key.Via })
	}
}

// reconcilerLeader is a leadership as the reconciler of its reports sees it.
type reconcilerLeader struct {
	core       *Core
	leadership *leadership
}

// Booted implements reconcile.Leader.
func (v reconcilerLeader) Booted(instanceType string) { v.leadership.autoscaler.Booted(instanceType) }

// MarkAccounted implements reconcile.Leader.
func (v reconcilerLeader) MarkAccounted(host string) { v.core.markAccounted(host) }

// dispatchLeader is a leadership as its dispatcher sees it.
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
