package liveconfig

import (
	"math"
	"strconv"
	"testing"
)

// TestValidateErrors checks the error messages that operators see for an invalid change.
func TestValidateErrors(t *testing.T) {
	for _, test := range []struct {
		name   string
		change Change
		want   string
	}{
		{"empty", Change{}, "teams: the change contains no team"},
		{"too many", Change{Teams: teams(Team{Name: "a"}, Team{Name: "b"}, Team{Name: "c"})}, "teams: 3 teams in one change, at most 2 fit into a transaction"},
		{"name", Change{Teams: teams(Team{Name: "a b"})}, `teams[0].name: "a b" is invalid: use at most 100 letters, digits, dots, underscores and hyphens, starting with a letter or digit`},
		{"twice", Change{Teams: teams(Team{Name: "a"}, Team{Name: "a"})}, `teams[1].name: duplicate name "a"`},
		{"negative", Change{Teams: teams(Team{Name: "a", CPUs: -1})}, "teams[0].cpus: must be between 0 and 1e+08"},
		{"not a number", Change{Teams: teams(Team{Name: "a", GPUsMax: math.NaN()})}, "teams[0].gpusMax: must be between 0 and 1e+08"},
		{"guarantee above limit", Change{Teams: teams(Team{Name: "a", GPUs: 3, GPUsMax: 2})}, "teams[0].gpus: 3 exceeds gpusMax, which is 2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := test.change.Validate(2); err == nil || err.Error() != test.want {
				t.Errorf("got  %v\nwant %s", err, test.want)
			}
		})
	}
}

// TestApplyErrors checks the error messages that operators see for a change that
// conflicts with the current state.
func TestApplyErrors(t *testing.T) {
	unknown := Team{Name: "ghost", Retired: true}
	full := base()
	for i := range MaxTeams {
		full.LoadTeam(TeamRecord{Team: Team{Name: "t" + strconv.Itoa(i)}, Revision: 1})
	}
	for _, test := range []struct {
		name   string
		state  *State
		change Change
		want   string
		stale  bool
	}{
		{"revision", base(), Change{Teams: teams(Team{Name: "a"}), IfRevision: revision(4)}, "ifRevision: the configuration is at revision 0, not 4", true},
		{"team's revision", base(), Change{Teams: []TeamChange{{Team: Team{Name: "a"}, IfRevision: revision(4)}}}, "team a.ifRevision: the team was last changed at revision 0, not 4", true},
		{"unknown team", base(), Change{Teams: teams(unknown)}, "team ghost.retired: the team does not exist", false},
		{"too many", full, Change{Teams: teams(Team{Name: "a"})}, "teams: the change would exceed the maximum of 2000 changed teams", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := test.state.Revision
			_, err := test.state.Apply(&test.change)
			if err == nil || err.Error() != test.want || err.(*Error).Stale != test.stale {
				t.Errorf("got  %v\nwant %s", err, test.want)
			}
			if test.state.Revision != before {
				t.Error("a rejected change has modified the revision")
			}
		})
	}
	if _, err := full.Apply(&Change{Teams: teams(Team{Name: "t0", CPUs: 1})}); err != nil {
		t.Errorf("changing a team that already has a record: %v, want no error", err)
	}
}

func TestValidName(t *testing.T) {
	for name, want := range map[string]bool{"a": true, "A.b_c-1": true, "": false, "-a": false, "a b": false, "a/b": false, "ü": false} {
		if got := ValidName(name); got != want {
			t.Errorf("ValidName(%q) = %v, want %v", name, got, want)
		}
	}
}

func TestErrorPath(t *testing.T) {
	for want, err := range map[string]Error{
		"teams":        {Field: "teams"},
		"teams[0].gpu": {Object: "teams[0]", Field: "gpu"},
	} {
		if got := err.Path(); got != want {
			t.Errorf("Path() = %s, want %s", got, want)
		}
	}
}
