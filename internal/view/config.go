package view

import "yewpass/internal/liveconfig"

// ConfigChanged is the response to a change of the live configuration.
type ConfigChanged struct {
	// Revision is the first revision that contains the change, or an earlier one if the
	// request changed nothing.
	Revision uint64 `json:"revision"`
}

// Team is the configuration and the resource usage of a team.
type Team struct {
	liveconfig.Team
	Revision uint64 `json:"revision"`          // revision of its last change; 0 if it is only in the settings file
	Damaged  bool   `json:"damaged,omitempty"` // its record cannot be read; the last known configuration is shown
	InUse    struct {
		CPUs float64 `json:"cpus"`
		GPUs float64 `json:"gpus"`
	} `json:"inUse"`
}

// TeamPage is a page of the list of teams.
type TeamPage struct {
	Revision  uint64 `json:"revision"` // revision of the whole configuration
	Teams     []Team `json:"teams"`
	Truncated bool   `json:"truncated,omitempty"`
}

// ConfigStatus is the status of the live configuration on all controllers.
type ConfigStatus struct {
	Revision           uint64             `json:"revision"`
	Changes            int64              `json:"changes"`                  // changes made by this leader
	Waiting            int                `json:"waiting"`                  // changes being written
	PropagationSeconds float64            `json:"lastInForceSeconds"`       // time until all reachable controllers had the last revision
	Damaged            []string           `json:"damaged,omitempty"`        // names of objects whose records cannot be read
	Refusal            string             `json:"refusesChanges,omitempty"` // why changes are refused; empty if they are accepted
	Nodes              []ConfigNodeStatus `json:"nodes"`
}

// ConfigNodeStatus is the status of the live configuration on one controller.
type ConfigNodeStatus struct {
	Name               string  `json:"name"`
	Revision           uint64  `json:"revision"`
	AgeSeconds         float64 `json:"ageSeconds"` // since Revision was last known to be the newest; -1: never
	SupportsLiveConfig bool    `json:"knowsLiveConfiguration"`
}

// LocalConfig is the status of the live configuration on the answering node.
type LocalConfig struct {
	Revision   uint64  `json:"revision"`
	AgeSeconds float64 `json:"ageSeconds"` // since Revision was last known to be the newest
}
