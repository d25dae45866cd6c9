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

// node is a controller whose replication is tested.
type node struct {
	engine   *engine.Engine
	replicas *Replicas
	linked   map[string]bool
	loaded   bool
	lossSeen string
}

func (n *node) HighestTerm() uint64          { return 7 }
func (n *node) ConfirmedTerm() uint64        { return 7 }
func (n *node) IsLinked(peer string) bool    { return n.linked[peer] }
func (n *node) HasLoadedRecords() bool       { return n.loaded }
func (n *node) AdmitScrub() bool             { return true }
func (n *node) StoreRevision() uint64        { return 100 }
func (n *node) ReportDataLoss(reason string) { n.lossSeen = reason }

func newNode(seed uint64) *node {
	n := &node{engine: engine.New(rand.New(rand.NewPCG(seed, 1)), 1), linked: map[string]bool{}}
	n.engine.Begin(time.Unix(1000, 0))
	n.replicas = New(n.engine, &config.Config{HostName: "n0", Seeds: []config.Seed{{HostName: "n1"}, {HostName: "n2"}}}, n)
	return n
}

// step passes 10 ms and returns the replica lines to a peer since the step before.
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

// TestPublisher: whatever the leader reads and commits reaches a follower that is in reach, and
// what is committed while the snapshot is sent does too.
func TestPublisher(t *testing.T) {
	leader, follower := newNode(1), newNode(2)
	leader.linked["n1"] = true
	scope := leader.engine.NewScope()
	p := NewPublisher(leader.replicas, scope, 7)
	p.PutRead(kv.Entry{Key: "a", Value: 1, Rev: 1})
	if p.Replica() != nil {
		t.Fatal("there is a replica before the records are known")
	}
	leader.replicas.SetOwn(leader.replicas.NewReplica(9, 7))
	p.PutRead(kv.Entry{Key: "a", Value: 1, Rev: 1})
	p.PutRead(kv.Entry{Key: "b", Value: 2, Rev: 2})
	p.SupplyFollowers()
	p.PutCommitted([]*writebatch.Change{{Writes: []kv.Write{{Key: "b"}, {Key: "c", Value: 3}, {Key: record.LeaderlessPrefix + "x", Value: 4}}}}, 5)
	for range 50 {
		for _, line := range leader.step("n1") {
			if !follower.replicas.ReceiveFromLeader("n0", line) {
				t.Fatal("a line is missing")
			}
		}
	}
	got := follower.replicas.Newest()
	if got == nil || !slices.Equal(got.Keys(""), []string{"a", "c"}) || got.Term != 7 || got.Era != 9 {
		t.Fatalf("the follower has %+v", got)
	}
	if names := p.CompleteFollowers(); !slices.Equal(names, []string{"n1"}) {
		t.Errorf("complete: %v", names)
	}
	p.RestartFollower("n1", 1)
	if len(p.CompleteFollowers()) != 1 {
		t.Error("a stream ends for a restart of another")
	}
	p.DropFollower("n1")
	if len(p.CompleteFollowers()) != 0 {
		t.Error("a dropped follower counts as complete")
	}
	p.SupplyFollowers()
	scope.Close()
	leader.engine.Begin(leader.engine.Now) // drops the outputs of the step
	if leader.step("n1"); len(leader.step("n1")) != 0 {
		t.Error("lines go out after the leadership has ended")
	}
}

// TestTransfer: a replica goes out whole, and no further once its sender has loaded records of
// its own.
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
			t.Errorf("loaded %v: received %v", loaded, got != nil)
		}
	}
}

// TestScrubber: a record that the store has no more is reported as lost, and none that it has.
func TestScrubber(t *testing.T) {
	for _, lost := range []bool{false, true} {
		n := newNode(1)
		scope := n.engine.NewScope()
		p := NewPublisher(n.replicas, scope, 7)
		n.replicas.SetOwn(n.replicas.NewReplica(9, 7))
		key := record.JobPrefix + "a"
		p.PutRead(kv.Entry{Key: key, Value: &record.Job{}, Rev: 3})
		writes := writebatch.New(n.engine, scope, config.State{RPS: 10, WriteRPS: 10, TxnOps: 10}, kv.Condition{}, nil)
		NewScrubber(p, writes, n).Run()
		for i := 0; i < len(n.engine.Outputs); i++ { // grows while it is read
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
		if (n.lossSeen != "") != lost {
			t.Errorf("lost %v: reported %q", lost, n.lossSeen)
		}
	}
}
