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
	// A call of ScaleIn starts draining at most one machine, plus one for every drainDivisor
	// machines in the fleet.
	drainDivisor = 20
	// No machine starts draining while more than one in maxDrainingDivisor machines is draining.
	maxDrainingDivisor = 3
	// No machine starts draining while the backlog exceeds drainBacklog. While it exceeds
	// undrainBacklog, draining machines are returned to service.
	drainBacklog   = time.Second
	undrainBacklog = 10 * time.Second
	// Draining leaves reserveShare of the used CPUs, plus reserveCPUs, free.
	reserveShare = 0.1
	reserveCPUs  = 2
)

// ScaleIn starts draining the most expensive machines if their tasks fit on the others with a
// reserve for the forecast load. It stops draining while the backlog is large. allAccounted reports
// that every machine that may hold tasks of an earlier term is accounted for; no machine starts
// draining before.
func (a *Autoscaler) ScaleIn(allAccounted bool) {
	a.returnNeededMachines()
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
			continue // the others would have less free capacity than the reserve
		}
		if m.NeverEmpties() {
			continue
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
	for _, m := range a.drainingMachines() {
		m.Draining = false
	}
}

type usage struct {
	used, free float64          // CPUs of machines that accept tasks
	draining   int              // machines that are draining
	candidates []*fleet.Machine // machines that may start draining
}

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
		if a.Now.Sub(m.RentedAt) >= MinRentalTime && a.Now.Sub(m.ReturnedAt) >= MinRentalTime {
			u.candidates = append(u.candidates, m)
		}
	}
	return u
}

// compareCost orders machines by descending price per CPU, then by ascending utilization. Prices
// that differ by less than about 2 % count as equal.
func compareCost(a, b *fleet.Machine) int {
	priceClass := func(m *fleet.Machine) int { return int(math.Round(50 * math.Log(m.PricePerCPU()+1e-9))) }
	if x := cmp.Compare(priceClass(b), priceClass(a)); x != 0 {
		return x
	}
	return cmp.Compare(a.Allocated.CPU*b.Timeline.Capacity().CPU, b.Allocated.CPU*a.Timeline.Capacity().CPU)
}
