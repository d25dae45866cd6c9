package core

import (
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/autoscaler"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/probe"
	"yewpass/internal/timeline"
)

// reviewLimits holds the limits after which machines are released.
type reviewLimits struct {
	silent      time.Duration // time without heartbeats
	unaccounted time.Duration // the same for a machine not accounted for since a failover
	idle        time.Duration // time without tasks
	isolated    bool          // the leader seems to be isolated: silence is no evidence of a lost machine
}

// reviewMachine expires the machine's lease, drains the machine and releases it when these are due.
func (c *Core) reviewMachine(m *fleet.Machine, limits reviewLimits) {
	unaccounted := c.leadership.inventory.IsUnaccounted(m.Host)
	if unaccounted || m.Reported && len(m.Attempts) > 0 {
		if at, ok := c.leadership.inventory.LeaseExpiry(m, c.earlierLeaseExpiry()); ok && c.Now.After(at) {
			c.expireLease(m)
		}
	}
	if m.Releasing || c.releaseIfLost(m, limits) || !m.Reported {
		return
	}
	c.drainMachine(m)
	if len(m.Attempts) == 0 {
		c.releaseIfUnneeded(m, limits.idle)
	}
}

// releaseIfLost releases a machine that has been silent for too long or whose type is not in the
// catalog, and reports whether it did.
func (c *Core) releaseIfLost(m *fleet.Machine, limits reviewLimits) bool {
	l := c.leadership
	booting := m.LastHeartbeat.IsZero() && !l.inventory.IsUnaccounted(m.Host)
	since, limit := c.silenceLimits(m, limits, booting)
	silent := c.Now.Sub(since)
	switch {
	case m.Unreachable && !l.inventory.IsUnaccounted(m.Host) && (!booting || silent <= 2*limit):
		return false // the outage monitor decides about the machines of an unreachable zone
	case silent > limit && (!limits.isolated || booting):
		c.Log(slog.LevelWarn, "releasing silent machine", "machine", m.Host, "type", m.TypeName, "silent", silent, "tasks", len(m.Attempts), "booted", !booting)
		if booting && !m.Unreachable {
			l.autoscaler.BootTimedOut(m.TypeName)
		}
	case m.InstanceType == nil && l.autoscaler.CatalogLoaded:
	default:
		return false
	}
	l.autoscaler.Release(m)
	return true
}

// bootSilenceFactor times the silence limit is how long a machine that has never reported may stay
// silent after FirstSeen, if that is later than its boot timeout.
const bootSilenceFactor = 3

// silenceLimits returns since when the machine counts as silent and how long it may be silent.
func (c *Core) silenceLimits(m *fleet.Machine, limits reviewLimits, booting bool) (since time.Time, limit time.Duration) {
	limit = c.reportLimit(m, limits)
	if !booting {
		return c.silentSince(m), c.leadership.relays.SilenceLimit(m, limit)
	}
	timeout := c.leadership.autoscaler.BootTimeout(m)
	if m.FirstSeen.Add(bootSilenceFactor * limit).After(m.RentedAt.Add(timeout)) {
		return m.FirstSeen, bootSilenceFactor * limit
	}
	return m.RentedAt, timeout
}

// reportLimit returns how long the machine may be silent, not counting delays by its relay.
func (c *Core) reportLimit(m *fleet.Machine, limits reviewLimits) time.Duration {
	limit := limits.silent
	if c.leadership.inventory.IsUnaccounted(m.Host) && (!m.Reported || c.lastContact(m) != m.LastHeartbeat) && limits.unaccounted < limit {
		// The failover waits for this machine, which is probably gone if most others report.
		limit = limits.unaccounted
		if m.FailedProbes >= probe.MaxAttempts {
			limit /= 2 // it does not answer probes
		}
	}
	if !m.InterruptionAt.IsZero() && c.Now.After(m.InterruptionAt.Add(time.Second)) {
		// After the announced interruption, one missing heartbeat suffices.
		limit = min(limit, c.heartbeatInterval*3/4)
	}
	return limit
}

// silentSince returns since when the machine counts as silent. A later change of its zone's state,
// or regained authority, restarts the count, because the machines then need a heartbeat interval to
// report again.
func (c *Core) silentSince(m *fleet.Machine) time.Time {
	l := c.leadership
	since := latest(c.lastContact(m), m.ZoneState.Since, l.resumedAt)
	if !m.Reported {
		since = latest(since, m.FirstSeen, l.electedAt)
	}
	return since
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// releaseIfUnneeded releases a machine without tasks if it is quarantined, draining, about to be
// interrupted, or idle for too long.
func (c *Core) releaseIfUnneeded(m *fleet.Machine, idle time.Duration) {
	switch {
	case m.Quarantined, m.Draining, !m.InterruptionAt.IsZero():
	case c.Now.Sub(m.IdleSince) > idle && c.Now.Sub(m.RentedAt) > autoscaler.MinRentalTime && !c.isNeededByQueue(m):
		c.Log(slog.LevelInfo, "releasing idle machine", "machine", m.Host, "type", m.TypeName)
	default:
		return
	}
	c.leadership.autoscaler.Release(m)
}

// isNeededByQueue reports whether the machine could run a task that waits in the queue.
func (c *Core) isNeededByQueue(m *fleet.Machine) bool {
	return slices.ContainsFunc(c.leadership.placement.Queue, func(j *fleet.Job) bool {
		return m.EligibleFor(j, c.Now) && c.leadership.placement.MayStartWithinLimit(j)
	})
}

// drainMachine stops the attempts for which mustStop holds. Tasks with checkpoints get time for a
// last one, unless the interruption leaves none.
func (c *Core) drainMachine(m *fleet.Machine) {
	if !m.Quarantined && !m.Draining && m.InterruptionAt.IsZero() {
		return
	}
	for _, r := range m.Attempts {
		if r.Phase == heartbeat.Exited || r.StopRequested || r.Job == nil || !c.mustStop(r, m) {
			continue
		}
		r.StopRequested, r.DrainTime = true, 0
		if s := &r.Job.Spec; s.CheckpointInterval > 0 && (m.InterruptionAt.IsZero() || m.InterruptionAt.Sub(c.Now) > s.CheckpointTime) {
			r.DrainTime = s.CheckpointTime + time.Second
		}
		c.leadership.dispatcher.Enqueue(m)
	}
}

const (
	// minRuntimeGainToMove plus twice its checkpoint time is the least remaining runtime for
	// which a task is moved off a draining machine.
	minRuntimeGainToMove = 10 * time.Second
	// checkpointSlack plus the heartbeat interval is the margin between the last checkpoint and
	// an interruption.
	checkpointSlack = 3 * time.Second
)

// mustStop reports whether to stop an attempt now on a machine that drainMachine drains.
func (c *Core) mustStop(r *fleet.Attempt, m *fleet.Machine) bool {
	s := &r.Job.Spec
	switch {
	case m.Quarantined:
		return true
	case m.InterruptionAt.IsZero():
		// On a draining machine, move only tasks with checkpoints that still run for long.
		return r.Phase == heartbeat.Running && s.CheckpointInterval > 0 && c.remainingRuntime(r) >= 2*s.CheckpointTime+minRuntimeGainToMove
	case r.Phase != heartbeat.Running || s.Service:
		return true
	case r.StartedAt.Add(c.leadership.placement.Estimate(r.Job)).Before(m.InterruptionAt):
		return false
	}
	// Take the last checkpoint as late as is safe.
	return s.CheckpointInterval <= 0 || m.InterruptionAt.Sub(c.Now) <= s.CheckpointTime+checkpointSlack+c.heartbeatInterval
}

// remainingRuntime returns an estimate, or timeline.Forever for a service.
func (c *Core) remainingRuntime(r *fleet.Attempt) time.Duration {
	if r.Job.Spec.Service {
		return timeline.Forever
	}
	return r.StartedAt.Add(c.leadership.placement.Estimate(r.Job)).Sub(c.Now)
}
