package core

import (
	"slices"
	"time"

	"yewpass/internal/dispatch"
	"yewpass/internal/fleet"
	"yewpass/internal/policy"
	"yewpass/internal/timeline"
)

// tickFleet detects outages, reviews machines, preempts and scales.
func (c *Core) tickFleet() {
	l := c.leadership
	l.autoscaler.UpdateLoad()
	e := c.policyEnv()
	c.applyPolicy(e)
	if !c.isActive() {
		return
	}
	l.relays.MarkSilentRelays()
	l.outages.Observe()
	c.reviewMachines(e)
	l.machineRecords.DropExpired(c.earlierLeaseExpiry())
	l.placement.ReserveWarmCapacity(l.autoscaler.BurstReserve(c.pol.Warm(e)))
	c.preemptForGuarantees()
	l.autoscaler.ScaleIn(l.allAccounted())
	l.placement.RefreshDueReservations(tickInterval)
	// Send releases first: a failover may wait for one, and scaling out can use up the rate limit.
	l.autoscaler.SendReleases()
	l.autoscaler.ScaleOut(timeline.Seconds(c.pol.RentBacklog(e)), timeline.Seconds(c.pol.OrdinaryBacklog(e)))
}

func (c *Core) applyPolicy(e policy.Env) {
	l := c.leadership
	l.dispatcher.Pacing = dispatch.Pacing{
		IdleReplyDelay: timeline.Seconds(c.pol.IdleReplyDelay(e)),
		BusyReplyDelay: timeline.Seconds(c.pol.BusyReplyDelay(e)),
		BytesPerSecond: c.pol.ReportBytes(e),
	}
	l.placement.EstimateMargin = c.pol.Margin(e)
	l.placement.FindStarvedJobs(timeline.Seconds(c.pol.BeginWithin(e)))
}

// reviewMachines reviews each machine against the policy. The limit for machines that a failover
// waits for applies only once most machines report.
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

// countReporting counts the reachable machines that have reported in this term, those of them
// silent for longer than the limit, and the overdue workers of each relay.
func (c *Core) countReporting(limit time.Duration) (reporting, silent int, overdue map[*fleet.RelayLink]int) {
	overdue = map[*fleet.RelayLink]int{}
	for _, m := range c.leadership.inventory.Machines() {
		if !m.Reported || m.Unreachable {
			continue
		}
		reporting++
		if m.Relay != nil && c.leadership.relays.IsOverdue(m) {
			overdue[m.Relay]++
		}
		if c.Now.Sub(c.lastContact(m)) > limit {
			silent++
		}
	}
	return reporting, silent, overdue
}

// maxIsolatedLeases is how many worker leases the leader assumes that it is isolated before it
// treats silent machines as lost.
const maxIsolatedLeases = 2

// isIsolated reports whether so many machines are silent at once that the leader itself is more
// likely to be isolated.
func (c *Core) isIsolated(reporting, silent int) bool {
	if silent <= 2 || 2*silent <= reporting {
		c.leadership.lastMajorityReportingAt = c.Now
		return false
	}
	// The assumption expires, because machines that no longer exist, added by a late heartbeat,
	// would otherwise count as capacity forever.
	return c.Now.Sub(c.leadership.lastMajorityReportingAt) <= maxIsolatedLeases*c.workerLease
}
