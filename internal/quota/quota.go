// Package quota tracks the guaranteed quota, the limit and the resource use of each team.
package quota

import (
	"math"
	"time"

	"yewpass/internal/liveconfig"
	"yewpass/internal/timeline"
)

// ArrivalTimeConstant is the time constant of the exponential decay of ArrivalLoad.
const ArrivalTimeConstant = 60 * time.Second

// Account holds the quota and use of a team. A task counts as allocated from its start order until
// it is known to be gone.
type Account struct {
	Configured        bool               // false for a removed team whose jobs still run
	Retired           bool               // accepts no new jobs; existing jobs continue
	Guaranteed, Limit timeline.Resources // a zero resource has no guarantee or limit
	Allocated         timeline.Resources
	JobCount          int
	ArrivalLoad       float64 // CPUs kept busy by recent submissions, as of LoadAt
	LoadAt            time.Time
	LimitReached      bool // the limit has prevented a start on a machine with free resources
}

// New returns an unused account with the given configuration.
func New(team liveconfig.Team) *Account {
	a := &Account{}
	a.configure(team)
	return a
}

func (a *Account) configure(team liveconfig.Team) {
	a.Configured, a.Retired = true, team.Retired
	a.Guaranteed = timeline.Capacity(team.CPUs, team.GPUs, 0)
	a.Limit = timeline.Capacity(team.CPUsMax, team.GPUsMax, 0)
}

// ExpectedCPUs returns how many CPUs the team's recent submissions keep busy, decayed to now.
func (a *Account) ExpectedCPUs(now time.Time) float64 {
	return a.ArrivalLoad * math.Exp(-now.Sub(a.LoadAt).Seconds()/ArrivalTimeConstant.Seconds())
}

// HasLimit reports whether the team has a limit on CPUs or GPUs.
func (a *Account) HasLimit() bool { return a.Limit.CPU > 0 || a.Limit.GPU > 0 }

// HasGuarantee reports whether the team has a guarantee of CPUs or GPUs.
func (a *Account) HasGuarantee() bool { return a.Guaranteed.CPU > 0 || a.Guaranteed.GPU > 0 }

// FitsLimit reports whether n tasks alone fit into the team's limit.
func (a *Account) FitsLimit(need timeline.Resources, n int) bool {
	return (a.Limit.CPU == 0 || need.CPU*int64(n) <= a.Limit.CPU) &&
		(a.Limit.GPU == 0 || need.GPU*int64(n) <= a.Limit.GPU)
}

// TasksWithinLimit returns how many more tasks, at most n, the team's limit allows.
func (a *Account) TasksWithinLimit(need timeline.Resources, n int) int {
	if a.Limit.CPU > 0 && need.CPU > 0 {
		n = min(n, int((a.Limit.CPU-a.Allocated.CPU)/need.CPU))
	}
	if a.Limit.GPU > 0 && need.GPU > 0 {
		n = min(n, int((a.Limit.GPU-a.Allocated.GPU)/need.GPU))
	}
	return max(n, 0)
}

// TasksWithinGuarantee returns how many more tasks, at most n, fit into the team's guarantee. It is
// 0 for teams without a guarantee.
func (a *Account) TasksWithinGuarantee(need timeline.Resources, n int) int {
	if !a.HasGuarantee() {
		return 0
	}
	if need.CPU > 0 {
		n = min(n, int((a.Guaranteed.CPU-a.Allocated.CPU)/need.CPU))
	}
	if need.GPU > 0 {
		n = min(n, int((a.Guaranteed.GPU-a.Allocated.GPU)/need.GPU))
	}
	return max(n, 0)
}

// Accounts holds the accounts of all teams by name.
type Accounts map[string]*Account

// Configure applies the configuration of a team, creating its account if needed. Its current use is
// kept.
func (as Accounts) Configure(team liveconfig.Team) {
	if as[team.Name] == nil {
		as[team.Name] = &Account{}
	}
	as[team.Name].configure(team)
}

// AnyGuarantee reports whether any team has a guarantee.
func (as Accounts) AnyGuarantee() bool {
	for _, a := range as {
		if a.HasGuarantee() {
			return true
		}
	}
	return false
}
