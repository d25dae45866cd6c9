package view

// Stats holds the values of the metrics page. The embedded structs are only set by the leader,
// except for ConfigRevision and ConfigAge.
type Stats struct {
	IsLeader, Authority bool
	Term                uint64
	Relayed             int   // workers whose heartbeats this node relays
	StaleHeartbeats     int64 // heartbeats that arrived after a newer one and were ignored

	WorkStats
	FleetStats
	RecordStats
	ConfigStats
	ScheduleStats
}

// WorkStats holds the metrics of jobs and tasks.
type WorkStats struct {
	Jobs            int // that have not ended
	WaitingTasks    int
	TasksOnMachines int
	BacklogSeconds  float64 // time that the present machines need for the waiting tasks
}

// FleetStats holds the metrics of machines, relays, zones and regions.
type FleetStats struct {
	Machines            int     // known machines
	Reporting           int     // machines that have reported to this leader
	CPUs                float64 // CPUs of the reporting machines
	CPUsUsed            float64
	Unaccounted         int  // machines that may hold tasks of an earlier term
	Direct              int  // machines that report directly to the leader
	Relays              int  // controllers that relay heartbeats
	RegionsUnreachable  int  // regions that are doubtful or lost
	ZonesUnreachable    int  // zones that are doubtful or lost
	MachinesUnreachable int  // silent machines in zones that are doubtful or lost
	AtMachineLimit      bool // no machines are rented, because the controllers cannot serve more
}

// RecordStats holds the metrics of records in the key-value store.
type RecordStats struct {
	RecordsPending int // records lost by the store that are not yet restored
	UnreadableJobs int // jobs whose records cannot be read
	Replicas       int // other controllers with a complete replica
}

// ConfigStats holds the metrics of the live configuration.
type ConfigStats struct {
	ConfigRevision    uint64  // revision on this node
	ConfigAge         float64 // seconds since ConfigRevision was last known to be the newest
	ConfigPropagation float64 // seconds until all reachable controllers had the last change
	ConfigChanges     int64   // changes made by this leader
	ConfigDamaged     int     // objects whose records cannot be read
}

// ScheduleStats holds the metrics of schedules. The counters start at 0 with each leader.
type ScheduleStats struct {
	Schedules          int
	OccurrencesCreated int64
	OccurrencesMissed  int64
	OccurrencesLate    int64
}
