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

// Two troubles that meet, where one core alone shows what it must do.

// statuses returns how a report was answered, and with which orders.
func (d *desk) replied(ref uint64) (a heartbeat.Reply) {
	for _, o := range d.said {
		if x, ok := o.(heartbeat.Reply); ok && x.Ref == ref {
			a = x
		}
	}
	return a
}

// TestHoldByBothClocks: a leader without authority answers workers for so long and no
// longer, also when its steady clock has stood still meanwhile.
func TestHoldByBothClocks(t *testing.T) {
	for _, ahead := range []time.Duration{0, 30 * time.Second} {
		d := newDesk(t)
		d.c.leaseTiming.CancelTimeout = 60 * time.Second // holds for half a minute
		ts := d.running("wk-1", 1)
		l := d.c.leadership
		d.c.Now = later(d.c.Now, l.expiresAt).Add(2 * time.Second)
		l.clockSkew = d.c.ClockSkew(d.c.Now)
		d.c.SetClockOffset(ahead)
		d.ref++
		d.in(heartbeat.Received{Ref: d.ref, Report: heartbeat.Report{Host: "host-000000", InstanceType: "f2", Zone: "a", Incarnation: 1, Counter: 20, FencingToken: 1, Tasks: ts}})
		if a := d.replied(d.ref); (a.Status == 200) != (ahead == 0) {
			t.Errorf("with the time of day %v ahead the answer is %d", ahead, a.Status)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestBegunCancellation: what is begun to be cancelled is stopped with the next reply, in
// authority and out of it; who asks meanwhile hears nothing older than what the record may
// say, once it may be there.
func TestBegunCancellation(t *testing.T) {
	for _, lapsed := range []bool{false, true} {
		d := newDesk(t)
		d.c.leaseTiming.CancelTimeout = 60 * time.Second
		ts := d.running("wk-1", 1)
		cancel := d.user(request.Cancel, "wk-1", nil, nil)
		if lapsed {
			d.c.Now = later(d.c.Now, d.c.leadership.expiresAt).Add(2 * time.Second)
			d.c.leadership.clockSkew = d.c.ClockSkew(d.c.Now)
			d.in(Tick{})
		}
		if os := d.report("host-000000", 20, ts...); len(verbs(os, heartbeat.Stop)) != 1 || len(os) != 1 || os[0].Drain != 0 {
			t.Errorf("lapsed %v: the machine is told %+v", lapsed, os)
		}
		if a := d.answer(cancel); a.Status == 200 {
			t.Errorf("lapsed %v: confirmed before its write: %+v", lapsed, a)
		}
		if lapsed {
			continue
		}
		get := d.user(request.Get, "wk-1", nil, nil)
		d.pass(100 * time.Millisecond)
		if a := d.answer(get); a.Status != 0 {
			t.Errorf("told %+v while the record may say otherwise", a)
		}
		d.pass(time.Second)
		if a := d.answer(get); a.Status != 503 {
			t.Errorf("told %+v in the end", a)
		}
		get = d.user(request.Get, "wk-1", nil, nil)
		d.settle(rpc.OK)
		if a := d.answer(get); a.Status != 200 || a.Job.State != spec.Cancelled {
			t.Errorf("told %+v once it is committed", a)
		}
	}
}

// TestCancelShorterThanLease: where a lease may outlast a cancellation's time, the record is
// written once the tasks are gone in time, and the user told at once to come back.
func TestCancelShorterThanLease(t *testing.T) {
	d := newDesk(t)
	d.c.leaseTiming.CancelTimeout = d.c.workerLease - 5*time.Second
	ts := d.running("wk-1", 1)
	d.finish()
	first := d.user(request.Cancel, "wk-1", nil, nil)
	if a := d.answer(first); a.Status != 503 || a.RetryAfter < 5*time.Second {
		t.Errorf("told %+v", a)
	}
	if n := d.settle(rpc.OK); n != 0 {
		t.Error("on record while a lease may outlast it")
	}
	ts[0].Phase, ts[0].Cause = heartbeat.Exited, heartbeat.CauseStopped
	d.report("host-000000", 20, ts...)
	again := d.user(request.Cancel, "wk-1", nil, nil)
	d.finish()
	if a := d.answer(again); a.Status != 200 || a.Job.State != spec.Cancelled {
		t.Errorf("told %+v once its task is gone", a)
	}
}

// TestRestoredLate: the record of a job that is written back after a loss is written on the
// condition that the job is not over: a try that is carried out late must not bring it back.
func TestRestoredLate(t *testing.T) {
	d := newDesk(t)
	d.running("wk-1", 1)
	l := d.c.leadership
	key := record.JobPrefix + "wk-1"
	d.c.replicas.SetOwn(replica.New(1, l.term, record.FinalPrefix, 100))
	d.c.replicas.Own().Put(key, l.jobs["wk-1"].Record, 0)
	d.calls = nil
	l.restorer.Begin([]replica.Record{{Key: key, Value: l.jobs["wk-1"].Record}}, "", "")
	l.restorer.QueueNext()
	d.pass(time.Second)
	for _, x := range d.calls {
		call, ok := x.(kv.Request)
		if !ok || !slices.ContainsFunc(call.Writes, func(w kv.Write) bool { return w.Key == key }) {
			continue
		}
		if !slices.Contains(call.Conditions, kv.Condition{Key: record.FinalPrefix + "wk-1", Rev: 0}) {
			t.Errorf("written back on %+v", call.Conditions)
		}
		return
	}
	t.Error("not written back")
}

// TestLaterAttemptStays: a late report tells a new leader of an attempt that was over long
// ago; the one that runs is not stopped for it.
func TestLaterAttemptStays(t *testing.T) {
	d := newDesk(t)
	l := d.c.leadership
	j := d.c.leadership.lifecycle.Add(&record.Job{Spec: *plainJob("wk-1", 1), Submitted: t0}, true)
	d.c.leadership.lifecycle.Queue(j)
	at := func(host string, try uint64) *fleet.Attempt {
		m := d.c.leadership.inventory.Ensure(host, "f2", "a", true)
		d.c.leadership.reconciler.Reconcile(m, &heartbeat.Report{Host: host, Incarnation: 1, Counter: 5, Tasks: []heartbeat.Task{{ID: heartbeat.TaskID{Job: "wk-1"}, Attempt: try, Phase: heartbeat.Running}}})
		return m.Attempts[0]
	}
	old := at("host-x", 3)
	now := at("host-y", 4)
	if !old.StopRequested || now.StopRequested || j.Attempts[0] != now || l.teams["t"].Allocated.CPU != j.Need.CPU {
		t.Errorf("the earlier attempt stops %v, the later one %v", old.StopRequested, now.StopRequested)
	}
	// The other way round the late word changes nothing.
	if late := at("host-z", 2); !late.StopRequested || j.Attempts[0] != now {
		t.Error("a late word of an earlier attempt takes the place of the one that runs")
	}
}
