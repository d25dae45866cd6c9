package core

import (
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/autoscaler"
	"yewpass/internal/fleet"
	"yewpass/internal/provider"
	"yewpass/internal/relaylinks"
	"yewpass/internal/zones"
)

// newAutoscaler returns the autoscaler for the current leadership. It starts with the gateway's
// catalog, so that a leader elected during a cloud outage can accept jobs and start tasks on
// existing machines.
func (c *Core) newAutoscaler() *autoscaler.Autoscaler {
	return autoscaler.New(autoscaler.Config{
		Engine:        c.Engine,
		Scope:         c.leadership.scope,
		State:         autoscalerState{c},
		Inventory:     autoscalerInventory{c},
		Teams:         c.leadership.teams,
		InstanceTypes: slices.Clone(c.gateway.InstanceTypes()),
		CloudRPS:      c.cfg.Settings.Cloud.RPS,
		ListLag:       c.cfg.Settings.Cloud.ListLag.Duration(),
	})
}

// autoscalerState implements autoscaler.State for the current leadership.
type autoscalerState struct{ c *Core }

// Machines implements autoscaler.State.
func (s autoscalerState) Machines() []*fleet.Machine { return s.c.leadership.inventory.Machines() }

// Queue implements autoscaler.State.
func (s autoscalerState) Queue() fleet.Queue { return s.c.leadership.placement.Queue }

// Zone implements autoscaler.State.
func (s autoscalerState) Zone(name string) *zones.Zone {
	return s.c.leadership.outages.Zones.Zone(name)
}

// Estimate implements autoscaler.State.
func (s autoscalerState) Estimate(j *fleet.Job) time.Duration {
	return s.c.leadership.placement.Estimate(j)
}

// MayStartOn implements autoscaler.State.
func (s autoscalerState) MayStartOn(j *fleet.Job, m *fleet.Machine) bool {
	return s.c.leadership.placement.MayStartOn(j, m)
}

// IsActive implements autoscaler.State.
func (s autoscalerState) IsActive() bool { return s.c.isActive() }

// MaxMachines implements autoscaler.State.
func (s autoscalerState) MaxMachines() int { return relaylinks.MaxFleetSize(s.c.cfg) }

// Term implements autoscaler.State.
func (s autoscalerState) Term() (term, era uint64) { return s.c.leadership.term, s.c.observed.Era }

// autoscalerInventory implements autoscaler.Inventory for the current leadership.
type autoscalerInventory struct{ c *Core }

// InstanceTypesChanged implements autoscaler.Inventory. It updates the types of all machines, also
// of those whose type was not in the catalog before.
func (i autoscalerInventory) InstanceTypesChanged() {
	c, l := i.c, i.c.leadership
	for _, m := range l.inventory.Machines() {
		if t := l.autoscaler.InstanceType(m.TypeName); m.InstanceType == nil {
			c.leadership.inventory.SetInstanceType(m)
			l.dispatcher.EnqueueAll()
		} else if t != nil {
			m.InstanceType = t
		}
	}
}

// InstanceStarted implements autoscaler.Inventory. It ignores a machine that has already been
// released.
func (i autoscalerInventory) InstanceStarted(host string, o autoscaler.Offer, requestedAt time.Time) {
	if i.c.leadership.inventory.Released(host) {
		return
	}
	setRentedAt(i.c.leadership.inventory.Ensure(host, o.InstanceType, o.Zone, o.Spot), requestedAt)
}

// InstanceListed implements autoscaler.Inventory. It adds an unknown machine and releases one that
// the cloud reports as failed.
func (i autoscalerInventory) InstanceListed(x provider.Instance) {
	c, l := i.c, i.c.leadership
	if l.inventory.Released(x.Host) {
		return // the cloud's list is eventually consistent
	}
	m := l.inventory.Find(x.Host)
	if m == nil {
		m = c.leadership.inventory.Ensure(x.Host, x.InstanceType, x.Zone, x.Spot)
		setRentedAt(m, c.Now.Add(-x.Age))
		l.dispatcher.EnqueueAll()
	}
	if x.Status == "failed" && !m.Releasing {
		c.Log(slog.LevelWarn, "machine failed", "machine", x.Host)
		l.autoscaler.Release(m)
	}
}

// InstancesMissing implements autoscaler.Inventory.
func (i autoscalerInventory) InstancesMissing(exists func(host string) bool, asOf time.Time) {
	for _, m := range i.c.leadership.inventory.Machines() {
		m.Gone = m.FirstSeen.Before(asOf) && !exists(m.Host)
	}
}

// setRentedAt also sets when the machine should be ready, if its type is known.
func setRentedAt(m *fleet.Machine, at time.Time) {
	m.RentedAt = at
	if m.InstanceType != nil {
		m.ReadyAt = at.Add(m.InstanceType.BootTime)
	}
}

// InstanceReleased implements autoscaler.Inventory. It drops the machine's attempts and counts it
// as accounted for.
func (i autoscalerInventory) InstanceReleased(host string) {
	c, l := i.c, i.c.leadership
	m := l.inventory.Find(host)
	l.inventory.MarkReleased(host)
	if m == nil {
		return
	}
	l.attempts.DropAll(m)
	l.dispatcher.Refuse(m)
	relaylinks.Detach(m)
	l.inventory.Remove(m)
	c.markAccounted(host)
	c.leadership.machineRecords.Remove(m)
}

// DropReservations implements autoscaler.Inventory.
func (i autoscalerInventory) DropReservations(m *fleet.Machine) {
	i.c.leadership.placement.DropMachineReservations(m)
}

// RequestDispatchAll implements autoscaler.Inventory.
func (i autoscalerInventory) RequestDispatchAll() { i.c.leadership.dispatcher.EnqueueAll() }
