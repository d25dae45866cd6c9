package recordcodec

import (
	"encoding/json"
	"strings"

	"yewpass/internal/liveconfig"
)

// configHeadJSON holds the revision of the whole configuration.
type configHeadJSON struct {
	Type     string `json:"type"` // typeConfigHead
	Revision uint64 `json:"revision"`
}

// configTeamJSON is a team's configuration as of its last change.
type configTeamJSON struct {
	Type     string  `json:"type"` // typeConfigTeam
	Revision uint64  `json:"revision"`
	Name     string  `json:"name"`
	CPUs     float64 `json:"cpus,omitempty"`
	CPUsMax  float64 `json:"cpusMax,omitempty"`
	GPUs     float64 `json:"gpus,omitempty"`
	GPUsMax  float64 `json:"gpusMax,omitempty"`
	Retired  bool    `json:"retired,omitempty"`
}

func encodeConfigTeam(r *liveconfig.TeamRecord) configTeamJSON {
	t := &r.Team
	return configTeamJSON{typeConfigTeam, r.Revision, t.Name, t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax, t.Retired}
}

func decodeConfigHead(_ string, data []byte) any {
	var h configHeadJSON
	if json.Unmarshal(data, &h) != nil || h.Revision == 0 {
		return nil
	}
	return &liveconfig.HeadRecord{Revision: h.Revision}
}

func decodeConfigTeam(key string, data []byte) any {
	var j configTeamJSON
	if json.Unmarshal(data, &j) != nil || j.Revision == 0 || !strings.HasSuffix(key, "/"+j.Name) {
		return nil
	}
	team := liveconfig.Team{Name: j.Name, CPUs: j.CPUs, CPUsMax: j.CPUsMax, GPUs: j.GPUs, GPUsMax: j.GPUsMax, Retired: j.Retired}
	// Only teams that pass the validation of user requests are written.
	change := liveconfig.Change{Teams: []liveconfig.TeamChange{{Team: team}}}
	if change.Validate(1) != nil {
		return nil
	}
	return &liveconfig.TeamRecord{Team: team, Revision: j.Revision}
}
