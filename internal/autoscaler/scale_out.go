package autoscaler

import (
	"slices"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/spec"
)

const (
	// maxUnplaceableTasks bounds the tasks that one request covers when no machine is eligible for
	// a job.
	maxUnplaceableTasks = 8
	// maxJobsExamined bounds how many jobs one call examines for a machine that will have room.
	maxJobsExamined = 32
	// minShortageCPUs is the shortage above which instances are requested.
	minShortageCPUs = 0.5
)

// ScaleOut requests instances while the backlog exceeds targetBacklog. Above onDemandBacklog it
// also requests on-demand instances for work that allows spot if no spot capacity is available.
func (a *Autoscaler) ScaleOut(targetBacklog, onDemandBacklog time.Duration) {
	if len(a.InstanceTypes) == 0 || !a.state.IsActive() {
		return
	}
	if !a.requestForUnplaceableJobs() {
		return
	}
	all, onDemand := a.computeDemand()
	a.coverShortage(onDemand, targetBacklog, 0, true)
	a.coverShortage(all, targetBacklog, onDemandBacklog, false)
}

// requestForUnplaceableJobs requests instances for the first job for which no machine will have room
// and instances are on offer. It returns false if no request can be sent for any job.
func (a *Autoscaler) requestForUnplaceableJobs() bool {
	draining := a.drainingMachines()
	for _, j := range a.jobsWithoutMachine() {
		j.ExaminedForRequest = a.Now
		if a.hasMachineFor(j) {
			continue
		}
		if a.returnToService(draining, j) {
			draining = a.drainingMachines()
			continue
		}
		want := a.requirementOf(j)
		want.cpus = float64(min(j.Waiting, maxUnplaceableTasks)) * j.Spec.CPUs
		switch a.requestInstances(want) {
		case requestSent:
			return true
		case requestsSuspended:
			return false
		case noOffer: // must not keep others waiting
		}
	}
	return true
}

// requirementOf returns the requirement of instances that can run the job, without an amount.
func (a *Autoscaler) requirementOf(j *fleet.Job) requirement {
	return requirement{spec: &j.Spec, urgent: true}
}

// jobsWithoutMachine returns up to maxJobsExamined jobs without a reservation on any machine, whose
// zones allow requests for instances.
func (a *Autoscaler) jobsWithoutMachine() (jobs []*fleet.Job) {
	for _, j := range a.state.Queue() {
		if j.Reservations[0].Machine == nil && !j.Halted() && a.zoneAllowsRental(j.Spec.Zone) {
			jobs = append(jobs, j)
		}
	}
	return leastRecent(jobs, maxJobsExamined, func(j *fleet.Job) time.Time { return j.ExaminedForRequest })
}

// leastRecent returns up to n of the jobs: those whose last examination is the longest ago, and in
// the given order where that is equal. It may reorder jobs.
func leastRecent(jobs []*fleet.Job, n int, examined func(*fleet.Job) time.Time) []*fleet.Job {
	if len(jobs) <= n {
		return jobs
	}
	slices.SortStableFunc(jobs, func(a, b *fleet.Job) int { return examined(a).Compare(examined(b)) })
	return jobs[:n]
}

// hasMachineFor reports whether any machine is eligible for the job and has or will have room for
// one of its tasks. The tasks of services leave no room at any time.
func (a *Autoscaler) hasMachineFor(j *fleet.Job) bool {
	return slices.ContainsFunc(a.state.Machines(), func(m *fleet.Machine) bool {
		if !m.EligibleFor(j, a.Now) {
			return false
		}
		_, ok := m.Timeline.EarliestStart(a.Now, fleet.ReservationDuration(j, m, a.state.Estimate(j)), j.Need)
		return ok
	})
}

// coverShortage requests instances until the supply can finish the work within the target, or until
// no request can be sent.
func (a *Autoscaler) coverShortage(work workload, target, onDemandBacklog time.Duration, onDemandOnly bool) {
	total, free := a.supply(onDemandOnly)
	// Never request more than can run in parallel.
	shortage := min(work.cpus-free, work.cpuSeconds/max(target.Seconds(), 1)-free)
	if total > 0 && work.cpuSeconds/total < target.Seconds()/3 {
		return
	}
	urgent := work.cpuSeconds/max(total, 1) > onDemandBacklog.Seconds()
	for shortage > minShortageCPUs {
		if a.requestInstances(requirement{spec: &spec.Job{AllowSpot: !onDemandOnly}, cpus: shortage, urgent: urgent}) != requestSent {
			return
		}
		_, freeNow := a.supply(onDemandOnly)
		if freeNow <= free {
			return
		}
		shortage -= freeNow - free
		free = freeNow
	}
}
