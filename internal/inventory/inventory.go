// Package inventory is the machines that the leader knows, the records that name them for its
// successors, and when their leases are over.
package inventory

import (
	"slices"
	"sort"
	"time"

	"yewpass/internal/engine"
	"yewpass/internal/expiringset"
	"yewpass/internal/fleet"
	"yewpass/internal/lease"
	"yewpass/internal/provider"
	"yewpass/internal/timeline"
	"yewpass/internal/topology"
	"yewpass/internal/zones"
)

// Inventory is the machines that are known in one term.
type Inventory struct {
	engine       *engine.Engine
	byHost       map[string]*fleet.Machine
	machines     []*fleet.Machine // the same, by name
	released     expiringset.Set  // proven gone: their late heartbeats count for nothing
	unaccounted  map[string]bool  // recorded machines, or unreadable records of machines, that may stand for an earlier term's tasks
	places       *topology.Tree
	zones        *zones.Tracker
	instanceType func(name string) *provider.InstanceType
	workerLease  time.Duration
}

// New returns an inventory without machines. Function instanceType returns an instance type
// of the catalog, or nil.
func New(e *engine.Engine, z *zones.Tracker, workerLease time.Duration, instanceType func(name string) *provider.InstanceType) *Inventory {
	places, _ := topology.New(topology.Definition{}) // zones alone: cannot fail
	return &Inventory{
		engine: e, byHost: map[string]*fleet.Machine{}, released: expiringset.New(e.Now), unaccounted: map[string]bool{},
		places: places, zones: z, instanceType: instanceType, workerLease: workerLease,
	}
}

// Machines returns the machines by name.
func (v *Inventory) Machines() []*fleet.Machine { return v.machines }

// Find returns the machine, or nil if it is not known.
func (v *Inventory) Find(host string) *fleet.Machine { return v.byHost[host] }

// Ensure returns the machine, made known if need be.
func (v *Inventory) Ensure(host, instanceType, zone string, spot bool) *fleet.Machine {
	m := v.byHost[host]
	if m == nil {
		m = fleet.NewMachine(fleet.Identity{Host: host, TypeName: instanceType, Zone: zone, Spot: spot}, v.engine.Now)
		m.Place, _ = v.places.Machine(host, "", zone)
		m.ZoneState = v.zones.Zone(zone)
		v.byHost[host] = m
		v.machines = slices.Insert(v.machines, v.index(host), m)
		v.SetInstanceType(m)
	}
	return m
}

// index returns where the machine is among the machines, or would be.
func (v *Inventory) index(host string) int {
	return sort.Search(len(v.machines), func(i int) bool { return v.machines[i].Host >= host })
}

// SetInstanceType sets the instance type of a machine and with it its capacity, if the type is
// known by now and was not before.
func (v *Inventory) SetInstanceType(m *fleet.Machine) {
	f := v.instanceType(m.TypeName)
	if f == nil || m.InstanceType != nil {
		return
	}
	m.InstanceType = f
	m.Timeline = timeline.New(f.Capacity)
	for _, a := range m.Attempts {
		if a.Reservation != nil {
			m.Timeline.Add(a.Reservation)
		}
	}
}

// Remove forgets a machine.
func (v *Inventory) Remove(m *fleet.Machine) {
	delete(v.byHost, m.Host)
	v.places.Forget(m.Host)
	if i := v.index(m.Host); i < len(v.machines) && v.machines[i] == m {
		v.machines = slices.Delete(v.machines, i, i+1)
	}
}

// MarkReleased notes that a machine has been released and is proven gone.
func (v *Inventory) MarkReleased(host string) { v.released.Add(host, v.engine.Now) }

// Released reports whether the machine was released lately and is proven gone.
func (v *Inventory) Released(host string) bool { return v.released.Has(host) }

// Unaccounted reports whether the machine may hold tasks of an earlier term that are not known.
func (v *Inventory) Unaccounted(host string) bool { return v.unaccounted[host] }

// UnaccountedCount returns how many machines, or records of machines that cannot be read, may
// stand for unknown tasks of an earlier term.
func (v *Inventory) UnaccountedCount() int { return len(v.unaccounted) }

// AllAccounted reports whether no machine can hold unknown tasks of an earlier term.
func (v *Inventory) AllAccounted() bool { return len(v.unaccounted) == 0 }

// MarkAccounted notes that nothing of an earlier term can be on the machine unknown. It reports
// whether that was open before.
func (v *Inventory) MarkAccounted(host string) bool {
	was := v.unaccounted[host]
	delete(v.unaccounted, host)
	return was
}

// LeaseExpiry returns when the machine's lease has surely ended if it is not answered any more,
// given when all leases are over that only earlier leaders renewed. ok is false while it cannot
// be told.
func (v *Inventory) LeaseExpiry(m *fleet.Machine, earlier time.Time) (expiry time.Time, ok bool) {
	answered := m.LastReply.Add(lease.WithDrift(v.workerLease))
	if !v.unaccounted[m.Host] && !m.Probed {
		return answered, !m.LastReply.IsZero()
	}
	if answered.After(earlier) {
		return answered, true
	}
	return earlier, true
}
