package core

import (
	"log/slog"
	"slices"
	"sort"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/relaylinks"
	"yewpass/internal/timeline"
)

// ensureMachine returns the machine named host, made known if need be.
func (c *Core) ensureMachine(host, flavor, zone string, reclaimable bool) *fleet.Machine {
	l := c.leadership
	m := l.machines[host]
	if m == nil {
		m = fleet.NewMachine(fleet.Identity{Host: host, TypeName: flavor, Zone: zone, Spot: reclaimable}, c.Now)
		m.Place, _ = l.places.Machine(host, "", zone)
		m.ZoneState = l.zones.Zone(zone)
		l.machines[host] = m
		l.fleet = slices.Insert(l.fleet, l.fleetIndex(host), m)
		c.setInstanceType(m)
	}
	return m
}

// fleetIndex returns where the machine named host is in the fleet, or would be.
func (l *leadership) fleetIndex(host string) int {
	return sort.Search(len(l.fleet), func(i int) bool { return l.fleet[i].Host >= host })
}

func (c *Core) setInstanceType(m *fleet.Machine) {
	if f := c.leadership.autoscaler.InstanceType(m.TypeName); f != nil && m.InstanceType == nil {
		m.InstanceType = f
		tl := timeline.New(f.Capacity)
		for _, r := range m.Attempts {
			if r.Reservation != nil {
				tl.Add(r.Reservation)
			}
		}
		m.Timeline = tl
	}
}

func (l *leadership) sortedJobs() []*fleet.Job {
	js := make([]*fleet.Job, 0, len(l.jobs))
	for _, j := range l.jobs {
		js = append(js, j)
	}
	slices.SortFunc(js, func(a, b *fleet.Job) int {
		if x := a.Submitted.Compare(b.Submitted); x != 0 {
			return x
		}
		if a.Spec.ID < b.Spec.ID {
			return -1
		}
		return 1
	})
	return js
}

// leaseExpiry returns when the machine's lease has surely ended if it is not
// answered any more, and false while that cannot be told.
func (c *Core) leaseExpiry(m *fleet.Machine) (time.Time, bool) {
	l := c.leadership
	if !l.unaccounted[m.Host] && !m.Probed {
		if m.LastReply.IsZero() {
			return time.Time{}, false
		}
		return m.LastReply.Add(withDrift(c.workerLease)), true
	}
	base := c.earlierLeaseExpiry()
	if at := m.LastReply.Add(withDrift(c.workerLease)); at.After(base) {
		base = at
	}
	return base, true
}

// earlierLeaseExpiry is when a lease is surely over that only earlier leaders renewed: one
// may have gone on answering until its peers told it of our term or its hold ran out.
func (c *Core) earlierLeaseExpiry() time.Time {
	l := c.leadership
	over := c.leaseTiming.TasksGoneAfter(l.electedAt.Add(l.earlierLeaderLag))
	if !l.allAcknowledgedAt.IsZero() {
		if told := l.allAcknowledgedAt.Add(withDrift(c.workerLease)); told.Before(over) {
			return told
		}
	}
	return over
}

// expireLease gives up on the tasks of a machine whose lease is surely over.
func (c *Core) expireLease(m *fleet.Machine) {
	c.Log(slog.LevelWarn, "worker lease expired", "machine", m.Host, "tasks", len(m.Attempts))
	for _, r := range slices.Clone(m.Attempts) {
		c.dropAttempt(r)
	}
	if m.Reported {
		m.ExpiredIncarnation = m.Incarnation
	}
	m.Reported, m.LeaseExpired = false, true
	relaylinks.Detach(m)
	m.LastReply = time.Time{}
	c.markAccounted(m.Host)
	c.leadership.placement.DropMachineReservations(m)
}
