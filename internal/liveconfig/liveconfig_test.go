package liveconfig

import (
	"errors"
	"math"
	"testing"
)

// base returns a state with the base teams a and b.
func base() *State {
	return New([]Team{{Name: "a", CPUs: 10, CPUsMax: 20}, {Name: "b"}})
}

// teams returns changes of teams without preconditions.
func teams(ts ...Team) (changes []TeamChange) {
	for _, t := range ts {
		changes = append(changes, TeamChange{Team: t})
	}
	return changes
}

func revision(n uint64) *uint64 { return &n }

func TestValidate(t *testing.T) {
	for path, c := range map[string]Change{
		"teams":            {},
		"teams[0].name":    {Teams: teams(Team{Name: "a b"})},
		"teams[1].name":    {Teams: teams(Team{Name: "a"}, Team{Name: "a"})},
		"teams[0].cpus":    {Teams: teams(Team{Name: "a", CPUs: 3, CPUsMax: 2})},
		"teams[0].cpusMax": {Teams: teams(Team{Name: "a", CPUsMax: math.NaN()})},
		"teams[0].gpus":    {Teams: teams(Team{Name: "a", GPUs: -1})},
		"teams[0].gpusMax": {Teams: teams(Team{Name: "a", GPUsMax: math.Inf(1)})},
	} {
		t.Run(path, func(t *testing.T) {
			var invalid *Error
			if err := c.Validate(3); !errors.As(err, &invalid) || invalid.Path() != path {
				t.Errorf("Validate(3): got %v, want an *Error with the path %s", err, path)
			}
		})
	}
	many := Change{Teams: teams(Team{Name: "a"}, Team{Name: "b"}, Team{Name: "c"})}
	if err := many.Validate(3); err != nil {
		t.Errorf("Validate(3) of three teams: %v, want no error", err)
	}
	if err := many.Validate(2); err == nil {
		t.Error("Validate(2) of three teams: got no error")
	}
}

// TestApply checks that a rejected change has no effect and that an applied change
// increments the revision.
func TestApply(t *testing.T) {
	s := base()
	if team, at, ok := s.Team("a"); !ok || at != 0 || team.CPUsMax != 20 {
		t.Errorf("base team a: got %v, revision %d, found %v", team, at, ok)
	}
	if _, err := s.Apply(&Change{Teams: teams(Team{Name: "a", CPUsMax: 5}, Team{Name: "ghost", Retired: true})}); err == nil || s.Revision != 0 {
		t.Errorf("retiring an unknown team: error %v, revision %d, want an error and revision 0", err, s.Revision)
	}
	if team, _, _ := s.Team("a"); team.CPUsMax != 20 {
		t.Error("a rejected change has modified the team")
	}
	if _, err := s.Apply(&Change{Teams: teams(Team{Name: "a", CPUsMax: 5}, Team{Name: "c", CPUs: 1}), IfRevision: revision(0)}); err != nil {
		t.Fatal(err)
	}
	var e *Error
	if _, err := s.Apply(&Change{Teams: teams(Team{Name: "a", CPUsMax: 6}), IfRevision: revision(0)}); !errors.As(err, &e) || !e.Stale {
		t.Errorf("a change that requires an older revision: got %v, want a stale error", err)
	}
	if team, at, _ := s.Team("a"); team.CPUsMax != 5 || at != 1 || s.Revision != 1 {
		t.Errorf("got %v at revision %d, state revision %d; want cpusMax 5 at 1, 1", team, at, s.Revision)
	}
	if names := s.Names(); len(names) != 3 {
		t.Errorf("names %v, want 3", names)
	}
}

// TestLoadOrder checks that the newest record of a team wins in any load order, and
// that an old head record does not lower the revision.
func TestLoadOrder(t *testing.T) {
	s := base()
	s.LoadTeam(TeamRecord{Team{Name: "a", CPUsMax: 7}, 9})
	s.LoadTeam(TeamRecord{Team{Name: "a", CPUsMax: 6}, 4})
	s.LoadHead(HeadRecord{3})
	if team, at, _ := s.Team("a"); team.CPUsMax != 7 || at != 9 || s.Revision != 9 {
		t.Errorf("got %v at revision %d, state revision %d; want cpusMax 7 at 9, 9", team, at, s.Revision)
	}
}

// TestBatch checks that waiting changes share a transaction in order, that a team changed
// twice is written once, and that a rejected change does not block later ones.
func TestBatch(t *testing.T) {
	set := func(name string, cpus float64) *Change { return &Change{Teams: teams(Team{Name: name, CPUsMax: cpus})} }
	stale := set("b", 3)
	stale.IfRevision = revision(77)
	waiting := []*Change{set("a", 1), set("a", 2), stale, set("b", 4), set("c", 5), set("d", 6)}
	s := base()
	b := NewBatch(s, waiting, 4)
	if b.Processed != 5 || len(b.Records()) != 3 || b.After.Revision != 4 {
		t.Fatalf("%d processed, %d records, revision %d; want 5, 3, 4", b.Processed, len(b.Records()), b.After.Revision)
	}
	if b.Results[2].Err == nil || b.Results[3].Revision != 3 || b.Results[1].Revision != 2 {
		t.Errorf("results %+v, want an error for the third, revision 2 for the second and 3 for the fourth", b.Results)
	}
	if r := b.Records()[0]; r.Team.CPUsMax != 2 || r.Revision != 2 {
		t.Errorf("record of team a: got %+v, want cpusMax 2 at revision 2", r)
	}
	if s.Revision != 0 {
		t.Error("NewBatch modified its input state")
	}
	again := NewBatch(b.After, []*Change{set("a", 2)}, 4)
	if len(again.Records()) != 0 || again.Results[0].Revision != 2 || again.Results[0].Err != nil {
		t.Errorf("a repeated change: got %+v, want revision 2 and no records", again.Results)
	}
	wide := &Change{Teams: teams(Team{Name: "e"}, Team{Name: "f"}, Team{Name: "g"})}
	if b := NewBatch(s, []*Change{wide, set("a", 9)}, 2); b.Processed != 1 {
		t.Errorf("%d changes processed, want only the first, which exceeds the limit", b.Processed)
	}
}

// TestLateRequest checks that a repeated conditional request is rejected after a newer one and
// succeeds before it.
func TestLateRequest(t *testing.T) {
	s := base()
	first := &Change{Teams: []TeamChange{{Team: Team{Name: "a", CPUsMax: 5}, IfRevision: revision(0)}}}
	newer := &Change{Teams: []TeamChange{{Team: Team{Name: "a", CPUsMax: 9}, IfRevision: revision(1)}}}
	b := NewBatch(s, []*Change{first, first, newer, first}, 9)
	if b.Results[0].Revision != 1 || b.Results[1].Revision != 1 || b.Results[1].Err != nil || b.Results[2].Revision != 2 {
		t.Errorf("results %+v, want revisions 1, 1, 2", b.Results)
	}
	var e *Error
	if !errors.As(b.Results[3].Err, &e) || !e.Stale {
		t.Errorf("a late repetition of an older request: got %+v, want a stale error", b.Results[3])
	}
	if team, _, _ := b.After.Team("a"); team.CPUsMax != 9 {
		t.Errorf("team %+v, want cpusMax 9", team)
	}
}
