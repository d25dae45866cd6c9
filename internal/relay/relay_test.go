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

// worker makes reports of a machine whose list of tasks changes like a worker's, and
// now and then like no worker's.
type worker struct{ heartbeat.Report }

func (w *worker) next(rng *rand.Rand, strange bool) heartbeat.Report {
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
	if strange && rng.IntN(3) == 0 {
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

// TestLink: what comes out of a link is what went in, in its order, over lines of
// JSON, whatever workers say; a line that is missing, repeated or of another session
// is seen, and a new session sets all right.
func TestLink(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var ws []*worker
		for i := range 1 + rng.IntN(5) {
			ws = append(ws, &worker{heartbeat.Report{Host: fmt.Sprint("host-", i), Address: "10.0.0.1:9000", InstanceType: "f", Zone: "a", Incarnation: 1}})
		}
		var u Decoder
		session := uint64(1)
		f := NewEncoder(session)
		for range 60 {
			var items []Delta
			var want []heartbeat.Report
			for range rng.IntN(4) {
				w := ws[rng.IntN(len(ws))]
				r := w.next(rng, seed%3 == 0)
				items = append(items, f.Encode(7, &r))
				want = append(want, r)
			}
			if rng.IntN(5) == 0 {
				f.Forget(ws[0].Host)
			}
			line, err := json.Marshal(f.Batch(items, nil))
			if err != nil {
				t.Fatal(err)
			}
			var b Batch
			if err := json.Unmarshal(line, &b); err != nil {
				t.Fatal(err)
			}
			if rng.IntN(12) == 0 { // lost, or another one in its place
				b.Number += uint64(1 + rng.IntN(2))
				if b.Number > 2 && rng.IntN(2) == 0 {
					b.Number, b.Session = b.Number-1, b.Session+1
				}
				if _, _, err := u.Decode(&b); err == nil {
					t.Fatalf("seed %d: a line that does not follow is taken", seed)
				}
				session += 2
				f = NewEncoder(session)
				continue
			}
			got, _, err := u.Decode(&b)
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			if len(got) != len(want) {
				t.Fatalf("seed %d: %d reports of %d", seed, len(got), len(want))
			}
			for i := range got {
				if len(got[i].Tasks) == 0 && len(want[i].Tasks) == 0 {
					got[i].Tasks, want[i].Tasks = nil, nil
				}
				if !reflect.DeepEqual(got[i], want[i]) {
					t.Fatalf("seed %d: %+v, it was %+v", seed, got[i], want[i])
				}
			}
		}
	}
}

// TestText: lists come back as they were, and texts that nobody writes do not pass.
func TestText(t *testing.T) {
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
		t.Errorf("%s %v: %+v", line, err, back)
	}
	for _, bad := range []string{"wk-1", "wk-1 1 2 running", "wk-1 1 2 running ,", "wk-1 -1 2 running ", "wk-1 1 x running ", "wk-1 99999999999 2 running ", "%zz 1 2 running ", ",", " ", "start wk-1 1 2 99999999999999"} {
		var ts Tasks
		var os Orders
		if ts.UnmarshalText([]byte(bad)) == nil {
			t.Errorf("tasks %q pass: %+v", bad, ts)
		}
		if os.UnmarshalText([]byte(bad)) == nil {
			t.Errorf("orders %q pass: %+v", bad, os)
		}
	}
}

// TestUnsound: lines that no relay sends are errors, and nothing after them counts
// until the next session.
func TestUnsound(t *testing.T) {
	who := &Identity{Host: "h"}
	for name, it := range map[string]Delta{
		"unknown machine": {Handle: 2},
		"dropped":         {Handle: 1, Dropped: []int{0}},
		"dropped below":   {Handle: 1, Identity: who, Dropped: []int{-1}},
		"changed":         {Handle: 1, Changed: []TaskChange{{At: 0, Phase: heartbeat.Exited}}},
		"no phase":        {Handle: 1, Added: Tasks{{ID: heartbeat.TaskID{Job: "wk-1"}, Phase: "?"}}},
		"no job":          {Handle: 1, Added: Tasks{{Phase: heartbeat.Exited}}},
	} {
		var u Decoder
		if _, _, err := u.Decode(&Batch{Session: 5, Number: 1, Reports: []Delta{{Ref: 1, Handle: 1, Identity: who}}}); err != nil {
			t.Fatal(err)
		}
		if _, _, err := u.Decode(&Batch{Session: 5, Number: 2, Reports: []Delta{it}}); err == nil {
			t.Errorf("%s: taken", name)
		}
		if _, _, err := u.Decode(&Batch{Session: 5, Number: 3}); err == nil {
			t.Errorf("%s: the session goes on", name)
		}
		if _, begun, err := u.Decode(&Batch{Session: 6, Number: 1}); err != nil || !begun {
			t.Errorf("%s: no new session: %v", name, err)
		}
	}
	for i, r := range []Replies{
		{List: []Reply{{Status: 200}}}, {List: []Reply{{Status: 99}}}, {List: []Reply{{Status: 421, Orders: Orders{{Verb: heartbeat.Start, Task: heartbeat.TaskID{Job: "wk-1"}}}}}},
		{List: []Reply{{Orders: Orders{{Verb: "sing", Task: heartbeat.TaskID{Job: "wk-1"}}}}}}, {List: []Reply{{Orders: Orders{{Verb: heartbeat.Start}}}}},
	} {
		if r.Valid() {
			t.Errorf("replies %d pass", i)
		}
	}
}

// TestLeastLoaded: a fleet that is spread one by one fills nodes evenly, its own zone's
// first, never above what they take; and no worker moves for a small difference.
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
		t.Errorf("%d %d %d", a, b, c)
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
			t.Errorf("%+v", n)
		}
	}
	if LeastLoaded(nodes, "a") != "" || LeastLoaded(nil, "a") != "" {
		t.Error("room where there is none")
	}
	for _, x := range []struct {
		from, to int
		zone     string
		want     bool
	}{{100, 96, "a", false}, {100, 60, "a", true}, {20, 12, "c", false}, {301, 290, "a", true}, {100, 60, "b", false}} {
		two := []Node{{"a1", "a", x.from, 300}, {"a2", "a", x.to, 300}}
		if x.zone == "b" {
			two[0].Zone = "b" // it would leave its own zone
		}
		if got := Imbalanced(two, "a1", "a2", x.zone); got != x.want {
			t.Errorf("%+v: %v", x, got)
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

// BenchmarkLine is a report on its way over a link, with all that is done to the line
// at each end: at the relay (fold, marshal) and at the leader (unmarshal, unfold).
func BenchmarkLine(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		for _, changes := range []bool{false, true} {
			for _, end := range []string{"relay", "leader"} {
				b.Run(fmt.Sprintf("machines=%d/changes=%v/at=%s", n, changes, end), func(b *testing.B) {
					rs := benchmarkReports(n)
					f := NewEncoder(1)
					var u Decoder
					bytes := 0
					for i := range rs {
						u.Decode(f.Batch([]Delta{f.Encode(1, &rs[i])}, nil))
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
						line, _ := json.Marshal(f.Batch([]Delta{f.Encode(uint64(i), r)}, nil))
						bytes += len(line)
						if end == "leader" {
							b.StartTimer()
						} else {
							b.StopTimer()
						}
						var x Batch
						json.Unmarshal(line, &x)
						if _, _, err := u.Decode(&x); err != nil {
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

// TestFormerSession: what was held on the way since a session that is over ends none.
func TestFormerSession(t *testing.T) {
	r := heartbeat.Report{Host: "host-1", InstanceType: "f", Zone: "a", Incarnation: 1, Counter: 1}
	first, next := NewEncoder(1), NewEncoder(2)
	held := first.Batch([]Delta{first.Encode(1, &r)}, nil)
	var u Decoder
	for i, b := range []*Batch{held, next.Batch(nil, nil), held, next.Batch([]Delta{next.Encode(1, &r)}, nil)} {
		_, _, err := u.Decode(b)
		if want := i == 2; (err == ErrStaleSession) != want || !want && err != nil {
			t.Errorf("line %d: %v", i, err)
		}
	}
	if u.Session() != 2 {
		t.Errorf("session %d", u.Session())
	}
}
