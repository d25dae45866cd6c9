package view

import "yewpass/internal/liveconfig"

// ConfigChanged answers a change.
type ConfigChanged struct {
	Revision uint64 `json:"revision"` // at which it is so: that of the whole with the change, or of before if it was so already
}

// Team is a team's configuration as users see it.
type Team struct {
	liveconfig.Team
	Revision uint64 `json:"revision"`          // at which it was changed last; 0: as the settings have it
	Damaged  bool   `json:"damaged,omitempty"` // its record cannot be read, this is what was known before
	InUse    struct {
		CPUs float64 `json:"cpus"`
		GPUs float64 `json:"gpus"`
	} `json:"inUse"`
}

// TeamPage lists teams.
type TeamPage struct {
	Revision  uint64 `json:"revision"` // of the whole
	Teams     []Team `json:"teams"`
	Truncated bool   `json:"truncated,omitempty"`
}

// ConfigStatus says which revision is in force where.
type ConfigStatus struct {
	Revision uint64             `json:"revision"`
	Changes  int64              `json:"changes"`                  // made under this leader
	Waiting  int                `json:"waiting"`                  // changes that are being written
	SpreadS  float64            `json:"lastInForceSeconds"`       // until the last revision was known to all controllers in reach
	Damaged  []string           `json:"damaged,omitempty"`        // objects whose records cannot be read
	Refuses  string             `json:"refusesChanges,omitempty"` // why no change is taken at present
	Nodes    []ConfigNodeStatus `json:"nodes"`
}

// ConfigNodeStatus is one controller's.
type ConfigNodeStatus struct {
	Name     string  `json:"name"`
	Revision uint64  `json:"revision"`
	AgeS     float64 `json:"ageSeconds"` // since it was last known to be the newest there; -1: never heard
	Knows    bool    `json:"knowsLiveConfiguration"`
}

// LocalConfig is the configuration that this node has, whoever leads.
type LocalConfig struct {
	Revision uint64  `json:"revision"`
	AgeS     float64 `json:"ageSeconds"` // since it was last known to be the newest
}
