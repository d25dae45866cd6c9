package core

import (
	"log/slog"
	"maps"
	"slices"
	"time"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
)

// Reports of workers: which are believed, and what is learned from them.

func (c *Core) handleHeartbeat(in heartbeat.Received) {
	l := c.leadership
	rep := &in.Report
	refuse := func() { l.relays.Reply(in.Via, heartbeat.Reply{Ref: in.Ref, Status: 503}) }
	if l != nil && rep.FencingToken > l.term && !c.hasAuthority() {
		c.stepDown("a worker has seen a newer epoch")
		l = nil
	}
	switch {
	case l == nil:
		c.forwarder.Receive(in)
		return
	case rep.FencingToken > l.term:
		refuse()
		c.handleNewerToken(rep.Host, rep.FencingToken, func() {
			c.leadership.autoscaler.Release(c.leadership.inventory.Ensure(rep.Host, rep.InstanceType, rep.Zone, rep.Spot))
		})
		return
	case !c.hasAuthority() && (c.leaseTiming.GraceOver(c.Now.Sub(l.expiresAt), c.ClockSkew(c.Now)-l.clockSkew) || c.Now.Before(l.expiresAt)):
		// The hold is over by one of our clocks, or the steady one has stood still and
		// cannot say.
		refuse()
		return
	case l.inventory.Released(rep.Host):
		// Released and proven gone: whatever arrives now was sent before.
		c.staleHeartbeats++
		refuse()
		return
	case !l.loaded:
		l.pendingHeartbeats = append(l.pendingHeartbeats, in)
		return
	}
	m := c.leadership.inventory.Ensure(rep.Host, rep.InstanceType, rep.Zone, rep.Spot)
	if m.Record == fleet.Unrecorded {
		m.Address = rep.Address // a machine keeps it
	}
	if m.Probed && rep.Incarnation == m.Incarnation && rep.Counter <= m.Counter && c.hasAuthority() {
		// Overtaken by its own answer to our probe: nothing new, but a worker
		// that waits for its reply.
		l.relays.Reply(in.Via, heartbeat.Reply{Ref: in.Ref, Status: 200, FencingToken: l.term})
		m.LastReply = c.Now
		return
	}
	// A relay that has begun a new session tells again what waits there. What was
	// answered in the session before has not reached the worker, and will not.
	again := in.Via.Relay != "" && m.Reported && rep.Incarnation == m.Incarnation && rep.Counter == m.Counter
	// A worker never forgets an epoch it has seen, unless it has begun anew: then its
	// counters may begin anew too, and what is newer by them may have been sent before it
	// ended. Nothing of either is believed until the lease of what we know is over, which a
	// machine that is not answered does not outlast.
	forgets := m.Reported && rep.FencingToken < m.FencingToken
	if !again && m.Reported && !rep.Newer(m.Incarnation, m.Counter) || rep.Incarnation <= m.ExpiredIncarnation || forgets {
		// Delayed on the way: its task list is older than what we know.
		c.staleHeartbeats++
		refuse()
		return
	}
	l.dispatcher.Refuse(m) // the worker has given up on it; this is its next report
	first := !m.Reported && !l.inventory.Unaccounted(m.Host)
	if !again {
		m.Probed = false
		c.reconcile(m, rep)
	}
	l.relays.Attach(m, in.Via.Relay)
	if m.Record == fleet.Unrecorded && c.hasAuthority() && m.Usable() {
		c.leadership.machineRecords.Add(m)
	}
	if to := l.relays.RedirectTarget(m, in.Via.Relay, first); to != "" {
		l.relays.Reply(in.Via, heartbeat.Reply{Ref: in.Ref, Status: 421, Upstream: to})
		return
	}
	l.dispatcher.Answer(m, in)
}

// handleNewerToken: a worker says that it has seen a newer epoch than ours. If there was
// none, it drops all that we say to it, for ever: it is of no use, and its word must
// not end the term for all the others.
func (c *Core) handleNewerToken(host string, epoch uint64, useless func()) {
	c.verifyTerm("a worker has seen a newer epoch", func() {
		if c.termsBeganAgain(host, epoch) {
			return
		}
		c.Log(slog.LevelWarn, "worker reports an unknown fencing token", "machine", host, "claimed", epoch, "term", c.leadership.term)
		if c.leadership.loaded && !c.leadership.inventory.Released(host) {
			useless()
		}
	})
}

// termsBeganAgain reports whether a worker's newer epoch may show that terms have begun again. When
// the state service and every controller's memory are lost together, nobody else is left to
// tell: the workers would drop all that we say, and the whole fleet be returned for it. As
// soon as several say so, the terms go on above theirs.
func (c *Core) termsBeganAgain(host string, epoch uint64) bool {
	l := c.leadership
	if !l.noEarlierTerm || epoch > maxFencingToken || c.Now.Sub(l.electedAt) > 2*c.workerLease {
		return false
	}
	l.newerTokens[host] = epoch
	if len(l.newerTokens) >= minNewerTokenWitnesses {
		c.observed.Term = slices.Max(slices.Collect(maps.Values(l.newerTokens))) + termGapAfterTotalLoss
		// Who knows of it stands at once: the others would go by what is on record.
		c.reportDataLossThen("workers have seen newer terms than were on record", func() { c.campaign(0) })
	}
	return true
}

// reconcile takes in what a report says.
func (c *Core) reconcile(m *fleet.Machine, rep *heartbeat.Report) {
	l := c.leadership
	if !m.Reported {
		c.Log(slog.LevelDebug, "first heartbeat of machine", "machine", m.Host, "type", rep.InstanceType, "zone", rep.Zone, "tasks", len(rep.Tasks))
		m.IdleSince = c.Now
		l.autoscaler.Booted(m.TypeName)
	}
	if m.Reported && rep.Incarnation > m.Incarnation {
		// Its lease ran out: the worker has killed all that it had.
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
	// A start that went out with the reply to an earlier report and is not
	// listed now was never executed, and never will be: the worker takes
	// replies in turn and drops late ones.
	lost := false
	m.Attempts = slices.DeleteFunc(m.Attempts, func(r *fleet.Attempt) bool {
		if r.LastListed == l.heartbeatCount || rep.Counter <= r.OrderedCounter {
			return false
		}
		lost = lost || r.Phase == fleet.Ordered && r.OrderedCounter > 0
		l.attempts.Release(r)
		return true
	})
	if lost {
		// Once may be chance or a relay that ended. A machine that does not hear us must
		// not be what a task is tried on again and again while there is room elsewhere.
		if m.UnlistedStarts++; m.UnlistedStarts > 1 {
			m.RetryAt = c.Now.Add(min(time.Second<<min(m.UnlistedStarts-1, 10), c.workerLease))
		}
	}
	if rep.FencingToken == l.term && l.inventory.Unaccounted(m.Host) {
		c.markAccounted(m.Host)
	}
	c.leadership.placement.ExtendOverruns(m)
}

// markAccounted: nothing of an earlier term can be on the machine unknown to us.
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

// lastHeard is when the machine was last heard in a way that shows more than that it can speak.
// One that was answered long ago and whose reports still show no word of ours does not hear:
// everything that was accepted earlier would wait for it for as long as that lasts.
func (c *Core) lastHeard(m *fleet.Machine) time.Time {
	if !m.UnacknowledgedSince.IsZero() && c.Now.Sub(m.UnacknowledgedSince) > c.leadership.relays.RecoveryTime() {
		return m.UnacknowledgedSince
	}
	return m.LastHeartbeat
}

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

const (
	// minNewerTokenWitnesses is how many workers must have seen an epoch above ours for it to be our
	// terms that have begun again: one alone is rather faulty itself.
	minNewerTokenWitnesses = 2
	// maxFencingToken is the largest epoch that is believed. Terms are counted one by one, and far
	// above this there would soon be none left.
	maxFencingToken = 1 << 32
	// termGapAfterTotalLoss is how far above the newest epoch that was heard of the terms go on: those who
	// say so first need not have seen the last ones, and others may.
	termGapAfterTotalLoss = 1 << 10
)
