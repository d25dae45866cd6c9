package view

// Cluster is what a node knows of the controllers. Numbers of machines are the
// leader's own; a node that cannot ask it tells what it knows itself.
type Cluster struct {
	Node        string          `json:"node"`                // that tells
	Leader      string          `json:"leader"`              // "" while none is known
	Term        uint64          `json:"term"`                //
	LeadsS      float64         `json:"leadsSeconds"`        // since it was elected; 0 where the leader does not tell
	Authority   bool            `json:"authority"`           // the leader's grant lives
	TookOver    bool            `json:"takeOverComplete"`    // every machine of earlier terms is accounted for
	Machines    int             `json:"machines"`            //
	Unaccounted int             `json:"machinesUnaccounted"` //
	MachineMost int             `json:"machinesMost"`        // that the controllers can serve
	Nodes       []ClusterNode   `json:"nodes"`
	Zones       []ClusterZone   `json:"zones,omitempty"`   // told by the leader alone
	Regions     []ClusterRegion `json:"regions,omitempty"` // likewise
	Records     *Records        `json:"records,omitempty"` // likewise
}

// Records tells how whole the records in the state service are.
type Records struct {
	Era      uint64   `json:"era"`                  // drawn anew after each loss of data
	Lost     string   `json:"lost,omitempty"`       // what showed the last loss, under this leader
	From     string   `json:"from,omitempty"`       // whose copy was gone by; "" where there was none
	SinceS   float64  `json:"sinceSeconds"`         // since it was found
	Restored int      `json:"restored"`             // records that were lost or older
	Left     int      `json:"left"`                 // of them, not on record yet
	Unread   []string `json:"unreadable,omitempty"` // jobs whose records cannot be read, ten at the most
	Copies   []string `json:"copies,omitempty"`     // controllers that have a whole copy, this one aside
}

// ClusterZone is a zone of machines.
type ClusterZone struct {
	Name    string  `json:"name"`
	State   string  `json:"state"`        // up, doubtful, lost, returning
	SinceS  float64 `json:"stateSeconds"` // how long it has been in it
	Heard   int     `json:"machinesHeard"`
	Silent  int     `json:"machinesSilent"`
	Unknown int     `json:"tasksAwaitingProof"` // on its silent machines, until they are proven over
}

// ClusterNode is one controller.
type ClusterNode struct {
	Name    string  `json:"name"`
	Zone    string  `json:"zone"`
	Role    string  `json:"role"`       // leader, relay, or away: it takes no workers for the leader
	Link    bool    `json:"link"`       // from the node that tells
	Workers int     `json:"workers"`    // that report by it
	LagS    float64 `json:"lagSeconds"` // since its last line; 0 for the leader
}

// ClusterRegion is a region of zones.
type ClusterRegion struct {
	Name   string  `json:"name"`
	State  string  `json:"state"`        // up, doubtful, lost, returning
	SinceS float64 `json:"stateSeconds"` // how long it has been in it
	Zones  int     `json:"zones"`        // that have machines
	Away   int     `json:"zonesAway"`    // of them, doubtful or lost
	Heard  int     `json:"machinesHeard"`
	Silent int     `json:"machinesSilent"`
}
