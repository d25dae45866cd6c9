package writebatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/rpc"
)

var t0 = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// idleLeader is a leader in authority that has nothing to write of its own.
type idleLeader struct{}

func (idleLeader) CanAct() bool                     { return true }
func (idleLeader) ConfigBatchDue() bool             { return true }
func (idleLeader) QueueRestores()                  {}
func (idleLeader) QueueDueOccurrences()                 {}
func (idleLeader) HasDueOccurrences() bool            { return false }
func (idleLeader) ReplicateBatch([]*Change, uint64) {}
func (idleLeader) ReplicateEntry(kv.Entry)          {}
func (idleLeader) StepDown(string)                  {}

func newBatcher(t *testing.T) (*Batcher, *engine.Engine) {
	t.Helper()
	eng := engine.New(rand.New(rand.NewPCG(7, 7)), 0)
	eng.Now = t0
	st := config.State{RPS: 250, WriteRPS: 60, ValueKB: 16, TxnOps: 12}
	return New(eng, eng.NewScope(), st, kv.Condition{Key: record.TermKey, Rev: 1}, idleLeader{}), eng
}

// TestStrangeConflict: an answer that names no condition of ours is not tried again
// at once, for ever.
func TestStrangeConflict(t *testing.T) {
	b, eng := newBatcher(t)
	ch := &Change{Writes: []kv.Write{{Key: "a", Value: &record.Term{Term: 1}}}}
	b.handleReply([]*Change{ch}, kv.Response{Outcome: rpc.Conflict, FailedKeys: []string{"something else"}})
	if !b.pausedUntil.After(eng.Now) || len(b.Queued(Urgent)) != 1 {
		t.Errorf("pause until %v, %d wait", b.pausedUntil, len(b.Queued(Urgent)))
	}
}

// TestMalformedChange: a change that the state service calls malformed stands back
// behind the others.
func TestMalformedChange(t *testing.T) {
	b, eng := newBatcher(t)
	bad, good := &Change{Writes: []kv.Write{{Key: "a"}}}, &Change{Writes: []kv.Write{{Key: "b"}}}
	b.handleReply([]*Change{bad, good}, kv.Response{Outcome: rpc.Invalid})
	b.takeBatch(Urgent, 9)
	b.handleReply([]*Change{bad}, kv.Response{Outcome: rpc.Invalid})
	if w := b.Queued(Urgent); len(w) != 1 || w[0] != good {
		t.Errorf("%d wait", len(w))
	}
	eng.Now = eng.Now.Add(2 * time.Second)
	eng.RunTimers()
	if w := b.Queued(Urgent); len(w) != 2 || w[1] != bad {
		t.Errorf("%d wait: the malformed one is lost or goes first", len(w))
	}
}

// TestConfigHasItsPart: a storm of submissions does not hold up a change of configuration,
// and a storm of changes leaves the others their part.
func TestConfigHasItsPart(t *testing.T) {
	p := newLimits(config.State{RPS: 350, WriteRPS: 80, TxnOps: 12})
	now := t0
	p.Consume(Urgent, now, 64) // a storm has taken all there is
	if room := p.AvailableWrites(Urgent, now, 12); room >= minWrites(Urgent) {
		t.Errorf("room for %d more submissions", room)
	}
	if room := p.AvailableWrites(Config, now, 12); room < minWrites(Config) {
		t.Errorf("no room for a change of configuration: %d", room)
	}
	written, others := 0, 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if room := p.AvailableWrites(Config, now, 12); room >= 12 { // as many changes as go
			p.Consume(Config, now, room)
			written += room
		}
		if room := p.AvailableWrites(Urgent, now, 12); room > 0 {
			p.Consume(Urgent, now, room)
			others += room
		}
	}
	if part := float64(written) / 60; part < 10 || part > 13 {
		t.Errorf("%.1f changes of configuration a second", part)
	}
	if rest := float64(others) / 60; rest < 58 || rest > 63 {
		t.Errorf("%.1f others a second", rest)
	}
}

// TestFollowingLeadershipUndisturbed: what a batcher has sent is not settled once its
// leadership is over.
func TestFollowingLeadershipUndisturbed(t *testing.T) {
	b, eng := newBatcher(t)
	settled := false
	b.Add(&Change{Writes: []kv.Write{{Key: "a"}}, OnCommit: func(uint64) { settled = true }})
	b.Flush()
	call, ok := eng.Outputs[len(eng.Outputs)-1].(kv.Request)
	if !ok || !b.HasUncommitted("a") {
		t.Fatalf("nothing was sent: %v", eng.Outputs)
	}
	b.scope.Close()
	eng.HandleStore(kv.Response{Ref: call.Ref, Outcome: rpc.OK, Rev: 2})
	if settled {
		t.Error("a change was settled after its leadership had ended")
	}
}
