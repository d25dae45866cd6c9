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

// relayNode is a controller that does not lead, with its clock and outputs.
type relayNode struct {
	*Core
	t       *testing.T
	now     time.Time
	outputs []any
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
	n.step(Tick{})
	for _, p := range []string{"n1", "n2"} {
		n.step(peermsg.LinkChange{Name: p, Up: true})
	}
	n.step(peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Leader, Term: 5}})
	n.answerStore(record.LeaderKey, kv.Response{Outcome: rpc.OK, Entries: []kv.Entry{{Key: record.LeaderKey, Value: &record.Leader{Node: "n1", Term: 5}, Rev: 9, LeaseID: 3}}})
	return n
}

// pendingCall returns the latest unanswered store request for a key.
func (n *relayNode) pendingCall(key string) (call kv.Request) {
	for _, o := range n.outputs {
		if s, ok := o.(kv.Request); ok && s.Key == key && n.StoreCallPending(s.Ref) {
			call = s
		}
	}
	return call
}

// answerStore answers the latest store request for a key.
func (n *relayNode) answerStore(key string, r kv.Response) {
	n.t.Helper()
	if r.Ref = n.pendingCall(key).Ref; r.Ref == 0 {
		n.t.Fatal("no store request for ", key)
	}
	n.step(r)
}

func (n *relayNode) step(in any) {
	n.outputs = append(n.outputs, n.Step(n.now, in)...)
}

// advance moves the clock forward by d in ticks of 5 ms.
func (n *relayNode) advance(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.step(Tick{}) {
		n.now = n.now.Add(5 * time.Millisecond)
	}
}

// sendHeartbeat sends a heartbeat of host-1 to the node and lets 50 ms pass.
func (n *relayNode) sendHeartbeat(ref, counter uint64) {
	n.step(heartbeat.Received{Ref: ref, Report: heartbeat.Report{Host: "host-1", Address: "a:1", InstanceType: "f", Zone: "a", Incarnation: 1, Counter: counter, FencingToken: 5}})
	n.advance(50 * time.Millisecond)
}

// takeBatches returns and removes the heartbeat batches that were sent to a node.
func (n *relayNode) takeBatches(to string) (bs []*relay.Batch) {
	for i, o := range n.outputs {
		if p, ok := o.(peermsg.Outgoing); ok && p.To == to && p.Msg.Kind == peermsg.Heartbeats {
			bs = append(bs, p.Msg.Heartbeats)
			n.outputs[i] = nil
		}
	}
	return bs
}

// replyStatuses returns the statuses of the replies to a heartbeat.
func (n *relayNode) replyStatuses(ref uint64) (ss []int) {
	for _, o := range n.outputs {
		if a, ok := o.(heartbeat.Reply); ok && a.Ref == ref {
			ss = append(ss, a.Status)
		}
	}
	return ss
}

// deliverReply delivers another node's reply to a heartbeat, with one start order.
func (n *relayNode) deliverReply(from string, term, session, ref uint64) {
	n.step(peermsg.Received{From: from, Msg: peermsg.Message{Kind: peermsg.HeartbeatReplies, Term: term, HeartbeatReplies: &relay.Replies{Session: session,
		List: []relay.Reply{{Ref: ref, Orders: relay.Orders{{Verb: heartbeat.Start, Task: heartbeat.TaskID{Job: "wk-1"}, Attempt: 9}}}}}}})
}

// expectStatuses checks the statuses of the replies to a heartbeat.
func (n *relayNode) expectStatuses(what string, ref uint64, want ...int) {
	n.t.Helper()
	got := n.replyStatuses(ref)
	if len(got) != len(want) || len(got) > 0 && got[0] != want[0] {
		n.t.Errorf("%s: heartbeat %d got statuses %v, want %v", what, ref, got, want)
	}
}

// TestRelayReplyFencing checks that a relay forwards only the newest leader's replies of the
// current session, each once.
func TestRelayReplyFencing(t *testing.T) {
	n := newRelayNode(t)
	n.sendHeartbeat(1, 1)
	bs := n.takeBatches("n1")
	if len(bs) != 2 || len(bs[1].Reports) != 1 || bs[0].Session != bs[1].Session || bs[1].Reports[0].Identity == nil {
		t.Fatalf("%d batches, want 2 of one session with one full heartbeat", len(bs))
	}
	first := bs[0].Session
	n.deliverReply("n1", 5, first+1, 1)
	n.expectStatuses("reply of another session", 1)
	n.deliverReply("n2", 5, first, 1)
	n.expectStatuses("reply of a node that is not the leader", 1)
	n.deliverReply("n1", 4, first, 1)
	n.expectStatuses("reply of an older term", 1)
	n.deliverReply("n1", 5, first, 1)
	n.deliverReply("n1", 5, first, 1)
	n.expectStatuses("reply of the leader", 1, 200)

	// Once the next term is known, replies of the old leader are ignored.
	n.sendHeartbeat(2, 2)
	n.takeBatches("n1")
	n.step(peermsg.Received{From: "n2", Msg: peermsg.Message{Kind: peermsg.Leader, Term: 6}})
	n.deliverReply("n1", 5, first, 2)
	n.expectStatuses("reply of the previous term", 2)
	n.advance(50 * time.Millisecond)
	bs = n.takeBatches("n2")
	if len(bs) == 0 || len(bs[0].Reports) != 1 || bs[0].Reports[0].Identity == nil || bs[0].Session == first {
		t.Fatalf("batches %+v, want the full heartbeat forwarded to the new leader in a new session", bs)
	}
	second := bs[0].Session

	// After lost messages all pending heartbeats are sent again in a new session.
	n.step(peermsg.Received{From: "n2", Msg: peermsg.Message{Kind: peermsg.HeartbeatReplies, Term: 6, HeartbeatReplies: &relay.Replies{Session: second, Resync: true}}})
	bs = n.takeBatches("n2")
	if len(bs) != 1 || len(bs[0].Reports) != 1 || bs[0].Session == second || bs[0].Number != 1 {
		t.Fatalf("batches %+v, want the heartbeat again as the first batch of a new session", bs)
	}
	n.deliverReply("n2", 6, second, 2)
	n.expectStatuses("reply of the previous session", 2)
	n.deliverReply("n2", 6, bs[0].Session, 2)
	n.expectStatuses("reply of the new leader", 2, 200)

	// Only the newest heartbeat of a worker is answered.
	n.sendHeartbeat(3, 4)
	n.sendHeartbeat(4, 3)
	n.expectStatuses("heartbeat that arrives out of order", 4, 503)
	n.sendHeartbeat(5, 5)
	n.expectStatuses("heartbeat superseded by a newer one", 3, 503)
	n.step(heartbeat.Abandoned{Ref: 5})
	n.advance(50 * time.Millisecond)
	var abandoned []uint64
	for _, b := range n.takeBatches("n2") {
		abandoned = append(abandoned, b.Abandoned...)
	}
	if len(abandoned) != 2 {
		t.Errorf("heartbeats %v reported as abandoned, want 2", abandoned)
	}

	// Without a timely reply, or while the leader is unreachable, the worker is redirected to it.
	n.sendHeartbeat(6, 6)
	n.step(peermsg.LinkChange{Name: "n2"})
	n.advance(3800 * time.Millisecond)
	n.expectStatuses("heartbeat without a timely reply", 6, 421)
	n.sendHeartbeat(7, 7)
	n.expectStatuses("heartbeat while the leader is unreachable", 7, 421)
}

// TestResentHeartbeat checks that a leader recognizes a heartbeat that a relay sends again after
// the reply was lost, and repeats the lost start order when the worker's next heartbeat shows that
// it was not executed.
func TestResentHeartbeat(t *testing.T) {
	c := newLeader(t, 1)
	c.cfg.Seeds = []config.Seed{{HostName: "n1"}}
	m := c.leadership.inventory.Machines()[0]
	j := newJob(c, 1, 1, testRand())
	j.Spec.Class, j.AnyCompleted = "c", true
	c.leadership.placement.Reserve(j)
	rep := nextReport(m)
	send := func(session, number, ref uint64, encoder *relay.Encoder, r heartbeat.Report) (orders int, answered bool) {
		for _, o := range c.Step(c.Now.Add(time.Second), peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Heartbeats, Term: 1, Heartbeats: encoder.Batch([]relay.Delta{encoder.Encode(ref, &r)}, nil)}}) {
			p, ok := o.(peermsg.Outgoing)
			if !ok || p.Msg.Kind != peermsg.HeartbeatReplies || len(p.Msg.HeartbeatReplies.List) == 0 {
				continue
			}
			x := p.Msg.HeartbeatReplies.List[0]
			if x.Ref != ref || x.Status != 0 || p.Msg.HeartbeatReplies.Session != session {
				t.Errorf("unexpected reply %+v in session %d", x, p.Msg.HeartbeatReplies.Session)
			}
			return len(x.Orders), true
		}
		return 0, false
	}
	if n, ok := send(3, 1, 17, relay.NewEncoder(3), rep); !ok || n != 1 {
		t.Fatalf("%d orders, answered %v, want one start order", n, ok)
	}
	// The link broke and the reply was lost.
	encoder := relay.NewEncoder(4)
	send(4, 1, 17, encoder, rep)
	if len(m.Attempts) != 1 || j.Waiting != 0 {
		t.Fatalf("%d attempts, %d waiting tasks, want 1 and 0", len(m.Attempts), j.Waiting)
	}
	rep.Counter++
	if send(4, 2, 18, encoder, rep); len(m.Attempts) != 0 || j.Waiting != 1 {
		t.Fatalf("%d attempts, %d waiting tasks, want 0 and 1", len(m.Attempts), j.Waiting)
	}
	rep.Counter++
	if n, ok := send(4, 3, 19, encoder, rep); !ok || n != 1 {
		t.Errorf("%d orders, answered %v, want the lost start order again", n, ok)
	}
}

// TestClusterViewAndHandOver checks that every node serves the cluster view, and that a hand-over
// needs another reachable controller.
func TestClusterViewAndHandOver(t *testing.T) {
	send := func(c *Core, op request.Operation) (a request.Response, revoked bool) {
		for _, o := range c.Step(c.Now.Add(time.Millisecond), request.Request{Ref: 3, Op: op}) {
			switch o := o.(type) {
			case request.Response:
				a = o
			case kv.Request:
				revoked = revoked || o.Op == kv.RevokeLease
			}
		}
		return a, revoked
	}
	n := newRelayNode(t)
	n.sendHeartbeat(1, 1)
	n.step(peermsg.LinkChange{Name: "n1"})
	a, _ := send(n.Core, request.Cluster)
	if v, _ := a.Document.(*view.Cluster); v == nil || v.Leader != "n1" || v.Term != 5 || v.Nodes[0].Workers != 1 || v.Nodes[0].Role != "away" {
		t.Errorf("cluster view of a relay %+v, want leader n1 in term 5 without a link, and one worker", a.Document)
	}
	c := newLeader(t, 2)
	c.cfg.Seeds = []config.Seed{{HostName: "n1", Site: "b"}}
	a, _ = send(c, request.Cluster)
	if v, _ := a.Document.(*view.Cluster); v == nil || v.Leader != "n0" || !v.Authority || v.Machines != 2 || len(v.Nodes) != 2 || v.Nodes[1].Role != "away" {
		t.Errorf("cluster view of the leader %+v, want n0 with authority, 2 machines and n1 without a link", a.Document)
	}
	if a, revoked := send(c, request.TransferLeadership); a.Status != 409 || revoked || c.leadership == nil {
		t.Errorf("hand-over without a peer: status %d, reason %s, want status 409 and no change", a.Status, a.Reason)
	}
	c.Step(c.Now, peermsg.LinkChange{Name: "n1", Up: true})
	c.Step(c.Now, peermsg.Received{From: "n1", Msg: peermsg.Message{Kind: peermsg.Heartbeats, Term: 1, Heartbeats: relay.NewEncoder(3).Batch(nil, nil)}})
	if a, revoked := send(c, request.TransferLeadership); a.Status != 200 || !revoked || c.leadership != nil {
		t.Errorf("hand-over: status %d, reason %s, want status 200 and the lease revoked", a.Status, a.Reason)
	}
}
