package scenario

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestCancelledInTime checks that tasks stop within the cancel timeout when the leader loses the
// key-value store, another controller confirms cancellations, and then the store is down while
// workers still report to the old leader.
func TestCancelledInTime(t *testing.T) {
	settings := map[string][3]time.Duration{ // report, lease, cancel
		"a":       {4 * time.Second, 20 * time.Second, 40 * time.Second},
		"b":       {5 * time.Second, 29 * time.Second, 54 * time.Second},
		"barely":  {3 * time.Second, 20 * time.Second, 21 * time.Second},
		"shorter": {3 * time.Second, 20 * time.Second, 14 * time.Second},
	}
	const unavailableAt = 25 * time.Second
	// The default run selects variants by the lengths of these names and of those in settings.
	extraFaults := map[string]string{
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
		"no txn response":    "at 23s drop_txn_responses leader 3s late=5s",
		"slow state":         "at 26s slow_state 8s by=800ms",
		"skewed clock":       "at 26s clock_offset leader 2s",
		"answers lost":       "at 24s delay_txns 14s share=0.5 at_once=true",
		"no reports":         "at 26s block_reports 14 40s",
		"hanging machines":   "at 27s hang 14 18s",
		"observed":           "at 24s observe_transitions 30s",
	}
	var met, played atomic.Int64
	t.Run("variants", func(t *testing.T) {
		for name, timing := range settings {
			for extra, lines := range extraFaults {
				for i, after := range []time.Duration{0, 3 * time.Second, 7 * time.Second, 30 * time.Second} {
					if !*all && (i+len(extra)+len(name))%3 != 0 {
						continue
					}
					t.Run(fmt.Sprintf("%s, %s, %v later", name, extra, after), func(t *testing.T) {
						t.Parallel()
						out := unavailableAt + after
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
`, 1+i, timing[0], timing[1], timing[2], unavailableAt, unavailableAt-300*time.Millisecond, max(unavailableAt, out-3*time.Second), max(unavailableAt, out-30*time.Millisecond), out, timing[2]+12*time.Second,
							strings.ReplaceAll(lines, "OUT", (out+time.Second).String()))
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
		t.Errorf("%d of %d variants confirmed a cancellation while tasks of the job were on machines, want at least half", met.Load(), played.Load())
	}
	t.Logf("%d variants, %d of them with tasks on machines when the cancellation was confirmed", played.Load(), met.Load())
}
