package core

import (
	"slices"
	"yewpass/internal/dispatch"
	"yewpass/internal/fleet"
	"yewpass/internal/timeline"
)

// maxIsolatedLeases is for how many leases we take ourselves to be cut off rather than most of
// the machines to be gone.
const maxIsolatedLeases = 2

// tickFleet does what the passing of time asks for.
func (c *Core) tickFleet() {
	l := c.leadership
	c.leadership.autoscaler.UpdateLoad()
	e := c.policyEnv()
	secs := timeline.Seconds
	l.dispatcher.Pacing = dispatch.Pacing{HoldIdle: secs(c.pol.HoldIdle(e)), HoldBusy: secs(c.pol.HoldBusy(e)), BytesPerSecond: c.pol.ReportBytes(e)}
	l.placement.Margin = c.pol.Margin(e)
	l.placement.FindOverdue(secs(c.pol.BeginWithin(e)))
	silent, idle := secs(c.pol.SilentRelease(e)), secs(c.pol.IdleReturn(e))
	if !c.canAct() {
		return
	}
	l.relays.NoteSilent()
	c.observeZones()
	// When most machines fall silent at once, it is rather we who are cut off.
	quiet, reporting := 0, 0
	overdue := map[*fleet.RelayLink]int{}
	for _, m := range l.inventory.Machines() {
		if m.Reported && !m.Unreachable {
			reporting++
			if m.ReportsVia != nil && l.relays.Overdue(m) {
				overdue[m.ReportsVia]++
			}
			if c.Now.Sub(c.lastHeard(m)) > silent {
				quiet++
			}
		}
	}
	l.relays.NoteIsolated(overdue)
	takeover := silent
	if 2*l.inventory.UnaccountedCount() < reporting {
		takeover = secs(c.pol.TakeoverRelease(e))
	}
	cutOff := quiet > 2 && 2*quiet > reporting
	if !cutOff {
		l.lastMostlyHeardAt = c.Now
	} else if c.Now.Sub(l.lastMostlyHeardAt) > maxIsolatedLeases*c.workerLease {
		// Machines that are no more, of which a late report has told, must not stand in
		// the way of all others for ever: they count as room, and nothing is rented.
		cutOff = false
	}
	for _, m := range slices.Clone(l.inventory.Machines()) {
		c.reviewMachine(m, silent, takeover, idle, cutOff)
	}
	l.machineRecords.DropExpired(c.earlierLeaseExpiry())
	c.reserveWarmRoom(c.pol.Warm(e))
	c.preemptForGuarantees()
	l.autoscaler.ScaleIn(l.allAccounted())
	l.placement.RereserveOverdue(tickEvery)
	// Releases go first: a take-over may wait for one, and rentals use up what
	// calls the cloud allows for as long as there is a backlog.
	c.leadership.autoscaler.SendReleases()
	l.autoscaler.ScaleOut(secs(c.pol.RentBacklog(e)), secs(c.pol.OrdinaryBacklog(e)))
}
