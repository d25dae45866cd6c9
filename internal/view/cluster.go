package view

// Cluster is the status of the controllers and machines as the leader knows it or, if the
// answering node cannot reach the leader, as that node knows it.
type Cluster struct {
	Node             string          `json:"node"`   // the answering node
	Leader           string          `json:"leader"` // empty if unknown
	Term             uint64          `json:"term"`
	LeadingSeconds   float64         `json:"leadsSeconds"`     // since the election; 0 if Node is not the leader
	Authority        bool            `json:"authority"`        // whether the leader lease is valid
	FailoverComplete bool            `json:"takeOverComplete"` // whether all machines of earlier terms are accounted for
	Machines         int             `json:"machines"`
	Unaccounted      int             `json:"machinesUnaccounted"` // may have tasks of an earlier term
	MaxMachines      int             `json:"machinesMost"`        // maximum that the controllers can serve
	Nodes            []ClusterNode   `json:"nodes"`
	Zones            []ClusterZone   `json:"zones,omitempty"`   // leader only
	Regions          []ClusterRegion `json:"regions,omitempty"` // leader only
	Records          *Records        `json:"records,omitempty"` // leader only
}

// Records is the status of the records in the key-value store: data loss, restoration and
// replicas.
type Records struct {
	Era            uint64   `json:"era"`                  // random ID, replaced after each data loss
	LossReason     string   `json:"lost,omitempty"`       // how the last data loss under this leader was detected
	Source         string   `json:"from,omitempty"`       // controller whose replica is restored; empty if none
	SinceSeconds   float64  `json:"sinceSeconds"`         // since the data loss was detected
	Restored       int      `json:"restored"`             // records that were missing or outdated
	Pending        int      `json:"left"`                 // of these, records not yet written back
	UnreadableJobs []string `json:"unreadable,omitempty"` // jobs whose records cannot be read, at most ten
	Replicas       []string `json:"copies,omitempty"`     // other controllers with a complete replica
}

// ClusterZone is the status of the machines of a zone.
type ClusterZone struct {
	Name             string  `json:"name"`
	State            string  `json:"state"`        // up, doubtful, lost or returning
	StateSeconds     float64 `json:"stateSeconds"` // since the last change of State
	Reporting        int     `json:"machinesHeard"`
	Silent           int     `json:"machinesSilent"`
	UnconfirmedTasks int     `json:"tasksAwaitingProof"` // on silent machines; not yet known to have ended
}

// Roles of controllers.
const (
	RoleLeader       = "leader"
	RoleRelay        = "relay" // relays heartbeats to the leader
	RoleDisconnected = "away"  // relays no heartbeats
)

// ClusterNode is the status of a controller.
type ClusterNode struct {
	Name       string  `json:"name"`
	Zone       string  `json:"zone"`
	Role       string  `json:"role"`       // RoleLeader, RoleRelay or RoleDisconnected; empty if unknown
	Link       bool    `json:"link"`       // whether the answering node is connected to it
	Workers    int     `json:"workers"`    // workers that report to it
	LagSeconds float64 `json:"lagSeconds"` // since its last batch of heartbeats; 0 for the leader
}

// ClusterRegion is the status of the machines of a region.
type ClusterRegion struct {
	Name             string  `json:"name"`
	State            string  `json:"state"`        // up, doubtful, lost or returning
	StateSeconds     float64 `json:"stateSeconds"` // since the last change of State
	Zones            int     `json:"zones"`        // zones with machines
	ZonesUnreachable int     `json:"zonesAway"`    // of these, zones that are doubtful or lost
	Reporting        int     `json:"machinesHeard"`
	Silent           int     `json:"machinesSilent"`
}
