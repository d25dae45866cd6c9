package core

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/timeline"
	"yewpass/internal/zones"
)

// zoneProbeInterval is how often one machine is rented in a lost zone that has none left.
const zoneProbeInterval = time.Minute

// unheardAfterElection is after how long in a term a machine of an earlier one counts as silent:
// its relay, and a probe, would have told of it by then.
const unheardAfterElection = 2500 * time.Millisecond

// zoneSettings are the times that verdicts on zones rest on. What ran in a zone is over
// once the lease is, whatever happens inside.
func (c *Core) zoneSettings() zones.Settings {
	return zones.Settings{
		LostAfter: withDrift(c.workerLease), Steady: 2 * c.heartbeatInterval, Probe: zoneProbeInterval,
		Keep: timeline.Seconds(c.pol.ZoneKeep(c.policyEnv())),
	}
}

// silentAfter is how long a machine that is well may go without a report: the longest
// interval, and some of the way.
func (c *Core) silentAfter() time.Duration { return c.heartbeatInterval * 3 / 2 }

// observeZones tells zones that are cut off from machines that are, and leaves the
// machines of such a zone alone: nothing is booked on them or counted on, and they are
// not returned for being silent.
func (c *Core) observeZones() {
	l := c.leadership
	quiet := c.silentAfter()
	heard := func(m *fleet.Machine) bool {
		return m.Reported && c.Now.Sub(latest(m.LastHeartbeat, l.resumedAt)) <= quiet
	}
	sights := map[string]zones.Sight{}
	for _, m := range l.inventory.Machines() {
		if m.Releasing || !m.InterruptionAt.IsZero() || !m.Reported && !m.LeaseExpired && !l.inventory.Unaccounted(m.Host) {
			continue // on its way out, or not up yet
		}
		s := sights[m.Zone]
		if heard(m) || !m.Reported && !m.LeaseExpired && c.Now.Sub(l.electedAt) <= min(quiet, unheardAfterElection) {
			s.Heard++
		} else {
			s.Silent++
		}
		sights[m.Zone] = s
	}
	changes := l.zones.Look(c.Now, sights)
	c.observeRegions()
	for _, x := range changes {
		z := x.Zone
		level := eventLevel(x.To)
		if r := l.regions.Of(z.Name); r != nil && r.State != zones.Up {
			level = slog.LevelDebug // the region's event says it
		}
		c.Log(level, "zone "+x.To.String(), "zone", z.Name, "before", x.From.String(), "after", x.After, "heard", z.Sight.Heard, "silent", z.Sight.Silent)
		l.dispatcher.RequestAll()
	}
	for _, m := range l.inventory.Machines() {
		switch {
		case !m.ZoneState.Away():
			m.Unreachable = false
		case m.Unreachable || m.Releasing || heard(m):
		default:
			m.Unreachable = true
			c.leadership.placement.DropMachineReservations(m)
		}
	}
	c.releaseLostZones()
}

// eventLevel is how loudly operators are told that a zone or region has come to a state.
func eventLevel(to zones.State) slog.Level {
	if to == zones.Up || to == zones.Returning {
		return slog.LevelInfo
	}
	return slog.LevelWarn
}

// observeRegions tells of regions that are cut off as a whole, once.
func (c *Core) observeRegions() {
	l := c.leadership
	for _, x := range l.regions.Look(c.Now, l.zones.All()) {
		r := x.Region
		c.Log(eventLevel(x.To), "region "+x.To.String(), "region", r.Name, "before", x.From.String(), "after", x.After, "zones", r.Zones, "away", r.Away, "heard", r.Sight.Heard, "silent", r.Sight.Silent)
	}
}

// releaseLostZones returns machines of lost zones, the dearest first, as far as they are not
// to be kept any longer.
func (c *Core) releaseLostZones() {
	l := c.leadership
	for _, z := range l.zones.All() {
		if z.Probe(c.Now) {
			c.Log(slog.LevelInfo, "probing lost zone with one instance", "zone", z.Name)
			l.autoscaler.RequestProbe(z.Name)
		}
		n := z.Sight.Silent - z.Kept(c.Now)
		if !z.Away() || n <= 0 {
			continue
		}
		var silent []*fleet.Machine
		for _, m := range l.inventory.Machines() {
			if m.ZoneState == z && m.Unreachable && !m.Releasing && !m.LastHeartbeat.IsZero() && m.InstanceType != nil {
				silent = append(silent, m)
			}
		}
		slices.SortStableFunc(silent, func(a, b *fleet.Machine) int { return cmp.Compare(b.PerCPU(), a.PerCPU()) })
		for _, m := range silent[:min(n, len(silent))] {
			c.Log(slog.LevelInfo, "releasing machine of lost zone", "machine", m.Host, "zone", z.Name, "silent", c.Now.Sub(m.LastHeartbeat))
			c.leadership.autoscaler.Release(m)
		}
	}
}

// waitReason says what keeps a job's tasks waiting that may run in one zone only, or "".
func (c *Core) waitReason(j *fleet.Job) string {
	if j.Spec.Zone == "" || j.Waiting == 0 {
		return ""
	}
	if z := c.leadership.zones.Zone(j.Spec.Zone); z.Away() {
		return "zone " + z.Name + " is " + z.State.String() + ", tasks wait for it"
	}
	return ""
}
