package core

import (
	"log/slog"
	"slices"
	"time"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/timeline"
)

// reviewMachine looks after one machine.
func (c *Core) reviewMachine(m *fleet.Machine, silent, takeover, idle time.Duration, cutOff bool) {
	l := c.leadership
	if (len(m.Attempts) > 0 || l.inventory.Unaccounted(m.Host)) && (m.Reported || l.inventory.Unaccounted(m.Host)) {
		if at, ok := l.inventory.LeaseExpiry(m, c.earlierLeaseExpiry()); ok && c.Now.After(at) {
			c.expireLease(m)
		}
	}
	if m.Releasing {
		return
	}
	seen := c.lastHeard(m)
	if l.inventory.Unaccounted(m.Host) && (!m.Reported || seen != m.LastHeartbeat) && takeover < silent {
		// Everything waits for it. When most others have found us, it is gone
		// or cut off.
		silent = takeover
		if m.FailedProbes >= maxProbeAttempts {
			silent /= 2 // it does not answer us either
		}
	}
	if !m.InterruptionAt.IsZero() && c.Now.After(m.InterruptionAt.Add(time.Second)) {
		// Its notice has run out: a report that is a little overdue says enough.
		silent = min(silent, c.heartbeatInterval*3/4)
	}
	// A zone that returns does so over a report interval, and so do those who have tried
	// in vain while we had no authority.
	last := maxTime(seen, maxTime(m.ZoneState.Since, l.resumedAt))
	if !m.Reported {
		last = maxTime(last, maxTime(m.KnownSince, l.electedAt))
	}
	wait := c.leadership.relays.SilenceLimit(m, silent)
	booting := m.LastHeartbeat.IsZero() && !l.inventory.Unaccounted(m.Host)
	if booting {
		last, wait = m.RentedAt, l.autoscaler.BootTimeout(m)
		if m.KnownSince.Add(3 * silent).After(last.Add(wait)) {
			last, wait = m.KnownSince, 3*silent
		}
	}
	switch {
	case m.Unreachable && !l.inventory.Unaccounted(m.Host) && (!booting || c.Now.Sub(last) <= 2*wait):
		// Its zone is cut off: see releaseLostZones.
	case c.Now.Sub(last) > wait && (!cutOff || booting):
		c.Log(slog.LevelWarn, "releasing silent machine", "machine", m.Host, "type", m.TypeName, "silent", c.Now.Sub(last), "tasks", len(m.Attempts), "booted", !booting)
		if booting && !m.Unreachable {
			l.autoscaler.BootTimedOut(m.TypeName)
		}
		c.leadership.autoscaler.Release(m)
		return
	case m.InstanceType == nil && l.autoscaler.Loaded:
		c.leadership.autoscaler.Release(m) // of a type that the catalog does not have
		return
	}
	if !m.Reported {
		return
	}
	c.drainMachine(m)
	if len(m.Attempts) > 0 {
		return
	}
	age := c.Now.Sub(m.RentedAt)
	switch {
	case m.Quarantined, m.Draining, !m.InterruptionAt.IsZero():
		c.leadership.autoscaler.Release(m)
	case c.Now.Sub(m.IdleSince) > idle && age > 50*time.Second && !c.isWanted(m):
		c.Log(slog.LevelInfo, "releasing idle machine", "machine", m.Host, "type", m.TypeName)
		c.leadership.autoscaler.Release(m)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isWanted reports whether waiting tasks could use the machine.
func (c *Core) isWanted(m *fleet.Machine) bool {
	return slices.ContainsFunc(c.leadership.placement.Queue, func(j *fleet.Job) bool {
		return m.EligibleFor(j) && c.leadership.placement.CouldStart(j)
	})
}

// drainMachine empties a machine that the cloud takes away or that is condemned: tasks
// that will not be over in time save and go, the others finish.
func (c *Core) drainMachine(m *fleet.Machine) {
	if !m.Quarantined && !m.Draining && m.InterruptionAt.IsZero() {
		return
	}
	for _, r := range m.Attempts {
		if r.Phase == heartbeat.Exited || r.StopRequested || r.Job == nil {
			continue
		}
		left := m.InterruptionAt.Sub(c.Now)
		switch {
		case m.Quarantined:
		case m.InterruptionAt.IsZero():
			// Only what saves is moved, and only when it has long to go.
			s := &r.Job.Spec
			if r.Phase != heartbeat.TaskRuns || s.CheckpointInterval <= 0 || c.remaining(r) < 2*s.CheckpointTime+10*time.Second {
				continue
			}
		case r.Phase == heartbeat.TaskRuns && !r.Job.Spec.Service:
			end := r.StartedAt.Add(c.leadership.placement.Estimate(r.Job))
			if end.Before(m.InterruptionAt) {
				continue
			}
			if s := r.Job.Spec.CheckpointTime; r.Job.Spec.CheckpointInterval > 0 && left > s+3*time.Second+c.heartbeatInterval {
				continue // saves a little later, as late as is safe
			}
		}
		r.StopRequested, r.DrainTime = true, 0
		if s := r.Job.Spec.CheckpointTime; r.Job.Spec.CheckpointInterval > 0 && (m.InterruptionAt.IsZero() || left > s) {
			r.DrainTime = s + time.Second
		}
		c.leadership.dispatcher.Request(m)
	}
}

// remaining is how long a run still takes, as far as we know.
func (c *Core) remaining(r *fleet.Attempt) time.Duration {
	if r.Job.Spec.Service {
		return timeline.Forever
	}
	return r.StartedAt.Add(c.leadership.placement.Estimate(r.Job)).Sub(c.Now)
}
