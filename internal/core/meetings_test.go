package core

import (
	"slices"
	"testing"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/replica"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
)

// The tests in this file combine two failures or delays in a single core.

// heartbeatReply returns the last reply to a heartbeat, or one with status 0 if there is none.
func (h *leaderHarness) heartbeatReply(ref uint64) (a heartbeat.Reply) {
	for _, o := range h.outputs {
		if x, ok := o.(heartbeat.Reply); ok && x.Ref == ref {
			a = x
		}
	}
	return a
}

// TestGracePeriodUsesBothClocks checks that a leader without authority stops answering heartbeats
// once the grace period has ended by the wall clock, even if the monotonic clock has stopped.
func TestGracePeriodUsesBothClocks(t *testing.T) {
	for _, ahead := range []time.Duration{0, 30 * time.Second} {
		h := newLeaderHarness(t)
		h.c.leaseTiming.CancelTimeout = 60 * time.Second // gives a grace period of 30 s
		ts := h.startJob("wk-1", 1)
		l := h.c.leadership
		h.c.Now = maxTime(h.c.Now, l.expiresAt).Add(2 * time.Second)
		l.clockSkew = h.c.ClockSkew(h.c.Now)
		h.c.SetClockOffset(ahead)
		h.lastRef++
		h.step(heartbeat.Received{Ref: h.lastRef, Report: heartbeat.Report{Host: "host-000000", InstanceType: "f2", Zone: "a", Incarnation: 1, Counter: 20, FencingToken: 1, Tasks: ts}})
		if a := h.heartbeatReply(h.lastRef); (a.Status == 200) != (ahead == 0) {
			t.Errorf("wall clock %v ahead: status %d, want 200 only if it is not ahead", ahead, a.Status)
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestPendingCancellation checks that the next heartbeat reply stops the tasks of a job whose
// cancellation is being written, with or without authority, and that status requests return no
// older state while the write may have committed.
func TestPendingCancellation(t *testing.T) {
	for _, lapsed := range []bool{false, true} {
		h := newLeaderHarness(t)
		h.c.leaseTiming.CancelTimeout = 60 * time.Second
		ts := h.startJob("wk-1", 1)
		cancel := h.sendRequest(request.Cancel, "wk-1", nil, nil)
		if lapsed {
			h.c.Now = maxTime(h.c.Now, h.c.leadership.expiresAt).Add(2 * time.Second)
			h.c.leadership.clockSkew = h.c.ClockSkew(h.c.Now)
			h.step(Tick{})
		}
		if os := h.sendHeartbeat("host-000000", 20, ts...); len(withVerb(os, heartbeat.Stop)) != 1 || len(os) != 1 || os[0].Drain != 0 {
			t.Errorf("authority lapsed %v: orders %+v, want one stop without drain", lapsed, os)
		}
		if a := h.response(cancel); a.Status == 200 {
			t.Errorf("authority lapsed %v: cancellation confirmed before its write: %+v", lapsed, a)
		}
		if lapsed {
			continue
		}
		get := h.sendRequest(request.Get, "wk-1", nil, nil)
		h.advance(100 * time.Millisecond)
		if a := h.response(get); a.Status != 0 {
			t.Errorf("response %+v while the write is pending, want none", a)
		}
		h.advance(time.Second)
		if a := h.response(get); a.Status != 503 {
			t.Errorf("response %+v, want status 503 after the wait", a)
		}
		get = h.sendRequest(request.Get, "wk-1", nil, nil)
		h.answerPending(rpc.OK)
		if a := h.response(get); a.Status != 200 || a.Job.State != spec.Cancelled {
			t.Errorf("response %+v, want state cancelled after the commit", a)
		}
	}
}

// TestCancelTimeoutShorterThanLease checks that a cancellation is answered with a retry delay and
// recorded only after the tasks have ended if worker leases may outlast the cancel timeout.
func TestCancelTimeoutShorterThanLease(t *testing.T) {
	h := newLeaderHarness(t)
	h.c.leaseTiming.CancelTimeout = h.c.workerLease - 5*time.Second
	ts := h.startJob("wk-1", 1)
	h.quiesce()
	first := h.sendRequest(request.Cancel, "wk-1", nil, nil)
	if a := h.response(first); a.Status != 503 || a.RetryAfter < 5*time.Second {
		t.Errorf("response %+v, want status 503 with at least 5 s of Retry-After", a)
	}
	if n := h.answerPending(rpc.OK); n != 0 {
		t.Error("cancellation recorded while a worker lease may outlast the timeout")
	}
	ts[0].Phase, ts[0].Cause = heartbeat.Exited, heartbeat.CauseStopped
	h.sendHeartbeat("host-000000", 20, ts...)
	again := h.sendRequest(request.Cancel, "wk-1", nil, nil)
	h.quiesce()
	if a := h.response(again); a.Status != 200 || a.Job.State != spec.Cancelled {
		t.Errorf("response %+v, want state cancelled after the task has exited", a)
	}
}

// TestRestoreRequiresNoFinalRecord checks that a job record lost by the store is written back only
// on the condition that the job has no final record, since a delayed write must not reopen a
// finished job.
func TestRestoreRequiresNoFinalRecord(t *testing.T) {
	h := newLeaderHarness(t)
	h.startJob("wk-1", 1)
	l := h.c.leadership
	key := record.JobPrefix + "wk-1"
	h.c.replicas.SetOwn(replica.New(1, l.term, record.FinalPrefix, 100))
	h.c.replicas.Own().Put(key, l.jobs["wk-1"].Record, 0)
	h.pending = nil
	l.restorer.Begin([]replica.Record{{Key: key, Value: l.jobs["wk-1"].Record}}, "", "")
	l.restorer.QueueNext()
	h.advance(time.Second)
	for _, x := range h.pending {
		call, ok := x.(kv.Request)
		if !ok || !slices.ContainsFunc(call.Writes, func(w kv.Write) bool { return w.Key == key }) {
			continue
		}
		if !slices.Contains(call.Conditions, kv.Condition{Key: record.FinalPrefix + "wk-1", Rev: 0}) {
			t.Errorf("written back with conditions %+v, want one that there is no final record", call.Conditions)
		}
		return
	}
	t.Error("the job record is not written back")
}

// TestNewestAttemptWins checks that a late heartbeat about an earlier attempt does not stop the
// newer attempt that is running.
func TestNewestAttemptWins(t *testing.T) {
	h := newLeaderHarness(t)
	l := h.c.leadership
	j := h.c.leadership.lifecycle.Add(&record.Job{Spec: *plainJob("wk-1", 1), Submitted: t0}, true)
	h.c.leadership.lifecycle.Queue(j)
	reportAttempt := func(host string, try uint64) *fleet.Attempt {
		m := h.c.leadership.inventory.Ensure(host, "f2", "a", true)
		h.c.leadership.reconciler.Reconcile(m, &heartbeat.Report{Host: host, Incarnation: 1, Counter: 5, Tasks: []heartbeat.Task{{ID: heartbeat.TaskID{Job: "wk-1"}, Attempt: try, Phase: heartbeat.Running}}})
		return m.Attempts[0]
	}
	old := reportAttempt("host-x", 3)
	newer := reportAttempt("host-y", 4)
	if !old.StopRequested || newer.StopRequested || j.Attempts[0] != newer || l.teams["t"].Allocated.CPU != j.Need.CPU {
		t.Errorf("stop requested for the earlier attempt: %v, for the newer one: %v, want only the earlier stopped and the newer counted", old.StopRequested, newer.StopRequested)
	}
	// An earlier attempt that is reported after the newer one changes nothing either.
	if late := reportAttempt("host-z", 2); !late.StopRequested || j.Attempts[0] != newer {
		t.Error("an earlier attempt that is reported late replaces the newer one")
	}
}
