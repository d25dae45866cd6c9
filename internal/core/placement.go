package core

import (
	"time"

	"yewpass/internal/estimate"
	"yewpass/internal/fleet"
	"yewpass/internal/inventory"
	"yewpass/internal/spec"
)

// placementLeader implements placement.Leader for a leadership. The embedded inventory implements
// the rest.
type placementLeader struct {
	*inventory.Inventory
	core       *Core
	leadership *leadership
}

// IsActive implements placement.Leader.
func (p placementLeader) IsActive() bool { return p.core.isActive() }

// RequestDispatchAll implements placement.Leader.
func (p placementLeader) RequestDispatchAll() { p.leadership.dispatcher.EnqueueAll() }

// Backlog implements placement.Leader.
func (p placementLeader) Backlog() (work time.Duration, cpus float64) {
	return p.leadership.autoscaler.Backlog(), p.leadership.autoscaler.CPUs()
}

// deadlineLateness returns by how much a job would miss its deadline on the best existing or new
// machine; it is negative if the job would be on time.
func (c *Core) deadlineLateness(s *spec.Job) time.Duration {
	l := c.leadership
	best := l.placement.EarliestFinish(s)
	run := l.placement.PaddedSpecEstimate(s)
	for i := range l.autoscaler.InstanceTypes {
		f := &l.autoscaler.InstanceTypes[i]
		if fleet.AllowsInstanceType(s, f.Name) && s.TaskResources().Fits(f.Capacity) && (s.Zone == "" || fleet.OfferedIn(f, s.Zone)) && l.autoscaler.MayHaveCapacity(f, s.AllowSpot) {
			best = min(best, f.BootTime+estimate.ImageFetchTime(s, f)+run)
		}
	}
	return best - s.Deadline
}
