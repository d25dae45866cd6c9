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

// These tests enumerate message orders exhaustively. They hold back messages of some kinds and a
// few events, and at each step deliver one or let time pass. Every sequence of choices runs in a
// new simulation. After the last choice, the remaining messages are delivered in order.

// messageRace is a set of messages and events whose order is enumerated.
type messageRace struct {
	name       string
	text       string        // scenario with its expectations
	startAt    time.Duration // when messages start to be held back
	events     []string      // scenario actions to interleave; "again ID" repeats a submission
	kinds      []string      // of the messages to hold back
	losable    []string      // kinds of which one message may be lost
	duplicable []string      // kinds of which one message may arrive twice
	waits      []time.Duration
	choices    int // number of choices in a sequence
	orders     int // expected number of sequences
}

var threeNodes, fourNodes = smallCluster(3, 2), smallCluster(4, 3) + "team t\n"

// smallCluster returns the lines of a cluster of n controllers and n machines.
func smallCluster(seed, n int) string {
	return fmt.Sprintf(`
seed %[1]d
nodes %[2]d
type s cpus=4 mem=16 rate=0.4 low=0.1 ready=2s fetch=10
capacity s a n=%[2]d
machines s a n=%[2]d
`, seed, n)
}

var messageRaces = []messageRace{
	{
		name: "accept and retry", text: threeNodes + "team t\nrun 120s\nexpect over\nexpect leaders =1",
		startAt: 6 * time.Second, events: []string{"submit wk-1 run=3s", "again wk-1", "crash leader back=3s"},
		kinds: []string{"txn", "txn answer", "call", "answer"}, losable: []string{"txn", "txn answer"},
		waits: []time.Duration{50 * time.Millisecond, 1600 * time.Millisecond, 2500 * time.Millisecond}, choices: 4, orders: 850,
	},
	{
		name: "cancel and start", text: threeNodes + "team t\nrun 120s\nexpect over\nexpect running wk-1 =0",
		startAt: 6 * time.Second, events: []string{"submit wk-1 run=300s tasks=3", "cancel wk-1"},
		kinds: []string{"txn", "txn answer", "reply", "call"}, waits: []time.Duration{600 * time.Millisecond, 5 * time.Second}, choices: 4, orders: 454,
	},
	{
		name: "start and a change of leader", text: threeNodes + "team t\nat 5.9s submit wk-1 run=40s tasks=3\nrun 180s\nexpect over\nexpect leaders =1",
		startAt: 5900 * time.Millisecond, events: []string{"crash leader back=3s", "partition 1 9s hold"},
		kinds: []string{"reply", "report", "probe"}, waits: []time.Duration{300 * time.Millisecond, 3 * time.Second, 22 * time.Second}, choices: 4, orders: 2419,
	},
	{
		name: "done and a change of leader", text: threeNodes + "team t\nat 6s submit wk-1 run=4s tasks=2\nrun 150s\nexpect over\nexpect leaders =1",
		startAt: 10 * time.Second, events: []string{"crash leader back=3s"},
		kinds: []string{"report", "reply", "txn", "txn answer"}, losable: []string{"txn", "txn answer"}, waits: []time.Duration{200 * time.Millisecond, 1600 * time.Millisecond, 5 * time.Second}, choices: 4, orders: 2200,
	},
	{
		name: "lease expiry and a late report", text: threeNodes + "team t\nat 5s submit wk-1 run=60s tasks=3\nrun 250s\nexpect over",
		startAt: 12 * time.Second, events: []string{"partition 1 30s hold", "hang 1 12s"},
		kinds: []string{"report", "reply", "release", "release answer"}, waits: []time.Duration{time.Second, 21 * time.Second}, choices: 3, orders: 171,
	},
	{
		name: "a limit across a failover", text: threeNodes + "team t max=3\nat 5s submit wk-1 run=30s tasks=3\nrun 250s\nexpect over\nexpect leaders =1",
		startAt: 9 * time.Second, events: []string{"crash leader back=3s", "submit wk-2 run=5s tasks=3", "partition 1 12s hold"},
		kinds: []string{"report", "reply", "probe"}, waits: []time.Duration{500 * time.Millisecond, 22 * time.Second}, choices: 3, orders: 206,
	},
	{
		name: "a late transaction under a successor", text: threeNodes + "team t\nat 5s submit wk-1 run=20s tasks=2\nrun 200s\nexpect over\nexpect leaders =1",
		startAt: 9 * time.Second, events: []string{"cancel wk-1", "submit wk-2 run=3s", "state_unavailable leader 4s"},
		kinds: []string{"txn", "txn answer"}, losable: []string{"txn", "txn answer"}, waits: []time.Duration{100 * time.Millisecond, 2500 * time.Millisecond, 6 * time.Second}, choices: 4, orders: 1847,
	},
	{
		name: "a preempted machine", text: threeNodes + "team t\ncapacity s b spot=2\nmachines s b n=1 spot\nat 5s submit wk-1 run=20s tasks=9\nrun 250s\nexpect over",
		startAt: 9 * time.Second, events: []string{"preempt 1", "preempt 1 notice=6s", "crash leader back=3s"},
		kinds: []string{"report", "reply", "release", "release answer"}, waits: []time.Duration{600 * time.Millisecond, 4 * time.Second}, choices: 4, orders: 842,
	},
	{
		name: "a start through a relay and a change of leader", text: fourNodes + "at 5.9s submit wk-1 run=40s tasks=3\nrun 180s\nexpect over\nexpect leaders =1",
		startAt: 5900 * time.Millisecond, events: []string{"crash leader back=3s"},
		kinds: []string{"peer", "reply", "report", "probe"}, waits: []time.Duration{900 * time.Millisecond, 3 * time.Second}, choices: 3, orders: 233,
	},
	{
		name: "one worker between two relays", text: fourNodes + "at 5.9s submit wk-1 run=40s tasks=3\nrun 220s\nexpect over\nexpect leaders =1",
		startAt: 5950 * time.Millisecond, events: []string{"partition 1 5s hold only=n0", "partition 1 6s hold only=n1", "crash leader back=3s"},
		kinds: []string{"report", "reply", "peer"}, waits: []time.Duration{2500 * time.Millisecond, 5 * time.Second}, choices: 3, orders: 431,
	},
	{
		name: "a delayed peer link", text: fourNodes + "at 5.9s submit wk-1 run=40s tasks=3\nrun 220s\nexpect over\nexpect leaders =1",
		startAt: 5900 * time.Millisecond, events: []string{"partition n0 30s hold only=n1", "partition n1 30s hold only=n2", "crash leader back=2s"},
		kinds: []string{"peer", "reply"}, waits: []time.Duration{time.Second, 3 * time.Second}, choices: 3, orders: 340,
	},
	{
		name: "acceptance without a leader", text: fourNodes + "run 120s\nexpect over\nexpect accepted wk-1\nexpect leaders =1",
		startAt: 6 * time.Second, events: []string{"submit wk-1 run=3s", "again wk-1", "crash leader back=3s"},
		kinds: []string{"txn", "txn answer", "peer", "call"}, losable: []string{"txn", "txn answer"},
		waits: []time.Duration{100 * time.Millisecond, 2500 * time.Millisecond}, choices: 4, orders: 1211,
	},
	{
		name: "a restarted controller", text: fourNodes + "at 5.6s crash n1 back=50ms\nat 5.9s submit wk-1 run=40s tasks=6\nrun 180s\nexpect over\nexpect leaders =1",
		startAt: 5900 * time.Millisecond, events: []string{"crash leader back=50ms", "partition 1 9s hold", "crash n2 back=50ms"},
		kinds: []string{"peer", "reply", "report"}, waits: []time.Duration{100 * time.Millisecond, 400 * time.Millisecond}, choices: 4, orders: 1038,
	},
	{
		name: "a restarted machine", text: threeNodes + "team t max=3\nat 5s submit wk-1 run=30s tasks=3\nrun 250s\nexpect over\nexpect leaders =1",
		startAt: 9 * time.Second, events: []string{"restart 1 back=50ms reset_counter", "crash leader back=50ms"},
		kinds: []string{"report", "reply", "probe"}, waits: []time.Duration{500 * time.Millisecond, 22 * time.Second}, choices: 3, orders: 152,
	},
	{
		name: "a late acceptance", text: threeNodes + "team t\nat 5.9s submit wk-1 run=2s\nat 40s crash leader back=2s\nrun 150s\nexpect over\nexpect leaders =1",
		startAt: 5900 * time.Millisecond, events: []string{"again wk-1"},
		kinds: []string{"txn", "txn answer"}, waits: []time.Duration{1600 * time.Millisecond, 9 * time.Second}, choices: 3, orders: 136,
	},
	{
		name: "a report that arrives twice", text: threeNodes + "team t\nat 5.9s submit wk-1 run=40s tasks=3\nrun 180s\nexpect over\nexpect leaders =1",
		startAt: 5900 * time.Millisecond, events: []string{"crash leader back=3s"},
		kinds: []string{"report", "reply"}, duplicable: []string{"report"}, waits: []time.Duration{600 * time.Millisecond, 5 * time.Second}, choices: 3, orders: 113,
	},
	{
		name: "data loss and an acceptance", text: fourNodes + "run 120s\nexpect over\nexpect accepted wk-1\nexpect leaders =1",
		startAt: 6 * time.Second, events: []string{"submit wk-1 run=3s", "wipe", "again wk-1"},
		kinds: []string{"txn", "txn answer", "call"}, losable: []string{"txn answer"}, waits: []time.Duration{100 * time.Millisecond, 2500 * time.Millisecond}, choices: 3, orders: 79,
	},
	{
		name: "data loss and a change of leader", text: fourNodes + "at 4s submit wk-1 run=30s tasks=3\nat 5s submit wk-2 run=2s\nrun 150s\nexpect over\nexpect leaders =1",
		startAt: 6500 * time.Millisecond, events: []string{"wipe", "crash leader back=2s", "cancel wk-1"},
		kinds: []string{"txn", "peer"}, waits: []time.Duration{400 * time.Millisecond, 3 * time.Second}, choices: 3, orders: 205,
	},
	{
		name: "a machine without inbound traffic", text: threeNodes + "team t\nat 5s submit wk-1 run=40s tasks=3\nat 8s outage cloud 60s\nrun 250s\nexpect over\nexpect leaders =1",
		startAt: 9 * time.Second, events: []string{"block_inbound 1 16s", "crash leader back=2s"},
		kinds: []string{"reply", "probe"}, waits: []time.Duration{3 * time.Second, 15 * time.Second}, choices: 3, orders: 127,
	},
	{
		name: "status queries to each node", text: fourNodes + "run 120s\nexpect over\nexpect accepted wk-1\nexpect leaders =1",
		startAt: 6 * time.Second, events: []string{"submit wk-1 run=3s", "observe wk-1", "crash leader back=2s"},
		kinds: []string{"txn", "txn answer"}, losable: []string{"txn answer"}, waits: []time.Duration{5 * time.Millisecond, 900 * time.Millisecond}, choices: 4, orders: 232,
	},
	{
		name: "a response lost after a cancellation", text: fourNodes + "at 4s submit wk-1 run=60s tasks=3\nat 7s cancel wk-1\nrun 150s\nexpect cancelled wk-1\nexpect leaders =1",
		startAt: 6995 * time.Millisecond, events: []string{"observe wk-1", "observe wk-1"},
		kinds: []string{"txn answer"}, losable: []string{"txn answer"}, waits: []time.Duration{20 * time.Millisecond, 900 * time.Millisecond}, choices: 4, orders: 331,
	},
	{
		name: "an old report at the start of a term", text: threeNodes + "team t\nat 500ms duplicate_reports 6s share=1 next_leader=true\nat 5s submit wk-1 run=40s tasks=3\nrun 180s\nexpect over\nexpect met report-for-next >0\nexpect leaders =1",
		startAt: 9 * time.Second, events: []string{"crash leader back=3s"},
		kinds: []string{"kept", "report", "probe"}, waits: []time.Duration{50 * time.Millisecond, 2 * time.Second}, choices: 4, orders: 286,
	},
	{
		name: "a cancellation at the end of the last task", text: threeNodes + "team t\nat 6s submit wk-1 run=4s\nrun 120s\nexpect over\nexpect leaders =1",
		startAt: 10 * time.Second, events: []string{"cancel wk-1", "observe wk-1"},
		kinds: []string{"txn", "txn answer", "report"}, losable: []string{"txn answer"}, waits: []time.Duration{30 * time.Millisecond, 900 * time.Millisecond}, choices: 3, orders: 61,
	},
	{
		name: "a change of configuration and a change of leader", text: fourNodes + "team u max=12\nat 4s submit wk-1 owner=u run=4s tasks=12\nat 5s submit wk-2 owner=u run=2s tasks=9\nat 60s config u max=12\nrun 200s\nexpect over\nexpect configured\nexpect leaders =1",
		startAt: 6 * time.Second, events: []string{"config u max=3", "crash leader back=2s"},
		kinds: []string{"txn", "txn answer", "peer"}, losable: []string{"txn", "txn answer"}, waits: []time.Duration{100 * time.Millisecond, 2500 * time.Millisecond}, choices: 4, orders: 513,
	},
}

type raceRun struct {
	*script
	race         *messageRace
	pending      []*pendingEvent
	intercepting bool
	lost         bool
	duplicated   bool
}

// pendingEvent is a message or event that is held back.
type pendingEvent struct {
	kind, a, b string
	do         func()
}

func (x *pendingEvent) String() string {
	if x.kind == "event" {
		return x.a
	}
	return x.kind + " " + x.a + ">" + x.b
}

func (r *raceRun) intercept(kind, a, b string, f func()) bool {
	if !r.intercepting || !slices.Contains(r.race.kinds, kind) {
		return false
	}
	r.pending = append(r.pending, &pendingEvent{kind, a, b, f})
	return true
}

// deliverable reports whether a pending event may come next. Messages of a kind between two hosts
// stay in order, unless each uses its own connection.
func (r *raceRun) deliverable(i int) bool {
	x := r.pending[i]
	if x.kind == "event" {
		f := strings.Fields(x.a)
		if j := r.jobs[f[len(f)-1]]; f[0] == "cancel" || f[0] == "again" || f[0] == "observe" {
			return j != nil && (f[0] != "cancel" || j.accepted) // only for a submitted job
		}
		return true
	}
	if slices.Contains([]string{"txn", "txn answer", "call", "answer"}, x.kind) || strings.HasPrefix(x.kind, "late ") {
		return true // one connection each
	}
	return !slices.ContainsFunc(r.pending[:i], func(y *pendingEvent) bool { return y.kind == x.kind && y.a == x.a && y.b == x.b })
}

type option struct {
	name string
	do   func()
}

func (r *raceRun) options() (os []option) {
	for i, x := range r.pending {
		if !r.deliverable(i) {
			continue
		}
		os = append(os, option{x.String(), func() { r.deliver(x, true) }})
		if slices.Contains(r.race.duplicable, x.kind) && !r.duplicated {
			os = append(os, option{"twice: " + x.String(), func() {
				r.duplicated = true
				r.pending = append(r.pending, &pendingEvent{"late " + x.kind, x.a, x.b, x.do})
				r.deliver(x, true)
			}})
		}
		if slices.Contains(r.race.losable, x.kind) && !r.lost {
			os = append(os, option{"lost: " + x.String(), func() { r.lost = true; r.deliver(x, false) }})
		}
	}
	for _, d := range r.race.waits {
		os = append(os, option{d.String() + " pass", func() {
			for end := r.now.Add(d); r.step(end); {
				r.check()
			}
		}})
	}
	return os
}

func (r *raceRun) deliver(x *pendingEvent, arrives bool) {
	r.pending = slices.DeleteFunc(r.pending, func(y *pendingEvent) bool { return y == x })
	switch {
	case !arrives:
	case x.kind != "event" && !r.net.reachable(x.a, x.b):
		r.net.send(x.kind, x.a, x.b, x.do) // delivered as the partition allows
	default:
		x.do()
	}
	r.check()
}

// settled reports whether all expectations are met, no task is on a machine and no partition is
// active.
func (s *script) settled() bool {
	for _, m := range s.cloud.machines {
		if slices.ContainsFunc(m.tasks, (*task).active) {
			return false
		}
	}
	return len(s.net.partitions) == 0 && !slices.ContainsFunc(s.expects, func(e expect) bool { return !s.holds(e.words) })
}

// runOrder runs one sequence of choices, completed by first options. It returns the number of
// options at each choice and the name of the chosen one.
func runOrder(o *messageRace, choices []int, alterOutput, alterInput func(n *node, x any) any) (widths []int, names []string, res Result) {
	s, err := parseScript(o.text)
	if err != nil {
		panic(err)
	}
	s.alterOutput, s.alterInput = alterOutput, alterInput
	s.setUp()
	r := &raceRun{script: s, race: o}
	s.net.intercept = r.intercept
	for s.step(s.start.Add(o.startAt)) {
	}
	r.intercepting = true
	for _, e := range o.events {
		f := strings.Fields(e)
		r.pending = append(r.pending, &pendingEvent{kind: "event", a: e, do: func() {
			if f[0] == "again" { // whatever the response was
				s.submit(s.jobs[f[1]])
				return
			}
			s.perform(f)
		}})
	}
	for len(widths) < o.choices {
		for len(r.pending) == 0 && s.step(s.start.Add(s.end)) {
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
	r.intercepting = false
	for len(r.pending) > 0 { // the remaining messages, in order
		r.deliver(r.pending[0], true)
	}
	// Stop once the cluster has been settled for longer than the lease, or the cancel timeout if a
	// job is cancelled: no delayed effect can follow.
	lastUnsettled, quietPeriod := s.elapsed(), s.lease+8*time.Second
	if slices.ContainsFunc(o.events, func(e string) bool { return strings.HasPrefix(e, "cancel") }) || strings.Contains(o.text, " cancel ") {
		quietPeriod = s.cancelDeadline + 20*time.Second
	}
	for at := s.elapsed(); at < s.end; {
		at = min(at+5*time.Second, s.end)
		s.runTo(at)
		if !s.settled() {
			lastUnsettled = at
		} else if at-lastUnsettled > quietPeriod {
			break
		}
	}
	s.run(s.elapsed())
	res = s.result()
	res.Violations = append(res.Violations, nonLinearizable(res)...)
	return widths, names, res
}

// eachOrder runs every sequence, up to eight in parallel, until f returns false. It returns their
// number.
func eachOrder(o *messageRace, alterOutput, alterInput func() func(n *node, x any) any, f func(choices []int, names []string, res Result) bool) (played int) {
	var count atomic.Int64
	var stop atomic.Bool
	widths, _, _ := runOrder(o, nil, alterOutput(), alterInput())
	var all sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, 8)
	for first := range widths[0] {
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			for choices := []int{first}; !stop.Load(); {
				ws, names, res := runOrder(o, choices, alterOutput(), alterInput())
				count.Add(1)
				choices = append(choices, make([]int, len(ws)-len(choices))...)
				mu.Lock()
				if !f(choices, names, res) {
					stop.Store(true)
				}
				mu.Unlock()
				// Advance the last choice that has another option.
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

var orderFlag = flag.String("order", "", "run a single order, as printed by a failing test: NAME:1,0,3")

func unaltered() func(*node, any) any { return nil }

func failureReport(name string, choices []int, names []string, res Result) string {
	var nums []string
	for _, c := range choices {
		nums = append(nums, strconv.Itoa(c))
	}
	return fmt.Sprintf("go test ./internal/scenario -run TestOrders -order '%s:%s'\n%s\n%s", name, strings.Join(nums, ","),
		strings.Join(names, "\n"), strings.Join(append(res.Violations, res.Unmet...), "\n"))
}

func TestOrders(t *testing.T) {
	for i := range messageRaces {
		o := &messageRaces[i]
		if *orderFlag != "" {
			if list, ok := strings.CutPrefix(*orderFlag, o.name+":"); ok {
				var choices []int
				for c := range strings.SplitSeq(list, ",") {
					n, err := strconv.Atoi(c)
					if err != nil {
						t.Fatal(err)
					}
					choices = append(choices, n)
				}
				_, names, res := runOrder(o, choices, nil, nil)
				t.Log(failureReport(o.name, choices, names, res))
				if len(res.Violations)+len(res.Unmet) > 0 {
					t.Fail()
				}
			}
			continue
		}
		t.Run(o.name, func(t *testing.T) {
			t.Parallel()
			bad := 0
			n := eachOrder(o, unaltered, unaltered, func(choices []int, names []string, res Result) bool {
				if len(res.Violations)+len(res.Unmet) > 0 {
					bad++
					t.Error(failureReport(o.name, choices, names, res))
				}
				return bad < 3
			})
			t.Logf("%d orders", n)
			if bad == 0 && n != o.orders {
				t.Errorf("%d orders run, want %d", n, o.orders)
			}
		})
	}
}

// withoutCopies removes the records that gone selects from a replication message.
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

// withoutWrites removes the records that gone selects from a transaction.
func withoutWrites(out any, gone func(value any) bool) any {
	call, ok := out.(kv.Request)
	if !ok || call.Op != kv.Txn {
		return out
	}
	call.Writes = slices.DeleteFunc(slices.Clone(call.Writes), func(w kv.Write) bool { return gone(w.Value) })
	return call
}

// TestOrdersPlanted injects errors into the inputs and outputs of the controllers, each of which
// some order must detect.
func TestOrdersPlanted(t *testing.T) {
	ofMachines := func(v any) bool {
		_, ok := v.(*record.Machines)
		return ok
	}
	unrecorded := func() func(n *node, out any) any {
		return func(n *node, out any) any { // machines are neither recorded nor replicated
			return withoutWrites(withoutCopies(out, ofMachines), ofMachines)
		}
	}
	lowerAttempts := func() func(n *node, out any) any {
		return func(n *node, out any) any { // attempt numbers of the second term are lower than the first's
			if a, ok := out.(heartbeat.Reply); ok {
				a.Orders = slices.Clone(a.Orders)
				for i := range a.Orders {
					a.Orders[i].Attempt = a.Orders[i].Attempt&0xffff + 100/a.FencingToken
				}
				return a
			}
			return out
		}
	}
	for _, p := range []struct {
		set, rule               string
		alterOutput, alterInput func() func(n *node, x any) any
	}{
		{"status queries to each node", "is not linearizable", func() func(n *node, out any) any {
			first := map[string]request.JobStatus{}
			return func(n *node, out any) any { // a controller repeats its first status response
				a, ok := out.(request.Response)
				if !ok || a.Status != 200 && a.Status != 201 || a.Job.ID == "" {
					return out
				}
				if v, told := first[n.name]; told {
					a.Job = v
				} else {
					first[n.name] = a.Job
				}
				return a
			}
		}, unaltered},
		{"a response lost after a cancellation", "is not linearizable", func() func(n *node, out any) any {
			return func(n *node, out any) any { // a poll is answered before the pending record is known
				if a, ok := out.(request.Response); ok && a.Reason == "its end is being recorded" {
					a.Status, a.Job = 200, request.JobStatus{ID: "wk-1", State: spec.Running}
					return a
				}
				return out
			}
		}, unaltered},
		{"an old report at the start of a term", "ran_twice", unaltered, func() func(n *node, in any) any {
			return func(n *node, in any) any { // every heartbeat carries the current term
				if r, ok := in.(heartbeat.Received); ok && n.core.HasAuthority(n.localNow()) {
					r.Report.FencingToken = n.core.Stats().Term
					return r
				}
				return in
			}
		}},
		{"a cancellation at the end of the last task", "went_back", func() func(n *node, out any) any {
			told := false
			return func(n *node, out any) any { // the first poll after completion reports the job as cancelled
				if a, ok := out.(request.Response); ok && a.Job.State == spec.Done && n.jobs["wk-1"].cancelRequested && !told {
					told, a.Job.State = true, spec.Cancelled
					return a
				}
				return out
			}
		}, unaltered},
		{"accept and retry", "forgotten", func() func(n *node, out any) any {
			return func(n *node, out any) any { // a submission is answered before it is recorded
				if call, ok := out.(kv.Request); ok && call.Op == kv.Txn {
					for _, w := range call.Writes {
						if rec, ok := w.Value.(*record.Job); ok && !rec.Cancelled {
							for _, x := range n.nodes { // the user may have asked any controller
								x.answer(x.submission, request.Response{Ref: x.submission, Status: 201, Job: request.JobStatus{ID: rec.Spec.ID, State: spec.Queued}})
							}
						}
					}
				}
				return out
			}
		}, unaltered},
		{"start and a change of leader", "ran_twice", unrecorded, unaltered},
		{"start and a change of leader", "misuse", lowerAttempts, unaltered},
		{"a restarted machine", "misuse", lowerAttempts, unaltered},
		{"data loss and a change of leader", "forgotten", func() func(n *node, out any) any {
			return func(n *node, out any) any { // jobs are not replicated
				return withoutCopies(out, func(v any) bool {
					_, job := v.(*record.Job)
					return job
				})
			}
		}, unaltered},
		{"cancel and start", "ran_cancelled", func() func(n *node, out any) any {
			return func(n *node, out any) any { // stop orders are dropped
				if a, ok := out.(heartbeat.Reply); ok {
					a.Orders = slices.DeleteFunc(slices.Clone(a.Orders), func(o heartbeat.Order) bool { return o.Verb == heartbeat.Stop })
					return a
				}
				return out
			}
		}, unaltered},
	} {
		t.Run(p.set+"/"+p.rule, func(t *testing.T) {
			t.Parallel()
			i := slices.IndexFunc(messageRaces, func(o messageRace) bool { return o.name == p.set })
			o, found := messageRaces[i], ""
			// A repeated submission would repair the injected error.
			o.events = slices.DeleteFunc(slices.Clone(o.events), func(e string) bool { return strings.HasPrefix(e, "again") })
			n := eachOrder(&o, p.alterOutput, p.alterInput, func(choices []int, names []string, res Result) bool {
				for _, v := range res.Violations {
					if strings.Contains(v, " "+p.rule+":") {
						found = failureReport(p.set, choices, names, res)
					}
				}
				return found == ""
			})
			if found == "" {
				t.Errorf("injected error not detected in %d orders", n)
			}
			t.Logf("detected within %d orders: %s", n, found)
		})
	}
}
