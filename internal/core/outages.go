package core

import (
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/outage"
	"yewpass/internal/timeline"
	"yewpass/internal/zones"
)

// zoneProbeInterval is how often one instance is requested in a lost zone that has none left.
const zoneProbeInterval = time.Minute

// newOutageMonitor returns the monitor of the zones and regions for the leadership that begins.
func (c *Core) newOutageMonitor() *outage.Monitor {
	return outage.New(c.Engine, outageLeader{c}, zones.Settings{
		LostAfter:     withDrift(c.workerLease), // what ran in the zone is over then, whatever happens inside
		StableFor:     2 * c.heartbeatInterval,
		ProbeInterval: zoneProbeInterval,
		KeepFor:       timeline.Seconds(c.pol.ZoneKeep(c.policyEnv())),
	}, c.reg, c.heartbeatInterval*3/2)
}

// outageLeader implements outage.Leader for Core.
type outageLeader struct{ c *Core }

// Machines implements outage.Leader.
func (o outageLeader) Machines() []*fleet.Machine { return o.c.leadership.inventory.Machines() }

// Unaccounted implements outage.Leader.
func (o outageLeader) Unaccounted(host string) bool {
	return o.c.leadership.inventory.Unaccounted(host)
}

// LeadershipTimes implements outage.Leader.
func (o outageLeader) LeadershipTimes() (electedAt, resumedAt time.Time) {
	return o.c.leadership.electedAt, o.c.leadership.resumedAt
}

// DropReservations implements outage.Leader.
func (o outageLeader) DropReservations(m *fleet.Machine) {
	o.c.leadership.placement.DropMachineReservations(m)
}

// DispatchAll implements outage.Leader.
func (o outageLeader) DispatchAll() { o.c.leadership.dispatcher.RequestAll() }

// Release implements outage.Leader.
func (o outageLeader) Release(m *fleet.Machine) { o.c.leadership.autoscaler.Release(m) }

// RequestProbe implements outage.Leader.
func (o outageLeader) RequestProbe(zone string) { o.c.leadership.autoscaler.RequestProbe(zone) }
