package core

import (
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/outage"
	"yewpass/internal/timeline"
	"yewpass/internal/zones"
)

// zoneProbeInterval is how often one instance is requested in a lost zone without machines, to
// detect its recovery.
const zoneProbeInterval = time.Minute

// newOutageMonitor returns the monitor of zones and regions for the current leadership.
func (c *Core) newOutageMonitor() *outage.Monitor {
	return outage.New(c.Engine, outageLeader{c}, zones.Settings{
		LostAfter:     addClockDrift(c.workerLease), // all worker leases in the zone have expired by then
		StableFor:     2 * c.heartbeatInterval,
		ProbeInterval: zoneProbeInterval,
		KeepFor:       timeline.Seconds(c.pol.ZoneKeep(c.policyEnv())),
	}, c.regions, c.heartbeatInterval*3/2)
}

// outageLeader implements outage.Leader for the current leadership.
type outageLeader struct{ c *Core }

// Machines implements outage.Leader.
func (o outageLeader) Machines() []*fleet.Machine { return o.c.leadership.inventory.Machines() }

// IsUnaccounted implements outage.Leader.
func (o outageLeader) IsUnaccounted(host string) bool {
	return o.c.leadership.inventory.IsUnaccounted(host)
}

// LeadershipTimes implements outage.Leader.
func (o outageLeader) LeadershipTimes() (electedAt, resumedAt time.Time) {
	return o.c.leadership.electedAt, o.c.leadership.resumedAt
}

// DropReservations implements outage.Leader.
func (o outageLeader) DropReservations(m *fleet.Machine) {
	o.c.leadership.placement.DropMachineReservations(m)
}

// RequestDispatchAll implements outage.Leader.
func (o outageLeader) RequestDispatchAll() { o.c.leadership.dispatcher.EnqueueAll() }

// Release implements outage.Leader.
func (o outageLeader) Release(m *fleet.Machine) { o.c.leadership.autoscaler.Release(m) }

// RequestProbe implements outage.Leader.
func (o outageLeader) RequestProbe(zone string) { o.c.leadership.autoscaler.RequestProbe(zone) }
