package view

// Cluster is what a node knows of the controllers. The numbers of machines are the
// leader's; a node that cannot reach the leader tells what it knows itself.
type Cluster struct {
	Node             string          `json:"node"`                // that answers
	Leader           string          `json:"leader"`              // empty while none is known
	Term             uint64          `json:"term"`                //
	LeadingSeconds   float64         `json:"leadsSeconds"`        // since the election; 0 unless the leader answers
	Authority        bool            `json:"authority"`           // the leader lease is valid
	FailoverComplete bool            `json:"takeOverComplete"`    // every machine of earlier terms is accounted for
	Machines         int             `json:"machines"`            //
	Unaccounted      int             `json:"machinesUnaccounted"` //
	MaxMachines      int             `json:"machinesMost"`        // that the controllers can serve
	Nodes            []ClusterNode   `json:"nodes"`
	Zones            []ClusterZone   `json:"zones,omitempty"`   // only from the leader
	Regions          []ClusterRegion `json:"regions,omitempty"` // likewise
	Records          *Records        `json:"records,omitempty"` // likewise
}

// Records tells how complete the records in the state service are.
type Records struct {
	Era            uint64   `json:"era"`                  // drawn anew after each loss of data
	LossReason     string   `json:"lost,omitempty"`       // what revealed the last loss under this leader
	Source         string   `json:"from,omitempty"`       // whose replica was used; empty if there was none
	SinceSeconds   float64  `json:"sinceSeconds"`         // since the loss was found
	Restored       int      `json:"restored"`             // records that were lost or older
	Pending        int      `json:"left"`                 // of these, not written back yet
	UnreadableJobs []string `json:"unreadable,omitempty"` // jobs whose records cannot be read, at most ten
	Replicas       []string `json:"copies,omitempty"`     // other controllers with a complete replica
}

// ClusterZone is a zone of machines.
type ClusterZone struct {
	Name             string  `json:"name"`
	State            string  `json:"state"`        // up, doubtful, lost, returning
	StateSeconds     float64 `json:"stateSeconds"` // since it is in this state
	Reporting        int     `json:"machinesHeard"`
	Silent           int     `json:"machinesSilent"`
	UnconfirmedTasks int     `json:"tasksAwaitingProof"` // on its silent machines, not yet proven over
}

// Roles of controllers.
const (
	RoleLeader = "leader"
	RoleRelay  = "relay" // relays heartbeats to the leader
	RoleAway   = "away"  // relays none
)

// ClusterNode is a controller.
type ClusterNode struct {
	Name       string  `json:"name"`
	Zone       string  `json:"zone"`
	Role       string  `json:"role"`       // RoleLeader, RoleRelay or RoleAway; empty if not known
	Link       bool    `json:"link"`       // from the answering node
	Workers    int     `json:"workers"`    // that report to it
	LagSeconds float64 `json:"lagSeconds"` // since its last batch of heartbeats; 0 for the leader
}

// ClusterRegion is a region of zones.
type ClusterRegion struct {
	Name             string  `json:"name"`
	State            string  `json:"state"`        // up, doubtful, lost, returning
	StateSeconds     float64 `json:"stateSeconds"` // since it is in this state
	Zones            int     `json:"zones"`        // with machines
	ZonesUnreachable int     `json:"zonesAway"`    // of these, doubtful or lost
	Reporting        int     `json:"machinesHeard"`
	Silent           int     `json:"machinesSilent"`
}
