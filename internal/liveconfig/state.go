package liveconfig

import (
	"fmt"
	"maps"
	"slices"

	"yewpass/internal/config"
)

// TeamRecord is the stored record of a team that has been changed.
type TeamRecord struct {
	Team     Team
	Revision uint64 // of the configuration, as of the change
}

// HeadRecord is the stored record of the configuration's revision.
type HeadRecord struct {
	Revision uint64
}

// State is the configuration at a revision. The zero State has no teams and accepts
// no changes; use New.
type State struct {
	Revision uint64 // incremented with every change
	base     map[string]Team
	changed  map[string]TeamRecord
}

// BaseTeams returns the teams of the settings, on which a State is based.
func BaseTeams(settings []config.Team) (teams []Team) {
	for _, t := range settings {
		teams = append(teams, Team{Name: t.Name, CPUs: t.CPUs, CPUsMax: t.CPUsMax, GPUs: t.GPUs, GPUsMax: t.GPUsMax})
	}
	return teams
}

// New returns the state before any change, with the teams of the settings.
func New(base []Team) *State {
	s := &State{base: map[string]Team{}, changed: map[string]TeamRecord{}}
	for _, team := range base {
		s.base[team.Name] = team
	}
	return s
}

// Clone returns an independent copy. It shares the base, which is never modified.
func (s *State) Clone() *State {
	return &State{Revision: s.Revision, base: s.base, changed: maps.Clone(s.changed)}
}

// LoadHead adds a head record that has been read.
func (s *State) LoadHead(record HeadRecord) { s.Revision = max(s.Revision, record.Revision) }

// LoadTeam adds a team record that has been read, unless a newer one is known. It
// also raises the revision of the configuration to that of the record, in case the
// head record cannot be read.
func (s *State) LoadTeam(record TeamRecord) {
	name := record.Team.Name
	if known, ok := s.changed[name]; ok && known.Revision > record.Revision {
		return
	}
	s.changed[name] = record
	s.Revision = max(s.Revision, record.Revision)
}

// Team returns the present configuration of a team and the revision of its last
// change, which is 0 for a team that is as in the settings.
func (s *State) Team(name string) (team Team, revision uint64, ok bool) {
	if record, ok := s.changed[name]; ok {
		return record.Team, record.Revision, true
	}
	team, ok = s.base[name]
	return team, 0, ok
}

// Teams returns the present configuration of the named teams, which must exist.
func (s *State) Teams(names []string) (teams []Team) {
	for _, name := range names {
		team, _, _ := s.Team(name)
		teams = append(teams, team)
	}
	return teams
}

// Names returns the names of all teams, sorted.
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

// Changed returns the records of the teams that have been changed, sorted by name.
func (s *State) Changed() (records []TeamRecord) {
	for _, name := range slices.Sorted(maps.Keys(s.changed)) {
		records = append(records, s.changed[name])
	}
	return records
}

// lastRevision returns the revision at which any team of the change was changed
// last.
func (s *State) lastRevision(change *Change) (revision uint64) {
	for _, team := range change.Teams {
		_, teamRevision, _ := s.Team(team.Name)
		revision = max(revision, teamRevision)
	}
	return revision
}

// Says reports whether the state already has everything that the change requests.
func (s *State) Says(change *Change) bool {
	for _, team := range change.Teams {
		if present, _, ok := s.Team(team.Name); !ok || present != team.Team {
			return false
		}
	}
	return true
}

// Apply applies a change that has passed Change.Check, and returns the names of the
// teams that it changes. If the error, an *Error, is not nil, the state has not
// changed.
func (s *State) Apply(change *Change) (names []string, err error) {
	if err := s.accepts(change); err != nil {
		return nil, err
	}
	s.Revision++
	for _, team := range change.Teams {
		s.changed[team.Name] = TeamRecord{Team: team.Team, Revision: s.Revision}
		names = append(names, team.Name)
	}
	return names, nil
}

// accepts returns an *Error if the change does not fit the state.
func (s *State) accepts(change *Change) error {
	if change.IfRevision != nil && *change.IfRevision != s.Revision {
		reason := fmt.Sprintf("the configuration is at revision %d, not %d", s.Revision, *change.IfRevision)
		return &Error{Field: "ifRevision", Reason: reason, Stale: true}
	}
	newRecords := 0
	for i := range change.Teams {
		team := &change.Teams[i]
		if err := s.acceptsTeam(team); err != nil {
			return err
		}
		if _, ok := s.changed[team.Name]; !ok {
			newRecords++
		}
	}
	if len(s.changed)+newRecords > MaxTeams {
		return &Error{Field: "teams", Reason: fmt.Sprintf("more than %d teams would have been changed", MaxTeams)}
	}
	return nil
}

func (s *State) acceptsTeam(team *TeamChange) error {
	object := "team " + team.Name
	_, revision, exists := s.Team(team.Name)
	if team.IfRevision != nil && *team.IfRevision != revision {
		reason := fmt.Sprintf("the team was changed last at revision %d, not %d", revision, *team.IfRevision)
		return &Error{Object: object, Field: "ifRevision", Reason: reason, Stale: true}
	}
	if team.Retired && !exists {
		return &Error{Object: object, Field: "retired", Reason: "there is no such team"}
	}
	return nil
}
