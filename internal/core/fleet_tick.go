package core

import (
	"slices"
	"time"

	"yewpass/internal/dispatch"
	"yewpass/internal/fleet"
	"yewpass/internal/policy"
	"yewpass/internal/timeline"
)

// tickFleet is the leader's regular look at the fleet.
func (c *Core) tickFleet() {
	l := c.leadership
	l.autoscaler.UpdateLoad()
	e := c.policyEnv()
	c.applyPolicy(e)
	if !c.canAct() {
		return
	}
	l.relays.MarkSilentRelays()
	l.outages.Observe()
	c.reviewMachines(e)
	l.machineRecords.DropExpired(c.earlierLeaseExpiry())
	l.placement.ReserveWarmRoom(l.autoscaler.BurstRoom(c.pol.Warm(e)))
	c.preemptForGuarantees()
	l.autoscaler.ScaleIn(l.allAccounted())
	l.placement.RereserveOverdue(tickEvery)
	// Releases go first: a failover may wait for one, and requests for instances use up what
	// calls the cloud allows for as long as there is a backlog.
	l.autoscaler.SendReleases()
	l.autoscaler.ScaleOut(timeline.Seconds(c.pol.RentBacklog(e)), timeline.Seconds(c.pol.OrdinaryBacklog(e)))
}

// applyPolicy sets what the operators' policy says for the present backlog.
func (c *Core) applyPolicy(e policy.Env) {
	l := c.leadership
	l.dispatcher.Pacing = dispatch.Pacing{
		HoldIdle:       timeline.Seconds(c.pol.HoldIdle(e)),
		HoldBusy:       timeline.Seconds(c.pol.HoldBusy(e)),
		BytesPerSecond: c.pol.ReportBytes(e),
	}
	l.placement.Margin = c.pol.Margin(e)
	l.placement.FindOverdue(timeline.Seconds(c.pol.BeginWithin(e)))
}

// reviewMachines reviews all machines by the limits of the policy.
func (c *Core) reviewMachines(e policy.Env) {
	l := c.leadership
	limits := reviewLimits{
		silent: timeline.Seconds(c.pol.SilentRelease(e)),
		idle:   timeline.Seconds(c.pol.IdleReturn(e)),
	}
	reporting, silent, overdue := c.countReporting(limits.silent)
	l.relays.MarkIsolatedRelays(overdue)
	limits.unaccounted = limits.silent
	if 2*l.inventory.UnaccountedCount() < reporting {
		limits.unaccounted = timeline.Seconds(c.pol.TakeoverRelease(e))
	}
	limits.isolated = c.isIsolated(reporting, silent)
	for _, m := range slices.Clone(l.inventory.Machines()) {
		c.reviewMachine(m, limits)
	}
}

// countReporting returns how many reachable machines have reported in this term, and how many
// of them have been silent for longer than the limit, and of how many workers of each relay
// the reports are overdue.
func (c *Core) countReporting(limit time.Duration) (reporting, silent int, overdue map[*fleet.RelayLink]int) {
	overdue = map[*fleet.RelayLink]int{}
	for _, m := range c.leadership.inventory.Machines() {
		if !m.Reported || m.Unreachable {
			continue
		}
		reporting++
		if m.ReportsVia != nil && c.leadership.relays.IsOverdue(m) {
			overdue[m.ReportsVia]++
		}
		if c.Now.Sub(c.lastHeard(m)) > limit {
			silent++
		}
	}
	return reporting, silent, overdue
}

// maxIsolatedLeases is for how many worker leases the leader takes itself to be isolated
// before it takes the silent machines to be gone.
const maxIsolatedLeases = 2

// isIsolated reports whether so many machines are silent at once that it is more likely the
// leader that is cut off.
func (c *Core) isIsolated(reporting, silent int) bool {
	if silent <= 2 || 2*silent <= reporting {
		c.leadership.lastMostlyHeardAt = c.Now
		return false
	}
	// Machines that no longer exist, which a late report has made known, must not block the
	// others for ever: they count as room, so nothing is rented.
	return c.Now.Sub(c.leadership.lastMostlyHeardAt) <= maxIsolatedLeases*c.workerLease
}
