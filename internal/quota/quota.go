// Package quota implements the accounts of teams: their guarantees, their limits, and
// what their tasks use.
package quota

import (
	"math"
	"time"

	"yewpass/internal/liveconfig"
	"yewpass/internal/timeline"
)

// ArrivalTimeConstant is the time constant by which arrivals stop counting towards the work
// to be expected.
const ArrivalTimeConstant = 60 * time.Second

// Account is the account of a team. A task counts as allocated from the order to start
// it until it is known to be gone.
type Account struct {
	Configured        bool               // in the settings or by an operator; other teams just submit jobs
	Retired           bool               // accepts no new jobs; existing ones go on
	Guaranteed, Limit timeline.Resources // 0: none
	Allocated         timeline.Resources
	JobCount          int
	ArrivalLoad       float64 // CPUs that its arrivals keep busy, as of LoadAt
	LoadAt            time.Time
	LimitReached      bool // its limit has kept a task off a machine that had room
}

// New returns an empty account of a team with this configuration.
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

// ExpectedCPUs returns how many CPUs the team's arrivals are expected to keep busy.
func (a *Account) ExpectedCPUs(now time.Time) float64 {
	return a.ArrivalLoad * math.Exp(-now.Sub(a.LoadAt).Seconds()/ArrivalTimeConstant.Seconds())
}

// HasLimit reports whether the team has a limit.
func (a *Account) HasLimit() bool { return a.Limit.CPU > 0 || a.Limit.GPU > 0 }

// HasGuarantee reports whether the team has a guarantee.
func (a *Account) HasGuarantee() bool { return a.Guaranteed.CPU > 0 || a.Guaranteed.GPU > 0 }

// FitsLimit reports whether n tasks fit into the team's limit on their own.
func (a *Account) FitsLimit(need timeline.Resources, n int) bool {
	return (a.Limit.CPU == 0 || need.CPU*int64(n) <= a.Limit.CPU) &&
		(a.Limit.GPU == 0 || need.GPU*int64(n) <= a.Limit.GPU)
}

// TasksWithinLimit returns how many more tasks the team's limit allows, at most n.
func (a *Account) TasksWithinLimit(need timeline.Resources, n int) int {
	if a.Limit.CPU > 0 && need.CPU > 0 {
		n = min(n, int((a.Limit.CPU-a.Allocated.CPU)/need.CPU))
	}
	if a.Limit.GPU > 0 && need.GPU > 0 {
		n = min(n, int((a.Limit.GPU-a.Allocated.GPU)/need.GPU))
	}
	return max(n, 0)
}

// TasksWithinGuarantee returns how many more tasks lie within the team's guarantee, at most n.
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

// Accounts holds the accounts of teams by name.
type Accounts map[string]*Account

// Configure puts the configuration of a team into force. What the team uses stays.
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
