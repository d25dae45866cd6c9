package autoscaler

import (
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/quota"
	"yewpass/internal/timeline"
)

// load is the waiting work and the machines for it as of the last look.
type load struct {
	backlog time.Duration
	cpus    float64 // at hand or on their way
}

// Backlog returns how long the waiting work would take on all CPUs at hand or on their way.
func (l *load) Backlog() time.Duration { return l.backlog }

// CPUs returns how many CPUs are at hand or on their way.
func (l *load) CPUs() float64 { return l.cpus }

// UpdateLoad computes the backlog anew.
func (a *Autoscaler) UpdateLoad() { a.computeDemand() }

// serviceWorkSeconds is for how long a waiting service counts as work.
const serviceWorkSeconds = 600

// workload is waiting work.
type workload struct {
	cpus       float64 // that its tasks take together
	cpuSeconds float64
}

func (w *workload) add(cpus, seconds float64) {
	w.cpus += cpus
	w.cpuSeconds += cpus * seconds
}

// computeDemand sums up the waiting work, and the part of it that needs on-computeDemand instances, and
// updates the load.
func (a *Autoscaler) computeDemand() (all, onDemand workload) {
	limits := map[*quota.Account]float64{} // CPUs that teams may still use
	for _, j := range a.state.Queue() {
		if j.Halted() || a.Now.Before(j.RetryAt) || !a.zoneAllowsRental(j.Spec.Zone) {
			continue // machines elsewhere would be rented for nothing
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

// zoneAllowsRental reports whether machines may be rented for a job that is bound to a zone, or to
// none ("").
func (a *Autoscaler) zoneAllowsRental(zone string) bool {
	return zone == "" || a.state.Zone(zone).AllowsRental()
}

// supply returns how many CPUs are at hand or on their way, and how many of them are free.
func (a *Autoscaler) supply(onDemandOnly bool) (total, free float64) {
	for _, m := range a.state.Machines() {
		if !m.Usable() || onDemandOnly && m.Spot || a.isBootOverdue(m) {
			continue
		}
		total += m.InstanceType.CPUs
		free += float64(m.Room().CPU) / 1000
	}
	for _, r := range a.pending {
		if !onDemandOnly || !r.Spot {
			total += r.cpus
			free += r.cpus
		}
	}
	return total, free
}

// isBootOverdue reports whether a machine takes so long to boot that it cannot be counted on.
func (a *Autoscaler) isBootOverdue(m *fleet.Machine) bool {
	return !m.Reported && a.Now.Sub(m.RentedAt) > 2*m.InstanceType.BootTime+10*time.Second
}
