package core

import (
	"time"

	"yewpass/internal/config"
	"yewpass/internal/liveconfig"
	"yewpass/internal/timeline"
)

// team is a team's account. What its tasks use is counted from the order to
// start until they are surely gone.
type team struct {
	configured        bool
	retired           bool               // takes no new jobs; those that it has go on
	guaranteed, limit timeline.Resources // 0: none
	allocated         timeline.Resources
	jobCount          int
	load              float64 // CPUs that its arrivals keep busy, as of loadAt
	loadAt            time.Time
	limitReached      bool // its limit has kept a task from a machine that had room
}

// newTeam is the account of a team as the settings have it.
func newTeam(t config.Team) *team {
	return teamOf(liveconfig.Team{Name: t.Name, CPUs: t.CPUs, CPUsMax: t.CPUsMax, GPUs: t.GPUs, GPUsMax: t.GPUsMax})
}

// teamOf is the account of a team of that configuration.
func teamOf(t liveconfig.Team) *team {
	return &team{
		configured: true,
		retired:    t.Retired,
		guaranteed: timeline.Capacity(t.CPUs, t.GPUs, 0),
		limit:      timeline.Capacity(t.CPUsMax, t.GPUsMax, 0),
	}
}

func (t *team) limited() bool { return t.limit.CPU > 0 || t.limit.GPU > 0 }

// fitsLimit reports whether n tasks fit into the team's limit on their own.
func (t *team) fitsLimit(need timeline.Resources, n int) bool {
	return (t.limit.CPU == 0 || need.CPU*int64(n) <= t.limit.CPU) &&
		(t.limit.GPU == 0 || need.GPU*int64(n) <= t.limit.GPU)
}

// tasksWithinLimit says how many more tasks the team's limit allows, at most n.
func (t *team) tasksWithinLimit(need timeline.Resources, n int) int {
	if t.limit.CPU > 0 && need.CPU > 0 {
		n = min(n, int((t.limit.CPU-t.allocated.CPU)/need.CPU))
	}
	if t.limit.GPU > 0 && need.GPU > 0 {
		n = min(n, int((t.limit.GPU-t.allocated.GPU)/need.GPU))
	}
	return max(n, 0)
}

// guaranteedTasks says how many more tasks lie within the team's guarantee, at most n.
func (t *team) guaranteedTasks(need timeline.Resources, n int) int {
	if t.guaranteed.CPU == 0 && t.guaranteed.GPU == 0 {
		return 0
	}
	if need.CPU > 0 {
		n = min(n, int((t.guaranteed.CPU-t.allocated.CPU)/need.CPU))
	}
	if need.GPU > 0 {
		n = min(n, int((t.guaranteed.GPU-t.allocated.GPU)/need.GPU))
	}
	return max(n, 0)
}
