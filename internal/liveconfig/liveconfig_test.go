package liveconfig

import (
	"errors"
	"math"
	"testing"
)

// base returns a state with the teams a and b.
func base() *State {
	return New([]Team{{Name: "a", CPUs: 10, CPUsMax: 20}, {Name: "b"}})
}

// teams returns unconditional changes of teams.
func teams(ts ...Team) (changes []TeamChange) {
	for _, t := range ts {
		changes = append(changes, TeamChange{Team: t})
	}
	return changes
}

func revision(n uint64) *uint64 { return &n }

func TestCheck(t *testing.T) {
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
			if err := c.Check(3); !errors.As(err, &invalid) || invalid.Path() != path {
				t.Error(err)
			}
		})
	}
	many := Change{Teams: teams(Team{Name: "a"}, Team{Name: "b"}, Team{Name: "c"})}
	if err := many.Check(3); err != nil {
		t.Error(err)
	}
	if err := many.Check(2); err == nil {
		t.Error("more teams than fit into a transaction are accepted")
	}
}

// TestApply checks that a rejected change has no effect, and that an applied one
// has the next revision.
func TestApply(t *testing.T) {
	s := base()
	if team, at, ok := s.Team("a"); !ok || at != 0 || team.CPUsMax != 20 {
		t.Errorf("the base: %v %d %v", team, at, ok)
	}
	if _, err := s.Apply(&Change{Teams: teams(Team{Name: "a", CPUsMax: 5}, Team{Name: "ghost", Retired: true})}); err == nil || s.Revision != 0 {
		t.Errorf("an unknown team is retired: %v, revision %d", err, s.Revision)
	}
	if team, _, _ := s.Team("a"); team.CPUsMax != 20 {
		t.Error("a rejected change has an effect")
	}
	if _, err := s.Apply(&Change{Teams: teams(Team{Name: "a", CPUsMax: 5}, Team{Name: "c", CPUs: 1}), IfRevision: revision(0)}); err != nil {
		t.Fatal(err)
	}
	var e *Error
	if _, err := s.Apply(&Change{Teams: teams(Team{Name: "a", CPUsMax: 6}), IfRevision: revision(0)}); !errors.As(err, &e) || !e.Stale {
		t.Errorf("a change based on an older revision: %v", err)
	}
	if team, at, _ := s.Team("a"); team.CPUsMax != 5 || at != 1 || s.Revision != 1 {
		t.Errorf("%v at %d, whole %d", team, at, s.Revision)
	}
	if names := s.Names(); len(names) != 3 {
		t.Errorf("%v", names)
	}
}

// TestLoadOrder checks that the newest record of a team wins in whatever order
// records are read, and that an old head record does not lower the revision.
func TestLoadOrder(t *testing.T) {
	s := base()
	s.LoadTeam(TeamRecord{Team{Name: "a", CPUsMax: 7}, 9})
	s.LoadTeam(TeamRecord{Team{Name: "a", CPUsMax: 6}, 4})
	s.LoadHead(HeadRecord{3})
	if team, at, _ := s.Team("a"); team.CPUsMax != 7 || at != 9 || s.Revision != 9 {
		t.Errorf("%v at %d, whole %d", team, at, s.Revision)
	}
}

// TestBatch checks that waiting changes share a transaction in their order, that a
// team that changes twice is written once, and that a rejected change does not
// block those after it.
func TestBatch(t *testing.T) {
	set := func(name string, most float64) *Change { return &Change{Teams: teams(Team{Name: name, CPUsMax: most})} }
	stale := set("b", 3)
	stale.IfRevision = revision(77)
	waiting := []*Change{set("a", 1), set("a", 2), stale, set("b", 4), set("c", 5), set("d", 6)}
	s := base()
	b := NewBatch(s, waiting, 4)
	if b.Taken != 5 || len(b.Records()) != 3 || b.After.Revision != 4 {
		t.Fatalf("%d taken, %d records, revision %d", b.Taken, len(b.Records()), b.After.Revision)
	}
	if b.Each[2].Err == nil || b.Each[3].Revision != 3 || b.Each[1].Revision != 2 {
		t.Errorf("%+v", b.Each)
	}
	if r := b.Records()[0]; r.Team.CPUsMax != 2 || r.Revision != 2 {
		t.Errorf("%+v", r)
	}
	if s.Revision != 0 {
		t.Error("the state has changed before the batch was written")
	}
	again := NewBatch(b.After, []*Change{set("a", 2)}, 4)
	if len(again.Records()) != 0 || again.Each[0].Revision != 2 || again.Each[0].Err != nil {
		t.Errorf("a repeated change: %+v", again.Each)
	}
	wide := &Change{Teams: teams(Team{Name: "e"}, Team{Name: "f"}, Team{Name: "g"})}
	if b := NewBatch(s, []*Change{wide, set("a", 9)}, 2); b.Taken != 1 {
		t.Errorf("the first change must be applied whatever its size: %d taken", b.Taken)
	}
}

// TestLateRequest checks that a request with the revision of its team changes
// nothing if it is repeated after a newer one, and succeeds if repeated before.
func TestLateRequest(t *testing.T) {
	s := base()
	first := &Change{Teams: []TeamChange{{Team: Team{Name: "a", CPUsMax: 5}, IfRevision: revision(0)}}}
	newer := &Change{Teams: []TeamChange{{Team: Team{Name: "a", CPUsMax: 9}, IfRevision: revision(1)}}}
	b := NewBatch(s, []*Change{first, first, newer, first}, 9)
	if b.Each[0].Revision != 1 || b.Each[1].Revision != 1 || b.Each[1].Err != nil || b.Each[2].Revision != 2 {
		t.Errorf("%+v", b.Each)
	}
	var e *Error
	if !errors.As(b.Each[3].Err, &e) || !e.Stale {
		t.Errorf("an older request replaces a newer one: %+v", b.Each[3])
	}
	if team, _, _ := b.After.Team("a"); team.CPUsMax != 9 {
		t.Errorf("%+v", team)
	}
}
