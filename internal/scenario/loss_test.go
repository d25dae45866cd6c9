package scenario

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

const lossCluster = `
seed %d
nodes 5
team t max=220
type s cpus=4 mem=16 rate=0.3 low=0.1 ready=10s fetch=1
capacity s a n=0 spot=60
capacity s b n=0 spot=60
machines s a n=22 spot
machines s b n=22 spot
at 2s burst 60 gap=1s tasks=20 run=12s gb=0.5 vary=0.2 cancelled=0.05
at 5s schedule all at=00:01,00:02,00:03 tasks=3 run=15s catch=all
`

const lossEnd = `
run 300s
expect done all
expect leaders =1
expect made all =3
expect whole all
`

// TestLoss makes the key-value store lose data or return to a snapshot, alone or with the loss of
// controllers. Every accepted job must stay known and complete.
func TestLoss(t *testing.T) {
	for name, what := range map[string]string{
		"all":                      "at 40s wipe",
		"revisions":                "at 40s wipe rev",
		"snapshot":                 "at 15s save; at 40s restore",
		"all, leader":              "at 40s wipe; at 40s crash leader back=3s",
		"all, leader back at once": "at 40s wipe rev; at 40s crash leader back=100ms",
		"snapshot, leader":         "at 15s save; at 40s restore; at 40s crash leader back=3s",
		"outage, revisions":        "at 25s outage state 15s; at 39.9s wipe rev",
		"outage, snapshot":         "at 15s save; at 25s outage state 15s; at 39.9s restore",
		"jobs, leader":             "at 40s wipe under=yewpass/live/job/; at 40.1s crash leader back=3s",
		"machines, leader":         "at 39s partition 3 30s hold; at 40s wipe under=yewpass/live/machine/; at 40.1s crash leader back=3s",
		"finals, leader":           "at 40s wipe under=yewpass/final/; at 40.1s crash leader back=3s",
		"progress, leader":         "at 40s wipe under=yewpass/live/progress/; at 40.1s crash leader back=3s",
		"schedules, all":           "at 70s wipe under=yewpass/schedule; at 70s wipe under=yewpass/term",
		"schedules, leader":        "at 50s wipe under=yewpass/schedule/; at 50.1s crash leader back=3s",
		"term":                     "at 40s wipe under=yewpass/term",
		"leader's key":             "at 40s wipe under=yewpass/leader",
		"twice":                    "at 40s wipe; at 41s wipe rev; at 42s crash leader back=1s; at 43s wipe",
		"all but one lost":         "at 40s wipe rev; at 40s crash n0 back=9s; at 40s crash n1 back=9s; at 40s crash n2 back=9s; at 40s crash n3 back=9s",
		"leader partitioned":       "at 30s partition leader 20s hold only=state; at 40s wipe",
		"leaders lost in recovery": "at 40s wipe; at 40.45s crash leader back=1s; at 42s crash leader back=1s",
		"snapshot, leaders lost":   "at 15s save; at 40s restore; at 40.45s crash leader back=1s; at 42s crash leader back=1s",
		"late writes":              "at 39.5s drop_txn_responses leader 2s late=4s; at 40s wipe",
		"writes in a partition":    "at 38s partition leader 9s hold only=state; at 42s wipe rev",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play(t, fmt.Sprintf(lossCluster, 7)+strings.ReplaceAll(what, "; ", "\n")+lossEnd)
		})
	}
}

// TestLossEverywhere loses all data or one prefix after each write in turn, with and without a
// crash of the leader.
func TestLossEverywhere(t *testing.T) {
	for _, under := range []string{"", "yewpass/live/job/", "yewpass/live/machine/", "yewpass/live/progress/", "yewpass/final/", "yewpass/term"} {
		for _, lost := range []string{"", "crash leader back=100ms", "crash leader back=4s"} {
			t.Run(under+" "+lost, func(t *testing.T) {
				t.Parallel()
				for n := 3; ; n++ {
					s, err := parseScript(smallCluster(5, 3) + `
team t max=9
at 1s submit wk-1 run=3s tasks=6
at 2s submit wk-2 run=30s tasks=2
at 4s submit wk-3 run=2s tasks=4
at 7s cancel wk-2
run 90s
expect over
expect done wk-1
expect done wk-3
expect leaders =1
`)
					if err != nil {
						t.Fatal(err)
					}
					s.setUp()
					for s.store.writes < n && s.step(s.start.Add(s.end)) {
					}
					if s.store.writes < n {
						t.Logf("%d writes tested", n-3)
						return
					}
					s.dataLost = true
					s.store.wipe(under, false)
					if lost != "" {
						s.perform(strings.Fields(lost))
					}
					s.run(s.end)
					res := s.result()
					for _, x := range append(res.Violations, res.Unmet...) {
						t.Errorf("data loss after write %d: %s", n, x)
					}
					if t.Failed() {
						return
					}
				}
			})
		}
	}
}

// TestRandomLoss runs random mixes of faults and data loss. At least one controller keeps running,
// and restores the data.
func TestRandomLoss(t *testing.T) {
	kinds := []string{
		"wipe", "wipe rev", "wipe under=yewpass/live/", "wipe under=yewpass/live/job/", "wipe under=yewpass/live/machine/", "wipe under=yewpass/final/", "wipe under=yewpass/term", "wipe under=yewpass/leader", "restore",
		"crash leader", "crash leader back=100ms", "crash follower back=100ms", "crash n1 back=2s", "rolling_restart 6s", "outage state 8s", "state_unavailable leader 9s",
		"partition leader 12s hold", "partition leader 9s hold only=state", "partition 2 30s hold", "partition 2 40s reset", "partition zone=a 25s hold", "hang 2 45s",
		"drop_txn_responses leader 2s late=4s", "stall leader 15s", "stall follower 20s", "crash_loop leader 4s every=1500ms", "restart 3 back=50ms", "preempt 4",
	}
	playMixes(t, 6, lossCluster, lossEnd, func(rng *rand.Rand, sb *strings.Builder) {
		for i := range 3 + rng.IntN(4) {
			at, kind := 10+rng.IntN(80), kinds[rng.IntN(len(kinds))]
			if i == 0 {
				kind = kinds[rng.IntN(9)]
			}
			if kind == "restore" {
				fmt.Fprintf(sb, "at %ds save\n", max(1, at-1-rng.IntN(30)))
			}
			fmt.Fprintf(sb, "at %ds %s\n", at, kind)
			if rng.IntN(2) == 0 {
				fmt.Fprintf(sb, "at %d.%03ds crash leader back=%dms\n", at, rng.IntN(1000), 50+rng.IntN(4000))
			}
		}
	})
}
