package scenario

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/kv"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/replica"
	"yewpass/internal/request"
	"yewpass/internal/spec"
)

// What happens next? In the scenarios' ordinary play messages arrive in the order of
// their times. Here a few kinds of them, and a few events, wait in a hand, and every
// choice is played of which of them happens next, or whether time passes first: each
// order of choices on a world of its own, begun anew, with every rule looked at after
// every event. After the last choice the rest happens in its order, and all must end
// well.

// ordering is a set of things that race, around one danger.
type ordering struct {
	name   string
	text   string        // how the world is set up, and what is expected in the end
	from   time.Duration // when the race begins
	events []string      // what happens some time in it, as scenario actions
	races  []string      // kinds of messages whose order is open; "kind a" only those from a
	loses  []string      // kinds one message of which may be lost
	copies []string      // kinds one message of which may arrive twice, the second time whenever
	passes []time.Duration
	depth  int // choices
	orders int // how many orders there are: the same each time
}

var tiny, relayed = few(3, 2), few(4, 3) + "team t\n"

// few is a world of so many controllers and as many machines.
func few(seed, n int) string {
	return fmt.Sprintf(`
seed %[1]d
nodes %[2]d
type s cpus=4 mem=16 rate=0.4 low=0.1 ready=2s fetch=10
capacity s a n=%[2]d
machines s a n=%[2]d
`, seed, n)
}

var orderings = []ordering{
	{
		name: "accept and retry", text: tiny + "team t\nrun 120s\nexpect over\nexpect leaders =1",
		from: 6 * time.Second, events: []string{"submit wk-1 run=3s", "again wk-1", "crash leader back=3s"},
		races: []string{"txn", "txn answer", "call", "answer"}, loses: []string{"txn", "txn answer"},
		passes: []time.Duration{50 * time.Millisecond, 1600 * time.Millisecond, 2500 * time.Millisecond}, depth: 4, orders: 850,
	},
	{
		name: "cancel and start", text: tiny + "team t\nrun 120s\nexpect over\nexpect running wk-1 =0",
		from: 6 * time.Second, events: []string{"submit wk-1 run=300s tasks=3", "cancel wk-1"},
		races: []string{"txn", "txn answer", "reply", "call"}, passes: []time.Duration{600 * time.Millisecond, 5 * time.Second}, depth: 4, orders: 454,
	},
	{
		name: "start and a change of leader", text: tiny + "team t\nat 5.9s submit wk-1 run=40s tasks=3\nrun 180s\nexpect over\nexpect leaders =1",
		from: 5900 * time.Millisecond, events: []string{"crash leader back=3s", "partition 1 9s hold"},
		races: []string{"reply", "report", "probe"}, passes: []time.Duration{300 * time.Millisecond, 3 * time.Second, 22 * time.Second}, depth: 4, orders: 2419,
	},
	{
		name: "done and a change of leader", text: tiny + "team t\nat 6s submit wk-1 run=4s tasks=2\nrun 150s\nexpect over\nexpect leaders =1",
		from: 10 * time.Second, events: []string{"crash leader back=3s"},
		races: []string{"report", "reply", "txn", "txn answer"}, loses: []string{"txn", "txn answer"}, passes: []time.Duration{200 * time.Millisecond, 1600 * time.Millisecond, 5 * time.Second}, depth: 4, orders: 2200,
	},
	{
		name: "end of a lease and a late report", text: tiny + "team t\nat 5s submit wk-1 run=60s tasks=3\nrun 250s\nexpect over",
		from: 12 * time.Second, events: []string{"partition 1 30s hold", "hang 1 12s"},
		races: []string{"report", "reply", "release", "release answer"}, passes: []time.Duration{time.Second, 21 * time.Second}, depth: 3, orders: 171,
	},
	{
		name: "a limit across a take-over", text: tiny + "team t max=3\nat 5s submit wk-1 run=30s tasks=3\nrun 250s\nexpect over\nexpect leaders =1",
		from: 9 * time.Second, events: []string{"crash leader back=3s", "submit wk-2 run=5s tasks=3", "partition 1 12s hold"},
		races: []string{"report", "reply", "probe"}, passes: []time.Duration{500 * time.Millisecond, 22 * time.Second}, depth: 3, orders: 206,
	},
	{
		name: "a late transaction under a successor", text: tiny + "team t\nat 5s submit wk-1 run=20s tasks=2\nrun 200s\nexpect over\nexpect leaders =1",
		from: 9 * time.Second, events: []string{"cancel wk-1", "submit wk-2 run=3s", "state_unavailable leader 4s"},
		races: []string{"txn", "txn answer"}, loses: []string{"txn", "txn answer"}, passes: []time.Duration{100 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second}, depth: 4, orders: 1847,
	},
	{
		name: "a machine taken", text: tiny + "team t\ncapacity s b spot=2\nmachines s b n=1 spot\nat 5s submit wk-1 run=20s tasks=9\nrun 250s\nexpect over",
		from: 9 * time.Second, events: []string{"preempt 1", "preempt 1 notice=6s", "crash leader back=3s"},
		races: []string{"report", "reply", "release", "release answer"}, passes: []time.Duration{600 * time.Millisecond, 4 * time.Second}, depth: 4, orders: 842,
	},
	{
		name: "a start through a relay and a change of leader", text: relayed + "at 5.9s submit wk-1 run=40s tasks=3\nrun 180s\nexpect over\nexpect leaders =1",
		from: 5900 * time.Millisecond, events: []string{"crash leader back=3s"},
		races: []string{"peer", "reply", "report", "probe"}, passes: []time.Duration{900 * time.Millisecond, 3 * time.Second}, depth: 3, orders: 233,
	},
	{
		name: "two relays and one worker", text: relayed + "at 5.9s submit wk-1 run=40s tasks=3\nrun 220s\nexpect over\nexpect leaders =1",
		from: 5950 * time.Millisecond, events: []string{"partition 1 5s hold only=n0", "partition 1 6s hold only=n1", "crash leader back=3s"},
		races: []string{"report", "reply", "peer"}, passes: []time.Duration{2500 * time.Millisecond, 5 * time.Second}, depth: 3, orders: 431,
	},
	{
		name: "a held link", text: relayed + "at 5.9s submit wk-1 run=40s tasks=3\nrun 220s\nexpect over\nexpect leaders =1",
		from: 5900 * time.Millisecond, events: []string{"partition n0 30s hold only=n1", "partition n1 30s hold only=n2", "crash leader back=2s"},
		races: []string{"peer", "reply"}, passes: []time.Duration{time.Second, 3 * time.Second}, depth: 3, orders: 340,
	},
	{
		name: "acceptance without a leader", text: relayed + "run 120s\nexpect over\nexpect accepted wk-1\nexpect leaders =1",
		from: 6 * time.Second, events: []string{"submit wk-1 run=3s", "again wk-1", "crash leader back=3s"},
		races: []string{"txn", "txn answer", "peer", "call"}, loses: []string{"txn", "txn answer"},
		passes: []time.Duration{100 * time.Millisecond, 2500 * time.Millisecond}, depth: 4, orders: 1211,
	},
	{
		name: "a process and the next one", text: relayed + "at 5.6s crash n1 back=50ms\nat 5.9s submit wk-1 run=40s tasks=6\nrun 180s\nexpect over\nexpect leaders =1",
		from: 5900 * time.Millisecond, events: []string{"crash leader back=50ms", "partition 1 9s hold", "crash n2 back=50ms"},
		races: []string{"peer", "reply", "report"}, passes: []time.Duration{100 * time.Millisecond, 400 * time.Millisecond}, depth: 4, orders: 1038,
	},
	{
		name: "a machine that is back", text: tiny + "team t max=3\nat 5s submit wk-1 run=30s tasks=3\nrun 250s\nexpect over\nexpect leaders =1",
		from: 9 * time.Second, events: []string{"restart 1 back=50ms reset_counter", "crash leader back=50ms"},
		races: []string{"report", "reply", "probe"}, passes: []time.Duration{500 * time.Millisecond, 22 * time.Second}, depth: 3, orders: 152,
	},
	{
		name: "a late acceptance", text: tiny + "team t\nat 5.9s submit wk-1 run=2s\nat 40s crash leader back=2s\nrun 150s\nexpect over\nexpect leaders =1",
		from: 5900 * time.Millisecond, events: []string{"again wk-1"},
		races: []string{"txn", "txn answer"}, passes: []time.Duration{1600 * time.Millisecond, 9 * time.Second}, depth: 3, orders: 136,
	},
	{
		name: "a report that arrives twice", text: tiny + "team t\nat 5.9s submit wk-1 run=40s tasks=3\nrun 180s\nexpect over\nexpect leaders =1",
		from: 5900 * time.Millisecond, events: []string{"crash leader back=3s"},
		races: []string{"report", "reply"}, copies: []string{"report"}, passes: []time.Duration{600 * time.Millisecond, 5 * time.Second}, depth: 3, orders: 113,
	},
	{
		name: "a loss and an acceptance", text: relayed + "run 120s\nexpect over\nexpect accepted wk-1\nexpect leaders =1",
		from: 6 * time.Second, events: []string{"submit wk-1 run=3s", "wipe", "again wk-1"},
		races: []string{"txn", "txn answer", "call"}, loses: []string{"txn answer"}, passes: []time.Duration{100 * time.Millisecond, 2500 * time.Millisecond}, depth: 3, orders: 79,
	},
	{
		name: "a loss and a change of leader", text: relayed + "at 4s submit wk-1 run=30s tasks=3\nat 5s submit wk-2 run=2s\nrun 150s\nexpect over\nexpect leaders =1",
		from: 6500 * time.Millisecond, events: []string{"wipe", "crash leader back=2s", "cancel wk-1"},
		races: []string{"txn", "peer"}, passes: []time.Duration{400 * time.Millisecond, 3 * time.Second}, depth: 3, orders: 205,
	},
	{
		name: "a machine that does not hear", text: tiny + "team t\nat 5s submit wk-1 run=40s tasks=3\nat 8s outage cloud 60s\nrun 250s\nexpect over\nexpect leaders =1",
		from: 9 * time.Second, events: []string{"block_inbound 1 16s", "crash leader back=2s"},
		races: []string{"reply", "probe"}, passes: []time.Duration{3 * time.Second, 15 * time.Second}, depth: 3, orders: 127,
	},
	{
		name: "a look at each node", text: relayed + "run 120s\nexpect over\nexpect accepted wk-1\nexpect leaders =1",
		from: 6 * time.Second, events: []string{"submit wk-1 run=3s", "observe wk-1", "crash leader back=2s"},
		races: []string{"txn", "txn answer"}, loses: []string{"txn answer"}, passes: []time.Duration{5 * time.Millisecond, 900 * time.Millisecond}, depth: 4, orders: 232,
	},
	{
		name: "an answer lost after a cancellation", text: relayed + "at 4s submit wk-1 run=60s tasks=3\nat 7s cancel wk-1\nrun 150s\nexpect cancelled wk-1\nexpect leaders =1",
		from: 6995 * time.Millisecond, events: []string{"observe wk-1", "observe wk-1"},
		races: []string{"txn answer"}, loses: []string{"txn answer"}, passes: []time.Duration{20 * time.Millisecond, 900 * time.Millisecond}, depth: 4, orders: 331,
	},
	{
		name: "an old report at the start of a term", text: tiny + "team t\nat 500ms duplicate_reports 6s share=1 next_leader=true\nat 5s submit wk-1 run=40s tasks=3\nrun 180s\nexpect over\nexpect met report-for-next >0\nexpect leaders =1",
		from: 9 * time.Second, events: []string{"crash leader back=3s"},
		races: []string{"kept", "report", "probe"}, passes: []time.Duration{50 * time.Millisecond, 2 * time.Second}, depth: 4, orders: 286,
	},
	{
		name: "a cancellation at the end of the last task", text: tiny + "team t\nat 6s submit wk-1 run=4s\nrun 120s\nexpect over\nexpect leaders =1",
		from: 10 * time.Second, events: []string{"cancel wk-1", "observe wk-1"},
		races: []string{"txn", "txn answer", "report"}, loses: []string{"txn answer"}, passes: []time.Duration{30 * time.Millisecond, 900 * time.Millisecond}, depth: 3, orders: 61,
	},
	{
		name: "a change of configuration and a change of leader", text: relayed + "team u max=12\nat 4s submit wk-1 owner=u run=4s tasks=12\nat 5s submit wk-2 owner=u run=2s tasks=9\nat 60s config u max=12\nrun 200s\nexpect over\nexpect configured\nexpect leaders =1",
		from: 6 * time.Second, events: []string{"config u max=3", "crash leader back=2s"},
		races: []string{"txn", "txn answer", "peer"}, loses: []string{"txn", "txn answer"}, passes: []time.Duration{100 * time.Millisecond, 2500 * time.Millisecond}, depth: 4, orders: 513,
	},
}

// racing is one play of an ordering.
type racing struct {
	*script
	o    *ordering
	hand []*waiting
	on   bool
	lost bool
	copy bool
}

// waiting is something that may happen next.
type waiting struct {
	kind, a, b string
	do         func()
}

func (x *waiting) String() string {
	if x.kind == "event" {
		return x.a
	}
	return x.kind + " " + x.a + ">" + x.b
}

func (r *racing) takes(kind, a, b string, f func()) bool {
	if !r.on || !slices.Contains(r.o.races, kind) {
		return false
	}
	r.hand = append(r.hand, &waiting{kind, a, b, f})
	return true
}

// first reports whether nothing that must come before waits: what peers say stays in
// order, and so does all between one worker and one node.
func (r *racing) first(i int) bool {
	x := r.hand[i]
	if x.kind == "event" {
		f := strings.Fields(x.a)
		if j := r.jobs[f[len(f)-1]]; f[0] == "cancel" || f[0] == "again" || f[0] == "observe" {
			return j != nil && (f[0] != "cancel" || j.accepted) // of what its user has submitted
		}
		return true
	}
	if slices.Contains([]string{"txn", "txn answer", "call", "answer"}, x.kind) || strings.HasPrefix(x.kind, "late ") {
		return true // each on a connection of its own
	}
	return !slices.ContainsFunc(r.hand[:i], func(y *waiting) bool { return y.kind == x.kind && y.a == x.a && y.b == x.b })
}

// options says what may happen next.
type option struct {
	name string
	do   func()
}

func (r *racing) options() (os []option) {
	for i, x := range r.hand {
		if !r.first(i) {
			continue
		}
		os = append(os, option{x.String(), func() { r.happens(x, true) }})
		if slices.Contains(r.o.copies, x.kind) && !r.copy {
			os = append(os, option{"twice: " + x.String(), func() {
				r.copy = true
				r.hand = append(r.hand, &waiting{"late " + x.kind, x.a, x.b, x.do})
				r.happens(x, true)
			}})
		}
		if slices.Contains(r.o.loses, x.kind) && !r.lost {
			os = append(os, option{"lost: " + x.String(), func() { r.lost = true; r.happens(x, false) }})
		}
	}
	for _, d := range r.o.passes {
		os = append(os, option{d.String() + " pass", func() {
			for end := r.now.Add(d); r.step(end); {
				r.check()
			}
		}})
	}
	return os
}

func (r *racing) happens(x *waiting, arrives bool) {
	r.hand = slices.DeleteFunc(r.hand, func(y *waiting) bool { return y == x })
	switch {
	case !arrives:
	case x.kind != "event" && !r.net.open(x.a, x.b):
		r.net.send(x.kind, x.a, x.b, x.do) // into the cut
	default:
		x.do()
	}
	r.check()
}

// settled reports whether all expectations hold, no task is on a machine, and no cut
// holds anything back.
func (s *script) settled() bool {
	for _, m := range s.cloud.machines {
		if slices.ContainsFunc(m.tasks, (*task).on) {
			return false
		}
	}
	return len(s.net.cuts) == 0 && !slices.ContainsFunc(s.expects, func(e expect) bool { return !s.holds(e.words) })
}

// playOrder plays one order of choices; choices beyond those given are the first
// option. widths says how many options each choice had, names which was taken.
func playOrder(o *ordering, choices []int, lie, hears func(n *node, x any) any) (widths []int, names []string, res Result) {
	s, err := parseScript(o.text)
	if err != nil {
		panic(err)
	}
	s.alterOutput, s.alterInput = lie, hears
	s.setUp()
	r := &racing{script: s, o: o}
	s.net.take = r.takes
	for s.step(s.start.Add(o.from)) {
	}
	r.on = true
	for _, e := range o.events {
		f := strings.Fields(e)
		r.hand = append(r.hand, &waiting{kind: "event", a: e, do: func() {
			if f[0] == "again" { // its user asks once more, whatever it was told
				s.submit(s.jobs[f[1]])
				return
			}
			s.perform(f)
		}})
	}
	for len(widths) < o.depth {
		for len(r.hand) == 0 && s.step(s.start.Add(s.end)) {
			r.check()
		}
		os := r.options()
		pick := 0
		if len(widths) < len(choices) {
			pick = choices[len(widths)]
		}
		widths = append(widths, len(os))
		names = append(names, os[pick].name)
		os[pick].do()
	}
	r.on = false
	for len(r.hand) > 0 { // the rest, in its order
		r.happens(r.hand[0], true)
	}
	// Once every expectation holds and nothing has run for longer than a lease lasts, or
	// a cancellation where there is one, nothing is left that could still go wrong.
	calm, calmFor := s.elapsed(), s.lease+8*time.Second
	if slices.ContainsFunc(o.events, func(e string) bool { return strings.HasPrefix(e, "cancel") }) || strings.Contains(o.text, " cancel ") {
		calmFor = s.cancelWithin + 20*time.Second
	}
	for at := s.elapsed(); at < s.end; {
		at = min(at+5*time.Second, s.end)
		s.runTo(at)
		if !s.settled() {
			calm = at
		} else if at-calm > calmFor {
			break
		}
	}
	s.run(s.elapsed())
	res = s.result()
	res.Violations = append(res.Violations, notLinear(res)...)
	return widths, names, res
}

// eachOrder plays every order, several at a time, until f says no.
func eachOrder(o *ordering, lie, hears func() func(n *node, x any) any, f func(choices []int, names []string, res Result) bool) (played int) {
	var count atomic.Int64
	var stop atomic.Bool
	widths, _, _ := playOrder(o, nil, lie(), hears())
	var all sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, 8)
	for first := range widths[0] {
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			for choices := []int{first}; !stop.Load(); {
				ws, names, res := playOrder(o, choices, lie(), hears())
				count.Add(1)
				choices = append(choices, make([]int, len(ws)-len(choices))...)
				mu.Lock()
				if !f(choices, names, res) {
					stop.Store(true)
				}
				mu.Unlock()
				// The next one: the last choice that has another option.
				i := len(choices) - 1
				for i > 0 && choices[i]+1 >= ws[i] {
					i--
				}
				if i == 0 {
					return
				}
				choices = append([]int(nil), choices[:i+1]...)
				choices[i]++
			}
		})
	}
	all.Wait()
	return int(count.Load())
}

var order = flag.String("order", "", "play one order alone, as a failing one prints itself: NAME:1,0,3")

func honest() func(*node, any) any { return nil }

func complaint(name string, choices []int, names []string, res Result) string {
	var nums []string
	for _, c := range choices {
		nums = append(nums, strconv.Itoa(c))
	}
	return fmt.Sprintf("go test ./internal/scenario -run TestOrders -order '%s:%s'\n%s\n%s", name, strings.Join(nums, ","),
		strings.Join(names, "\n"), strings.Join(append(res.Violations, res.Unmet...), "\n"))
}

// TestOrders plays every order of every set.
func TestOrders(t *testing.T) {
	for i := range orderings {
		o := &orderings[i]
		if *order != "" {
			if list, ok := strings.CutPrefix(*order, o.name+":"); ok {
				var choices []int
				for c := range strings.SplitSeq(list, ",") {
					n, err := strconv.Atoi(c)
					if err != nil {
						t.Fatal(err)
					}
					choices = append(choices, n)
				}
				_, names, res := playOrder(o, choices, nil, nil)
				t.Log(complaint(o.name, choices, names, res))
				if len(res.Violations)+len(res.Unmet) > 0 {
					t.Fail()
				}
			}
			continue
		}
		t.Run(o.name, func(t *testing.T) {
			t.Parallel()
			bad := 0
			n := eachOrder(o, honest, honest, func(choices []int, names []string, res Result) bool {
				if len(res.Violations)+len(res.Unmet) > 0 {
					bad++
					t.Error(complaint(o.name, choices, names, res))
				}
				return bad < 3
			})
			t.Logf("%d orders", n)
			if bad == 0 && n != o.orders {
				t.Errorf("%d orders, there should be %d", n, o.orders)
			}
		})
	}
}

// withoutCopies is an output that passes on no copies of some records.
func withoutCopies(out any, gone func(value any) bool) any {
	p, ok := out.(peermsg.Outgoing)
	if !ok || p.Msg.Replica == nil {
		return out
	}
	line := *p.Msg.Replica
	line.Puts = slices.DeleteFunc(slices.Clone(line.Puts), func(r replica.Record) bool { return gone(r.Value) })
	p.Msg.Replica = &line
	return p
}

// withoutWrites is an output that writes no records of some kind.
func withoutWrites(out any, gone func(value any) bool) any {
	call, ok := out.(kv.Request)
	if !ok || call.Op != kv.Txn {
		return out
	}
	call.Writes = slices.DeleteFunc(slices.Clone(call.Writes), func(w kv.Write) bool { return gone(w.Value) })
	return call
}

// TestOrdersPlanted: errors put between the core and the world are found by some
// order, so the search can fail.
func TestOrdersPlanted(t *testing.T) {
	ofMachines := func(v any) bool {
		_, ok := v.(*record.Machines)
		return ok
	}
	unrecorded := func() func(n *node, out any) any {
		return func(n *node, out any) any { // machines go unrecorded, in copies as well: nobody waits for them
			return withoutWrites(withoutCopies(out, ofMachines), ofMachines)
		}
	}
	lower := func() func(n *node, out any) any {
		return func(n *node, out any) any { // attempts of the second term are below the first's
			if a, ok := out.(heartbeat.Reply); ok {
				a.Orders = slices.Clone(a.Orders)
				for i := range a.Orders {
					a.Orders[i].Try = a.Orders[i].Try&0xffff + 100/a.FencingToken
				}
				return a
			}
			return out
		}
	}
	for _, p := range []struct {
		set, rule  string
		lie, hears func() func(n *node, x any) any
	}{
		{"a look at each node", "no order", func() func(n *node, out any) any {
			first := map[string]request.JobStatus{}
			return func(n *node, out any) any { // a node tells again what it has told once
				a, ok := out.(request.Response)
				if !ok || a.Status != 200 && a.Status != 201 || a.View.ID == "" {
					return out
				}
				if v, told := first[n.name]; told {
					a.View = v
				} else {
					first[n.name] = a.View
				}
				return a
			}
		}, honest},
		{"an answer lost after a cancellation", "no order", func() func(n *node, out any) any {
			return func(n *node, out any) any { // a poll does not wait for a record that may be there
				if a, ok := out.(request.Response); ok && a.Reason == "its end is being recorded" {
					a.Status, a.View = 200, request.JobStatus{ID: "wk-1", State: spec.Running}
					return a
				}
				return out
			}
		}, honest},
		{"an old report at the start of a term", "ran_twice", honest, func() func(n *node, in any) any {
			return func(n *node, in any) any { // every report counts as one of the term at hand
				if r, ok := in.(heartbeat.Received); ok && n.core.HasAuthority(n.local()) {
					r.Report.FencingToken = n.core.Stats().Term
					return r
				}
				return in
			}
		}},
		{"a cancellation at the end of the last task", "went_back", func() func(n *node, out any) any {
			told := false
			return func(n *node, out any) any { // whoever asks first after the end is told that it is cancelled
				if a, ok := out.(request.Response); ok && a.View.State == spec.Done && n.jobs["wk-1"].wantsCancel && !told {
					told, a.View.State = true, spec.Cancelled
					return a
				}
				return out
			}
		}, honest},
		{"accept and retry", "forgotten", func() func(n *node, out any) any {
			return func(n *node, out any) any { // an answer before its write
				if call, ok := out.(kv.Request); ok && call.Op == kv.Txn {
					for _, w := range call.Writes {
						if rec, ok := w.Value.(*record.Job); ok && !rec.Cancelled {
							for _, x := range n.nodes { // whichever the user has asked
								x.answer(x.submission, request.Response{Ref: x.submission, Status: 201, View: request.JobStatus{ID: rec.Spec.ID, State: spec.Queued}})
							}
						}
					}
				}
				return out
			}
		}, honest},
		{"start and a change of leader", "ran_twice", unrecorded, honest},
		{"start and a change of leader", "misuse", lower, honest},
		{"a machine that is back", "misuse", lower, honest},
		{"a loss and a change of leader", "forgotten", func() func(n *node, out any) any {
			return func(n *node, out any) any { // copies lack jobs
				return withoutCopies(out, func(v any) bool {
					_, job := v.(*record.Job)
					return job
				})
			}
		}, honest},
		{"cancel and start", "ran_cancelled", func() func(n *node, out any) any {
			return func(n *node, out any) any { // stops are forgotten
				if a, ok := out.(heartbeat.Reply); ok {
					a.Orders = slices.DeleteFunc(slices.Clone(a.Orders), func(o heartbeat.Order) bool { return o.Verb == heartbeat.Stop })
					return a
				}
				return out
			}
		}, honest},
	} {
		t.Run(p.set+"/"+p.rule, func(t *testing.T) {
			t.Parallel()
			i := slices.IndexFunc(orderings, func(o ordering) bool { return o.name == p.set })
			o, found := orderings[i], ""
			// A user who asks again would mend what the lie has broken.
			o.events = slices.DeleteFunc(slices.Clone(o.events), func(e string) bool { return strings.HasPrefix(e, "again") })
			n := eachOrder(&o, p.lie, p.hears, func(choices []int, names []string, res Result) bool {
				for _, v := range res.Violations {
					if strings.Contains(v, " "+p.rule+":") {
						found = complaint(p.set, choices, names, res)
					}
				}
				return found == ""
			})
			if found == "" {
				t.Errorf("not found in %d orders", n)
			}
			t.Logf("found within %d orders: %s", n, found)
		})
	}
}
