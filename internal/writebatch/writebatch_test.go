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

// idleLeader is a Leader that may act but has no changes of its own.
type idleLeader struct{}

func (idleLeader) IsActive() bool                   { return true }
func (idleLeader) ConfigBatchDue() bool             { return true }
func (idleLeader) QueueRestores()                   {}
func (idleLeader) QueueDueOccurrences()             {}
func (idleLeader) HasDueOccurrences() bool          { return false }
func (idleLeader) ReplicateBatch([]*Change, uint64) {}
func (idleLeader) Replicate(kv.Entry)               {}
func (idleLeader) StepDown(string)                  {}

func newBatcher(t *testing.T) (*Batcher, *engine.Engine) {
	t.Helper()
	eng := engine.New(rand.New(rand.NewPCG(7, 7)), 0)
	eng.Now = t0
	st := config.State{RPS: 250, WriteRPS: 60, ValueKB: 16, TxnOps: 12}
	return New(eng, eng.NewScope(), st, kv.Condition{Key: record.TermKey, Rev: 1}, idleLeader{}), eng
}

// TestConflictOnUnknownKey checks that a batch is retried only after a delay if none of the failed
// keys belongs to it.
func TestConflictOnUnknownKey(t *testing.T) {
	b, eng := newBatcher(t)
	ch := &Change{Writes: []kv.Write{{Key: "a", Value: &record.Term{Term: 1}}}}
	b.handleResponse([]*Change{ch}, kv.Response{Outcome: rpc.Conflict, FailedKeys: []string{"something else"}})
	if !b.pausedUntil.After(eng.Now) || len(b.Queued(Urgent)) != 1 {
		t.Errorf("paused until %v with %d queued changes, want a pause and 1 change", b.pausedUntil, len(b.Queued(Urgent)))
	}
}

// TestMalformedChange checks that a change rejected as malformed is retried behind the others.
func TestMalformedChange(t *testing.T) {
	b, eng := newBatcher(t)
	bad, good := &Change{Writes: []kv.Write{{Key: "a"}}}, &Change{Writes: []kv.Write{{Key: "b"}}}
	b.handleResponse([]*Change{bad, good}, kv.Response{Outcome: rpc.Invalid})
	b.dequeueBatch(Urgent, 9)
	b.handleResponse([]*Change{bad}, kv.Response{Outcome: rpc.Invalid})
	if w := b.Queued(Urgent); len(w) != 1 || w[0] != good {
		t.Errorf("%d queued changes, want only the valid one", len(w))
	}
	eng.Now = eng.Now.Add(2 * time.Second)
	eng.RunTimers()
	if w := b.Queued(Urgent); len(w) != 2 || w[1] != bad {
		t.Errorf("%d queued changes, want 2 with the malformed one last", len(w))
	}
}

// TestConfigWriteShare checks that a burst of submissions does not delay configuration changes, and
// that a burst of configuration changes leaves the other changes their share of the write rate.
func TestConfigWriteShare(t *testing.T) {
	limits := newLimits(config.State{RPS: 350, WriteRPS: 80, TxnOps: 12})
	now := t0
	limits.Consume(Urgent, now, 64) // uses up the available writes
	if room := limits.AvailableWrites(Urgent, now, 12); room >= minWrites(Urgent) {
		t.Errorf("%d urgent writes available, want fewer than the minimum", room)
	}
	if room := limits.AvailableWrites(Config, now, 12); room < minWrites(Config) {
		t.Errorf("%d configuration writes available, want at least the minimum", room)
	}
	written, others := 0, 0
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if room := limits.AvailableWrites(Config, now, 12); room >= 12 { // wait for full batches
			limits.Consume(Config, now, room)
			written += room
		}
		if room := limits.AvailableWrites(Urgent, now, 12); room > 0 {
			limits.Consume(Urgent, now, room)
			others += room
		}
	}
	if configRate := float64(written) / 60; configRate < 10 || configRate > 13 {
		t.Errorf("%.1f configuration writes per second, want 10 to 13", configRate)
	}
	if otherRate := float64(others) / 60; otherRate < 58 || otherRate > 63 {
		t.Errorf("%.1f other writes per second, want 58 to 63", otherRate)
	}
}

// TestResponseAfterLeadershipEnds checks that no callback of a change runs after the leadership has
// ended.
func TestResponseAfterLeadershipEnds(t *testing.T) {
	b, eng := newBatcher(t)
	committed := false
	b.Add(&Change{Writes: []kv.Write{{Key: "a"}}, OnCommit: func(uint64) { committed = true }})
	b.Flush()
	call, ok := eng.Outputs[len(eng.Outputs)-1].(kv.Request)
	if !ok || !b.HasUncommitted("a") {
		t.Fatalf("no transaction in the outputs: %v", eng.Outputs)
	}
	b.scope.Close()
	eng.HandleStore(kv.Response{Ref: call.Ref, Outcome: rpc.OK, Rev: 2})
	if committed {
		t.Error("OnCommit was called after the leadership had ended")
	}
}
