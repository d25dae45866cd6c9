package autoscaler

import (
	"maps"
	"slices"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/quota"
)

// arrivals is what the jobs that arrive let expect.
type arrivals struct {
	teams       map[string]*quota.Account
	burstCPUs   float64 // CPUs that a job takes which must start at once, averaged
	lastBurstAt time.Time
}

// burstSmoothing is the weight of the latest job in the average of burstCPUs.
const burstSmoothing = 0.15

// RecordArrival takes in the work of a new job.
func (a *Autoscaler) RecordArrival(j *fleet.Job) {
	seconds := quota.ArrivalMemory.Seconds()
	if !j.Spec.Service {
		seconds = a.state.Estimate(j).Seconds()
	}
	if j.StartsAtOnce {
		cpus := float64(j.Spec.Tasks) * float64(j.Need.CPU) / 1000
		if a.lastBurstAt.IsZero() {
			a.burstCPUs = cpus
		}
		a.burstCPUs += burstSmoothing * (cpus - a.burstCPUs)
		a.lastBurstAt = a.Now
	}
	t := j.Team
	t.Load = t.ExpectedCPUs(a.Now) + float64(j.Spec.Tasks)*float64(j.Need.CPU)/1000*seconds/quota.ArrivalMemory.Seconds()
	t.LoadAt = a.Now
}

// BurstReserve returns how many thousandths of CPUs to keep free for jobs that must start at
// once: the given part of what such a job takes, 0 if none has come lately.
func (a *Autoscaler) BurstReserve(part float64) int64 {
	if a.Now.Sub(a.lastBurstAt) > quota.ArrivalMemory {
		return 0
	}
	return int64(a.burstCPUs * part * 1000)
}

// forecastCPUs returns how many CPUs the work of recent arrivals keeps busy, within the
// teams' limits.
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
