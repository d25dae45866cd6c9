package scenario

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/cloud"
	"yewpass/internal/config"
	"yewpass/internal/core"
	"yewpass/internal/engine"
	"yewpass/internal/heartbeat"
	"yewpass/internal/kv"
	"yewpass/internal/kvclient"
	"yewpass/internal/peermsg"
	"yewpass/internal/policy"
	"yewpass/internal/provider"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
)

// world is everything that a scenario plays with.
type world struct {
	*clock
	net             *network
	store           *store
	cloud           *cloudSim
	nodes           []*node
	workers         map[string]*worker
	jobs            map[string]*userJob
	order           []*userJob
	cfg             config.Config
	rules           []byte // policy
	cals            map[string]calendar.Definition
	scheduleClients map[string]*scheduleClient
	admin           *configAdmin

	reportEvery, lease, cancelWithin time.Duration

	faults
	checker
	figures
	hooks
}

// faults are those that are under way.
type faults struct {
	faultsOverAt time.Time          // the last trouble is over by then
	lateReports  delayedShare       // that share of reports arrives a second time, late
	keptReports  []heartbeat.Report // copies for the next leader
	cancelAtEnd  delayedShare       // that share of the jobs that end is called off just then
	observeUntil time.Time          // until then users look closely
	oddID        int                // the last id of a submission that is odd
	dataLost     bool               // the state service has lost something
	saved        func()             // puts back what the state service had
	repair       func()             // puts right what was damaged last
}

// checker is what the rules are checked by.
type checker struct {
	violations    []string
	broken        map[string]bool
	unchecked     bool // rules are not looked at: only the cost counts
	dirty         bool
	allocations   allocations
	history       map[string][]call
	cancelledJobs []*userJob                  // told cancelled, until nothing of them is held beyond the time allowed
	lastAttempts  map[heartbeat.TaskID]uint64 // the latest attempt that a worker was told to start
	answeredAt    time.Time                   // when the answer at hand was given
	answerTimes   []time.Time
	failures      []time.Time
}

// figures are counted for expectations.
type figures struct {
	occurrences  map[string]int // how often the meetings that a scenario is about came about
	started      int
	refusals     int
	workerMoves  int // workers that went from a node that had served them to another
	expiredTasks int // tasks that ended with their lease
	polls        int
}

// hooks let tests and load tools look on, or plant an error.
type hooks struct {
	alterSubmission func(*spec.Job) *spec.Job // a planted error of the reader of submissions
	alterOutput     func(n *node, o any) any  // what a planted error makes of an output
	alterInput      func(n *node, in any) any // and of an input
	onStart         func(*task)               // told of each start, unless it is nil
	address         func(host string) string  // where a worker takes commands
	trace           func(string)
	measure         func(n *node, in any) []any // has the core take an input, in place of input
}

func (w *world) fail(rule, format string, args ...any) {
	if w.broken[rule] {
		return // once is enough
	}
	w.broken[rule] = true
	w.violations = append(w.violations, fmt.Sprintf("%8.3f %s: %s", w.elapsed().Seconds(), rule, fmt.Sprintf(format, args...)))
}

// checkStart holds the rules that speak of the moment a task starts.
func (w *world) checkStart(m *worker, t *task) {
	if w.unchecked {
		return
	}
	s := &t.job.spec
	if len(s.InstanceTypes) > 0 && !slices.Contains(s.InstanceTypes, m.instanceType.name) || s.Zone != "" && s.Zone != m.zone || m.spot && !s.AllowSpot {
		w.fail("wrong_place", "%s starts on %s (%s in %s)", t.id, m.host, m.instanceType.name, m.zone)
	}
	here, elsewhere := 1, 0
	for _, x := range t.job.held {
		o := x.machine
		if x == t || !x.on() {
			continue
		}
		if x.id == t.id && o != m {
			w.fail("ran_twice", "%s starts on %s while it is on %s", t.id, m.host, o.host)
		}
		if o.zone == m.zone {
			here++
		} else {
			elsewhere++
		}
	}
	if s.SamePlace && elsewhere > 0 {
		w.fail("wrong_place", "%s starts in %s while others of its job are elsewhere", t.id, m.zone)
	}
	if s.Apart && here > (s.Tasks+1)/2 {
		w.fail("wrong_place", "%d of %d tasks of %s are in %s", here, s.Tasks, s.ID, m.zone)
	}
	if t.job.told == spec.Cancelled {
		w.occurrences["start-after-cancel"]++ // its command was on its way, or it waited for its image
		if w.now.Sub(t.job.toldAt) > w.cancelWithin {
			w.fail("ran_cancelled", "%s starts", t.id)
		}
	}
}

// check holds the rules that speak of any moment.
func (w *world) check() {
	w.checkCancelled()
	const eps = 1e-6
	for _, t := range w.cfg.Settings.Teams {
		if w.changedLive(t.Name) {
			continue // see checkLiveLimit
		}
		u := w.allocations.used(t.Name)
		if t.CPUsMax > 0 && u.cpus > t.CPUsMax+eps || t.GPUsMax > 0 && u.gpus > t.GPUsMax+eps {
			w.fail("quota", "team %s uses %.1f CPUs and %.1f GPUs", t.Name, u.cpus, u.gpus)
		}
	}
	if w.store.misuse != "" {
		w.fail("misuse", "%s", w.store.misuse)
	}
}

// checkCancelled holds that nothing of a job is on a machine for longer than allowed after
// its user was told that it is cancelled. Starts after that are looked at by checkStart.
func (w *world) checkCancelled() {
	w.cancelledJobs = slices.DeleteFunc(w.cancelledJobs, func(j *userJob) bool {
		if w.now.Sub(j.toldAt) <= w.cancelWithin {
			return false
		}
		for _, t := range j.held {
			if t.on() {
				w.fail("ran_cancelled", "%s is on %s", t.id, t.machine.host)
			}
		}
		return len(j.held) == 0
	})
}

// run plays until end and checks after every event.
func (w *world) run(end time.Duration) {
	w.runTo(end)
	if w.started == 0 && slices.ContainsFunc(w.order, func(j *userJob) bool { return j.accepted && !j.wantsCancel }) {
		w.fail("nothing_ran", "no task was started")
	}
}

// runTo is run without the rule that speaks of the whole.
func (w *world) runTo(end time.Duration) {
	last := w.now
	for w.step(w.start.Add(end)) {
		if w.dirty || w.now.Sub(last) > time.Second {
			w.dirty, last = false, w.now
			w.check()
			w.checkWaiting()
		}
	}
}

// node is a controller: the core, with the actors' work done by the world.
type node struct {
	*world
	name  string
	core  *core.Core
	alive bool
	life  int
	skew  time.Duration // of its time of day
	drift float64       // of its steady clock
	ref   uint64
	reply map[uint64]func(any)
	wake  time.Time
	links map[string]*link

	submission uint64 // number of the latest one

	wander time.Duration // of the time of day against the steady clock

	leading bool // it was the leader when it last took an input

	asleep time.Time // its process stands still until then
	found  []any     // what it will find

	process remote // the real program, instead of a core
}

// remote is a node that runs as a process of its own.
type remote interface {
	ready() bool
	ask(in any, f func(any)) // f is called once, with an answer of status 0 if there is none
}

// ready reports whether the load balancer would choose the node.
func (n *node) ready() bool {
	if n.process != nil {
		return n.process.ready()
	}
	return n.core.Ready()
}

type link struct {
	up     bool
	life   int // of the process at its other end
	broken time.Time
}

// local is the node's own clock.
func (n *node) local() time.Time {
	d := n.now.Sub(n.start)
	return n.now.Add(n.skew + time.Duration(float64(d)*n.drift))
}

func (n *node) boot() {
	pol, err := policy.Parse(n.rules)
	if err != nil {
		panic(err)
	}
	n.life++
	n.alive = true
	n.asleep, n.found = time.Time{}, nil
	cfg := n.cfg
	cfg.HostName = n.name
	cfg.Seeds = nil
	for _, o := range n.nodes {
		if o != n {
			cfg.Seeds = append(cfg.Seeds, config.Seed{HostName: o.name, Endpoint: o.name})
		}
	}
	n.core = core.New(&cfg, pol, n.calendars(), n.rng.Uint64())
	n.core.SetClockOffset(n.wander)
	n.ref, n.reply = 0, map[uint64]func(any){} // a process numbers what it is asked from 1
	n.links = map[string]*link{}
	for _, o := range n.nodes {
		n.links[o.name] = &link{}
	}
	n.wake = time.Time{}
	n.input(core.Tick{})
	n.checkLinks(n.life)
}

func (w *world) calendars() *calendar.Set {
	set := map[string]*calendar.Calendar{}
	for name, def := range w.cals {
		c, err := calendar.New(def)
		if err != nil {
			panic(err)
		}
		set[name] = c
	}
	return calendar.NewSet(set)
}

func (n *node) crash(back time.Duration) {
	if !n.alive {
		return
	}
	n.alive = false
	n.life++
	n.after(back, func() {
		if !n.alive {
			n.boot()
		}
	})
}

// checkLinks tells the core which links to peers are up: a dead peer is noticed
// at once, also when its next process is there already, one behind a cut after a while.
func (n *node) checkLinks(life int) {
	if n.life != life {
		return
	}
	for _, o := range n.nodes {
		if o == n {
			continue
		}
		l := n.links[o.name]
		open := n.net.open(n.name, o.name)
		switch {
		case o.alive && open && !l.up:
			l.up, l.life, l.broken = true, o.life, time.Time{}
			n.input(peermsg.LinkChange{Name: o.name, Up: true})
		case o.alive && open && l.life == o.life:
			l.broken = time.Time{}
		case l.up && l.broken.IsZero():
			l.broken = n.now
		}
		if l.up && !l.broken.IsZero() && (open || n.now.Sub(l.broken) > 2500*time.Millisecond) {
			l.up = false
			n.input(peermsg.LinkChange{Name: o.name})
		}
	}
	n.after(300*time.Millisecond, func() { n.checkLinks(life) })
}

// ask gives the core a request and has f called with its answer.
func (n *node) ask(in func(ref uint64) any, f func(any)) {
	n.ref++
	if n.process != nil {
		n.process.ask(in(n.ref), f)
		return
	}
	n.reply[n.ref] = f
	if call, ok := in(n.ref).(request.Request); ok && call.Op == request.Submit {
		n.submission = n.ref
	}
	n.input(in(n.ref))
}

func (n *node) answer(ref uint64, a any) {
	if f := n.reply[ref]; f != nil {
		delete(n.reply, ref)
		f(a)
	}
}

// stall has the node's process stand still while its clocks run on. What came meanwhile
// it finds when it wakes, the state service's word first, as a node takes its inputs.
func (n *node) stall(d time.Duration) {
	life := n.life
	n.asleep = n.now.Add(d)
	n.after(d, func() {
		found := n.found
		n.found = nil
		for _, first := range []bool{true, false} {
			for _, in := range found {
				if _, ok := in.(kv.Response); ok == first && n.life == life && n.alive {
					n.input(in)
				}
			}
		}
	})
}

func (n *node) input(in any) {
	if n.now.Before(n.asleep) {
		if _, ok := in.(core.Tick); !ok {
			n.found = append(n.found, in)
		} else {
			n.wake = time.Time{}
			n.at(n.asleep, func() { n.input(core.Tick{}) })
		}
		return
	}
	if n.alterInput != nil {
		in = n.alterInput(n, in)
	}
	var outs []any
	if n.measure != nil {
		outs = n.measure(n, in)
	} else {
		outs = slices.Clone(n.core.Step(n.local(), in))
	}
	for _, o := range outs {
		n.do(o)
	}
	if leads := n.core.HasAuthority(n.local()); leads != n.leading {
		if n.leading = leads; leads {
			n.tellKept()
			n.countUnrecorded()
		}
	}
	// The core speaks in its own time; drift is too small to matter here.
	wake := n.now.Add(max(n.core.NextWake().Sub(n.local()), time.Millisecond))
	if n.wake.IsZero() || wake.Before(n.wake) || !n.wake.After(n.now) {
		n.wake = wake
		life := n.life
		n.at(wake, func() {
			if n.life == life && n.alive {
				n.input(core.Tick{})
			}
		})
	}
}

// roundTrip has a host serve a request and gives the core the input that answers
// it, or none when that has not come within the time given.
func (n *node) roundTrip(kind, host string, within time.Duration, serve func(answer func(in any)), none any) {
	// A reply to an earlier life of the node reaches nobody: its numbers would
	// mean other calls to the next one.
	over, life := false, n.life
	deliver := func(in any) func() {
		return func() {
			if n.alive && n.life == life && !over {
				over = true
				n.input(in)
			}
		}
	}
	n.net.send(kind, n.name, host, func() {
		serve(func(in any) { n.net.send(kind+" answer", host, n.name, deliver(in)) })
	})
	n.after(within, deliver(none))
}

// exchange is roundTrip with an outside service, whose protocol has a status and
// a body; no answer has status 0.
func (n *node) exchange(kind, host string, within time.Duration, serve func(answer func(int, []byte)), reply func(status int, data []byte) any) {
	n.roundTrip(kind, host, within, func(answer func(any)) {
		serve(func(status int, data []byte) { answer(reply(status, data)) })
	}, reply(0, nil))
}

func (n *node) do(o any) {
	if n.alterOutput != nil {
		o = n.alterOutput(n, o)
	}
	switch o := o.(type) {
	case request.Response:
		n.answer(o.Ref, o)
	case heartbeat.Reply:
		o.Orders = slices.Clone(o.Orders)
		n.answer(o.Ref, o)
	case kv.Request:
		n.callStore(o)
	case provider.Request:
		n.callCloud(o)
	case heartbeat.Probe:
		n.callWorker(o)
	case peermsg.Outgoing:
		n.sendPeer(o)
	case engine.LogEntry:
		n.logged(o)
	}
}

// callStore sends a call to the state service over the network.
func (n *node) callStore(call kv.Request) {
	method, path, body := kvclient.Request(call)
	kind := "state"
	if call.Op == kv.Txn && len(call.Writes) > 0 {
		kind = "txn"
	}
	n.exchange(kind, "state", call.Timeout, func(answer func(int, []byte)) {
		n.store.serve(n.name, method, path, body, answer)
	}, func(status int, data []byte) any {
		r := kv.Response{Outcome: rpc.Unknown}
		if status != 0 {
			r = kvclient.Decode(call, status, data)
		}
		r.Ref = call.Ref
		return r
	})
}

// callCloud sends a call to the cloud over the network.
func (n *node) callCloud(call provider.Request) {
	method, path, body := cloud.Request(call)
	kind := "cloud"
	if call.Op == provider.Release {
		kind = "release"
	}
	n.exchange(kind, "cloud", call.Timeout, func(answer func(int, []byte)) {
		n.cloud.serve(method, path, body, answer)
	}, func(status int, data []byte) any {
		r := provider.Response{Outcome: rpc.Unknown}
		if status != 0 {
			r = cloud.Decode(call, status, data)
		}
		r.Ref = call.Ref
		return r
	})
}

// callWorker sends a command to a worker over the network.
func (n *node) callWorker(call heartbeat.Probe) {
	host := strings.TrimSuffix(call.Address, workerPort)
	n.roundTrip("probe", host, call.Timeout, func(answer func(any)) {
		m := n.workers[host]
		if m == nil || n.now.Before(m.deaf) {
			return
		}
		m.do(func() {
			outcome, report := m.command(call.FencingToken, call.Incarnation)
			answer(heartbeat.ProbeReply{Ref: call.Ref, Outcome: outcome, Report: report})
		})
	}, heartbeat.ProbeReply{Ref: call.Ref, Outcome: rpc.Unknown})
}

// sendPeer sends a message to another controller if there is a link to it.
func (n *node) sendPeer(out peermsg.Outgoing) {
	for _, p := range n.nodes {
		l := n.links[p.name]
		if p.name != out.To || !l.up {
			continue
		}
		msg, life := out.Msg, l.life
		n.net.send("peer", n.name, p.name, func() {
			if p.alive && p.life == life { // else the connection has gone with it
				p.input(peermsg.Received{From: n.name, Msg: msg})
			}
		})
	}
}

// logged checks and traces a line of the controller's log.
func (n *node) logged(entry engine.LogEntry) {
	if entry.Text == core.DataLossDetected && !n.dataLost {
		n.fail("misuse", "%s sees a loss of data where there was none: %v", n.name, entry.Attrs)
	}
	if n.trace != nil {
		n.trace(fmt.Sprintf("%8.3f %s %s %s %v", n.elapsed().Seconds(), n.name, entry.Level, entry.Text, entry.Attrs))
	}
}
