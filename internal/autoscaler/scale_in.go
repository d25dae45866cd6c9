package autoscaler

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"time"

	"yewpass/internal/fleet"
)

// MinRentalTime is how long a machine is kept at least: a minute is paid for anyway.
const MinRentalTime = 50 * time.Second

const (
	// drainDivisor bounds how many machines begin to drain at a time: one, and one more for
	// so many that there are.
	drainDivisor = 20
	// maxDrainingDivisor bounds how many machines drain at a time: one in so many.
	maxDrainingDivisor = 3
	// drainBacklog is the backlog from which on no machine begins to drain; beyond
	// undrainBacklog those that drain are kept after all.
	drainBacklog   = time.Second
	undrainBacklog = 10 * time.Second
	// A part of the CPUs in use, and a few more, are kept free when machines drain.
	reserveShare = 0.1
	reserveCPUs  = 2
)

// ScaleIn begins to drain the machines that are the most expensive to keep, if what runs on
// them fits on the others, with some room for the work that is expected. While work waits
// it stops draining instead. None begins to drain while earlier terms' machines are
// unaccounted for.
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
			continue // what the others have, less what would move to them
		}
		free -= m.InstanceType.CPUs
		draining++
		m.Draining = true
		a.Log(slog.LevelInfo, "draining machine", "machine", m.Host, "type", m.TypeName, "spot", m.Spot, "tasks", len(m.Attempts))
		a.inventory.DropReservations(m)
	}
}

// stopDraining keeps the machines that drain.
func (a *Autoscaler) stopDraining() {
	for _, m := range a.state.Machines() {
		if m.Draining && !m.Releasing {
			m.Draining = false
		}
	}
}

// usage is how the machines are used.
type usage struct {
	used, free float64 // CPUs of the machines that take tasks
	draining   int     // machines
	candidates []*fleet.Machine
}

// fleetUsage sums up how the machines are used and which of them may begin to drain.
func (a *Autoscaler) fleetUsage() (u usage) {
	for _, m := range a.state.Machines() {
		if m.Draining && !m.Releasing {
			u.draining++
		}
		if !m.Usable() || !m.Reported {
			continue
		}
		u.used += float64(m.Allocated.CPU) / 1000
		u.free += float64(m.Room().CPU) / 1000
		if a.Now.Sub(m.RentedAt) >= MinRentalTime {
			u.candidates = append(u.candidates, m)
		}
	}
	return u
}

// compareCost orders machines by price, the most expensive first, and machines of about the
// same price by use, the emptiest first.
func compareCost(a, b *fleet.Machine) int {
	priceClass := func(m *fleet.Machine) int { return int(math.Round(50 * math.Log(m.PerCPU()+1e-9))) }
	if x := cmp.Compare(priceClass(b), priceClass(a)); x != 0 {
		return x
	}
	return cmp.Compare(a.Allocated.CPU*b.Timeline.Capacity().CPU, b.Allocated.CPU*a.Timeline.Capacity().CPU)
}
