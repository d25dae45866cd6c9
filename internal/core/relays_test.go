package core

import (
	"testing"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/config"
	"yewpass/internal/heartbeat"
	"yewpass/internal/kv"
	"yewpass/internal/peermsg"
	"yewpass/internal/policy"
	"yewpass/internal/record"
	"yewpass/internal/relay"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/view"
)

// relayNode is a controller that does not lead, with a clock and what it has said.
type relayNode struct {
	*Core
	t    *testing.T
	now  time.Time
	outs []any
}

func newRelayNode(t *testing.T) *relayNode {
	cfg := &config.Config{HostName: "n0", Seeds: []config.Seed{{HostName: "n1"}, {HostName: "n2"}}}
	cfg.Settings.Workers = config.Workers{Report: 5, Lease: 29, Cancel: 54}
	cfg.Settings.State = config.State{RPS: 250, WriteRPS: 60, ValueKB: 16, TxnOps: 12}
	pol, err := policy.Parse(nil)
	if err != nil {
		t.Fatal(err)
	}
	n := &relayNode{New(cfg, pol, calendar.NewSet(nil), 7), t, t0, nil}
	n.in(Tick{})
	for _, p := range []string{"n1", "n2"} {
		n.in(peermsg.LinkChange{Name: p, Up: true})
	}
	n.in(peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Leader, Term: 5}})
	n.reads(record.LeaderKey, kv.Response{Outcome: rpc.OK, Entries: []kv.Entry{{Key: record.LeaderKey, Value: &record.Leader{Node: "n1", Term: 5}, Rev: 9, LeaseID: 3}}})
	return n
}

// calls returns the latest call of the state service that the node has made for the key
// and that has not been answered.
func (n *relayNode) calls(key string) (call kv.Request) {
	for _, o := range n.outs {
		if s, ok := o.(kv.Request); ok && s.Key == key && n.StoreCallPending(s.Ref) {
			call = s
		}
	}
	return call
}

// reads answers it.
func (n *relayNode) reads(key string, r kv.Response) {
	n.t.Helper()
	if r.Ref = n.calls(key).Ref; r.Ref == 0 {
		n.t.Fatal("nobody asks for ", key)
	}
	n.in(r)
}

func (n *relayNode) in(in any) {
	n.outs = append(n.outs, n.Step(n.now, in)...)
}

// pass lets time go by.
func (n *relayNode) pass(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.in(Tick{}) {
		n.now = n.now.Add(5 * time.Millisecond)
	}
}

func (n *relayNode) worker(ref, counter uint64) {
	n.in(heartbeat.Received{Ref: ref, Report: heartbeat.Report{Host: "host-1", Address: "a:1", InstanceType: "f", Zone: "a", Incarnation: 1, Counter: counter, FencingToken: 5}})
	n.pass(50 * time.Millisecond)
}

// sent returns the batches that went to a node since it was last asked.
func (n *relayNode) sent(to string) (bs []*relay.Batch) {
	for i, o := range n.outs {
		if p, ok := o.(peermsg.Outgoing); ok && p.To == to && p.Msg.Kind == peermsg.Heartbeats {
			bs = append(bs, p.Msg.Heartbeats)
			n.outs[i] = nil
		}
	}
	return bs
}

// told returns the statuses that a report's worker was told.
func (n *relayNode) told(ref uint64) (ss []int) {
	for _, o := range n.outs {
		if a, ok := o.(heartbeat.Reply); ok && a.Ref == ref {
			ss = append(ss, a.Status)
		}
	}
	return ss
}

func (n *relayNode) reply(from string, term, session, ref uint64) {
	n.in(peermsg.Received{From: from, Msg: peermsg.Message{Kind: peermsg.HeartbeatReplies, Term: term, HeartbeatReplies: &relay.Replies{Session: session,
		List: []relay.Reply{{Ref: ref, Orders: relay.Orders{{Verb: heartbeat.Start, Task: heartbeat.TaskID{Job: "wk-1"}, Attempt: 9}}}}}}})
}

func (n *relayNode) expect(what string, ref uint64, want ...int) {
	n.t.Helper()
	got := n.told(ref)
	if len(got) != len(want) || len(got) > 0 && got[0] != want[0] {
		n.t.Errorf("%s: report %d was answered %v, it should be %v", what, ref, got, want)
	}
}

// TestRelayLetsOut: what a relay lets out to a worker is the newest leader's word on
// this very report, and nothing else, however late or often other words come.
func TestRelayLetsOut(t *testing.T) {
	n := newRelayNode(t)
	n.worker(1, 1)
	bs := n.sent("n1")
	if len(bs) != 2 || len(bs[1].Reports) != 1 || bs[0].Session != bs[1].Session || bs[1].Reports[0].Identity == nil {
		t.Fatalf("%d batches", len(bs))
	}
	first := bs[0].Session
	n.reply("n1", 5, first+1, 1)
	n.expect("of another session", 1)
	n.reply("n2", 5, first, 1)
	n.expect("of who does not lead", 1)
	n.reply("n1", 4, first, 1)
	n.expect("of an older term", 1)
	n.reply("n1", 5, first, 1)
	n.reply("n1", 5, first, 1)
	n.expect("the leader's", 1, 200)

	// The next term is known: the old leader's word counts no more, and the new one
	// hears of the report.
	n.worker(2, 2)
	n.sent("n1")
	n.in(peermsg.Received{From: "n2", Msg: peermsg.Message{Kind: peermsg.Leader, Term: 6}})
	n.reply("n1", 5, first, 2)
	n.expect("of the term before", 2)
	n.pass(50 * time.Millisecond)
	bs = n.sent("n2")
	if len(bs) == 0 || len(bs[0].Reports) != 1 || bs[0].Reports[0].Identity == nil || bs[0].Session == first {
		t.Fatalf("the new leader is not told: %+v", bs)
	}
	second := bs[0].Session

	// Lines were lost: all that waits is told again, in a session of its own.
	n.in(peermsg.Received{From: "n2", Msg: peermsg.Message{Kind: peermsg.HeartbeatReplies, Term: 6, HeartbeatReplies: &relay.Replies{Session: second, Resync: true}}})
	bs = n.sent("n2")
	if len(bs) != 1 || len(bs[0].Reports) != 1 || bs[0].Session == second || bs[0].Number != 1 {
		t.Fatalf("not told again: %+v", bs)
	}
	n.reply("n2", 6, second, 2)
	n.expect("of the session before", 2)
	n.reply("n2", 6, bs[0].Session, 2)
	n.expect("the new leader's", 2, 200)

	// The worker comes again before it was answered: it waits for one reply alone.
	n.worker(3, 4)
	n.worker(4, 3)
	n.expect("delayed on the way", 4, 503)
	n.worker(5, 5)
	n.expect("given up", 3, 503)
	n.in(heartbeat.Abandoned{Ref: 5})
	n.pass(50 * time.Millisecond)
	var gone []uint64
	for _, b := range n.sent("n2") {
		gone = append(gone, b.Abandoned...)
	}
	if len(gone) != 2 {
		t.Errorf("the leader is told that %v are gone", gone)
	}

	// Nobody answers in time, and the leader is out of reach: the worker goes there.
	n.worker(6, 6)
	n.in(peermsg.LinkChange{Name: "n2"})
	n.pass(3800 * time.Millisecond)
	n.expect("unanswered", 6, 421)
	n.worker(7, 7)
	n.expect("out of reach", 7, 421)
}

// TestRelayToldAgain: the leader takes a report that a relay tells again for what it
// is. What it had answered before was lost, and is known not to have been carried out
// once the worker reports again.
func TestRelayToldAgain(t *testing.T) {
	c := leaderOf(t, 1)
	c.cfg.Seeds = []config.Seed{{HostName: "n1"}}
	m := c.leadership.inventory.Machines()[0]
	j := newJob(c, 1, 1, testRand())
	j.Spec.Class, j.AnyCompleted = "c", true
	c.leadership.placement.Reserve(j)
	rep := reportOf(m)
	send := func(session, number, ref uint64, f *relay.Encoder, r heartbeat.Report) (orders int, answered bool) {
		for _, o := range c.Step(c.Now.Add(time.Second), peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Heartbeats, Term: 1, Heartbeats: f.Batch([]relay.Delta{f.Encode(ref, &r)}, nil)}}) {
			p, ok := o.(peermsg.Outgoing)
			if !ok || p.Msg.Kind != peermsg.HeartbeatReplies || len(p.Msg.HeartbeatReplies.List) == 0 {
				continue
			}
			x := p.Msg.HeartbeatReplies.List[0]
			if x.Ref != ref || x.Status != 0 || p.Msg.HeartbeatReplies.Session != session {
				t.Errorf("%+v in session %d", x, p.Msg.HeartbeatReplies.Session)
			}
			return len(x.Orders), true
		}
		return 0, false
	}
	if n, ok := send(3, 1, 17, relay.NewEncoder(3), rep); !ok || n != 1 {
		t.Fatalf("%d orders, answered %v", n, ok)
	}
	// The link broke with the reply on it.
	f := relay.NewEncoder(4)
	send(4, 1, 17, f, rep)
	if len(m.Attempts) != 1 || j.Waiting != 0 {
		t.Fatalf("%d runs, %d wait", len(m.Attempts), j.Waiting)
	}
	rep.Counter++
	if send(4, 2, 18, f, rep); len(m.Attempts) != 0 || j.Waiting != 1 {
		t.Fatalf("%d runs, %d wait", len(m.Attempts), j.Waiting)
	}
	rep.Counter++
	if n, ok := send(4, 3, 19, f, rep); !ok || n != 1 {
		t.Errorf("the start that was lost is not given again: %d orders, answered %v", n, ok)
	}
}

// TestCluster: any node tells of the controllers, the leader with all that it knows; and
// a leadership is handed over only to somebody.
func TestCluster(t *testing.T) {
	ask := func(c *Core, op request.Operation) (a request.Response, dropped bool) {
		for _, o := range c.Step(c.Now.Add(time.Millisecond), request.Request{Ref: 3, Op: op}) {
			switch o := o.(type) {
			case request.Response:
				a = o
			case kv.Request:
				dropped = dropped || o.Op == kv.RevokeLease
			}
		}
		return a, dropped
	}
	n := newRelayNode(t)
	n.worker(1, 1)
	n.in(peermsg.LinkChange{Name: "n1"})
	a, _ := ask(n.Core, request.Cluster)
	if v, _ := a.Document.(*view.Cluster); v == nil || v.Leader != "n1" || v.Term != 5 || v.Nodes[0].Workers != 1 || v.Nodes[0].Role != "away" {
		t.Errorf("%+v", a.Document)
	}
	c := leaderOf(t, 2)
	c.cfg.Seeds = []config.Seed{{HostName: "n1", Site: "b"}}
	a, _ = ask(c, request.Cluster)
	if v, _ := a.Document.(*view.Cluster); v == nil || v.Leader != "n0" || !v.Authority || v.Machines != 2 || len(v.Nodes) != 2 || v.Nodes[1].Role != "away" {
		t.Errorf("%+v", a.Document)
	}
	if a, dropped := ask(c, request.TransferLeadership); a.Status != 409 || dropped || c.leadership == nil {
		t.Errorf("handed over to nobody: %d %s", a.Status, a.Reason)
	}
	c.Step(c.Now, peermsg.LinkChange{Name: "n1", Up: true})
	c.Step(c.Now, peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Heartbeats, Term: 1, Heartbeats: relay.NewEncoder(3).Batch(nil, nil)}})
	if a, dropped := ask(c, request.TransferLeadership); a.Status != 200 || !dropped || c.leadership != nil {
		t.Errorf("not handed over: %d %s", a.Status, a.Reason)
	}
}
