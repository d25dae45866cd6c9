package view

// Stats holds the figures of the metrics page. Only a leader knows those of its parts;
// elsewhere they are zero, but for the revision and the age of the configuration.
type Stats struct {
	IsLeader, Authority bool
	Term                uint64
	Relayed             int   // workers that report here, to be passed on to the leader
	StaleHeartbeats     int64 // heartbeats older than what was known, which changed nothing

	WorkStats
	FleetStats
	RecordStats
	ConfigStats
	ScheduleStats
}

// WorkStats holds the figures of jobs and their tasks.
type WorkStats struct {
	Jobs            int // that are not over
	WaitingTasks    int
	TasksOnMachines int
	BacklogSeconds  float64
}

// FleetStats holds the figures of machines and of how they are reached.
type FleetStats struct {
	Machines            int     // known
	Reporting           int     // that have reported to this leader
	CPUs                float64 // of the reporting machines
	CPUsUsed            float64
	Unaccounted         int  // machines that may hold tasks of an earlier term
	Direct              int  // machines that report to the leader itself
	Relays              int  // controllers that relay heartbeats of others
	RegionsUnreachable  int  // regions that are doubtful or lost as a whole
	ZonesUnreachable    int  // zones that are doubtful or lost
	MachinesUnreachable int  // silent machines there
	AtMachineLimit      bool // the controllers could serve no more machines, so none are rented
}

// RecordStats holds the figures of the stored records.
type RecordStats struct {
	RecordsPending int // records lost with data of the state service, still to be restored
	UnreadableJobs int // jobs whose records cannot be read
	Replicas       int // other controllers with a complete replica of the records
}

// ConfigStats holds the figures of the live configuration.
type ConfigStats struct {
	ConfigRevision    uint64  // that this node has
	ConfigAge         float64 // seconds since that was last known to be the newest
	ConfigPropagation float64 // seconds until all controllers in reach knew the last change
	ConfigChanges     int64   // made by this leader
	ConfigDamaged     int     // objects whose records cannot be read
}

// ScheduleStats holds the figures of schedules under this leader.
type ScheduleStats struct {
	Schedules          int
	OccurrencesCreated int64
	OccurrencesMissed  int64
	OccurrencesLate    int64
}
