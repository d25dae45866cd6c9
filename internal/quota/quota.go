// Package quota implements the accounts of teams: their guarantees, their limits, and
// what their tasks use.
package quota

import (
	"math"
	"time"
	"yewpass/internal/config"
	"yewpass/internal/liveconfig"
	"yewpass/internal/timeline"
)

// ArrivalMemory is how long arrivals count towards the work to be expected.
const ArrivalMemory = 60 * time.Second

// ExpectedCPUs returns how many CPUs the team's recent arrivals keep busy.
func (t *Account) ExpectedCPUs(now time.Time) float64 {
	return t.Load * math.Exp(-now.Sub(t.LoadAt).Seconds()/ArrivalMemory.Seconds())
}

// Account is a team's account. What its tasks use is counted from the order to
// start until they are surely gone.
type Account struct {
	Configured        bool
	Retired           bool               // takes no new jobs; those that it has go on
	Guaranteed, Limit timeline.Resources // 0: none
	Allocated         timeline.Resources
	JobCount          int
	Load              float64 // CPUs that its arrivals keep busy, as of LoadAt
	LoadAt            time.Time
	LimitReached      bool // its limit has kept a task from a machine that had room
}

// FromSettings is the account of a team as the settings have it.
func FromSettings(t config.Team) *Account {
	return New(liveconfig.Team{Name: t.Name, CPUs: t.CPUs, CPUsMax: t.CPUsMax, GPUs: t.GPUs, GPUsMax: t.GPUsMax})
}

// New is the account of a team of that configuration.
func New(t liveconfig.Team) *Account {
	return &Account{
		Configured: true,
		Retired:    t.Retired,
		Guaranteed: timeline.Capacity(t.CPUs, t.GPUs, 0),
		Limit:      timeline.Capacity(t.CPUsMax, t.GPUsMax, 0),
	}
}

// Limited reports whether the team has a limit.
func (t *Account) Limited() bool { return t.Limit.CPU > 0 || t.Limit.GPU > 0 }

// FitsLimit reports whether n tasks fit into the team's limit on their own.
func (t *Account) FitsLimit(need timeline.Resources, n int) bool {
	return (t.Limit.CPU == 0 || need.CPU*int64(n) <= t.Limit.CPU) &&
		(t.Limit.GPU == 0 || need.GPU*int64(n) <= t.Limit.GPU)
}

// TasksWithinLimit says how many more tasks the team's limit allows, at most n.
func (t *Account) TasksWithinLimit(need timeline.Resources, n int) int {
	if t.Limit.CPU > 0 && need.CPU > 0 {
		n = min(n, int((t.Limit.CPU-t.Allocated.CPU)/need.CPU))
	}
	if t.Limit.GPU > 0 && need.GPU > 0 {
		n = min(n, int((t.Limit.GPU-t.Allocated.GPU)/need.GPU))
	}
	return max(n, 0)
}

// GuaranteedTasks says how many more tasks lie within the team's guarantee, at most n.
func (t *Account) GuaranteedTasks(need timeline.Resources, n int) int {
	if t.Guaranteed.CPU == 0 && t.Guaranteed.GPU == 0 {
		return 0
	}
	if need.CPU > 0 {
		n = min(n, int((t.Guaranteed.CPU-t.Allocated.CPU)/need.CPU))
	}
	if need.GPU > 0 {
		n = min(n, int((t.Guaranteed.GPU-t.Allocated.GPU)/need.GPU))
	}
	return max(n, 0)
}
