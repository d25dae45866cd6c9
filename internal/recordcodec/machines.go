package recordcodec

import (
	"encoding/json"
	"strings"

	"yewpass/internal/record"
)

// machinesJSON lists machines. The fields after Machines are only used by typeMachine, the
// format of the first version, which has one machine and its host name in the key.
type machinesJSON struct {
	Type         string        `json:"type"` // typeMachine or typeMachines
	Machines     []machineJSON `json:"machines,omitempty"`
	InstanceType string        `json:"flavor,omitempty"`
	Zone         string        `json:"zone,omitempty"`
	Spot         bool          `json:"reclaimable,omitempty"`
}

type machineJSON struct {
	Host         string `json:"host"`
	Address      string `json:"address,omitempty"`
	InstanceType string `json:"flavor"`
	Zone         string `json:"zone"`
	Spot         bool   `json:"reclaimable,omitempty"`
}

func encodeMachines(r *record.Machines) machinesJSON {
	j := machinesJSON{Type: typeMachines}
	for _, m := range r.Machines {
		j.Machines = append(j.Machines, machineJSON(m))
	}
	return j
}

func decodeMachines(_ string, data []byte) any {
	var j machinesJSON
	// An empty list is invalid: the writer deletes the record instead.
	if json.Unmarshal(data, &j) != nil || len(j.Machines) == 0 {
		return nil
	}
	r := &record.Machines{}
	for _, m := range j.Machines {
		r.Machines = append(r.Machines, record.Machine(m))
	}
	return r
}

func decodeMachine(key string, data []byte) any {
	var j machinesJSON
	if json.Unmarshal(data, &j) != nil {
		return nil
	}
	host := key[strings.LastIndexByte(key, '/')+1:]
	return &record.Machines{Machines: []record.Machine{{Host: host, InstanceType: j.InstanceType, Zone: j.Zone, Spot: j.Spot}}}
}
