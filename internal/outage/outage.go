// Package outage watches which zones and regions are cut off, as the heartbeats of their
// machines show, and acts on it: nothing is placed on the machines of such a zone, and they
// are not released for being silent. Machines of a lost zone are released bit by bit, and an
// instance is requested there now and then to see whether it is back.
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

// Leader is what a Monitor reads of the leader's state, and has it do.
type Leader interface {
	// Machines returns all machines, by name.
	Machines() []*fleet.Machine
	// Unaccounted reports whether a machine may hold unknown tasks of an earlier term.
	Unaccounted(host string) bool
	// LeadershipTimes returns when the term began and when the leader last regained its authority.
	LeadershipTimes() (electedAt, resumedAt time.Time)
	// DropReservations has the tasks that wait for a machine placed elsewhere.
	DropReservations(m *fleet.Machine)
	// DispatchAll has waiting tasks started on what machines there are.
	DispatchAll()
	// Release returns a machine to the cloud.
	Release(m *fleet.Machine)
	// RequestProbe requests one instance in a lost zone.
	RequestProbe(zone string)
}

// electionGrace is after how long in a term a machine of an earlier one counts as
// silent: its relay, or a probe, would have shown it by then.
const electionGrace = 2500 * time.Millisecond

// Monitor watches the zones and regions of one leadership.
type Monitor struct {
	Zones   *zones.Tracker
	Regions *zones.RegionTracker

	engine      *engine.Engine
	leader      Leader
	silentAfter time.Duration // for how long a machine that is well may fail to report
}

// New returns a Monitor to which all zones are up. A machine whose last heartbeat is longer ago
// than silentAfter counts as silent.
func New(e *engine.Engine, leader Leader, s zones.Settings, regions *zones.Regions, silentAfter time.Duration) *Monitor {
	return &Monitor{Zones: zones.New(s), Regions: zones.NewRegionTracker(regions), engine: e, leader: leader, silentAfter: silentAfter}
}

// Observe looks at all machines and acts on what that says of their zones.
func (o *Monitor) Observe() {
	changes := o.Zones.Observe(o.engine.Now, o.countMachines())
	o.observeRegions()
	for _, x := range changes {
		o.logZoneChange(x)
		o.leader.DispatchAll()
	}
	o.markUnreachable()
	o.handleLostZones()
}

// countMachines returns how many machines are heard and silent in each zone.
func (o *Monitor) countMachines() map[string]zones.MachineCounts {
	observations := map[string]zones.MachineCounts{}
	electedAt, _ := o.leader.LeadershipTimes()
	justElected := o.engine.Now.Sub(electedAt) <= min(o.silentAfter, electionGrace)
	for _, m := range o.leader.Machines() {
		if m.Releasing || !m.InterruptionAt.IsZero() || !m.Reported && !m.LeaseExpired && !o.leader.Unaccounted(m.Host) {
			continue // on its way out, or not up yet
		}
		s := observations[m.Zone]
		if o.isReporting(m) || !m.Reported && !m.LeaseExpired && justElected {
			s.Reporting++
		} else {
			s.Silent++
		}
		observations[m.Zone] = s
	}
	return observations
}

// isReporting reports whether a machine reports in time.
func (o *Monitor) isReporting(m *fleet.Machine) bool {
	since := m.LastHeartbeat
	if _, resumedAt := o.leader.LeadershipTimes(); resumedAt.After(since) {
		since = resumedAt
	}
	return m.Reported && o.engine.Now.Sub(since) <= o.silentAfter
}

// logZoneChange logs that a zone has changed its state.
func (o *Monitor) logZoneChange(x zones.Change) {
	z, level := x.Zone, logLevel(x.To)
	if r := o.Regions.RegionOf(z.Name); r != nil && r.State != zones.Up {
		level = slog.LevelDebug // the line of the region says it
	}
	o.engine.Log(level, "zone "+x.To.String(), "zone", z.Name, "before", x.From.String(), "after", x.PreviousDuration, "heard", z.Counts.Reporting, "silent", z.Counts.Silent)
}

// observeRegions derives the states of the regions from those of their zones and logs changes.
func (o *Monitor) observeRegions() {
	for _, x := range o.Regions.Observe(o.engine.Now, o.Zones.All()) {
		r := x.Region
		o.engine.Log(logLevel(x.To), "region "+x.To.String(), "region", r.Name, "before", x.From.String(), "after", x.PreviousDuration, "zones", r.Zones, "away", r.UnreachableZones, "heard", r.Counts.Reporting, "silent", r.Counts.Silent)
	}
}

// logLevel returns at which level operators are told that a zone or region has come to a state.
func logLevel(to zones.State) slog.Level {
	if to == zones.Up || to == zones.Returning {
		return slog.LevelInfo
	}
	return slog.LevelWarn
}

// markUnreachable marks the silent machines of zones that are cut off, and no others.
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

// handleLostZones probes lost zones and releases those of their machines that are not to be
// kept any longer, the most expensive first.
func (o *Monitor) handleLostZones() {
	for _, z := range o.Zones.All() {
		if z.StartProbeIfDue(o.engine.Now) {
			o.engine.Log(slog.LevelInfo, "probing lost zone with one instance", "zone", z.Name)
			o.leader.RequestProbe(z.Name)
		}
		excess := z.Counts.Silent - z.KeepCount(o.engine.Now)
		if !z.Unreachable() || excess <= 0 {
			continue
		}
		silent := o.releasableMachines(z)
		for _, m := range silent[:min(excess, len(silent))] {
			o.engine.Log(slog.LevelInfo, "releasing machine of lost zone", "machine", m.Host, "zone", z.Name, "silent", o.engine.Now.Sub(m.LastHeartbeat))
			o.leader.Release(m)
		}
	}
}

// releasableMachines returns the machines of a zone that may be released with it, the most
// expensive first.
func (o *Monitor) releasableMachines(z *zones.Zone) (list []*fleet.Machine) {
	for _, m := range o.leader.Machines() {
		if m.ZoneState == z && m.Unreachable && !m.Releasing && !m.LastHeartbeat.IsZero() && m.InstanceType != nil {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b *fleet.Machine) int { return cmp.Compare(b.PerCPU(), a.PerCPU()) })
	return list
}

// WaitReason returns what keeps the tasks of a job waiting that may run in one zone only, or "".
func (o *Monitor) WaitReason(j *fleet.Job) string {
	if j.Spec.Zone == "" || j.Waiting == 0 {
		return ""
	}
	if z := o.Zones.Zone(j.Spec.Zone); z.Unreachable() {
		return "zone " + z.Name + " is " + z.State.String() + ", tasks wait for it"
	}
	return ""
}
