package replication

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/kv"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/replica"
	"yewpass/internal/rpc"
	"yewpass/internal/writebatch"
)

type node struct {
	engine       *engine.Engine
	replicas     *Replicas
	linked       map[string]bool
	loaded       bool
	reportedLoss string
}

func (n *node) HighestTerm() uint64          { return 7 }
func (n *node) ConfirmedTerm() uint64        { return 7 }
func (n *node) IsLinked(peer string) bool    { return n.linked[peer] }
func (n *node) HasLoadedRecords() bool       { return n.loaded }
func (n *node) AdmitScrub() bool             { return true }
func (n *node) StoreRevision() uint64        { return 100 }
func (n *node) ReportDataLoss(reason string) { n.reportedLoss = reason }

func newNode(seed uint64) *node {
	n := &node{engine: engine.New(rand.New(rand.NewPCG(seed, 1)), 1), linked: map[string]bool{}}
	n.engine.Begin(time.Unix(1000, 0))
	n.replicas = New(n.engine, &config.Config{HostName: "n0", Seeds: []config.Seed{{HostName: "n1"}, {HostName: "n2"}}}, n)
	return n
}

// step returns the replica lines sent to a peer in this step, and advances the clock by 10 ms.
func (n *node) step(to string) (lines []*replica.Line) {
	for _, o := range n.engine.Outputs {
		if m, ok := o.(peermsg.Outgoing); ok && m.To == to && m.Msg.Kind == peermsg.Replica {
			lines = append(lines, m.Msg.Replica)
		}
	}
	n.engine.Begin(n.engine.Now.Add(10 * time.Millisecond))
	n.engine.RunTimers()
	return lines
}

// TestPublisher checks that a linked follower receives all records that the leader reads or
// commits, including changes committed while the snapshot is being sent.
func TestPublisher(t *testing.T) {
	leader, follower := newNode(1), newNode(2)
	leader.linked["n1"] = true
	scope := leader.engine.NewScope()
	p := NewPublisher(leader.replicas, scope, 7)
	p.PublishRead(kv.Entry{Key: "a", Value: 1, Rev: 1})
	if p.Replica() != nil {
		t.Fatal("Replica() is not nil before the records are loaded")
	}
	leader.replicas.SetOwn(leader.replicas.NewReplica(9, 7))
	p.PublishRead(kv.Entry{Key: "a", Value: 1, Rev: 1})
	p.PublishRead(kv.Entry{Key: "b", Value: 2, Rev: 2})
	p.StartStreams()
	p.PublishCommitted([]*writebatch.Change{{Writes: []kv.Write{{Key: "b"}, {Key: "c", Value: 3}, {Key: record.LeaderlessPrefix + "x", Value: 4}}}}, 5)
	for range 50 {
		for _, line := range leader.step("n1") {
			if !follower.replicas.ReceiveFromLeader("n0", line) {
				t.Fatal("ReceiveFromLeader reported a missing line")
			}
		}
	}
	got := follower.replicas.Newest()
	if got == nil || !slices.Equal(got.Keys(""), []string{"a", "c"}) || got.Term != 7 || got.Era != 9 {
		t.Fatalf("follower's replica is %+v, want keys a and c of term 7 and era 9", got)
	}
	if names := p.CompleteFollowers(); !slices.Equal(names, []string{"n1"}) {
		t.Errorf("CompleteFollowers() = %v, want [n1]", names)
	}
	p.RestartFollower("n1", 1)
	if len(p.CompleteFollowers()) != 1 {
		t.Error("a restart request for another session ended the stream")
	}
	p.DropFollower("n1")
	if len(p.CompleteFollowers()) != 0 {
		t.Error("a dropped follower is still reported as complete")
	}
	p.StartStreams()
	scope.Close()
	leader.engine.Begin(leader.engine.Now) // discards the outputs of the previous step
	if leader.step("n1"); len(leader.step("n1")) != 0 {
		t.Error("lines were sent after the leadership ended")
	}
}

// TestTransfer checks that a transfer sends the whole replica, and that it stops once the sender
// has loaded records as the leader.
func TestTransfer(t *testing.T) {
	for _, loaded := range []bool{false, true} {
		from, to := newNode(1), newNode(2)
		own := from.replicas.NewReplica(9, 6)
		for i := range 3 * recordsPerLine {
			own.Put(record.JobPrefix+strings.Repeat("j", 1+i), i, 1)
		}
		from.replicas.SetOwn(own)
		from.replicas.StartTransfer("n1")
		from.loaded = loaded
		var receiver replica.Receiver
		for range 200 {
			for _, line := range from.step("n1") {
				to.replicas.Receive(&receiver, "n0", line)
			}
		}
		if got := receiver.Replica(); (got != nil) == loaded || got != nil && len(got.Keys("")) != 3*recordsPerLine {
			t.Errorf("loaded %v: received a replica: %v; want all records unless loaded", loaded, got != nil)
		}
	}
}

// TestPublishReadKeepsNewerRecord checks that a record that was read does not replace a later
// revision in the replica.
func TestPublishReadKeepsNewerRecord(t *testing.T) {
	n := newNode(1)
	p := NewPublisher(n.replicas, n.engine.NewScope(), 7)
	n.replicas.SetOwn(n.replicas.NewReplica(9, 7))
	for _, rev := range []uint64{3, 5, 4} {
		p.PublishRead(kv.Entry{Key: "a", Value: rev, Rev: rev})
	}
	if rec, _ := p.Replica().Get("a"); rec.Rev != 5 || rec.Value != uint64(5) {
		t.Errorf("record %+v, want revision 5", rec)
	}
}

// TestLateLeaderlessJob guards against a replica with a live record of an ended job: a peer's line
// about a job that it accepted without a leader arrives once the leader has adopted and ended it.
func TestLateLeaderlessJob(t *testing.T) {
	for _, test := range []struct {
		name  string
		ended bool
	}{{"unknown", false}, {"ended", true}} {
		t.Run(test.name, func(t *testing.T) {
			n := newNode(1)
			n.replicas.SetOwn(n.replicas.NewReplica(9, 7))
			if test.ended {
				n.replicas.Own().Put(record.FinalPrefix+"wk-1", &record.Final{}, 5)
			}
			n.replicas.ReceiveLeaderlessJob(&replica.Line{Term: 7, Puts: []replica.Record{{Key: record.JobPrefix + "wk-1", Value: &record.Job{}, Rev: 4}}})
			if _, live := n.replicas.Own().Get(record.JobPrefix + "wk-1"); live == test.ended {
				t.Errorf("replica has a live record: %v, want %v", live, !test.ended)
			}
		})
	}
}

// TestScrubber checks that a record missing from the store is reported as a data loss, and that
// a record that the store has is not.
func TestScrubber(t *testing.T) {
	for _, lost := range []bool{false, true} {
		n := newNode(1)
		scope := n.engine.NewScope()
		p := NewPublisher(n.replicas, scope, 7)
		n.replicas.SetOwn(n.replicas.NewReplica(9, 7))
		key := record.JobPrefix + "a"
		p.PublishRead(kv.Entry{Key: key, Value: &record.Job{}, Rev: 3})
		writes := writebatch.New(n.engine, scope, config.State{RPS: 10, WriteRPS: 10, TxnOps: 10}, kv.Condition{}, nil)
		NewScrubber(p, writes, n).Run()
		for i := 0; i < len(n.engine.Outputs); i++ { // HandleStore appends to Outputs
			call, ok := n.engine.Outputs[i].(kv.Request)
			switch {
			case !ok:
			case call.Op == kv.List && lost:
				n.engine.HandleStore(kv.Response{Ref: call.Ref, Outcome: rpc.OK})
			case call.Op == kv.List:
				n.engine.HandleStore(kv.Response{Ref: call.Ref, Outcome: rpc.OK, Entries: []kv.Entry{{Key: key, Rev: 3}}})
			case call.Op == kv.Get:
				n.engine.HandleStore(kv.Response{Ref: call.Ref, Outcome: rpc.NotFound})
			}
		}
		if (n.reportedLoss != "") != lost {
			t.Errorf("lost %v: ReportDataLoss was called with %q", lost, n.reportedLoss)
		}
	}
}
