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
)

// node is a controller. The world executes its core's outputs, unless a real process replaces the
// core.
type node struct {
	*world
	name       string
	core       *core.Core
	alive      bool
	generation int
	skew       time.Duration // offset of its clocks
	drift      float64       // relative rate error of its clock
	ref        uint64
	callbacks  map[uint64]func(any)
	wake       time.Time
	links      map[string]*link

	submission uint64 // reference number of the latest submission

	clockOffset time.Duration // wall clock minus monotonic clock

	wasLeader bool // after its last input

	stalledUntil time.Time // its process is paused until then
	queuedInputs []any     // inputs that arrived during the pause

	process remote // replaces the core unless nil
}

// remote is a node that runs as a separate process.
type remote interface {
	ready() bool
	ask(in any, f func(any)) // f is called once; status 0 means no answer
}

// ready reports whether the node passes the load balancer's readiness check.
func (n *node) ready() bool {
	if n.process != nil {
		return n.process.ready()
	}
	return n.core.Ready()
}

type link struct {
	up               bool
	generation       int // of the process at the other end
	unreachableSince time.Time
}

// localNow returns the time on the node's own clock, with its skew and drift.
func (n *node) localNow() time.Time {
	d := n.now.Sub(n.start)
	return n.now.Add(n.skew + time.Duration(float64(d)*n.drift))
}

func (n *node) boot() {
	pol, err := policy.Parse(n.policyText)
	if err != nil {
		panic(err)
	}
	n.generation++
	n.alive = true
	n.stalledUntil, n.queuedInputs = time.Time{}, nil
	cfg := n.cfg
	cfg.HostName = n.name
	cfg.Seeds = nil
	for _, o := range n.nodes {
		if o != n {
			cfg.Seeds = append(cfg.Seeds, config.Seed{HostName: o.name, Endpoint: o.name})
		}
	}
	n.core = core.New(&cfg, pol, n.calendars(), n.rng.Uint64())
	n.core.SetClockOffset(n.clockOffset)
	n.ref, n.callbacks = 0, map[uint64]func(any){} // each process numbers its requests from 1
	n.links = map[string]*link{}
	for _, o := range n.nodes {
		n.links[o.name] = &link{}
	}
	n.wake = time.Time{}
	n.input(core.Tick{})
	n.updateLinks(n.generation)
}

func (w *world) calendars() *calendar.Set {
	set := map[string]*calendar.Calendar{}
	for name, def := range w.calendarDefs {
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
	n.generation++
	n.after(back, func() {
		if !n.alive {
			n.boot()
		}
	})
}

// updateLinks tells the core every 300 ms which peer links are up. A link goes down at the next
// check after the peer's process ends, but only after 2.5 s of a partition.
func (n *node) updateLinks(generation int) {
	if n.generation != generation {
		return
	}
	for _, o := range n.nodes {
		if o == n {
			continue
		}
		l := n.links[o.name]
		open := n.net.reachable(n.name, o.name)
		switch {
		case o.alive && open && !l.up:
			l.up, l.generation, l.unreachableSince = true, o.generation, time.Time{}
			n.input(peermsg.LinkChange{Name: o.name, Up: true})
		case o.alive && open && l.generation == o.generation:
			l.unreachableSince = time.Time{}
		case l.up && l.unreachableSince.IsZero():
			l.unreachableSince = n.now
		}
		if l.up && !l.unreachableSince.IsZero() && (open || n.now.Sub(l.unreachableSince) > 2500*time.Millisecond) {
			l.up = false
			n.input(peermsg.LinkChange{Name: o.name})
		}
	}
	n.after(300*time.Millisecond, func() { n.updateLinks(generation) })
}

// ask sends a request to the node and calls f with the answer.
func (n *node) ask(in func(ref uint64) any, f func(any)) {
	n.ref++
	if n.process != nil {
		n.process.ask(in(n.ref), f)
		return
	}
	n.callbacks[n.ref] = f
	if call, ok := in(n.ref).(request.Request); ok && call.Op == request.Submit {
		n.submission = n.ref
	}
	n.input(in(n.ref))
}

func (n *node) answer(ref uint64, a any) {
	if f := n.callbacks[ref]; f != nil {
		delete(n.callbacks, ref)
		f(a)
	}
}

// stall pauses the node's process for d while its clocks advance. Inputs that arrive meanwhile are
// processed afterwards, responses of the store first, as in a real node.
func (n *node) stall(d time.Duration) {
	generation := n.generation
	n.stalledUntil = n.now.Add(d)
	n.after(d, func() {
		queued := n.queuedInputs
		n.queuedInputs = nil
		for _, first := range []bool{true, false} {
			for _, in := range queued {
				if _, ok := in.(kv.Response); ok == first && n.generation == generation && n.alive {
					n.input(in)
				}
			}
		}
	})
}

func (n *node) input(in any) {
	if n.now.Before(n.stalledUntil) {
		if _, ok := in.(core.Tick); !ok {
			n.queuedInputs = append(n.queuedInputs, in)
		} else {
			n.wake = time.Time{}
			n.at(n.stalledUntil, func() { n.input(core.Tick{}) })
		}
		return
	}
	if n.alterInput != nil {
		in = n.alterInput(n, in)
	}
	var outs []any
	if n.stepCore != nil {
		outs = n.stepCore(n, in)
	} else {
		outs = slices.Clone(n.core.Step(n.localNow(), in))
	}
	for _, o := range outs {
		n.handleOutput(o)
	}
	if leads := n.core.HasAuthority(n.localNow()); leads != n.wasLeader {
		if n.wasLeader = leads; leads {
			n.deliverKeptReports()
			n.countUnrecorded()
		}
	}
	// NextWake is in the node's local time; drift within one wait is negligible.
	wake := n.now.Add(max(n.core.NextWake().Sub(n.localNow()), time.Millisecond))
	if n.wake.IsZero() || wake.Before(n.wake) || !n.wake.After(n.now) {
		n.wake = wake
		generation := n.generation
		n.at(wake, func() {
			if n.generation == generation && n.alive {
				n.input(core.Tick{})
			}
		})
	}
}

// roundTrip sends a request to a host and passes the answer to the core, or none after the timeout.
func (n *node) roundTrip(kind, host string, timeout time.Duration, serve func(answer func(in any)), none any) {
	// Drop answers to an earlier process: the current one reuses its reference numbers.
	answered, generation := false, n.generation
	deliver := func(in any) func() {
		return func() {
			if n.alive && n.generation == generation && !answered {
				answered = true
				n.input(in)
			}
		}
	}
	n.net.send(kind, n.name, host, func() {
		serve(func(in any) { n.net.send(kind+" answer", host, n.name, deliver(in)) })
	})
	n.after(timeout, deliver(none))
}

// exchange is roundTrip for a service that answers with a status and a body. reply gets status 0 if
// no answer arrived.
func (n *node) exchange(kind, host string, timeout time.Duration, serve func(answer func(int, []byte)), reply func(status int, data []byte) any) {
	n.roundTrip(kind, host, timeout, func(answer func(any)) {
		serve(func(status int, data []byte) { answer(reply(status, data)) })
	}, reply(0, nil))
}

func (n *node) handleOutput(o any) {
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
		n.probeWorker(o)
	case peermsg.Outgoing:
		n.sendPeer(o)
	case engine.LogEntry:
		n.handleLog(o)
	}
}

func (n *node) callStore(call kv.Request) {
	method, path, body := kvclient.EncodeRequest(call)
	kind := "state"
	if call.Op == kv.Txn && len(call.Writes) > 0 {
		kind = "txn"
	}
	n.exchange(kind, "state", call.Timeout, func(answer func(int, []byte)) {
		n.store.serve(n.name, method, path, body, answer)
	}, func(status int, data []byte) any {
		r := kv.Response{Outcome: rpc.Unknown}
		if status != 0 {
			r = kvclient.DecodeResponse(call, status, data)
		}
		r.Ref = call.Ref
		return r
	})
}

func (n *node) callCloud(call provider.Request) {
	method, path, body := cloud.EncodeRequest(call)
	kind := "cloud"
	if call.Op == provider.Release {
		kind = "release"
	}
	n.exchange(kind, "cloud", call.Timeout, func(answer func(int, []byte)) {
		n.cloud.serve(method, path, body, answer)
	}, func(status int, data []byte) any {
		r := provider.Response{Outcome: rpc.Unknown}
		if status != 0 {
			r = cloud.DecodeResponse(call, status, data)
		}
		r.Ref = call.Ref
		return r
	})
}

func (n *node) probeWorker(call heartbeat.Probe) {
	host := strings.TrimSuffix(call.Address, workerPort)
	n.roundTrip("probe", host, call.Timeout, func(answer func(any)) {
		m := n.workers[host]
		if m == nil || n.now.Before(m.inboundBlockedUntil) {
			return
		}
		m.whenRunning(func() {
			outcome, report := m.handleProbe(call.FencingToken, call.Incarnation)
			answer(heartbeat.ProbeReply{Ref: call.Ref, Outcome: outcome, Report: report})
		})
		n.deliverCommandAgain(func() {
			m.whenRunning(func() {
				n.occurrences["late-command"]++
				m.handleProbe(call.FencingToken, call.Incarnation)
			})
		})
	}, heartbeat.ProbeReply{Ref: call.Ref, Outcome: rpc.Unknown})
}

// deliverCommandAgain calls deliver later if a copy of a command is to arrive.
func (n *node) deliverCommandAgain(deliver func()) {
	if n.duplicateCommands.sample(n.clock) {
		n.after(2*time.Second+time.Duration(n.rng.Int64N(int64(14*time.Second))), deliver)
	}
}

// deliverRepliesAgain delivers a copy of the leader's replies to a relay later, also to the next
// process of the relay.
func (n *node) deliverRepliesAgain(p *node, msg peermsg.Message) {
	if msg.Kind != peermsg.HeartbeatReplies || msg.HeartbeatReplies == nil {
		return
	}
	n.deliverCommandAgain(func() {
		if !p.alive {
			return
		}
		for _, reply := range msg.HeartbeatReplies.List {
			for _, o := range reply.Orders {
				if o.Verb == heartbeat.Start {
					n.occurrences["late-start"]++
				}
			}
		}
		p.input(peermsg.Received{From: n.name, Msg: msg})
	})
}

// sendPeer sends a message to another controller, and drops it if the link is down.
func (n *node) sendPeer(out peermsg.Outgoing) {
	for _, p := range n.nodes {
		l := n.links[p.name]
		if p.name != out.To || !l.up {
			continue
		}
		msg, generation := out.Msg, l.generation
		n.net.send("peer", n.name, p.name, func() {
			if p.alive && p.generation == generation { // otherwise the connection closed with the old process
				p.input(peermsg.Received{From: n.name, Msg: msg})
			}
		})
		n.deliverRepliesAgain(p, msg)
	}
}

// handleLog traces a log entry, and fails the scenario if it falsely reports data loss.
func (n *node) handleLog(entry engine.LogEntry) {
	if (entry.Text == core.DataLossDetected || entry.Text == core.RecoveringFromDataLoss) && !n.dataLost {
		n.fail("misuse", "%s reports data loss although no data was lost: %v", n.name, entry.Attrs)
	}
	if n.trace != nil {
		n.trace(fmt.Sprintf("%8.3f %s %s %s %v", n.elapsed().Seconds(), n.name, entry.Level, entry.Text, entry.Attrs))
	}
}
