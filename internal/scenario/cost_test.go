package scenario

import (
	"encoding/json"
	"flag"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/peermsg"
)

var costMachines = flag.Int("cost", 0, "number of machines whose cost for the controllers is measured")

// stepCosts records the processing time of the controllers' inputs, by node and kind.
type stepCosts struct {
	at    time.Time // start of the measurement
	spent map[[2]string]time.Duration
	count map[[2]string]int
	bytes map[string]int // of messages between controllers, by sender
}

func (k *stepCosts) step(n *node, in any) []any {
	began := time.Now()
	outs := slices.Clone(n.core.Step(n.localNow(), in))
	spent := time.Since(began)
	if n.now.Before(k.at) {
		return outs
	}
	kind := strings.TrimPrefix(fmt.Sprintf("%T", in), "core.")
	if p, ok := in.(peermsg.Received); ok {
		kind = "peer " + string(p.Msg.Kind)
	}
	key := [2]string{n.name, kind}
	k.spent[key] += spent
	k.count[key]++
	for _, o := range outs {
		p, ok := o.(peermsg.Outgoing)
		if !ok || p.Msg.Heartbeats == nil && p.Msg.HeartbeatReplies == nil {
			continue
		}
		began := time.Now()
		a, _ := json.Marshal(p.Msg.Heartbeats)
		b, _ := json.Marshal(p.Msg.HeartbeatReplies)
		key := [2]string{n.name, "line out"}
		k.spent[key] += time.Since(began)
		k.count[key]++
		k.bytes[n.name] += len(a) + len(b)
		key = [2]string{p.To, "line in"}
		began = time.Now()
		var in peermsg.Message
		json.Unmarshal(a, &in.Heartbeats)
		json.Unmarshal(b, &in.HeartbeatReplies)
		k.spent[key] += time.Since(began)
		k.count[key]++
	}
	return outs
}

// TestCost measures the processing time of the controllers' inputs. Run it with
// -run TestCost -cost 10000 -v.
func TestCost(t *testing.T) {
	if *costMachines == 0 {
		t.Skip("requires -cost")
	}
	n := *costMachines
	text := fmt.Sprintf(`
seed 11
nodes 7
workers report=5s lease=29s cancel=54s
state rps=350 write_rps=80 value_kb=16 txn_ops=12
cloud rps=12
team t cpus=%d
team u cpus=%d
objective wait urgent within=6s
objective finished c within=250s
type s cpus=4 mem=16 rate=0.27 low=0.09 ready=10s fetch=0.25
type w cpus=32 mem=256 rate=2.4 low=0.86 ready=10s fetch=0.4
capacity s a n=0 spot=%d
capacity w b n=0 spot=%d
machines s a n=%d spot
machines w b n=%d spot
at 1s burst %d gap=0s class=urgent urgency=urgent tasks=35 run=18s due=90s image=i2 vary=0.4
at 1s burst %d gap=0s owner=u class=c tasks=35 cpus=4 run=50s image=i3 vary=0.4 urgency=idle
at 1s burst %d gap=0s class=c tasks=200 cpus=2 run=25s image=i4 vary=0.4
at 2s burst %d gap=%s class=urgent urgency=urgent tasks=35 run=18s due=90s image=i2 vary=0.4
at 3s burst %d gap=%s owner=u class=c tasks=35 cpus=4 run=50s image=i3 vary=0.4 urgency=idle
at 3s burst %d gap=%s class=c tasks=200 cpus=2 run=25s image=i4 vary=0.4
at 60s crash leader back=3s
run 120s
`, 2*n, 3*n, n*8/10, n*2/10, n*8/10, n*2/10, n/24, n/38, n/220, n/10, time.Duration(118e9*10/int64(n)), n/20, time.Duration(118e9*20/int64(n)), n/80, time.Duration(118e9*80/int64(n)))
	s, err := parseScript(text)
	if err != nil {
		t.Fatal(err)
	}
	s.cfg.Settings.Limits = config.Limits{CPUShare: 0.168, MemMB: 322, MaxConnections: 3020}
	if testing.Verbose() && *verbose {
		s.trace = func(s string) {
			if !strings.Contains(s, "DEBUG") {
				t.Log(s)
			}
		}
	}
	k := &stepCosts{at: s.start.Add(20 * time.Second), spent: map[[2]string]time.Duration{}, count: map[[2]string]int{}, bytes: map[string]int{}}
	s.stepCore, s.checksOff = k.step, true
	s.setUp()
	for s.step(s.start.Add(s.end)) {
	}
	var lines []string
	for key, d := range k.spent {
		lines = append(lines, fmt.Sprintf("%s %-14s %8.2f ms/s  %7d in all, %8.1f us each", key[0], key[1], d.Seconds()*1000/100, k.count[key], d.Seconds()*1e6/float64(k.count[key])))
	}
	slices.Sort(lines)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	t.Logf("%d machines, %d tasks started, 100 s measured, %d bytes/s between controllers, total heap %d MB\n%s", n, s.started, sum(k.bytes)/100, m.HeapAlloc>>20, strings.Join(lines, "\n"))
	by := map[string]int{}
	for _, w := range s.workers {
		by[s.nodes[w.nodeIndex%len(s.nodes)].name]++
	}
	t.Log("workers by node", by)
}

// TestLossCost measures the recovery of -cost machines with 5,000 live jobs after the key-value
// store has lost all data.
func TestLossCost(t *testing.T) {
	if *costMachines == 0 {
		t.Skip("requires -cost")
	}
	n, at := *costMachines, 110*time.Second
	s, err := parseScript(fmt.Sprintf(`
seed 12
nodes 7
workers report=5s lease=29s cancel=54s
state rps=350 write_rps=80 value_kb=16 txn_ops=12
cloud rps=12
team t
type s cpus=4 mem=16 rate=0.27 low=0.09 ready=10s fetch=0.25
capacity s a n=0 spot=%d
machines s a n=%d spot
at 1s burst 5000 gap=18ms class=c tasks=8 run=120s every=10s save=2s
at %v wipe rev
at 100s burst 150 gap=200ms class=new tasks=1 run=5s
run 200s
`, n, n, at))
	if err != nil {
		t.Fatal(err)
	}
	s.trace = func(x string) {
		if strings.Contains(x, "data loss detected") || strings.Contains(x, "recovering from data loss") || strings.Contains(x, "elected leader") || strings.Contains(x, "all records restored") || strings.Contains(x, "failover complete") {
			t.Log(x)
		}
	}
	s.checksOff = true
	s.setUp()
	puts, requests := 0, 0
	for s.step(s.start.Add(s.end)) {
		if s.elapsed() < at {
			puts, requests = s.store.writes, s.store.requests
		}
	}
	accepted, started, inTime, total := time.Hour, time.Hour, 0, 0
	for _, j := range s.jobOrder {
		since := j.acceptedAt.Sub(s.start)
		if j.spec.Class == "new" && j.firstSubmitted.Sub(s.start) > at {
			total++
			accepted = min(accepted, since-at)
			if j.accepted && j.acceptedAt.Sub(j.firstSubmitted) < 300*time.Millisecond {
				inTime++
			}
			if !j.firstStarted.IsZero() {
				started = min(started, j.firstStarted.Sub(s.start)-at)
			}
		}
	}
	t.Logf("%d machines: %v to the first submission accepted, %v to the first start of one, %d of %d accepted within 300 ms; in 90 s %d requests, %d changes", n, accepted, started, inTime, total, s.store.requests-requests, s.store.writes-puts)
}

func sum(m map[string]int) (n int) {
	for _, x := range m {
		n += x
	}
	return n
}
