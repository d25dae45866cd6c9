package relay

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"yewpass/internal/heartbeat"
)

// worker generates reports of a machine whose list of tasks changes randomly.
type worker struct{ heartbeat.Report }

// next returns the next report. If irregular, it sometimes reorders the tasks or changes the zone,
// as no real worker does.
func (w *worker) next(rng *rand.Rand, irregular bool) heartbeat.Report {
	w.Counter++
	ts := make([]heartbeat.Task, 0, len(w.Tasks)+3)
	for _, t := range w.Tasks {
		switch rng.IntN(6) {
		case 0:
			continue
		case 1:
			t.Phase, t.Cause = heartbeat.Exited, "done"
		case 2:
			t.Phase = heartbeat.Running
		}
		ts = append(ts, t)
	}
	for range rng.IntN(3) {
		ts = append(ts, heartbeat.Task{ID: heartbeat.TaskID{Job: fmt.Sprint("wk-", rng.IntN(5)), Index: rng.IntN(4)}, Attempt: rng.Uint64N(9), Phase: heartbeat.Pulling})
	}
	if irregular && rng.IntN(3) == 0 {
		rng.Shuffle(len(ts), func(i, j int) { ts[i], ts[j] = ts[j], ts[i] })
		w.Zone = fmt.Sprint(rng.IntN(3))
	}
	w.Tasks = ts
	w.HasNotice, w.Notice = rng.IntN(9) == 0, 0
	if w.HasNotice {
		w.Notice = time.Duration(rng.IntN(9000)) * time.Millisecond
	}
	return w.Report
}

// TestRoundTrip checks that reports survive encoding and JSON in order, that batches with a wrong
// number or session are rejected, and that a new session recovers.
func TestRoundTrip(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var workers []*worker
		for i := range 1 + rng.IntN(5) {
			workers = append(workers, &worker{heartbeat.Report{Host: fmt.Sprint("host-", i), Address: "10.0.0.1:9000", InstanceType: "f", Zone: "a", Incarnation: 1}})
		}
		var decoder Decoder
		session := uint64(1)
		encoder := NewEncoder(session)
		for range 60 {
			var deltas []Delta
			var want []heartbeat.Report
			for range rng.IntN(4) {
				w := workers[rng.IntN(len(workers))]
				r := w.next(rng, seed%3 == 0)
				deltas = append(deltas, encoder.Encode(7, &r))
				want = append(want, r)
			}
			if rng.IntN(5) == 0 {
				encoder.Forget(workers[0].Host)
			}
			line, err := json.Marshal(encoder.Batch(deltas, nil))
			if err != nil {
				t.Fatal(err)
			}
			var b Batch
			if err := json.Unmarshal(line, &b); err != nil {
				t.Fatal(err)
			}
			if rng.IntN(12) == 0 { // wrong number or session
				b.Number += uint64(1 + rng.IntN(2))
				if b.Number > 2 && rng.IntN(2) == 0 {
					b.Number, b.Session = b.Number-1, b.Session+1
				}
				if _, _, err := decoder.Decode(&b); err == nil {
					t.Fatalf("seed %d: a batch that does not follow the previous one was accepted", seed)
				}
				session += 2
				encoder = NewEncoder(session)
				continue
			}
			got, _, err := decoder.Decode(&b)
			if err != nil {
				t.Fatalf("seed %d: Decode: %v", seed, err)
			}
			if len(got) != len(want) {
				t.Fatalf("seed %d: decoded %d reports, want %d", seed, len(got), len(want))
			}
			for i := range got {
				if len(got[i].Tasks) == 0 && len(want[i].Tasks) == 0 {
					got[i].Tasks, want[i].Tasks = nil, nil
				}
				if !reflect.DeepEqual(got[i], want[i]) {
					t.Fatalf("seed %d: decoded %+v, want %+v", seed, got[i], want[i])
				}
			}
		}
	}
}

// TestListText checks that lists of tasks and orders survive a round trip as text, and that
// malformed texts are rejected.
func TestListText(t *testing.T) {
	ts := Tasks{{ID: heartbeat.TaskID{Job: "wk-1", Index: 3}, Attempt: 1<<64 - 1, Phase: heartbeat.Exited, Cause: "done"}, {ID: heartbeat.TaskID{Job: "a b,c/ü+%", Index: 0}, Phase: "?", Cause: "no room, none"}}
	os := Orders{{Verb: heartbeat.Stop, Task: heartbeat.TaskID{Job: "wk-1", Index: 7}, Attempt: 9, Drain: 2500 * time.Millisecond}, {Verb: heartbeat.Start, Task: heartbeat.TaskID{Job: ",", Index: 1}}}
	line, err := json.Marshal(struct {
		T Tasks
		O Orders
	}{ts, os})
	var back struct {
		T Tasks
		O Orders
	}
	if err != nil || json.Unmarshal(line, &back) != nil || !reflect.DeepEqual(back.T, ts) || !reflect.DeepEqual(back.O, os) {
		t.Errorf("text %s, error %v: decoded %+v, want the original lists", line, err, back)
	}
	for _, bad := range []string{"wk-1", "wk-1 1 2 running", "wk-1 1 2 running ,", "wk-1 -1 2 running ", "wk-1 1 x running ", "wk-1 99999999999 2 running ", "%zz 1 2 running ", ",", " ", "start wk-1 1 2 99999999999999"} {
		var ts Tasks
		var os Orders
		if ts.UnmarshalText([]byte(bad)) == nil {
			t.Errorf("tasks %q are accepted as %+v", bad, ts)
		}
		if os.UnmarshalText([]byte(bad)) == nil {
			t.Errorf("orders %q are accepted as %+v", bad, os)
		}
	}
}

// TestInvalidMessages checks that an invalid delta is an error that invalidates the session until
// a new one is opened, and that invalid replies are rejected.
func TestInvalidMessages(t *testing.T) {
	identity := &Identity{Host: "h"}
	for name, delta := range map[string]Delta{
		"unknown machine": {Handle: 2},
		"dropped":         {Handle: 1, Dropped: []int{0}},
		"dropped below":   {Handle: 1, Identity: identity, Dropped: []int{-1}},
		"changed":         {Handle: 1, Changed: []TaskChange{{Index: 0, Phase: heartbeat.Exited}}},
		"no phase":        {Handle: 1, Added: Tasks{{ID: heartbeat.TaskID{Job: "wk-1"}, Phase: "?"}}},
		"no job":          {Handle: 1, Added: Tasks{{Phase: heartbeat.Exited}}},
	} {
		var decoder Decoder
		if _, _, err := decoder.Decode(&Batch{Session: 5, Number: 1, Reports: []Delta{{Ref: 1, Handle: 1, Identity: identity}}}); err != nil {
			t.Fatal(err)
		}
		if _, _, err := decoder.Decode(&Batch{Session: 5, Number: 2, Reports: []Delta{delta}}); err == nil {
			t.Errorf("%s: the batch was accepted", name)
		}
		if _, _, err := decoder.Decode(&Batch{Session: 5, Number: 3}); err == nil {
			t.Errorf("%s: the session remains open after an error", name)
		}
		if _, opened, err := decoder.Decode(&Batch{Session: 6, Number: 1}); err != nil || !opened {
			t.Errorf("%s: opening a new session failed: %v", name, err)
		}
	}
	for i, r := range []Replies{
		{List: []Reply{{Status: 200}}}, {List: []Reply{{Status: 99}}}, {List: []Reply{{Status: 421, Orders: Orders{{Verb: heartbeat.Start, Task: heartbeat.TaskID{Job: "wk-1"}}}}}},
		{List: []Reply{{Orders: Orders{{Verb: "sing", Task: heartbeat.TaskID{Job: "wk-1"}}}}}}, {List: []Reply{{Orders: Orders{{Verb: heartbeat.Start}}}}},
	} {
		if r.Valid() {
			t.Errorf("replies %d are valid, want invalid", i)
		}
	}
}

// TestLeastLoaded checks that workers are assigned evenly with a preference for their own zone and
// never above a node's capacity, and that a small imbalance does not redirect a worker.
func TestLeastLoaded(t *testing.T) {
	nodes := []Node{{"a1", "a", 0, 300}, {"a2", "a", 0, 300}, {"b1", "b", 0, 300}}
	for range 400 {
		to := LeastLoaded(nodes, "a")
		for i := range nodes {
			if nodes[i].Name == to {
				nodes[i].Workers++
			}
		}
	}
	if a, b, c := nodes[0].Workers, nodes[1].Workers, nodes[2].Workers; a != b || a != 160 || c != 80 {
		t.Errorf("nodes have %d, %d and %d workers, want 160, 160 and 80", a, b, c)
	}
	for range 600 {
		to := LeastLoaded(nodes, "a")
		if to == "" {
			break
		}
		for i := range nodes {
			if nodes[i].Name == to {
				nodes[i].Workers++
			}
		}
	}
	for _, n := range nodes {
		if n.Workers != n.Capacity {
			t.Errorf("node is not filled to its capacity: %+v", n)
		}
	}
	if LeastLoaded(nodes, "a") != "" || LeastLoaded(nil, "a") != "" {
		t.Error("LeastLoaded chose a node although none has capacity")
	}
	for _, x := range []struct {
		from, to int
		zone     string
		want     bool
	}{{100, 96, "a", false}, {100, 60, "a", true}, {20, 12, "c", false}, {301, 290, "a", true}, {100, 60, "b", false}} {
		two := []Node{{"a1", "a", x.from, 300}, {"a2", "a", x.to, 300}}
		if x.zone == "b" {
			two[0].Zone = "b" // the worker would leave its own zone
		}
		if got := Imbalanced(two, "a1", "a2", x.zone); got != x.want {
			t.Errorf("%+v: Imbalanced() = %v", x, got)
		}
	}
}

func benchmarkReports(n int) []heartbeat.Report {
	rs := make([]heartbeat.Report, n)
	for i := range rs {
		rs[i] = heartbeat.Report{Host: fmt.Sprintf("host-%06d", i), Address: "10.1.0.1:9000", InstanceType: "f", Zone: "a", Incarnation: 1, Counter: 1, FencingToken: 41}
		for k := range 16 {
			rs[i].Tasks = append(rs[i].Tasks, heartbeat.Task{ID: heartbeat.TaskID{Job: "wk-000412", Index: k}, Attempt: 41<<28 + uint64(k), Phase: heartbeat.Running})
		}
	}
	return rs
}

// BenchmarkLine measures one report at the relay (encode and marshal) and at the leader (unmarshal
// and decode).
func BenchmarkLine(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		for _, changes := range []bool{false, true} {
			for _, end := range []string{"relay", "leader"} {
				b.Run(fmt.Sprintf("machines=%d/changes=%v/at=%s", n, changes, end), func(b *testing.B) {
					rs := benchmarkReports(n)
					encoder := NewEncoder(1)
					var decoder Decoder
					bytes := 0
					for i := range rs {
						decoder.Decode(encoder.Batch([]Delta{encoder.Encode(1, &rs[i])}, nil))
					}
					b.ReportAllocs()
					i := 0
					for b.Loop() {
						r := &rs[i%n]
						i++
						r.Counter++
						if changes {
							b.StopTimer()
							r.Tasks = append([]heartbeat.Task(nil), r.Tasks[1:]...)
							r.Tasks = append(r.Tasks, heartbeat.Task{ID: heartbeat.TaskID{Job: "wk-000413", Index: i % 90}, Attempt: 41<<28 + uint64(i), Phase: heartbeat.Pulling})
							b.StartTimer()
						}
						if end == "leader" {
							b.StopTimer()
						}
						line, _ := json.Marshal(encoder.Batch([]Delta{encoder.Encode(uint64(i), r)}, nil))
						bytes += len(line)
						if end == "leader" {
							b.StartTimer()
						} else {
							b.StopTimer()
						}
						var x Batch
						json.Unmarshal(line, &x)
						if _, _, err := decoder.Decode(&x); err != nil {
							b.Fatal(err)
						}
						b.StartTimer()
					}
					b.ReportMetric(float64(bytes)/float64(i), "bytes/report")
				})
			}
		}
	}
}

// TestStaleSession checks that a delayed batch of a closed session is rejected without closing the
// current one.
func TestStaleSession(t *testing.T) {
	r := heartbeat.Report{Host: "host-1", InstanceType: "f", Zone: "a", Incarnation: 1, Counter: 1}
	first, next := NewEncoder(1), NewEncoder(2)
	delayed := first.Batch([]Delta{first.Encode(1, &r)}, nil)
	var decoder Decoder
	for i, b := range []*Batch{delayed, next.Batch(nil, nil), delayed, next.Batch([]Delta{next.Encode(1, &r)}, nil)} {
		_, _, err := decoder.Decode(b)
		if want := i == 2; (err == ErrStaleSession) != want || !want && err != nil {
			t.Errorf("batch %d: Decode returned error %v", i, err)
		}
	}
	if decoder.Session() != 2 {
		t.Errorf("current session is %d, want 2", decoder.Session())
	}
}
