package liveconfig

import (
	"fmt"
	"maps"
	"slices"

	"yewpass/internal/config"
)

// TeamRecord is the stored record of a team whose configuration an operator has changed.
type TeamRecord struct {
	Team     Team
	Revision uint64 // revision of the configuration that made this change
}

// HeadRecord is the stored record of the configuration's current revision.
type HeadRecord struct {
	Revision uint64
}

// State is the configuration at a revision. The zero State must not be changed; use New.
type State struct {
	Revision uint64                // incremented with every change
	base     map[string]Team       // from the settings
	changed  map[string]TeamRecord // teams that override or extend the base
}

// BaseTeams converts the teams of the settings to the base of a State.
func BaseTeams(settings []config.Team) (teams []Team) {
	for _, t := range settings {
		teams = append(teams, Team{Name: t.Name, CPUs: t.CPUs, CPUsMax: t.CPUsMax, GPUs: t.GPUs, GPUsMax: t.GPUsMax})
	}
	return teams
}

// New returns a state at revision 0 that contains only the base teams.
func New(base []Team) *State {
	s := &State{base: map[string]Team{}, changed: map[string]TeamRecord{}}
	for _, team := range base {
		s.base[team.Name] = team
	}
	return s
}

// Clone returns an independent copy. The base is shared, since it is never modified.
func (s *State) Clone() *State {
	return &State{Revision: s.Revision, base: s.base, changed: maps.Clone(s.changed)}
}

// LoadHead applies a stored head record. It never lowers the revision.
func (s *State) LoadHead(record HeadRecord) { s.Revision = max(s.Revision, record.Revision) }

// LoadTeam applies a stored team record unless a newer one is already loaded. It raises the
// configuration's revision to the record's, in case the head record is unreadable.
func (s *State) LoadTeam(record TeamRecord) {
	name := record.Team.Name
	if known, ok := s.changed[name]; ok && known.Revision > record.Revision {
		return
	}
	s.changed[name] = record
	s.Revision = max(s.Revision, record.Revision)
}

// Team returns the current configuration of a team and the revision of its last change, or 0
// if it was never changed.
func (s *State) Team(name string) (team Team, revision uint64, ok bool) {
	if record, ok := s.changed[name]; ok {
		return record.Team, record.Revision, true
	}
	team, ok = s.base[name]
	return team, 0, ok
}

// Teams returns the current configuration of the named teams, which must exist.
func (s *State) Teams(names []string) (teams []Team) {
	for _, name := range names {
		team, _, _ := s.Team(name)
		teams = append(teams, team)
	}
	return teams
}

// Names returns the sorted names of all teams.
func (s *State) Names() []string {
	names := map[string]bool{}
	for name := range s.base {
		names[name] = true
	}
	for name := range s.changed {
		names[name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// ChangedTeams returns the records of all changed teams, sorted by name.
func (s *State) ChangedTeams() (records []TeamRecord) {
	for _, name := range slices.Sorted(maps.Keys(s.changed)) {
		records = append(records, s.changed[name])
	}
	return records
}

// lastRevision returns the highest revision of the teams in the change.
func (s *State) lastRevision(change *Change) (revision uint64) {
	for _, team := range change.Teams {
		_, teamRevision, _ := s.Team(team.Name)
		revision = max(revision, teamRevision)
	}
	return revision
}

// IsSatisfied reports whether applying the change would have no effect.
func (s *State) IsSatisfied(change *Change) bool {
	for _, team := range change.Teams {
		if current, _, ok := s.Team(team.Name); !ok || current != team.Team {
			return false
		}
	}
	return true
}

// Apply applies a change that has passed Change.Validate and returns the names of the
// changed teams. If it returns an error, an *Error, the state is unchanged.
func (s *State) Apply(change *Change) (names []string, err error) {
	if err := s.validate(change); err != nil {
		return nil, err
	}
	s.Revision++
	for _, team := range change.Teams {
		s.changed[team.Name] = TeamRecord{Team: team.Team, Revision: s.Revision}
		names = append(names, team.Name)
	}
	return names, nil
}

// validate returns an *Error if the change conflicts with the current state.
func (s *State) validate(change *Change) error {
	if change.IfRevision != nil && *change.IfRevision != s.Revision {
		reason := fmt.Sprintf("the configuration is at revision %d, not %d", s.Revision, *change.IfRevision)
		return &Error{Field: "ifRevision", Reason: reason, Stale: true}
	}
	newRecords := 0
	for i := range change.Teams {
		team := &change.Teams[i]
		if err := s.validateTeam(team); err != nil {
			return err
		}
		if _, ok := s.changed[team.Name]; !ok {
			newRecords++
		}
	}
	if len(s.changed)+newRecords > MaxTeams {
		return &Error{Field: "teams", Reason: fmt.Sprintf("the change would exceed the maximum of %d changed teams", MaxTeams)}
	}
	return nil
}

// validateTeam checks the precondition of a team change and that a retired team exists.
func (s *State) validateTeam(team *TeamChange) error {
	object := "team " + team.Name
	_, revision, exists := s.Team(team.Name)
	if team.IfRevision != nil && *team.IfRevision != revision {
		reason := fmt.Sprintf("the team was last changed at revision %d, not %d", revision, *team.IfRevision)
		return &Error{Object: object, Field: "ifRevision", Reason: reason, Stale: true}
	}
	if team.Retired && !exists {
		return &Error{Object: object, Field: "retired", Reason: "the team does not exist"}
	}
	return nil
}
