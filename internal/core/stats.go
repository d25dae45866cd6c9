package core

// Stats is what the metrics page shows of the core.
type Stats struct {
	Leads, Authority        bool
	Term                    uint64
	Jobs, Waiting, Running  int     // jobs not over; their tasks
	Machines, Reporting     int     // known; reporting
	CPUs, CPUsUsed          float64 // of the reporting ones
	Unaccounted             int     // machines that may hold an earlier term's tasks
	BacklogSeconds          float64
	Direct, Relays, Relayed int  // machines that report to the leader itself; nodes that take others for it; workers that report here to be passed on
	RegionsAway             int  // regions that are doubtful or lost as a whole
	ZonesAway, MachinesAway int  // zones that are doubtful or lost; silent machines there
	RecordsLeft, Unreadable int  // records that a loss has taken and that are not on record again; jobs whose records cannot be read
	Copies                  int  // controllers that have a whole copy of the records, this one aside
	Full                    bool // no more machines are rented: the controllers could not serve them

	ConfigRevision uint64  // of the configuration that this node has
	ConfigAge      float64 // seconds since it was last known to be the newest
	ConfigSpread   float64 // seconds until the last change was known to all in reach
	ConfigChanges  int64   // made by this leader
	ConfigDamaged  int     // objects whose records cannot be read

	StaleHeartbeats                                     int64 // reports that were older than what was known, and taught nothing
	Schedules                                           int   // read by this leader
	OccurrencesMade, OccurrencesMissed, OccurrencesLate int64 // by this leader
}

// Stats returns the figures of now.
func (c *Core) Stats() Stats {
	s := Stats{Term: c.highestTerm, Relayed: len(c.relay.reporters), StaleHeartbeats: c.staleHeartbeats}
	here := c.ConfigHere()
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
