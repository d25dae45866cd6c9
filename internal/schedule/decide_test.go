package schedule

import (
	"strings"
	"testing"
	"time"
)

// TestDecide checks the decision on an occurrence that is due at 03:30 in Sofia, under
// each overlap and catch-up policy.
func TestDecide(t *testing.T) {
	cursor := at("2027-02-01T04:30:00Z") // wall-clock time: the occurrences of the day before are decided
	due := at("2027-02-02T01:30:00Z")
	for _, test := range []struct {
		name    string
		overlap OverlapPolicy
		catchUp CatchUpPolicy
		late    time.Duration
		before  PreviousJob
		want    Decision
		reason  string
	}{
		{"not due", OverlapAllow, CatchUpAll, -time.Second, PreviousJob{}, NotDue, ""},
		{"due now", OverlapAllow, CatchUpNone, 0, PreviousJob{}, CreateJob, ""},
		{"delayed by a failover", OverlapAllow, CatchUpNone, 50 * time.Second, PreviousJob{}, CreateJob, ""},
		{"late, none", OverlapSkip, CatchUpNone, 2 * time.Minute, PreviousJob{}, MissOccurrence, "in time"},
		{"late, latest", OverlapSkip, CatchUpLatest, 2 * time.Minute, PreviousJob{}, CreateJob, ""},
		{"late, latest, a later one is due", OverlapSkip, CatchUpLatest, 61 * time.Minute, PreviousJob{}, MissOccurrence, "a later one"},
		{"late, all", OverlapSkip, CatchUpAll, 61 * time.Minute, PreviousJob{}, CreateJob, ""},
		{"too late", OverlapSkip, CatchUpAll, 121 * time.Minute, PreviousJob{}, MissOccurrence, "catch_up_within_s"},
		{"skip, previous job active", OverlapSkip, CatchUpAll, 0, PreviousJob{Active: true}, MissOccurrence, "not over"},
		{"wait, previous job active", OverlapWait, CatchUpNone, 0, PreviousJob{Active: true}, AwaitPrevious, ""},
		{"has waited for the previous job", OverlapWait, CatchUpNone, 50 * time.Minute, PreviousJob{Ended: due.Add(49*time.Minute + 30*time.Second)}, CreateJob, ""},
		{"has waited, late without a leader", OverlapWait, CatchUpNone, 50 * time.Minute, PreviousJob{Ended: due.Add(40 * time.Minute)}, MissOccurrence, "in time"},
	} {
		t.Run(test.name, func(t *testing.T) {
			def := mustCompile(t, `"skip"`, `"`+string(test.overlap)+`"`, `"latest"`, `"`+string(test.catchUp)+`"`)
			occurrence, decision, reason := def.Decide(Cursor{Nominal: cursor}, due.Add(test.late), test.before)
			if decision != test.want || !strings.Contains(reason, test.reason) || !occurrence.Start.Equal(due) {
				t.Errorf("occurrence at %v: got decision %v, reason %q; want %v, reason containing %q", occurrence.Start, decision, reason, test.want, test.reason)
			}
		})
	}
}

func TestDecisionString(t *testing.T) {
	for decision, want := range map[Decision]string{NoOccurrence: "never", NotDue: "later", CreateJob: "make", MissOccurrence: "miss", AwaitPrevious: "hold", AwaitPrevious + 1: "Decision(5)", -1: "Decision(-1)"} {
		if got := decision.String(); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}
