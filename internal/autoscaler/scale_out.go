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
	// minShortageCPUs is the shortage above which instances are requested.
	minShortageCPUs = 0.5
)

// ScaleOut requests instances while the backlog exceeds targetBacklog. Above onDemandBacklog it
// also requests on-demand instances for work that allows spot if no spot capacity is available.
func (a *Autoscaler) ScaleOut(targetBacklog, onDemandBacklog time.Duration) {
	if len(a.InstanceTypes) == 0 || !a.state.IsActive() {
		return
	}
	if !a.requestForUnplaceableJob() {
		return
	}
	all, onDemand := a.computeDemand()
	a.coverShortage(onDemand, targetBacklog, 0, true)
	a.coverShortage(all, targetBacklog, onDemandBacklog, false)
}

// requestForUnplaceableJob requests instances for the first job for which no machine will have room.
// It returns false if such a job exists and no request could be sent.
func (a *Autoscaler) requestForUnplaceableJob() bool {
	draining := a.drainingMachines()
	for _, j := range a.state.Queue() {
		if j.Reservations[0].Machine != nil || j.Halted() {
			continue
		}
		// A job whose zone allows no rental must not block requests for other jobs.
		if !a.zoneAllowsRental(j.Spec.Zone) || a.hasMachineFor(j) {
			continue
		}
		if a.returnToService(draining, j) {
			draining = a.drainingMachines()
			continue
		}
		return a.requestInstances(requirement{spec: &j.Spec, cpus: float64(min(j.Waiting, maxUnplaceableTasks)) * j.Spec.CPUs, urgent: true})
	}
	return true
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
		if !a.requestInstances(requirement{spec: &spec.Job{AllowSpot: !onDemandOnly}, cpus: shortage, urgent: urgent}) {
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
