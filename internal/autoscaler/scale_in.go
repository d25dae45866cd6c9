package autoscaler

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"time"

	"yewpass/internal/fleet"
)

// MinRentalTime is the minimum time that a machine is kept, since the cloud bills at least one
// minute.
const MinRentalTime = 50 * time.Second

const (
	// drainDivisor bounds how many machines start draining at the same time: one, plus one for
	// every drainDivisor machines in the fleet.
	drainDivisor = 20
	// maxDrainingDivisor bounds how many machines drain at the same time: one in
	// maxDrainingDivisor.
	maxDrainingDivisor = 3
	// No machine starts draining while the backlog exceeds drainBacklog. While it exceeds
	// undrainBacklog, draining machines are returned to service.
	drainBacklog   = time.Second
	undrainBacklog = 10 * time.Second
	// Draining leaves reserveShare of the used CPUs, plus reserveCPUs, free.
	reserveShare = 0.1
	reserveCPUs  = 2
)

// ScaleIn starts draining the most expensive machines if their tasks fit on the remaining ones
// with a reserve for the forecast load. While the backlog is large it stops draining instead.
// No machine starts draining until allAccounted is true, that is, until every machine that may
// hold tasks of an earlier term is accounted for.
func (a *Autoscaler) ScaleIn(allAccounted bool) {
	if len(a.state.Queue()) > 0 && a.backlog > drainBacklog {
		if a.backlog > undrainBacklog {
			a.stopDraining()
		}
		return
	}
	if !allAccounted {
		return
	}
	machines := a.state.Machines()
	use := a.fleetUsage()
	slices.SortStableFunc(use.candidates, compareCost)
	reserve := max(a.forecastCPUs()-use.used, 0) + reserveShare*use.used + reserveCPUs
	free, draining := use.free, use.draining
	limit := draining + 1 + len(machines)/drainDivisor
	for _, m := range use.candidates {
		if draining >= limit || draining > len(machines)/maxDrainingDivisor {
			break
		}
		if free-m.InstanceType.CPUs < reserve {
			continue // the remaining machines would have less free capacity than the reserve
		}
		free -= m.InstanceType.CPUs
		draining++
		m.Draining = true
		a.Log(slog.LevelInfo, "draining machine", "machine", m.Host, "type", m.TypeName, "spot", m.Spot, "tasks", len(m.Attempts))
		a.inventory.DropReservations(m)
	}
}

// stopDraining returns draining machines to service, except those being released.
func (a *Autoscaler) stopDraining() {
	for _, m := range a.state.Machines() {
		if m.Draining && !m.Releasing {
			m.Draining = false
		}
	}
}

// usage summarizes the utilization of the fleet.
type usage struct {
	used, free float64          // CPUs of machines that accept tasks
	draining   int              // number of draining machines
	candidates []*fleet.Machine // machines that may start draining
}

// fleetUsage returns the utilization of the fleet and the machines that may start draining.
func (a *Autoscaler) fleetUsage() (u usage) {
	for _, m := range a.state.Machines() {
		if m.Draining && !m.Releasing {
			u.draining++
		}
		if !m.Schedulable() || !m.Reported {
			continue
		}
		u.used += float64(m.Allocated.CPU) / 1000
		u.free += float64(m.FreeResources().CPU) / 1000
		if a.Now.Sub(m.RentedAt) >= MinRentalTime {
			u.candidates = append(u.candidates, m)
		}
	}
	return u
}

// compareCost orders machines by descending price per CPU and, within a price class, by
// ascending utilization. Prices that differ by less than about 2 % share a class.
func compareCost(a, b *fleet.Machine) int {
	priceClass := func(m *fleet.Machine) int { return int(math.Round(50 * math.Log(m.PricePerCPU()+1e-9))) }
	if x := cmp.Compare(priceClass(b), priceClass(a)); x != 0 {
		return x
	}
	return cmp.Compare(a.Allocated.CPU*b.Timeline.Capacity().CPU, b.Allocated.CPU*a.Timeline.Capacity().CPU)
}
