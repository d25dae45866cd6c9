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

// reviewLimits is what machines are reviewed by.
type reviewLimits struct {
	silent      time.Duration // a machine that is silent for longer is released
	unaccounted time.Duration // the same for a machine that is not accounted for after a failover
	idle        time.Duration // a machine that is idle for longer is released
	isolated    bool          // the leader itself seems to be cut off: silence says nothing
}

// reviewMachine expires the machine's lease, drains it and releases it as is due.
func (c *Core) reviewMachine(m *fleet.Machine, limits reviewLimits) {
	unaccounted := c.leadership.inventory.Unaccounted(m.Host)
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

// releaseIfLost releases a machine that is silent for too long or of a type that does not
// exist, and reports whether it has.
func (c *Core) releaseIfLost(m *fleet.Machine, limits reviewLimits) bool {
	l := c.leadership
	booting := m.LastHeartbeat.IsZero() && !l.inventory.Unaccounted(m.Host)
	since, limit := c.silence(m, limits, booting)
	silent := c.Now.Sub(since)
	switch {
	case m.Unreachable && !l.inventory.Unaccounted(m.Host) && (!booting || silent <= 2*limit):
		return false // its zone is cut off, and it is kept or released with the others there
	case silent > limit && (!limits.isolated || booting):
		c.Log(slog.LevelWarn, "releasing silent machine", "machine", m.Host, "type", m.TypeName, "silent", silent, "tasks", len(m.Attempts), "booted", !booting)
		if booting && !m.Unreachable {
			l.autoscaler.BootTimedOut(m.TypeName)
		}
	case m.InstanceType == nil && l.autoscaler.Loaded: // the catalog does not have its type
	default:
		return false
	}
	l.autoscaler.Release(m)
	return true
}

// bootSilenceFactor is by how many times the limit on silence a machine may be silent after
// it became known, if that is longer than its boot may take.
const bootSilenceFactor = 3

// silence returns since when the machine counts as silent, and for how long it may be.
func (c *Core) silence(m *fleet.Machine, limits reviewLimits, booting bool) (since time.Time, limit time.Duration) {
	limit = c.reportLimit(m, limits)
	if !booting {
		return c.silentSince(m), c.leadership.relays.SilenceLimit(m, limit)
	}
	timeout := c.leadership.autoscaler.BootTimeout(m)
	if m.KnownSince.Add(bootSilenceFactor * limit).After(m.RentedAt.Add(timeout)) {
		return m.KnownSince, bootSilenceFactor * limit
	}
	return m.RentedAt, timeout
}

// reportLimit returns for how long the machine may fail to report, its relay aside.
func (c *Core) reportLimit(m *fleet.Machine, limits reviewLimits) time.Duration {
	limit := limits.silent
	if c.leadership.inventory.Unaccounted(m.Host) && (!m.Reported || c.lastHeard(m) != m.LastHeartbeat) && limits.unaccounted < limit {
		// The failover waits for it. Once most others have found this leader, it is gone or
		// cut off.
		limit = limits.unaccounted
		if m.FailedProbes >= probe.MaxAttempts {
			limit /= 2 // it does not answer probes either
		}
	}
	if !m.InterruptionAt.IsZero() && c.Now.After(m.InterruptionAt.Add(time.Second)) {
		// Its notice has run out: a report that is a little overdue is proof enough.
		limit = min(limit, c.heartbeatInterval*3/4)
	}
	return limit
}

// silentSince returns since when the machine counts as silent. Machines of a zone that
// returns report one after the other over a heartbeat interval, and so do those that tried in
// vain while the leader had no authority.
func (c *Core) silentSince(m *fleet.Machine) time.Time {
	l := c.leadership
	since := latest(c.lastHeard(m), m.ZoneState.Since, l.resumedAt)
	if !m.Reported {
		since = latest(since, m.KnownSince, l.electedAt)
	}
	return since
}

// latest returns the latest of the times.
func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// releaseIfUnneeded releases a machine without tasks that is to go, or is idle for too long.
func (c *Core) releaseIfUnneeded(m *fleet.Machine, idle time.Duration) {
	switch {
	case m.Quarantined, m.Draining, !m.InterruptionAt.IsZero():
	case c.Now.Sub(m.IdleSince) > idle && c.Now.Sub(m.RentedAt) > autoscaler.MinRentalTime && !c.isWanted(m):
		c.Log(slog.LevelInfo, "releasing idle machine", "machine", m.Host, "type", m.TypeName)
	default:
		return
	}
	c.leadership.autoscaler.Release(m)
}

// isWanted reports whether waiting tasks could use the machine.
func (c *Core) isWanted(m *fleet.Machine) bool {
	return slices.ContainsFunc(c.leadership.placement.Queue, func(j *fleet.Job) bool {
		return m.EligibleFor(j) && c.leadership.placement.CouldStart(j)
	})
}

// drainMachine stops the tasks of a machine that is to go, as far as they will not be over in
// time. Those that take checkpoints take a last one; the others go on.
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
		c.leadership.dispatcher.Request(m)
	}
}

const (
	// minMoveGain is how much longer than two checkpoints a task must still run to be moved
	// off a machine that drains.
	minMoveGain = 10 * time.Second
	// checkpointSlack is how much earlier than necessary a task takes its last checkpoint
	// before an interruption, the heartbeat interval aside.
	checkpointSlack = 3 * time.Second
)

// mustStop reports whether an attempt is to be stopped now, on a machine that is quarantined,
// drains or is to be interrupted.
func (c *Core) mustStop(r *fleet.Attempt, m *fleet.Machine) bool {
	s := &r.Job.Spec
	switch {
	case m.Quarantined:
		return true
	case m.InterruptionAt.IsZero():
		// Only tasks that take checkpoints are moved, and only if they have long to go.
		return r.Phase == heartbeat.Running && s.CheckpointInterval > 0 && c.remaining(r) >= 2*s.CheckpointTime+minMoveGain
	case r.Phase != heartbeat.Running || s.Service:
		return true
	case r.StartedAt.Add(c.leadership.placement.Estimate(r.Job)).Before(m.InterruptionAt):
		return false
	}
	// The last checkpoint is taken as late as is safe.
	return s.CheckpointInterval <= 0 || m.InterruptionAt.Sub(c.Now) <= s.CheckpointTime+checkpointSlack+c.heartbeatInterval
}

// remaining returns how long an attempt is estimated to run from now on.
func (c *Core) remaining(r *fleet.Attempt) time.Duration {
	if r.Job.Spec.Service {
		return timeline.Forever
	}
	return r.StartedAt.Add(c.leadership.placement.Estimate(r.Job)).Sub(c.Now)
}
