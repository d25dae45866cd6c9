package view

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
