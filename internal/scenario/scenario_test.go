package scenario

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var (
	verbose = flag.Bool("trace", false, "print the log lines of the controllers")
	seeds   = flag.Uint64("seeds", 40, "number of seeds for the random fault tests")
	all     = flag.Bool("meetings", false, "run all fault pairs and more seeds instead of a fixed subset")
)

func play(t *testing.T, text string) Result {
	t.Helper()
	var trace func(string)
	if *verbose {
		trace = func(s string) { t.Log(s) }
	}
	res, err := Run(text, trace)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range res.Violations {
		t.Errorf("rule violated: %s", v)
	}
	for _, e := range res.Unmet {
		t.Errorf("expectation not met: %s", e)
	}
	for _, why := range nonLinearizable(res) {
		t.Error(why)
	}
	t.Logf("%d tasks started, %d requests to the key-value store, observed %v", res.Started, res.Requests, res.Met)
	return res
}

// TestScenarios runs every scenario in testdata.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenario files found: %v", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			t.Parallel()
			data, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			play(t, string(data))
		})
	}
}

const randomFaultCluster = `
seed %d
team t max=60
team u cpus=30
type s cpus=8 mem=64 rate=0.4 low=0.1 ready=15s fetch=0.6
type w cpus=32 mem=64 rate=1.2 low=0.3 ready=20s fetch=0.5
capacity s a n=3 spot=4
capacity s b n=2 spot=4
capacity w b n=1 spot=2
machines s a n=2
objective wait urgent within=1s
at 1s burst 6 gap=0s tasks=9 run=15s due=90s vary=0.3
at 4s burst 40 gap=3s class=urgent urgency=urgent tasks=4 run=10s due=45s image=i2 vary=0.4 cancelled=0.15
at 6s burst 14 gap=8s owner=u tasks=14 run=25s cpus=2 urgency=idle every=10s save=3s image=i3 vary=0.3 cancelled=0.1
at 8s burst 5 gap=20s tasks=5 run=20s apart ordinary
at 9s burst 5 gap=20s tasks=6 run=20s samePlace owner=u
at 2s schedule all at=00:01,00:02,00:03,00:04,00:05,00:06 tasks=3 run=15s catch=all
at 2s schedule skip at=00:01,00:02,00:03,00:04,00:05,00:06 run=50s overlap=skip by=00:30
at 3s schedule wait at=00:01,00:02,00:03,00:04,00:05 run=30s overlap=wait every=10s save=2s
at 10s submit wk-7 service tasks=2 owner=u
at 150s cancel wk-7
at 200s boot_time 100
`

// TestRandomFaults runs random mixes of faults from fixed seeds. Every job must complete after the
// faults.
func TestRandomFaults(t *testing.T) {
	kinds := []string{
		"crash leader", "crash all", "crash n1 back=3s", "rolling_restart 6s", "outage state 8s", "outage state 30s", "outage cloud 20s",
		"state_unavailable leader 9s", "partition leader 12s hold", "partition leader 12s reset", "partition leader 9s hold only=state", "partition leader 15s hold only=n0,n1,n2",
		"partition 2 30s hold", "partition 2 40s reset", "partition 1 8s hold", "partition zone=a 25s hold", "partition zone=b 40s reset", "hang 1 15s", "hang 2 45s",
		"fail_tasks 1 60s", "slow 1 factor=3", "preempt 3 notice=12s", "preempt 4", "boot_time never", "boot_time 300",
		"drop_txn_responses leader 4s", "drop_txn_responses leader 2s late=30s", "crash leader back=2s", "partition follower 10s hold only=state", "hang 3 19s", "crash all back=4s", "stall leader 25s", "stall follower 40s", "stall n1 70s",
		"crash leader back=50ms", "crash all back=200ms", "crash follower back=100ms", "rolling_restart 400ms back=100ms", "crash_loop leader 8s every=900ms back=100ms", "crash_loop all 5s every=700ms back=50ms", "crash_loop n1 15s every=300ms",
		"restart 2 back=100ms", "restart 3 back=50ms reset_counter", "restart 9 back=200ms reset_counter",
		"partition zone=a 60s hold nodes=leader", "partition zone=b 90s reset nodes=n1", "partition zone=a 13s hold nodes=n1,n2", "partition zone=b 35s hold nodes=follower",
		"delay_txns 20s share=0.4 at_once=true", "delay_txns 20s share=0.4", "duplicate_reports 40s share=0.3", "duplicate_reports 30s share=0.5 next_leader=true", "block_reports 3 25s", "block_reports zone=b 22s",
		"block_inbound 2 20s", "cancel_running 4 hang=15s", "cancel_on_completion 40s share=0.4", "invalid_requests 30s", "observe_transitions 20s",
	}
	end := "run 700s\nexpect done all\nexpect cancelled wk-7\nexpect leaders =1\nexpect made all =6\nexpect whole all\nexpect whole skip\nexpect whole wait\n"
	playMixes(t, 5, randomFaultCluster, end, func(rng *rand.Rand, sb *strings.Builder) {
		for range 3 + rng.IntN(6) {
			at := 10 + rng.IntN(150)
			fmt.Fprintf(sb, "at %ds %s\n", at, kinds[rng.IntN(len(kinds))])
			if rng.IntN(2) == 0 { // a second fault within a second
				fmt.Fprintf(sb, "at %d.%03ds %s\n", at, rng.IntN(1000), kinds[rng.IntN(len(kinds))])
			}
		}
	})
}

// playMixes runs one scenario per seed: begin formatted with the seed, the lines that draw appends,
// and end.
func playMixes(t *testing.T, stream uint64, begin, end string, draw func(rng *rand.Rand, sb *strings.Builder)) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var sb strings.Builder
			fmt.Fprintf(&sb, begin, seed)
			draw(rand.New(rand.NewPCG(seed, stream)), &sb)
			sb.WriteString(end)
			if testing.Verbose() {
				t.Log(sb.String())
			}
			play(t, sb.String())
		})
	}
}

// TestPlanted violates each rule on purpose and requires the checker to detect it.
func TestPlanted(t *testing.T) {
	for _, rule := range []string{"ran_twice", "quota", "wrong_place", "ran_cancelled", "forgotten", "invented", "not_done", "went_back", "nothing_ran"} {
		t.Run(rule, func(t *testing.T) {
			res, err := Run(`
seed 1
team t max=20
type s cpus=8 mem=64 ready=5s fetch=0.5
capacity s a n=4 spot=4
machines s a n=3
at 1s submit wk-1 tasks=12 run=30s
at 20s plant `+rule+`
expect rule `+rule+`
run 22s
`, nil)
			if err != nil || len(res.Unmet) > 0 {
				t.Errorf("violation not detected: %v, error %v", res, err)
			}
		})
	}
}
