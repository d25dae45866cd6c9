package scenario

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestCancelledInTime varies the operators' meeting: the state service refuses the leader
// alone, another controller confirms cancellations, and the service is down for all, for
// longer than a cancellation may take, while workers report to the old leader. Whatever the
// times, whatever else meets it, the tasks, which would run for ten minutes, are gone in
// time; and in most variants tasks were there to be gone.
func TestCancelledInTime(t *testing.T) {
	settings := map[string][3]time.Duration{ // report, lease, cancel
		"a":       {4 * time.Second, 20 * time.Second, 40 * time.Second},
		"b":       {5 * time.Second, 29 * time.Second, 54 * time.Second},
		"barely":  {3 * time.Second, 20 * time.Second, 21 * time.Second},
		"shorter": {3 * time.Second, 20 * time.Second, 14 * time.Second},
	}
	const refused = 25 * time.Second
	more := map[string]string{
		"alone":              "",
		"stalled":            "at 27s stall leader 9s",
		"stalled in outage":  "at OUT stall n0 9s\nat OUT stall n1 9s\nat OUT stall n2 9s",
		"restarted":          "at 29s crash n0 back=200ms\nat 30s crash n1 back=200ms\nat 31s crash n2 back=200ms",
		"new leader lost":    "at OUT crash leader back=300ms",
		"all lost":           "at OUT crash all back=2s",
		"served and refused": "at 30s state_unavailable leader 4s\nat 34500ms state_unavailable leader 50s",
		"three leaders":      "at 29s state_unavailable leader 60s",
		"moved":              "at 26s partition 9 5s reset only=leader",
		"late writes":        "at 24s delay_txns 14s share=0.5",
		"muted before":       "at 23s drop_txn_responses leader 3s late=5s",
		"slow state":         "at 26s slow_state 8s by=800ms",
		"asleep":             "at 26s clock_offset leader 2s",
		"answers lost":       "at 24s delay_txns 14s share=0.5 at_once=true",
		"mute machines":      "at 26s block_reports 14 40s",
		"hanging machines":   "at 27s hang 14 18s",
		"looked at closely":  "at 24s observe_transitions 30s",
	}
	var met, played atomic.Int64
	t.Run("variants", func(t *testing.T) {
		for name, x := range settings {
			for what, and := range more {
				for i, after := range []time.Duration{0, 3 * time.Second, 7 * time.Second, 30 * time.Second} {
					if !*all && (i+len(what)+len(name))%3 != 0 {
						continue
					}
					t.Run(fmt.Sprintf("%s, %s, %v later", name, what, after), func(t *testing.T) {
						t.Parallel()
						out := refused + after
						var sb strings.Builder
						fmt.Fprintf(&sb, `
seed %d
nodes 3
workers report=%v lease=%v cancel=%v
team t
type s cpus=4 mem=64 rate=0.4 low=0.1 ready=2s fetch=5
capacity s a n=30
capacity s b n=30
machines s a n=22
machines s b n=22
at 1s burst 44 gap=50ms tasks=3 run=600s
at 10s partition zone=b 100s hold nodes=none only=leader
at 10s partition zone=a 100s hold nodes=leader only=peers
at %v state_unavailable leader 90s
at %v cancel first 12
at %v cancel first 24
at %v cancel first 30
at %v outage state %v
%s
run 200s
expect leaders =1
`, 1+i, x[0], x[1], x[2], refused, refused-300*time.Millisecond, max(refused, out-3*time.Second), max(refused, out-30*time.Millisecond), out, x[2]+12*time.Second,
							strings.ReplaceAll(and, "OUT", (out+time.Second).String()))
						res := play(t, sb.String())
						played.Add(1)
						if res.Met["cancelled-on"] > 0 {
							met.Add(1)
						}
					})
				}
			}
		}
	})
	if 2*met.Load() < played.Load() {
		t.Errorf("in %d of %d variants a cancellation was confirmed while tasks of it were on machines", met.Load(), played.Load())
	}
	t.Logf("%d variants, in %d tasks were on machines when they were told cancelled", played.Load(), met.Load())
}
