package schedule

import (
	"strings"
	"testing"
	"time"
)

// TestDecide decides on an occurrence that is due at 03:30 in Sofia.
func TestDecide(t *testing.T) {
	cursor := at("2027-02-01T04:30:00Z") // a wall-clock time: the day before is decided
	due := at("2027-02-02T01:30:00Z")
	for _, test := range []struct {
		name    string
		overlap OverlapPolicy
		catchUp CatchUpPolicy
		late    time.Duration
		before  Before
		want    Verdict
		reason  string
	}{
		{"not yet", Allow, All, -time.Second, Before{}, Later, ""},
		{"now", Allow, None, 0, Before{}, Make, ""},
		{"a change of leader later", Allow, None, 50 * time.Second, Before{}, Make, ""},
		{"late, none", SkipOverlap, None, 2 * time.Minute, Before{}, Miss, "in time"},
		{"late, latest", SkipOverlap, Latest, 2 * time.Minute, Before{}, Make, ""},
		{"late, latest, a later one is due", SkipOverlap, Latest, 61 * time.Minute, Before{}, Miss, "a later one"},
		{"late, all", SkipOverlap, All, 61 * time.Minute, Before{}, Make, ""},
		{"too late", SkipOverlap, All, 121 * time.Minute, Before{}, Miss, "catch_up_within_s"},
		{"skip", SkipOverlap, All, 0, Before{Live: true}, Miss, "not over"},
		{"wait", WaitOverlap, None, 0, Before{Live: true}, Hold, ""},
		{"has waited", WaitOverlap, None, 50 * time.Minute, Before{Ended: due.Add(49*time.Minute + 30*time.Second)}, Make, ""},
		{"has waited, then nobody led", WaitOverlap, None, 50 * time.Minute, Before{Ended: due.Add(40 * time.Minute)}, Miss, "in time"},
	} {
		t.Run(test.name, func(t *testing.T) {
			def := mustCompile(t, `"skip"`, `"`+string(test.overlap)+`"`, `"latest"`, `"`+string(test.catchUp)+`"`)
			occurrence, verdict, reason := def.Decide(Cursor{Nominal: cursor}, due.Add(test.late), test.before)
			if verdict != test.want || !strings.Contains(reason, test.reason) || !occurrence.Start.Equal(due) {
				t.Errorf("%v: %v %q, want %v %q", occurrence.Start, verdict, reason, test.want, test.reason)
			}
		})
	}
}

func TestVerdictString(t *testing.T) {
	for verdict, want := range map[Verdict]string{Never: "never", Later: "later", Make: "make", Miss: "miss", Hold: "hold", Hold + 1: "Verdict(5)", -1: "Verdict(-1)"} {
		if got := verdict.String(); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}
