package autoscaler

import (
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/quota"
	"yewpass/internal/timeline"
)

// load holds the results of the last computeDemand.
type load struct {
	backlog time.Duration
	cpus    float64 // available or requested
}

// Backlog returns the time that the waiting work would take on all available and requested CPUs, as
// of the last update.
func (l *load) Backlog() time.Duration { return l.backlog }

// CPUs returns the number of available and requested CPUs, as of the last update.
func (l *load) CPUs() float64 { return l.cpus }

// UpdateLoad updates Backlog and CPUs.
func (a *Autoscaler) UpdateLoad() { a.computeDemand() }

// serviceWorkSeconds is the runtime assumed for tasks of services, which do not end.
const serviceWorkSeconds = 600

// workload is an amount of waiting work.
type workload struct {
	cpus       float64 // used if all its tasks run at the same time
	cpuSeconds float64
}

func (w *workload) add(cpus, seconds float64) {
	w.cpus += cpus
	w.cpuSeconds += cpus * seconds
}

// computeDemand returns the waiting work and the part of it that requires on-demand instances, and
// updates the load.
func (a *Autoscaler) computeDemand() (all, onDemand workload) {
	limits := map[*quota.Account]float64{} // CPUs left within the teams' limits
	for _, j := range a.state.Queue() {
		if j.Halted() || a.Now.Before(j.RetryAt) || !a.zoneAllowsRental(j.Spec.Zone) {
			continue // more machines would not let it start
		}
		if j.Reservations[0].Machine == nil && !a.hasOffer(a.requirementOf(j)) {
			continue // none that it could use can be requested
		}
		cpus := float64(j.Waiting) * float64(j.Need.CPU) / 1000
		if t := j.Team; t.Limit.CPU > 0 {
			left, ok := limits[t]
			if !ok {
				left = float64(t.Limit.CPU-t.Allocated.CPU) / 1000
			}
			cpus = min(cpus, left)
			limits[t] = left - cpus
		}
		seconds := float64(serviceWorkSeconds)
		if !j.Spec.Service {
			seconds = a.state.Estimate(j).Seconds() + 1
		}
		all.add(cpus, seconds)
		if !j.Spec.AllowSpot {
			onDemand.add(cpus, seconds)
		}
	}
	total, _ := a.supply(false)
	a.backlog, a.cpus = timeline.Seconds(all.cpuSeconds/max(total, 1)), total
	return all, onDemand
}

// zoneAllowsRental reports whether instances may be requested for a job restricted to the zone, or
// unrestricted ("").
func (a *Autoscaler) zoneAllowsRental(zone string) bool {
	return zone == "" || a.state.Zone(zone).AllowsRental()
}

// supply returns the number of available and requested CPUs, and how many of them are free.
func (a *Autoscaler) supply(onDemandOnly bool) (total, free float64) {
	for _, m := range a.state.Machines() {
		if !m.Schedulable() || onDemandOnly && m.Spot || a.isBootOverdue(m) {
			continue
		}
		total += m.InstanceType.CPUs
		free += float64(m.FreeResources().CPU) / 1000
	}
	for _, r := range a.pending {
		if !onDemandOnly || !r.Spot {
			total += r.cpus
			free += r.cpus
		}
	}
	return total, free
}

// isBootOverdue reports whether a machine has been booting for too long to count as supply.
func (a *Autoscaler) isBootOverdue(m *fleet.Machine) bool {
	return !m.Reported && a.Now.Sub(m.RentedAt) > 2*m.InstanceType.BootTime+10*time.Second
}
