package core

import (
	"time"

	"yewpass/internal/estimate"
	"yewpass/internal/fleet"
	"yewpass/internal/inventory"
	"yewpass/internal/spec"
)

// placementLeader is a leadership as the placement of its tasks sees it.
type placementLeader struct {
	*inventory.Inventory
	core       *Core
	leadership *leadership
}

// CanAct implements placement.Leader.
func (p placementLeader) CanAct() bool { return p.core.canAct() }

// DispatchAll implements placement.Leader.
func (p placementLeader) DispatchAll() { p.leadership.dispatcher.RequestAll() }

// Backlog implements placement.Leader.
func (p placementLeader) Backlog() (work time.Duration, cpus float64) {
	return p.leadership.autoscaler.Backlog(), p.leadership.autoscaler.CPUs()
}

// lateness returns by how much a job with a deadline would miss it on the best machine at
// hand or of a type that can be rented.
func (c *Core) lateness(s *spec.Job) time.Duration {
	l := c.leadership
	best := l.placement.EarliestFinish(s)
	run := l.placement.PaddedSpecEstimate(s)
	for i := range l.autoscaler.InstanceTypes {
		f := &l.autoscaler.InstanceTypes[i]
		if fleet.AllowsInstanceType(s, f.Name) && s.TaskResources().Fits(f.Capacity) && (s.Zone == "" || fleet.OfferedIn(f, s.Zone)) && l.autoscaler.MayHaveCapacity(f, s.AllowSpot) {
			best = min(best, f.BootTime+estimate.ImageFetch(s, f)+run)
		}
	}
	return best - s.Deadline
}
