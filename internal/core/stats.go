package core

import "yewpass/internal/view"

// Stats returns the figures of now.
func (c *Core) Stats() view.Stats {
	s := view.Stats{Term: c.highestTerm, Relayed: len(c.relay.reporters), StaleHeartbeats: c.staleHeartbeats}
	here := c.LocalConfig()
	s.ConfigRevision, s.ConfigAge = here.Revision, here.AgeS
	l := c.leadership
	if l == nil {
		return s
	}
	s.ConfigSpread, s.ConfigChanges, s.ConfigDamaged = l.config.spread.Seconds(), l.config.changes, len(l.config.damaged)
	s.Leads, s.Authority = true, c.hasAuthority()
	s.Jobs, s.Machines, s.Unaccounted, s.BacklogSeconds = len(l.jobs), len(l.fleet), len(l.unaccounted), l.autoscaler.backlog.Seconds()
	s.Direct, s.Relays, s.Full = l.relay("").Workers, len(c.relayNodes()), l.autoscaler.fleetFull
	s.Schedules = len(l.schedules.names)
	s.Unreadable = len(l.unreadableJobs)
	if l.loss != nil {
		s.RecordsLeft = l.loss.pending
	}
	s.Copies = len(c.completeReplicas())
	s.OccurrencesMade, s.OccurrencesMissed, s.OccurrencesLate = l.schedules.made, l.schedules.missed, l.schedules.late
	for _, j := range l.jobs {
		s.Waiting += j.Waiting
		s.Running += len(j.Attempts)
	}
	for _, r := range l.regions.All() {
		if r.IsAway() {
			s.RegionsAway++
		}
	}
	for _, z := range l.zones.All() {
		if z.Away() {
			s.ZonesAway++
		}
	}
	for _, m := range l.fleet {
		if m.Unreachable {
			s.MachinesAway++
		}
		if m.Reported {
			s.Reporting++
			s.CPUs += float64(m.Timeline.Capacity().CPU) / 1000
			s.CPUsUsed += float64(m.Allocated.CPU) / 1000
		}
	}
	return s
}
