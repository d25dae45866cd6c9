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

// A process or machine may restart within a fraction of a second, with the same name, address and
// counters. The tests in this file check that it does not take over state of the former one.

func leaderEntry(node string, term, rev, processID uint64) kv.Entry {
	return kv.Entry{Key: record.LeaderKey, Value: &record.Leader{Node: node, Term: term, ProcessID: processID}, Rev: rev, LeaseID: 3}
}

// TestResponseToFormerProcess checks that a response to a request of the former process is not
// delivered to a user of the restarted one.
func TestResponseToFormerProcess(t *testing.T) {
	forwards := func(n *relayNode, id string) (ref uint64) {
		n.outputs = nil
		n.step(request.Request{Ref: 1, Op: request.Get, ID: id})
		for _, o := range n.outputs {
			if p, ok := o.(peermsg.Outgoing); ok && p.Msg.Kind == peermsg.Request {
				ref = p.Msg.Ref
			}
		}
		return ref
	}
	former := newRelayNode(t)
	ref := forwards(former, "wk-1")
	n := newRelayNode(t)
	n.Core = New(former.cfg, former.pol, calendar.NewSet(nil), 8) // a restarted process
	n.step(peermsg.LinkChange{Name: "n1", Up: true})
	n.step(peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Leader, Term: 5}})
	if again := forwards(n, "wk-2"); ref == 0 || again == ref {
		t.Fatalf("requests of both processes have the reference %d", ref)
	}
	// A response with the same reference is rejected if it is about another job.
	ref = forwards(n, "wk-2")
	n.outputs = nil
	n.step(peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Response, Ref: ref, Response: &request.Response{Status: 200, Job: request.JobStatus{ID: "wk-1", State: spec.Done}}}})
	for _, o := range n.outputs {
		if a, ok := o.(request.Response); ok {
			t.Errorf("request for wk-2 is answered with %+v, want no answer", a)
		}
	}
	if _, ok := n.jobReader.Final("wk-2"); ok {
		t.Error("the response is cached as the final state of wk-2")
	}
}

// TestRestartedRelay checks that a restarted relay, which does not know the term that it had
// acknowledged, forwards no reply of an older leader.
func TestRestartedRelay(t *testing.T) {
	n := newRelayNode(t)
	n.Core, n.outputs = New(n.cfg, n.pol, calendar.NewSet(nil), 8), nil
	n.step(Tick{})
	n.step(peermsg.LinkChange{Name: "n1", Up: true})
	n.step(peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Leader, Term: 5}}) // from a leader without authority
	n.sendHeartbeat(1, 1)
	for _, b := range n.takeBatches("n1") {
		n.deliverReply("n1", 5, b.Session, 1)
	}
	n.expectStatuses("reply of a leader that the store has not confirmed", 1)
	// Without a confirmation the worker is redirected to the presumed leader.
	n.advance(forwarder.LinkTimeout + forwarder.KeepAliveInterval)
	n.expectStatuses("redirect to the presumed leader", 1, 421)
	// The store names a newer leader.
	n.step(peermsg.LinkChange{Name: "n2", Up: true})
	n.answerStore(record.LeaderKey, kv.Response{Outcome: rpc.OK, Entries: []kv.Entry{leaderEntry("n2", 6, 20, 4)}})
	n.sendHeartbeat(2, 2)
	bs := n.takeBatches("n2")
	if len(bs) == 0 {
		t.Fatal("heartbeat not forwarded to the leader on record")
	}
	n.deliverReply("n2", 6, bs[0].Session, 2)
	n.expectStatuses("reply of the leader", 2, 200)
}

// TestStaleLeaderInformation checks that a relay keeps the term that it has acknowledged, despite
// an older read of the store and after the leadership of that term has ended.
func TestStaleLeaderInformation(t *testing.T) {
	n := newRelayNode(t)
	n.step(Tick{})
	n.advance(time.Second)
	listing := n.pendingCall(record.LeaderKey)
	if listing.Op != kv.List {
		t.Fatalf("store request %+v, want a list", listing)
	}
	n.step(peermsg.Received{From: "n2", Msg: peermsg.Message{Kind: peermsg.Leader, Term: 6}}) // acknowledged
	confirming := n.pendingCall(record.LeaderKey)
	n.step(kv.Response{Ref: listing.Ref, Outcome: rpc.OK, Rev: 10, Entries: []kv.Entry{leaderEntry("n1", 5, 9, 4)}})
	expectTermSix := func(when string) {
		t.Helper()
		if n.election.HighestTerm() != 6 {
			t.Fatalf("%s: highest term %d, want 6", when, n.election.HighestTerm())
		}
		n.outputs = nil
		n.step(peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Leader, Term: 5}})
		n.sendHeartbeat(1, 1)
		for _, b := range n.takeBatches("n1") {
			n.deliverReply("n1", 5, b.Session, 1)
		}
		n.expectStatuses(when, 1)
		n.step(heartbeat.Abandoned{Ref: 1})
	}
	expectTermSix("after a delayed store response")
	// The new leader has exited and its lease has expired.
	n.step(peermsg.LinkChange{Name: "n2"})
	n.step(kv.Response{Ref: confirming.Ref, Outcome: rpc.NotFound, Rev: 30})
	n.answerStore(record.TermKey, kv.Response{Outcome: rpc.OK, Entries: []kv.Entry{{Key: record.TermKey, Value: &record.Term{Term: 6}, Rev: 25}}})
	expectTermSix("after its leader has ended")
}

// TestFormerProcessLeaseRevoked checks that a process revokes the leader lease of the former
// process on its node, and no other.
func TestFormerProcessLeaseRevoked(t *testing.T) {
	for name, x := range map[string]struct {
		entry   kv.Entry
		revoked bool
	}{
		"lease of the former process":                      {leaderEntry("n0", 7, 12, 99), true},
		"leader record written after this process started": {leaderEntry("n0", 7, 22, 99), false},
		"lease of another node":                            {leaderEntry("n1", 7, 12, 99), false},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := &config.Config{HostName: "n0", Seeds: []config.Seed{{HostName: "n1"}}}
			cfg.Settings.State = config.State{RPS: 250, WriteRPS: 60, ValueKB: 16, TxnOps: 12}
			n := &relayNode{New(cfg, nil, calendar.NewSet(nil), 7), t, t0, nil}
			n.step(Tick{})
			first := n.pendingCall(record.LeaderKey)
			if x.entry.Rev > 20 { // there is no leader at first
				n.step(kv.Response{Ref: first.Ref, Outcome: rpc.OK, Rev: 20})
				n.advance(time.Second)
				n.answerStore("", kv.Response{Outcome: rpc.Refused}) // its campaign is refused a lease
				n.advance(time.Second)
				first = n.pendingCall(record.LeaderKey)
			}
			n.step(kv.Response{Ref: first.Ref, Outcome: rpc.OK, Rev: 30, Entries: []kv.Entry{x.entry}})
			if get := n.pendingCall(record.LeaderKey); get.Op == kv.Get {
				n.answerStore(record.LeaderKey, kv.Response{Outcome: rpc.OK, Entries: []kv.Entry{x.entry}})
			}
			revoked := false
			for _, o := range n.outputs {
				s, ok := o.(kv.Request)
				revoked = revoked || ok && s.Op == kv.RevokeLease && s.LeaseID == x.entry.LeaseID
			}
			if revoked != x.revoked {
				t.Errorf("revoked the lease: %v, want the opposite", revoked)
			}
			if n.HasAuthority(n.now) {
				t.Error("leads with the lease of another process")
			}
		})
	}
}

// TestLeaderAnnouncedOnNewLink checks that the leader announces itself on every new link, since
// the peer may have restarted.
func TestLeaderAnnouncedOnNewLink(t *testing.T) {
	c := newLeader(t, 0)
	c.cfg.Seeds = []config.Seed{{HostName: "n1"}}
	c.Step(c.Now, peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Ack, Term: 1}})
	for _, o := range c.Step(c.Now, peermsg.LinkChange{Name: "n1", Up: true}) {
		if p, ok := o.(peermsg.Outgoing); ok && p.Msg.Kind == peermsg.Leader {
			return
		}
	}
	t.Error("the leader is not announced")
}

// TestLateHeartbeatsAfterWorkerRestart checks that late heartbeats from before a worker's restart,
// even with higher counters, do not affect tasks started since.
func TestLateHeartbeatsAfterWorkerRestart(t *testing.T) {
	c := newLeaderInTerm(t, 1, 6)
	l := c.leadership
	m := l.inventory.Machines()[0]
	m.FencingToken = 6 // has reported in this term with its current counters
	m.Incarnation, m.Counter = 1, 2
	j := newJob(c, 1, 1, testRand())
	j.Spec.Class, j.AnyCompleted = "c", true
	c.leadership.placement.Reserve(j)
	now := nextReport(m)
	now.FencingToken = 6
	c.Step(c.Now, heartbeat.Received{Ref: 1, Report: now})
	if len(m.Attempts) != 1 {
		t.Fatalf("%d attempts, want 1", len(m.Attempts))
	}
	for _, late := range []heartbeat.Report{{Incarnation: 1, Counter: 88}, {Incarnation: 3, Counter: 1}} {
		late.Host, late.InstanceType, late.Zone, late.FencingToken = m.Host, m.TypeName, m.Zone, 5
		c.Step(c.Now.Add(time.Second), heartbeat.Received{Ref: 2, Report: late})
		if len(m.Attempts) != 1 || j.Waiting != 0 {
			t.Fatalf("incarnation %d, counter %d, token 5: %d attempts, %d waiting tasks, want 1 and 0", late.Incarnation, late.Counter, len(m.Attempts), j.Waiting)
		}
	}
	// Once its lease has expired, heartbeats with other counters are accepted again.
	c.Now = c.Now.Add(addClockDrift(c.workerLease) + 2*time.Second)
	l.expiresAt = c.Now.Add(time.Hour)
	c.reviewMachine(m, reviewLimits{silent: time.Hour, unaccounted: time.Hour, idle: time.Hour})
	if c.Step(c.Now, heartbeat.Received{Ref: 3, Report: heartbeat.Report{Host: m.Host, InstanceType: m.TypeName, Zone: m.Zone, Incarnation: 2, Counter: 9}}); !m.Reported || m.FencingToken != 0 {
		t.Error("the machine is not accepted again")
	}
}

// TestSilenceLimitAfterRelayRestart checks that workers of a restarted relay get time to find
// another node, however short the restart.
func TestSilenceLimitAfterRelayRestart(t *testing.T) {
	c := newLeader(t, 1)
	c.cfg.Seeds = []config.Seed{{HostName: "n1"}}
	m := c.leadership.inventory.Machines()[0]
	rep := nextReport(m)
	send := func(encoder *relay.Encoder, items ...relay.Delta) {
		c.Step(c.Now.Add(time.Second), peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Heartbeats, Term: 1, Heartbeats: encoder.Batch(items, nil)}})
	}
	encoder := relay.NewEncoder(3)
	send(encoder, encoder.Encode(17, &rep))
	if p := c.leadership.relays.SilenceLimit(m, 10*time.Second); p != 10*time.Second {
		t.Fatalf("silence limit %v before the restart, want 10s", p)
	}
	send(relay.NewEncoder(4))
	if p := c.leadership.relays.SilenceLimit(m, 10*time.Second); p <= c.heartbeatInterval*5/4+relaylinks.WorkerRetryTimeout {
		t.Errorf("silence limit %v after the restart, want a longer one", p)
	}
}
