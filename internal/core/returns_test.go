package core

import (
	"testing"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/config"
	"yewpass/internal/forwarder"
	"yewpass/internal/heartbeat"
	"yewpass/internal/kv"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/relay"
	"yewpass/internal/relaylinks"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
)

// A process, or a machine, that ends may be back within a fraction of a second, under
// the name, the address and the counters of the one before. Each test here is about
// something that then cannot be told from the former one's by these.

func leaderKeyOf(node string, term, rev, life uint64) kv.Entry {
	return kv.Entry{Key: record.LeaderKey, Value: &record.Leader{Node: node, Term: term, ProcessID: life}, Rev: rev, LeaseID: 3}
}

// TestAnswerOfFormerProcess: what a leader answers to a call of the process before this
// one is told to none of this one's users.
func TestAnswerOfFormerProcess(t *testing.T) {
	forwards := func(n *relayNode, id string) (ref uint64) {
		n.outs = nil
		n.in(request.Request{Ref: 1, Op: request.Get, ID: id})
		for _, o := range n.outs {
			if p, ok := o.(peermsg.Outgoing); ok && p.Msg.Kind == peermsg.Request {
				ref = p.Msg.Ref
			}
		}
		return ref
	}
	former := newRelayNode(t)
	ref := forwards(former, "wk-1")
	n := newRelayNode(t)
	n.Core = New(former.cfg, former.pol, calendar.NewSet(nil), 8) // another life
	n.in(peermsg.LinkChange{Name: "n1", Up: true})
	n.in(peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Leader, Term: 5}})
	if again := forwards(n, "wk-2"); ref == 0 || again == ref {
		t.Fatalf("calls of two lives have the number %d", ref)
	}
	// Not even by chance.
	ref = forwards(n, "wk-2")
	n.outs = nil
	n.in(peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Response, Ref: ref, Response: &request.Response{Status: 200, Job: request.JobStatus{ID: "wk-1", State: spec.Done}}}})
	for _, o := range n.outs {
		if a, ok := o.(request.Response); ok {
			t.Errorf("whoever asked about wk-2 is told %+v", a)
		}
	}
	if _, ok := n.jobReader.Final("wk-2"); ok {
		t.Error("and so is everybody from then on")
	}
}

// TestRelayProcessAnew: a relay's process that has ended may have acknowledged a term. The
// next one knows nothing of that, and lets no older leader's reply out all the same.
func TestRelayProcessAnew(t *testing.T) {
	n := newRelayNode(t)
	n.Core, n.outs = New(n.cfg, n.pol, calendar.NewSet(nil), 8), nil
	n.in(Tick{})
	n.in(peermsg.LinkChange{Name: "n1", Up: true})
	n.in(peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Leader, Term: 5}}) // which holds on, out of authority
	n.worker(1, 1)
	for _, b := range n.sent("n1") {
		n.reply("n1", 5, b.Session, 1)
	}
	n.expect("of a leader that only says so itself", 1)
	// It does not keep the worker waiting for long: the leader itself can show what it is.
	n.pass(forwarder.LinkTimeout + forwarder.KeepAliveInterval)
	n.expect("led to who may be the leader", 1, 421)
	// The state service knows better.
	n.in(peermsg.LinkChange{Name: "n2", Up: true})
	n.reads(record.LeaderKey, kv.Response{Outcome: rpc.OK, Entries: []kv.Entry{leaderKeyOf("n2", 6, 20, 4)}})
	n.worker(2, 2)
	bs := n.sent("n2")
	if len(bs) == 0 {
		t.Fatal("the leader on record is not told")
	}
	n.reply("n2", 6, bs[0].Session, 2)
	n.expect("the leader's", 2, 200)
}

// TestOldNewsOfLeaders: a term that a relay has acknowledged is not forgotten over what
// was read before, nor because its leader has ended.
func TestOldNewsOfLeaders(t *testing.T) {
	n := newRelayNode(t)
	n.in(Tick{})
	n.pass(time.Second)
	listing := n.calls(record.LeaderKey)
	if listing.Op != kv.List {
		t.Fatalf("%+v", listing)
	}
	n.in(peermsg.Received{From: "n2", Msg: peermsg.Message{Kind: peermsg.Leader, Term: 6}}) // acknowledged
	confirming := n.calls(record.LeaderKey)
	n.in(kv.Response{Ref: listing.Ref, Outcome: rpc.OK, Rev: 10, Entries: []kv.Entry{leaderKeyOf("n1", 5, 9, 4)}})
	stillSix := func(when string) {
		t.Helper()
		if n.election.HighestTerm() != 6 {
			t.Fatalf("%s: the newest term is %d", when, n.election.HighestTerm())
		}
		n.outs = nil
		n.in(peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Leader, Term: 5}})
		n.worker(1, 1)
		for _, b := range n.sent("n1") {
			n.reply("n1", 5, b.Session, 1)
		}
		n.expect(when, 1)
		n.in(heartbeat.Abandoned{Ref: 1})
	}
	stillSix("after an answer that was long on its way")
	// The new leader has ended already, with its grant.
	n.in(peermsg.LinkChange{Name: "n2"})
	n.in(kv.Response{Ref: confirming.Ref, Outcome: rpc.NotFound, Rev: 30})
	n.reads(record.TermKey, kv.Response{Outcome: rpc.OK, Entries: []kv.Entry{{Key: record.TermKey, Value: &record.Term{Term: 6}, Rev: 25}}})
	stillSix("after its leader has ended")
}

// TestFormerGrant: a process gives back the grant of the one before it, and no other.
func TestFormerGrant(t *testing.T) {
	for name, x := range map[string]struct {
		entry kv.Entry
		drops bool
	}{
		"the former process's":                    {leaderKeyOf("n0", 7, 12, 99), true},
		"written after this process had begun":    {leaderKeyOf("n0", 7, 22, 99), false},
		"another node's, which may well be alive": {leaderKeyOf("n1", 7, 12, 99), false},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := &config.Config{HostName: "n0", Seeds: []config.Seed{{HostName: "n1"}}}
			cfg.Settings.State = config.State{RPS: 250, WriteRPS: 60, ValueKB: 16, TxnOps: 12}
			n := &relayNode{New(cfg, nil, calendar.NewSet(nil), 7), t, t0, nil}
			n.in(Tick{})
			first := n.calls(record.LeaderKey)
			if x.entry.Rev > 20 { // nobody leads at first
				n.in(kv.Response{Ref: first.Ref, Outcome: rpc.OK, Rev: 20})
				n.pass(time.Second)
				n.reads("", kv.Response{Outcome: rpc.Refused}) // it campaigns, and is refused a lease
				n.pass(time.Second)
				first = n.calls(record.LeaderKey)
			}
			n.in(kv.Response{Ref: first.Ref, Outcome: rpc.OK, Rev: 30, Entries: []kv.Entry{x.entry}})
			if get := n.calls(record.LeaderKey); get.Op == kv.Get {
				n.reads(record.LeaderKey, kv.Response{Outcome: rpc.OK, Entries: []kv.Entry{x.entry}})
			}
			drops := false
			for _, o := range n.outs {
				s, ok := o.(kv.Request)
				drops = drops || ok && s.Op == kv.RevokeLease && s.LeaseID == x.entry.LeaseID
			}
			if drops != x.drops {
				t.Errorf("grant given back: %v", drops)
			}
			if n.HasAuthority(n.now) {
				t.Error("it leads by the grant of another process")
			}
		})
	}
}

// TestLeaderTellsAgain: a peer whose link is new may be a new process, whatever the one
// before it had taken note of.
func TestLeaderTellsAgain(t *testing.T) {
	c := leaderOf(t, 0)
	c.cfg.Seeds = []config.Seed{{HostName: "n1"}}
	c.Step(c.Now, peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Ack, Term: 1}})
	for _, o := range c.Step(c.Now, peermsg.LinkChange{Name: "n1", Up: true}) {
		if p, ok := o.(peermsg.Outgoing); ok && p.Msg.Kind == peermsg.Leader {
			return
		}
	}
	t.Error("it is not told who leads")
}

// TestWorkerAnew: a worker that has begun anew may count from 1. What it had sent before
// and comes late is newer by its counters; it says nothing about what was started since.
func TestWorkerAnew(t *testing.T) {
	c := leaderInTerm(t, 1, 6)
	l := c.leadership
	m := l.inventory.Machines()[0]
	m.FencingToken = 6 // known in this term by the counters it has now
	m.Incarnation, m.Counter = 1, 2
	j := newJob(c, 1, 1, testRand())
	j.Spec.Class, j.AnyCompleted = "c", true
	c.leadership.placement.Reserve(j)
	now := reportOf(m)
	now.FencingToken = 6
	c.Step(c.Now, heartbeat.Received{Ref: 1, Report: now})
	if len(m.Attempts) != 1 {
		t.Fatalf("%d runs", len(m.Attempts))
	}
	for _, late := range []heartbeat.Report{{Incarnation: 1, Counter: 88}, {Incarnation: 3, Counter: 1}} {
		late.Host, late.InstanceType, late.Zone, late.FencingToken = m.Host, m.TypeName, m.Zone, 5
		c.Step(c.Now.Add(time.Second), heartbeat.Received{Ref: 2, Report: late})
		if len(m.Attempts) != 1 || j.Waiting != 0 {
			t.Fatalf("tenure %d, counter %d, epoch 5: %d runs, %d wait", late.Incarnation, late.Counter, len(m.Attempts), j.Waiting)
		}
	}
	// Not for ever: once the lease is over by our clock it is a machine like any other.
	c.Now = c.Now.Add(addClockDrift(c.workerLease) + 2*time.Second)
	l.expiresAt = c.Now.Add(time.Hour)
	c.reviewMachine(m, reviewLimits{silent: time.Hour, unaccounted: time.Hour, idle: time.Hour})
	if c.Step(c.Now, heartbeat.Received{Ref: 3, Report: heartbeat.Report{Host: m.Host, InstanceType: m.TypeName, Zone: m.Zone, Incarnation: 2, Counter: 9}}); !m.Reported || m.FencingToken != 0 {
		t.Error("the machine never counts again")
	}
}

// TestRelayBackUnnoticed: who reported to a relay's process that has ended needs time to
// find another node, however soon the next process is there.
func TestRelayBackUnnoticed(t *testing.T) {
	c := leaderOf(t, 1)
	c.cfg.Seeds = []config.Seed{{HostName: "n1"}}
	m := c.leadership.inventory.Machines()[0]
	rep := reportOf(m)
	send := func(f *relay.Encoder, items ...relay.Delta) {
		c.Step(c.Now.Add(time.Second), peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Heartbeats, Term: 1, Heartbeats: f.Batch(items, nil)}})
	}
	f := relay.NewEncoder(3)
	send(f, f.Encode(17, &rep))
	if p := c.leadership.relays.SilenceLimit(m, 10*time.Second); p != 10*time.Second {
		t.Fatalf("patience of %v while the relay goes on", p)
	}
	send(relay.NewEncoder(4))
	if p := c.leadership.relays.SilenceLimit(m, 10*time.Second); p <= c.heartbeatInterval*5/4+relaylinks.WorkerRetryTimeout {
		t.Errorf("patience of %v", p)
	}
}
