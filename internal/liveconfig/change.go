// Package liveconfig implements the configuration that operators change while the
// service runs. The platform's settings are the base; objects that operators have
// changed replace their counterparts in it, each with the revision of its change.
//
// The package does no I/O: it checks changes, applies them to a State, and returns
// the records to be written. It guarantees that a rejected change has no effect,
// and that an older revision of an object never replaces a newer one.
package liveconfig

import (
	"fmt"
	"regexp"
)

// Team is the configuration of a team. As in the settings, 0 means no guarantee or
// no limit.
type Team struct {
	Name    string  `json:"name" toml:"name"`
	CPUs    float64 `json:"cpus" toml:"cpus"`        // guaranteed
	CPUsMax float64 `json:"cpusMax" toml:"cpus_max"` // the limit
	GPUs    float64 `json:"gpus" toml:"gpus"`
	GPUsMax float64 `json:"gpusMax" toml:"gpus_max"`
	Retired bool    `json:"retired,omitempty" toml:"retired"` // accepts no new jobs
}

// TeamChange is the configuration that a team is to have.
type TeamChange struct {
	Team
	// IfRevision, unless nil, is the revision at which the team must have been changed
	// last: 0 for a team that is as in the settings. It makes a request that is
	// delivered late, after newer ones, fail.
	IfRevision *uint64 `json:"ifRevision,omitempty" toml:"-"`
}

// Change is a set of objects that change in one transaction.
type Change struct {
	Teams      []TeamChange
	IfRevision *uint64 // the revision that the configuration must have; nil: any
}

// Error reports why a change was rejected.
type Error struct {
	Object string // such as "teams[2]" or "team vision"; empty: the change as a whole
	Field  string
	Reason string
	Stale  bool // the change names a revision that is not the present one
}

// Error returns the path and the reason on one line.
func (e *Error) Error() string {
	separator := ""
	if e.Object != "" && e.Field != "" {
		separator = "."
	}
	return e.Object + separator + e.Field + ": " + e.Reason
}

// Path returns the object and the field, separated by a dot.
func (e *Error) Path() string {
	if e.Object == "" {
		return e.Field
	}
	return e.Object + "." + e.Field
}

const (
	// MaxTeams is the largest number of teams that have been changed. It limits how
	// long reading and listing all of them takes.
	MaxTeams = 2000
	// MaxAmount is the largest amount of a resource, as in the settings.
	MaxAmount = 1e8
	// maxNameBytes keeps the key of a team's record below the limit of the state
	// service, 200 bytes.
	maxNameBytes = 100
)

var teamName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// ValidName reports whether a team may have this name, which becomes part of the
// key of its record.
func ValidName(name string) bool { return len(name) <= maxNameBytes && teamName.MatchString(name) }

// Check returns an *Error if the change is invalid in every state. The limit is the
// largest number of objects that a transaction can hold.
func (c *Change) Check(limit int) error {
	if len(c.Teams) == 0 {
		return &Error{Field: "teams", Reason: "the change names none"}
	}
	if len(c.Teams) > limit {
		return &Error{Field: "teams", Reason: fmt.Sprintf("%d in one change, at most %d go into a transaction", len(c.Teams), limit)}
	}
	names := map[string]bool{}
	for i := range c.Teams {
		team := &c.Teams[i].Team
		field, reason := team.check()
		if field == "" && names[team.Name] {
			field, reason = "name", fmt.Sprintf("%q is named twice", team.Name)
		}
		if field != "" {
			return &Error{Object: fmt.Sprintf("teams[%d]", i), Field: field, Reason: reason}
		}
		names[team.Name] = true
	}
	return nil
}

// check returns the first invalid field and the reason, or empty strings.
func (t *Team) check() (field, reason string) {
	if !ValidName(t.Name) {
		return "name", fmt.Sprintf("%q is not a name of letters, digits, dots, underscores and hyphens, at most %d bytes", t.Name, maxNameBytes)
	}
	if field, reason = checkResource("cpus", t.CPUs, t.CPUsMax); field != "" {
		return field, reason
	}
	return checkResource("gpus", t.GPUs, t.GPUsMax)
}

// checkResource checks the guaranteed amount and the limit of a resource. The field
// of the limit is named like that of the guarantee, with the suffix Max.
func checkResource(field string, guaranteed, limit float64) (invalidField, reason string) {
	limitField := field + "Max"
	switch {
	case !isAmount(guaranteed):
		return field, fmt.Sprintf("must be 0 to %g", MaxAmount)
	case !isAmount(limit):
		return limitField, fmt.Sprintf("must be 0 to %g", MaxAmount)
	case limit > 0 && guaranteed > limit:
		return field, fmt.Sprintf("%g is more than %s, %g", guaranteed, limitField, limit)
	}
	return "", ""
}

// isAmount reports whether value lies in [0, MaxAmount]; NaN does not.
func isAmount(value float64) bool { return value >= 0 && value <= MaxAmount }
