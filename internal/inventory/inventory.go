// Package inventory keeps the machines known to the leader, writes the stored records from which a
// new leader learns of them, and determines when their leases expire.
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

// Inventory holds the machines known in one leadership term.
type Inventory struct {
	engine       *engine.Engine
	byHost       map[string]*fleet.Machine
	machines     []*fleet.Machine // sorted by host name
	released     expiringset.Set  // known to be terminated; delayed heartbeats are ignored
	unaccounted  map[string]bool  // hosts, and keys of unreadable records, that may stand for tasks of an earlier term
	places       *topology.Tree
	zones        *zones.Tracker
	instanceType func(name string) *provider.InstanceType
	workerLease  time.Duration
}

// New returns an empty inventory. instanceType returns an instance type of the catalog, or nil if
// the name is unknown.
func New(e *engine.Engine, z *zones.Tracker, workerLease time.Duration, instanceType func(name string) *provider.InstanceType) *Inventory {
	places, _ := topology.New(topology.Definition{}) // cannot fail without levels
	return &Inventory{
		engine: e, byHost: map[string]*fleet.Machine{}, released: expiringset.New(e.Now), unaccounted: map[string]bool{},
		places: places, zones: z, instanceType: instanceType, workerLease: workerLease,
	}
}

// Machines returns all machines, sorted by host name. The caller must not modify the slice.
func (v *Inventory) Machines() []*fleet.Machine { return v.machines }

// Find returns the machine with the given host name, or nil.
func (v *Inventory) Find(host string) *fleet.Machine { return v.byHost[host] }

// Ensure returns the machine with the given host name. If it is not known, Ensure adds it with the
// other arguments.
func (v *Inventory) Ensure(host, instanceType, zone string, spot bool) *fleet.Machine {
	m := v.byHost[host]
	if m == nil {
		m = fleet.NewMachine(fleet.Identity{Host: host, TypeName: instanceType, Zone: zone, Spot: spot}, v.engine.Now)
		m.Place, _ = v.places.Locate(host, "", zone)
		m.ZoneState = v.zones.Zone(zone)
		v.byHost[host] = m
		v.machines = slices.Insert(v.machines, v.index(host), m)
		v.SetInstanceType(m)
	}
	return m
}

// index returns where the host is or would be inserted in v.machines.
func (v *Inventory) index(host string) int {
	return sort.Search(len(v.machines), func(i int) bool { return v.machines[i].Host >= host })
}

// SetInstanceType sets the instance type and thereby the capacity of a machine, if the catalog has
// the type and it was not set before.
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

// Remove deletes a machine from the inventory.
func (v *Inventory) Remove(m *fleet.Machine) {
	delete(v.byHost, m.Host)
	v.places.Remove(m.Host)
	if i := v.index(m.Host); i < len(v.machines) && v.machines[i] == m {
		v.machines = slices.Delete(v.machines, i, i+1)
	}
}

// MarkReleased records that a machine is known to be terminated.
func (v *Inventory) MarkReleased(host string) { v.released.Add(host, v.engine.Now) }

// Released reports whether MarkReleased was recently called for the machine.
func (v *Inventory) Released(host string) bool { return v.released.Has(host) }

// IsUnaccounted reports whether the machine may have tasks of an earlier term that the leader does
// not know.
func (v *Inventory) IsUnaccounted(host string) bool { return v.unaccounted[host] }

// UnaccountedCount returns the number of unaccounted machines. A machine record that cannot be read
// counts as one machine.
func (v *Inventory) UnaccountedCount() int { return len(v.unaccounted) }

// AllAccounted reports whether no machine can have unknown tasks of an earlier term.
func (v *Inventory) AllAccounted() bool { return len(v.unaccounted) == 0 }

// MarkAccounted records that the machine has no unknown task of an earlier term, and reports
// whether it was unaccounted.
func (v *Inventory) MarkAccounted(host string) bool {
	was := v.unaccounted[host]
	delete(v.unaccounted, host)
	return was
}

// LeaseExpiry returns when the machine's lease has expired if it gets no further replies.
// earlierExpiry is when all leases renewed by earlier leaders have expired. ok is false if the
// machine is accounted for and this leader has never replied to it.
func (v *Inventory) LeaseExpiry(m *fleet.Machine, earlierExpiry time.Time) (expiry time.Time, ok bool) {
	ownExpiry := m.LastReply.Add(lease.WithDrift(v.workerLease))
	if !v.unaccounted[m.Host] && !m.Probed {
		return ownExpiry, !m.LastReply.IsZero()
	}
	if ownExpiry.After(earlierExpiry) {
		return ownExpiry, true
	}
	return earlierExpiry, true
}
