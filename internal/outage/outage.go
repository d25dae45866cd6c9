// Package outage detects unreachable zones and regions from missing heartbeats. Silent machines of
// an unreachable zone receive no tasks, but are not treated as failed. Machines of a lost zone are
// released gradually, and a lost zone without machines is probed with single instances until it is
// reachable again.
package outage

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/zones"
)

// Leader provides access to the leader's state and the actions that a Monitor takes.
type Leader interface {
	// Machines returns all machines, sorted by host name.
	Machines() []*fleet.Machine
	// IsUnaccounted reports whether the machine may have tasks of an earlier term that the leader
	// does not know.
	IsUnaccounted(host string) bool
	// LeadershipTimes returns when the leader was elected and when it last regained its expired
	// authority.
	LeadershipTimes() (electedAt, resumedAt time.Time)
	// DropReservations cancels the reservations on a machine and places the tasks elsewhere.
	DropReservations(m *fleet.Machine)
	// RequestDispatchAll requests a check for tasks that can start on any machine.
	RequestDispatchAll()
	// Release queues a machine to be released to the cloud.
	Release(m *fleet.Machine)
	// RequestProbe requests one instance in a lost zone.
	RequestProbe(zone string)
}

// electionGrace is the time after an election for which a machine of an earlier term counts as
// reporting without a heartbeat. By then a relay or a probe has reached every live machine.
const electionGrace = 2500 * time.Millisecond

// Monitor handles the outages of zones and regions during one term of the leader.
type Monitor struct {
	Zones   *zones.Tracker
	Regions *zones.RegionTracker

	engine      *engine.Engine
	leader      Leader
	silentAfter time.Duration // maximum age of the last heartbeat of a reporting machine
}

// New returns a Monitor with all zones up. A machine is silent when its last heartbeat is older
// than silentAfter.
func New(e *engine.Engine, leader Leader, s zones.Settings, regions *zones.Regions, silentAfter time.Duration) *Monitor {
	return &Monitor{Zones: zones.New(s), Regions: zones.NewRegionTracker(regions), engine: e, leader: leader, silentAfter: silentAfter}
}

// Observe updates the states of zones and regions from the machines' heartbeats, marks unreachable
// machines, and releases machines of lost zones. Call it periodically.
func (o *Monitor) Observe() {
	changes := o.Zones.Observe(o.engine.Now, o.countMachines())
	o.observeRegions()
	for _, x := range changes {
		o.logZoneChange(x)
		o.leader.RequestDispatchAll()
	}
	o.markUnreachable()
	o.handleLostZones()
}

func (o *Monitor) countMachines() map[string]zones.MachineCounts {
	counts := map[string]zones.MachineCounts{}
	electedAt, _ := o.leader.LeadershipTimes()
	inElectionGrace := o.engine.Now.Sub(electedAt) <= min(o.silentAfter, electionGrace)
	for _, m := range o.leader.Machines() {
		if m.Releasing || !m.InterruptionAt.IsZero() || !m.Reported && !m.LeaseExpired && !o.leader.IsUnaccounted(m.Host) {
			continue // being released or interrupted, or not booted yet
		}
		c := counts[m.Zone]
		if o.isReporting(m) || !m.Reported && !m.LeaseExpired && inElectionGrace {
			c.Reporting++
		} else {
			c.Silent++
		}
		counts[m.Zone] = c
	}
	return counts
}

// isReporting reports whether a machine's last heartbeat is recent, not counting time without
// authority, in which the leader answers no heartbeats.
func (o *Monitor) isReporting(m *fleet.Machine) bool {
	since := m.LastHeartbeat
	if _, resumedAt := o.leader.LeadershipTimes(); resumedAt.After(since) {
		since = resumedAt
	}
	return m.Reported && o.engine.Now.Sub(since) <= o.silentAfter
}

func (o *Monitor) logZoneChange(x zones.Change) {
	z, level := x.Zone, logLevel(x.To)
	if r := o.Regions.RegionOf(z.Name); r != nil && r.State != zones.Up {
		level = slog.LevelDebug // the region's change is already logged
	}
	o.engine.Log(level, "zone "+x.To.String(), "zone", z.Name, "before", x.From.String(), "after", x.PreviousDuration, "reporting", z.Counts.Reporting, "silent", z.Counts.Silent)
}

func (o *Monitor) observeRegions() {
	for _, x := range o.Regions.Observe(o.engine.Now, o.Zones.All()) {
		r := x.Region
		o.engine.Log(logLevel(x.To), "region "+x.To.String(), "region", r.Name, "before", x.From.String(), "after", x.PreviousDuration, "zones", r.Zones, "unreachable", r.UnreachableZones, "reporting", r.Counts.Reporting, "silent", r.Counts.Silent)
	}
}

// logLevel returns the log level for entering a state.
func logLevel(to zones.State) slog.Level {
	if to == zones.Up || to == zones.Returning {
		return slog.LevelInfo
	}
	return slog.LevelWarn
}

// markUnreachable marks the silent machines of unreachable zones and drops their reservations. It
// clears the mark of all machines in other zones.
func (o *Monitor) markUnreachable() {
	for _, m := range o.leader.Machines() {
		switch {
		case !m.ZoneState.Unreachable():
			m.Unreachable = false
		case m.Unreachable || m.Releasing || o.isReporting(m):
		default:
			m.Unreachable = true
			o.leader.DropReservations(m)
		}
	}
}

// handleLostZones starts due probes and releases silent machines of unreachable zones: those that no
// longer exist, which cannot show the zone's return, and those beyond KeepCount, the most expensive
// first.
func (o *Monitor) handleLostZones() {
	for _, z := range o.Zones.All() {
		if z.StartProbeIfDue(o.engine.Now) {
			o.engine.Log(slog.LevelInfo, "probing lost zone, requesting one instance", "zone", z.Name)
			o.leader.RequestProbe(z.Name)
		}
		if !z.Unreachable() {
			continue
		}
		excess := z.Counts.Silent - z.KeepCount(o.engine.Now)
		for _, m := range o.releasableMachines(z) {
			if !m.Gone && excess <= 0 {
				continue
			}
			excess--
			o.engine.Log(slog.LevelInfo, "releasing silent machine of lost zone", "machine", m.Host, "zone", z.Name, "silent", o.engine.Now.Sub(m.LastHeartbeat), "gone", m.Gone)
			o.leader.Release(m)
		}
	}
}

// releasableMachines returns the silent machines of an unreachable zone that may be released: those
// that are gone, then the most expensive first.
func (o *Monitor) releasableMachines(z *zones.Zone) (list []*fleet.Machine) {
	for _, m := range o.leader.Machines() {
		if m.ZoneState == z && m.Unreachable && !m.Releasing && !m.LastHeartbeat.IsZero() && m.InstanceType != nil {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b *fleet.Machine) int {
		switch {
		case a.Gone && !b.Gone:
			return -1
		case b.Gone && !a.Gone:
			return 1
		}
		return cmp.Compare(b.PricePerCPU(), a.PricePerCPU())
	})
	return list
}

// WaitReason returns the message for a job whose tasks wait for the unreachable zone that it is
// restricted to, or "" if they do not.
func (o *Monitor) WaitReason(j *fleet.Job) string {
	if j.Spec.Zone == "" || j.Waiting == 0 {
		return ""
	}
	if z := o.Zones.Zone(j.Spec.Zone); z.Unreachable() {
		return "zone " + z.Name + " is " + z.State.String() + ", tasks wait for it"
	}
	return ""
}
