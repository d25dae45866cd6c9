package core

import "yewpass/internal/view"

// Stats returns the metrics. A node that is not the leader reports only its term, relayed workers,
// stale heartbeats and configuration.
func (c *Core) Stats() view.Stats {
	s := view.Stats{Term: c.election.HighestTerm(), Relayed: c.forwarder.Workers(), StaleHeartbeats: c.staleHeartbeats + c.forwarder.StaleHeartbeats()}
	l := c.leadership
	if l != nil {
		s.ConfigStats = l.config.Stats()
	}
	local := c.LocalConfig()
	s.ConfigRevision, s.ConfigAge = local.Revision, local.AgeSeconds
	if l == nil {
		return s
	}
	s.IsLeader, s.Authority = true, c.hasAuthority()
	s.WorkStats = l.workStats()
	s.FleetStats = c.fleetStats()
	s.RecordStats = c.recordStats()
	s.ScheduleStats = l.recurring.Stats()
	return s
}

func (l *leadership) workStats() view.WorkStats {
	s := view.WorkStats{Jobs: len(l.jobs), BacklogSeconds: l.autoscaler.Backlog().Seconds()}
	for _, j := range l.jobs {
		s.WaitingTasks += j.Waiting
		s.TasksOnMachines += len(j.Attempts)
	}
	return s
}

func (c *Core) fleetStats() view.FleetStats {
	l := c.leadership
	s := view.FleetStats{
		Machines:       len(l.inventory.Machines()),
		Unaccounted:    l.inventory.UnaccountedCount(),
		Direct:         l.relays.DirectWorkers(),
		Relays:         len(l.relays.Nodes()),
		AtMachineLimit: l.autoscaler.AtCapacity(),
	}
	for _, r := range l.outages.Regions.All() {
		if r.Unreachable() {
			s.RegionsUnreachable++
		}
	}
	for _, z := range l.outages.Zones.All() {
		if z.Unreachable() {
			s.ZonesUnreachable++
		}
	}
	for _, m := range l.inventory.Machines() {
		if m.Unreachable {
			s.MachinesUnreachable++
		}
		if m.Reported {
			s.Reporting++
			s.CPUs += float64(m.Timeline.Capacity().CPU) / 1000
			s.CPUsUsed += float64(m.Allocated.CPU) / 1000
		}
	}
	return s
}

func (c *Core) recordStats() view.RecordStats {
	l := c.leadership
	s := view.RecordStats{UnreadableJobs: len(l.unreadableJobs), Replicas: len(l.publisher.CompleteFollowers())}
	if loss := l.restorer.Loss(); loss != nil {
		s.RecordsPending = loss.Pending
	}
	return s
}
