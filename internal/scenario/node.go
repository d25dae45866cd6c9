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

// callCloud sends a call to the cloud over the network.
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
