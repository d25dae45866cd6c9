package autoscaler

import (
	"slices"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/spec"
)

const (
	// maxUnplaceableTasks is for how many tasks of a job machines are rented at a time if no
	// machine at hand can take any.
	maxUnplaceableTasks = 8
	// minShortageCPUs is how many CPUs must be short for a machine to be rented.
	minShortageCPUs = 0.5
)

// ScaleOut requests instances while the waiting work would take longer than targetBacklog on
// those at hand. Beyond onDemandBacklog it requests on-demand instances where no spot
// instances are to be had.
func (a *Autoscaler) ScaleOut(targetBacklog, onDemandBacklog time.Duration) {
	if len(a.InstanceTypes) == 0 || !a.state.CanAct() {
		return
	}
	if !a.requestForUnplaceableJob() {
		return
	}
	all, onDemand := a.computeDemand()
	a.coverShortage(onDemand, targetBacklog, 0, true)
	a.coverShortage(all, targetBacklog, onDemandBacklog, false)
}

// requestForUnplaceableJob requests instances for the first job that no machine at hand can take;
// false if no request could be sent.
func (a *Autoscaler) requestForUnplaceableJob() bool {
	for _, j := range a.state.Queue() {
		if j.Reservations[0].Machine != nil || j.Halted() || slices.ContainsFunc(a.state.Machines(), func(m *fleet.Machine) bool { return m.EligibleFor(j) }) {
			continue
		}
		if !a.zoneAllowsRental(j.Spec.Zone) {
			continue // it waits for its zone, and must not keep others from renting
		}
		return a.requestInstances(requirement{spec: &j.Spec, cpus: float64(min(j.Waiting, maxUnplaceableTasks)) * j.Spec.CPUs, urgent: true})
	}
	return true
}

// coverShortage requests instances until the work is done within the target or no request
// can be sent.
func (a *Autoscaler) coverShortage(work workload, target, onDemandBacklog time.Duration, onDemandOnly bool) {
	total, free := a.supply(onDemandOnly)
	// Enough to do the work within the target, but never more than could be used at once.
	short := min(work.cpus-free, work.cpuSeconds/max(target.Seconds(), 1)-free)
	if total > 0 && work.cpuSeconds/total < target.Seconds()/3 {
		return
	}
	urgent := work.cpuSeconds/max(total, 1) > onDemandBacklog.Seconds()
	for short > minShortageCPUs {
		if !a.requestInstances(requirement{spec: &spec.Job{AllowSpot: !onDemandOnly}, cpus: short, urgent: urgent}) {
			return
		}
		_, freeNow := a.supply(onDemandOnly)
		if freeNow <= free {
			return
		}
		short -= freeNow - free
		free = freeNow
	}
}
