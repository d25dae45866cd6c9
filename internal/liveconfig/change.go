// Package liveconfig implements the configuration that operators change at run time. The
// settings file provides the base. An object that an operator has changed replaces that of
// the same name in the base and carries the revision of its last change.
//
// The package does no I/O: it validates changes, applies them to a State, and returns the
// records to write. A rejected change has no effect, and an older revision of an object
// never replaces a newer one.
package liveconfig

import (
	"fmt"
	"regexp"
)

// Team is the quota configuration of a team. As in the settings, 0 means no guarantee
// or no limit.
type Team struct {
	Name    string  `json:"name" toml:"name"`
	CPUs    float64 `json:"cpus" toml:"cpus"`        // guaranteed
	CPUsMax float64 `json:"cpusMax" toml:"cpus_max"` // the limit
	GPUs    float64 `json:"gpus" toml:"gpus"`
	GPUsMax float64 `json:"gpusMax" toml:"gpus_max"`
	Retired bool    `json:"retired,omitempty" toml:"retired"` // accepts no new jobs
}

// TeamChange is the requested configuration of a team, with an optional precondition.
type TeamChange struct {
	Team
	// IfRevision, unless nil, must equal the revision of the team's last change, or 0 for a
	// team that was never changed. It rejects requests that are delivered out of order.
	IfRevision *uint64 `json:"ifRevision,omitempty" toml:"-"`
}

// Change is a set of objects that are changed in one transaction.
type Change struct {
	Teams      []TeamChange
	IfRevision *uint64 // the required revision of the configuration; nil accepts any
}

// Error describes why a change was rejected, and which object and field are at fault.
type Error struct {
	Object string // such as "teams[2]" or "team vision"; empty for the change as a whole
	Field  string
	Reason string
	Stale  bool // a revision precondition failed
}

// Error returns the path and the reason, separated by a colon.
func (e *Error) Error() string {
	separator := ""
	if e.Object != "" && e.Field != "" {
		separator = "."
	}
	return e.Object + separator + e.Field + ": " + e.Reason
}

// Path returns the object and the field, separated by a dot, such as "teams[2].cpus".
func (e *Error) Path() string {
	if e.Object == "" {
		return e.Field
	}
	return e.Object + "." + e.Field
}

const (
	// MaxTeams is the maximum number of teams with a record. It bounds the time to read and
	// list them.
	MaxTeams = 2000
	// MaxAmount is the largest amount of a resource. The settings have the same bound.
	MaxAmount = 1e8
	// maxNameBytes keeps keys of team records below the key-value store's limit of 200 bytes.
	maxNameBytes = 100
)

var teamName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// ValidName reports whether name is a valid team name, which is part of a record's key.
func ValidName(name string) bool { return len(name) <= maxNameBytes && teamName.MatchString(name) }

// Validate returns an *Error if the change is invalid regardless of the state. The
// limit is the maximum number of objects in one transaction.
func (c *Change) Validate(limit int) error {
	if len(c.Teams) == 0 {
		return &Error{Field: "teams", Reason: "the change contains no team"}
	}
	if len(c.Teams) > limit {
		return &Error{Field: "teams", Reason: fmt.Sprintf("%d teams in one change, at most %d fit into a transaction", len(c.Teams), limit)}
	}
	names := map[string]bool{}
	for i := range c.Teams {
		team := &c.Teams[i].Team
		field, reason := team.validate()
		if field == "" && names[team.Name] {
			field, reason = "name", fmt.Sprintf("duplicate name %q", team.Name)
		}
		if field != "" {
			return &Error{Object: fmt.Sprintf("teams[%d]", i), Field: field, Reason: reason}
		}
		names[team.Name] = true
	}
	return nil
}

// validate returns the first invalid field and the reason, or empty strings.
func (t *Team) validate() (field, reason string) {
	if !ValidName(t.Name) {
		return "name", fmt.Sprintf("%q is invalid: use at most %d letters, digits, dots, underscores and hyphens, starting with a letter or digit", t.Name, maxNameBytes)
	}
	if field, reason = validateResource("cpus", t.CPUs, t.CPUsMax); field != "" {
		return field, reason
	}
	return validateResource("gpus", t.GPUs, t.GPUsMax)
}

// validateResource checks the guaranteed amount and the limit of a resource. The limit's
// field name is field with the suffix Max. Empty strings mean valid.
func validateResource(field string, guaranteed, limit float64) (invalidField, reason string) {
	limitField := field + "Max"
	switch {
	case !isAmount(guaranteed):
		return field, fmt.Sprintf("must be between 0 and %g", MaxAmount)
	case !isAmount(limit):
		return limitField, fmt.Sprintf("must be between 0 and %g", MaxAmount)
	case limit > 0 && guaranteed > limit:
		return field, fmt.Sprintf("%g exceeds %s, which is %g", guaranteed, limitField, limit)
	}
	return "", ""
}

// isAmount reports whether value is in [0, MaxAmount]. It returns false for NaN.
func isAmount(value float64) bool { return value >= 0 && value <= MaxAmount }
