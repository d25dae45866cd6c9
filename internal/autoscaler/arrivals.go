package autoscaler

import (
	"maps"
	"slices"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/quota"
)

// arrivals holds the state of the load forecast.
type arrivals struct {
	teams       map[string]*quota.Account
	burstCPUs   float64 // moving average of the CPUs of jobs that must start at once
	lastBurstAt time.Time
}

// burstSmoothing is the weight of the latest job in the exponential moving average burstCPUs.
const burstSmoothing = 0.15

// RecordArrival adds a new job's work to its team's load forecast.
func (a *Autoscaler) RecordArrival(j *fleet.Job) {
	seconds := quota.ArrivalTimeConstant.Seconds()
	if !j.Spec.Service {
		seconds = a.state.Estimate(j).Seconds()
	}
	if j.LatencySensitive {
		cpus := float64(j.Spec.Tasks) * float64(j.Need.CPU) / 1000
		if a.lastBurstAt.IsZero() {
			a.burstCPUs = cpus
		}
		a.burstCPUs += burstSmoothing * (cpus - a.burstCPUs)
		a.lastBurstAt = a.Now
	}
	t := j.Team
	t.ArrivalLoad = t.ExpectedCPUs(a.Now) + float64(j.Spec.Tasks)*float64(j.Need.CPU)/1000*seconds/quota.ArrivalTimeConstant.Seconds()
	t.LoadAt = a.Now
}

// BurstReserve returns how many millicores to keep free for jobs that must start at once: the given
// share of their average size, or 0 if none arrived within quota.ArrivalTimeConstant.
func (a *Autoscaler) BurstReserve(share float64) int64 {
	if a.Now.Sub(a.lastBurstAt) > quota.ArrivalTimeConstant {
		return 0
	}
	return int64(a.burstCPUs * share * 1000)
}

// forecastCPUs returns the number of CPUs that jobs will use if they keep arriving at the recent
// rate, capped at each team's limit.
func (a *Autoscaler) forecastCPUs() float64 {
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(a.teams)) {
		t := a.teams[name]
		cpus := t.ExpectedCPUs(a.Now)
		if t.Limit.CPU > 0 {
			cpus = min(cpus, float64(t.Limit.CPU)/1000)
		}
		sum += cpus
	}
	return sum
}
