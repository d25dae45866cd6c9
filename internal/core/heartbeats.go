package core

import (
	"log/slog"
	"slices"
	"time"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
)

// verdict is what is made of a worker's heartbeat.
type verdict int

const (
	accepted     verdict = iota
	resent               // by a relay in a new session, and accepted before
	overtaken            // by the worker's own answer to a probe
	stale                // delayed on the way: what it says is older than what is known
	deferred             // until the records have been read
	refused              // we have no authority to answer it
	unknownToken         // the worker has seen a fencing token newer than ours
)

// handleHeartbeat takes in a worker's heartbeat from our own socket or a relay.
func (c *Core) handleHeartbeat(in heartbeat.Received) {
	if l := c.leadership; l != nil && in.Report.FencingToken > l.term && !c.hasAuthority() {
		c.stepDown("a worker has seen a newer epoch")
	}
	l := c.leadership
	if l == nil {
		c.forwarder.Receive(in)
		return
	}
	rep := &in.Report
	var m *fleet.Machine
	v := c.screenHeartbeat(rep)
	if v == accepted {
		m = l.inventory.Ensure(rep.Host, rep.InstanceType, rep.Zone, rep.Spot)
		if m.Record == fleet.Unrecorded {
			m.Address = rep.Address // a machine keeps it
		}
		v = c.compareHeartbeat(m, in)
	}
	switch v {
	case accepted, resent:
		c.acceptHeartbeat(m, in, v == resent)
	case overtaken:
		// Nothing new, but a worker that waits for its reply.
		l.relays.Reply(in.Via, heartbeat.Reply{Ref: in.Ref, Status: 200, FencingToken: l.term})
		m.LastReply = c.Now
	case deferred:
		l.pendingHeartbeats = append(l.pendingHeartbeats, in)
	case stale:
		c.staleHeartbeats++
		c.refuseHeartbeat(in)
	case refused:
		c.refuseHeartbeat(in)
	case unknownToken:
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
func (c *Core) screenHeartbeat(rep *heartbeat.Report) verdict {
	l := c.leadership
	switch {
	case rep.FencingToken > l.term:
		return unknownToken
	case !c.hasAuthority() && !c.inGracePeriod():
		return refused
	case l.inventory.Released(rep.Host):
		return stale // the machine is proven gone: whatever arrives now was sent before
	case !l.loaded:
		return deferred
	}
	return accepted
}

// inGracePeriod reports whether a leader without authority may still answer workers: not
// once the grace period is over by one of our clocks, nor if the steady one has stood
// still and cannot say.
func (c *Core) inGracePeriod() bool {
	l := c.leadership
	over := c.leaseTiming.GraceOver(c.Now.Sub(l.expiresAt), c.ClockSkew(c.Now)-l.clockSkew)
	return !over && !c.Now.Before(l.expiresAt)
}

// compareHeartbeat judges a heartbeat by what is known of its machine.
func (c *Core) compareHeartbeat(m *fleet.Machine, in heartbeat.Received) verdict {
	rep := &in.Report
	same := rep.Incarnation == m.Incarnation
	if m.Probed && same && rep.Counter <= m.Counter && c.hasAuthority() {
		return overtaken
	}
	if rep.Incarnation <= m.ExpiredIncarnation {
		return stale
	}
	if !m.Reported {
		return accepted
	}
	// A worker never forgets a fencing token that it has seen, unless its process has
	// begun anew: then its counters may begin anew too, and what is newer by them may have
	// been sent before the earlier process ended. Nothing of either is believed until the
	// lease of what we know is over, which a machine that is not answered does not outlast.
	if rep.FencingToken < m.FencingToken {
		return stale
	}
	// A relay that has begun a new session sends again what waits there. What was answered
	// in the session before has not reached the worker, and will not.
	if in.Via.Relay != "" && same && rep.Counter == m.Counter {
		return resent
	}
	if !rep.Newer(m.Incarnation, m.Counter) {
		return stale
	}
	return accepted
}

// acceptHeartbeat takes in a heartbeat that is believed, and answers it.
func (c *Core) acceptHeartbeat(m *fleet.Machine, in heartbeat.Received, resent bool) {
	l := c.leadership
	l.dispatcher.Refuse(m) // the worker has given up on an earlier one whose reply is held
	first := !m.Reported && !l.inventory.Unaccounted(m.Host)
	if !resent {
		m.Probed = false
		c.reconcile(m, &in.Report)
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

// reconcile brings what is known of a machine and its tasks in line with its report.
func (c *Core) reconcile(m *fleet.Machine, rep *heartbeat.Report) {
	l := c.leadership
	c.reconcileMachine(m, rep)
	c.reconcileTasks(m, rep)
	if c.dropUnlisted(m, rep) {
		c.noteLostStart(m)
	}
	if rep.FencingToken == l.term && l.inventory.Unaccounted(m.Host) {
		c.markAccounted(m.Host)
	}
	l.placement.ExtendOverruns(m)
}

// reconcileMachine takes in what a report says of the machine itself.
func (c *Core) reconcileMachine(m *fleet.Machine, rep *heartbeat.Report) {
	l := c.leadership
	if !m.Reported {
		c.Log(slog.LevelDebug, "first heartbeat of machine", "machine", m.Host, "type", rep.InstanceType, "zone", rep.Zone, "tasks", len(rep.Tasks))
		m.IdleSince = c.Now
		l.autoscaler.Booted(m.TypeName)
	}
	if m.Reported && rep.Incarnation > m.Incarnation {
		// Its lease has expired: the worker has killed all that it had.
		l.attempts.DropAll(m)
	}
	m.Reported, m.Incarnation, m.Counter, m.FencingToken = true, rep.Incarnation, rep.Counter, rep.FencingToken
	m.LastHeartbeat, m.LeaseExpired, m.Unreachable = c.Now, false, false
	if rep.HasNotice {
		if m.InterruptionAt.IsZero() {
			c.Log(slog.LevelInfo, "interruption notice received", "machine", m.Host, "notice", rep.Notice)
		}
		m.InterruptionAt = c.Now.Add(rep.Notice)
	}
	if rep.FencingToken == l.term {
		m.UnacknowledgedSince = time.Time{}
	}
}

// reconcileTasks takes in the tasks that a report lists.
func (c *Core) reconcileTasks(m *fleet.Machine, rep *heartbeat.Report) {
	l := c.leadership
	l.heartbeatCount++
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		r := m.FindAttempt(t.Task, t.Try, i)
		if r == nil {
			r = l.attempts.Adopt(m, t)
		}
		r.LastListed = l.heartbeatCount
		l.attempts.Update(r, t)
	}
}

// dropUnlisted drops the attempts that a report should list and does not, and reports
// whether a start was lost. A start that went out with the reply to an earlier report and
// is not listed now was never executed, and never will be: the worker takes replies in
// turn and drops late ones.
func (c *Core) dropUnlisted(m *fleet.Machine, rep *heartbeat.Report) (lostStart bool) {
	l := c.leadership
	m.Attempts = slices.DeleteFunc(m.Attempts, func(r *fleet.Attempt) bool {
		if r.LastListed == l.heartbeatCount || rep.Counter <= r.OrderedCounter {
			return false
		}
		lostStart = lostStart || r.Phase == fleet.Ordered && r.OrderedCounter > 0
		l.attempts.Release(r)
		return true
	})
	return lostStart
}

// noteLostStart notes that a machine has not executed a start. Once may be chance, or a
// relay that ended. A machine that does not hear us must not be what a task is tried on
// again and again while there is room elsewhere.
func (c *Core) noteLostStart(m *fleet.Machine) {
	if m.UnlistedStarts++; m.UnlistedStarts > 1 {
		m.RetryAt = c.Now.Add(min(time.Second<<min(m.UnlistedStarts-1, 10), c.workerLease))
	}
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
	if !m.UnacknowledgedSince.IsZero() && c.Now.Sub(m.UnacknowledgedSince) > c.leadership.relays.RecoveryTime() {
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
