package view

import "yewpass/internal/liveconfig"

// ConfigChanged is the answer to a change of the configuration.
type ConfigChanged struct {
	// Revision is the revision that contains the change. If the configuration had
	// everything that was requested before, it is an earlier one.
	Revision uint64 `json:"revision"`
}

// Team is the configuration of a team and what the team uses.
type Team struct {
	liveconfig.Team
	Revision uint64 `json:"revision"`          // of its last change; 0: as in the settings
	Damaged  bool   `json:"damaged,omitempty"` // its record cannot be read; this is what was known before
	InUse    struct {
		CPUs float64 `json:"cpus"`
		GPUs float64 `json:"gpus"`
	} `json:"inUse"`
}

// TeamPage is a page of the list of teams.
type TeamPage struct {
	Revision  uint64 `json:"revision"` // of the configuration as a whole
	Teams     []Team `json:"teams"`
	Truncated bool   `json:"truncated,omitempty"`
}

// ConfigStatus tells which revision of the configuration is in force where.
type ConfigStatus struct {
	Revision           uint64             `json:"revision"`
	Changes            int64              `json:"changes"`                  // made by this leader
	Waiting            int                `json:"waiting"`                  // changes that are being written
	PropagationSeconds float64            `json:"lastInForceSeconds"`       // until all controllers in reach knew the last revision
	Damaged            []string           `json:"damaged,omitempty"`        // objects whose records cannot be read
	Refusal            string             `json:"refusesChanges,omitempty"` // why no change is accepted at present
	Nodes              []ConfigNodeStatus `json:"nodes"`
}

// ConfigNodeStatus tells which revision a controller has.
type ConfigNodeStatus struct {
	Name               string  `json:"name"`
	Revision           uint64  `json:"revision"`
	AgeSeconds         float64 `json:"ageSeconds"` // since it was last known to be the newest there; -1: never
	SupportsLiveConfig bool    `json:"knowsLiveConfiguration"`
}

// LocalConfig is the configuration that the answering node has, whoever leads.
type LocalConfig struct {
	Revision   uint64  `json:"revision"`
	AgeSeconds float64 `json:"ageSeconds"` // since it was last known to be the newest
}
