package core

import (
	"slices"
	"testing"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/kv"
	"yewpass/internal/peermsg"
	"yewpass/internal/provider"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
)

// desk is a leader whose calls to the outside are answered by hand.
type desk struct {
	*testing.T
	c     *Core
	ref   uint64
	calls []any // Request and Request that nobody has answered
	said  []any // all else that has come out
}

func newDesk(t *testing.T) *desk {
	d := &desk{T: t, c: leaderOf(t, 1), ref: 1e6}
	readSchedules(t, d.c)
	d.c.StartedAt = t0
	d.c.leadership.suspended = false
	return d
}

func (d *desk) in(x any) {
	for _, o := range slices.Clone(d.c.Step(d.c.Now.Add(time.Millisecond), x)) {
		switch o := o.(type) {
		case kv.Request, provider.Request:
			d.calls = append(d.calls, o)
		case heartbeat.Reply:
			o.Orders = slices.Clone(o.Orders)
			d.said = append(d.said, o)
		default:
			d.said = append(d.said, o)
		}
	}
}

// pass lets time pass.
func (d *desk) pass(span time.Duration) {
	for end := d.c.Now.Add(span); d.c.Now.Before(end); {
		d.c.Now = d.c.Now.Add(50 * time.Millisecond)
		d.in(Tick{})
	}
}

// settle answers every call that waits: writes with the outcome, reads with nothing
// found, and returns how many writes there were.
func (d *desk) settle(o rpc.Outcome) (writes int) {
	calls := d.calls
	d.calls = nil
	for _, x := range calls {
		switch x := x.(type) {
		case kv.Request:
			r := kv.Response{Ref: x.Ref, Rev: x.Ref + 100}
			if x.Op == kv.Txn {
				writes++
				r.Outcome = o
			} else if x.Op == kv.Get {
				r.Outcome = rpc.NotFound
			}
			d.in(r)
		case provider.Request:
			r := provider.Response{Ref: x.Ref, Outcome: rpc.Refused}
			if x.Op == provider.Release {
				writes++
				r.Outcome = o
			}
			d.in(r)
		}
	}
	return writes
}

// finish lets all that is on its way come to its end.
func (d *desk) finish() {
	for range 10 {
		d.settle(rpc.OK)
		d.pass(100 * time.Millisecond)
	}
}

// user asks as a user does, the answers are in said.
func (d *desk) user(op request.Operation, id string, s *spec.Job, q *request.ScheduleParams) uint64 {
	d.ref++
	d.in(request.Request{Ref: d.ref, Op: op, ID: id, Spec: s, Schedule: q})
	return d.ref
}

// answer returns the answer to a call, or none with status 0.
func (d *desk) answer(ref uint64) request.Response {
	for _, o := range d.said {
		if a, ok := o.(request.Response); ok && a.Ref == ref {
			return a
		}
	}
	return request.Response{}
}

// report sends the machine's report and returns the orders that it gets.
func (d *desk) report(host string, counter uint64, tasks ...heartbeat.Task) []heartbeat.Order {
	d.ref++
	ref := d.ref
	d.in(heartbeat.Received{Ref: ref, Report: heartbeat.Report{Host: host, Address: host, InstanceType: "f2", Zone: "a", Spot: true, Incarnation: 1, Counter: counter, FencingToken: 1, Tasks: tasks}})
	d.pass(5 * time.Second)
	for _, o := range d.said {
		if a, ok := o.(heartbeat.Reply); ok && a.Ref == ref {
			return a.Orders
		}
	}
	return nil
}

func verbs(os []heartbeat.Order, v heartbeat.Verb) []heartbeat.Order {
	return slices.DeleteFunc(slices.Clone(os), func(o heartbeat.Order) bool { return o.Verb != v })
}

func plainJob(id string, tasks int) *spec.Job {
	return &spec.Job{ID: id, Class: "c", Owner: "t", Urgency: spec.Standard, Tasks: tasks, CPUs: 1, MemGB: 1, Image: "i", AllowSpot: true, Runtime: time.Minute}
}

// running has a job accepted and its tasks started on the machine.
func (d *desk) running(id string, tasks int) []heartbeat.Task {
	d.user(request.Submit, id, plainJob(id, tasks), nil)
	d.finish()
	var ts []heartbeat.Task
	for _, o := range verbs(d.report("host-000000", 10), heartbeat.Start) {
		ts = append(ts, heartbeat.Task{ID: o.Task, Attempt: o.Attempt, Phase: heartbeat.Running})
	}
	if len(ts) != tasks {
		d.Fatalf("%d of %d tasks start", len(ts), tasks)
	}
	d.report("host-000000", 11, ts...)
	d.settle(rpc.OK)
	return ts
}

func text(s string) *string     { return &s }
func number(x float64) *float64 { return &x }

func nightly() *request.ScheduleParams {
	n, no, yes := 1, false, true
	return &request.ScheduleParams{Name: "n", File: &schedule.File{Name: "n", Zone: "UTC", Rule: "FREQ=DAILY", At: []string{"01:00"}, Job: spec.Submission{
		JobClass: text("c"), Owner: text("t"), Shape: text("array"), Urgency: text("idle"), Shards: &n, VCPUs: number(1), GPUs: number(0), MemGB: number(1),
		Bundle: text("i"), SizeGB: number(1), SamePlace: &no, Apart: &no, Reclaimable: &yes, RuntimeS: number(10), SnapshotEveryS: number(0), SnapshotS: number(0)}}}
}

// TestNoAnswerBeforeItsWrite: whatever promises something is said once what it stands
// on is known, and not while that is delayed, refused or unknown. Then it is said.
func TestNoAnswerBeforeItsWrite(t *testing.T) {
	ok := func(d *desk, ref uint64) func() bool {
		return func() bool { s := d.answer(ref).Status; return s >= 200 && s < 300 }
	}
	schedules := func(op request.Operation) func(d *desk) func() bool {
		return func(d *desk) func() bool {
			d.user(request.SchedulePut, "", nil, nightly())
			d.finish()
			return ok(d, d.user(op, "", nil, &request.ScheduleParams{Name: "n", IdempotencyKey: "r"}))
		}
	}
	for name, promise := range map[string]func(d *desk) (promised func() bool){
		"accepted": func(d *desk) func() bool {
			ref := d.user(request.Submit, "wk-1", plainJob("wk-1", 1), nil)
			return ok(d, ref)
		},
		"accepted, asked by a peer": func(d *desk) func() bool {
			d.in(request.Request{Ref: 7, From: "n1", Op: request.Submit, ID: "wk-1", Spec: plainJob("wk-1", 1)})
			return func() bool {
				return slices.ContainsFunc(d.said, func(o any) bool {
					p, ok := o.(peermsg.Outgoing)
					return ok && p.Msg.Kind == peermsg.Response && p.Msg.Response.Status == 201
				})
			}
		},
		"known": func(d *desk) func() bool {
			d.user(request.Submit, "wk-1", plainJob("wk-1", 1), nil)
			ref := d.user(request.Submit, "wk-1", plainJob("wk-1", 1), nil)
			poll := d.user(request.Get, "wk-1", nil, nil)
			return func() bool { return ok(d, ref)() || ok(d, poll)() }
		},
		"cancelled": func(d *desk) func() bool {
			d.running("wk-1", 1)
			ref := d.user(request.Cancel, "wk-1", nil, nil)
			poll := d.user(request.Get, "wk-1", nil, nil)
			return func() bool { return ok(d, ref)() || d.answer(poll).Job.State == spec.Cancelled }
		},
		"done": func(d *desk) func() bool {
			ts := d.running("wk-1", 1)
			ts[0].Phase, ts[0].Cause = heartbeat.Exited, heartbeat.CauseDone
			d.report("host-000000", 12, ts...)
			return func() bool { return d.answer(d.user(request.Get, "wk-1", nil, nil)).Job.State == spec.Done }
		},
		"a reap at the end of a job": func(d *desk) func() bool {
			ts := d.running("wk-1", 1)
			ts[0].Phase, ts[0].Cause = heartbeat.Exited, heartbeat.CauseDone
			n := uint64(12)
			return func() bool { n++; return len(verbs(d.report("host-000000", n, ts...), heartbeat.Reap)) > 0 }
		},
		"a reap of what was done twice": func(d *desk) func() bool {
			ts := d.running("wk-1", 1)
			ts[0].Phase, ts[0].Cause = heartbeat.Exited, heartbeat.CauseDone
			d.report("host-000000", 12, ts...) // the final record goes on its way
			n := uint64(1)
			return func() bool { // another attempt of an earlier term ends as well
				n++
				return len(verbs(d.report("host-2", n, heartbeat.Task{ID: ts[0].ID, Attempt: 3, Phase: heartbeat.Exited, Cause: heartbeat.CauseDone}), heartbeat.Reap)) > 0
			}
		},
		"a reap in the middle of a job": func(d *desk) func() bool {
			ts := d.running("wk-1", 2)
			ts[0].Phase, ts[0].Cause = heartbeat.Exited, heartbeat.CauseDone
			n := uint64(12)
			return func() bool { n++; return len(verbs(d.report("host-000000", n, ts...), heartbeat.Reap)) > 0 }
		},
		"a start on a new machine": func(d *desk) func() bool {
			m := d.c.leadership.inventory.Machines()[0]
			m.Quarantined = true
			d.user(request.Submit, "wk-1", plainJob("wk-1", 1), nil)
			d.finish()
			n := uint64(0)
			return func() bool { n++; return len(verbs(d.report("host-2", n), heartbeat.Start)) > 0 }
		},
		"a release": func(d *desk) func() bool {
			d.running("wk-1", 1)
			d.c.leadership.autoscaler.Release(d.c.leadership.inventory.Machines()[0])
			j := d.c.leadership.jobs["wk-1"]
			return func() bool {
				d.c.After(0, d.c.leadership.autoscaler.SendReleases)
				d.in(Tick{})
				return j.Waiting > 0
			}
		},
		"schedule stored": func(d *desk) func() bool {
			ref := d.user(request.SchedulePut, "", nil, nightly())
			return ok(d, ref)
		},
		"schedule paused":  schedules(request.SchedulePause),
		"schedule removed": schedules(request.ScheduleDelete),
		"schedule run now": schedules(request.ScheduleRun),
	} {
		for _, bad := range []rpc.Outcome{rpc.Unknown, rpc.Refused} {
			t.Run(name, func(t *testing.T) {
				d := newDesk(t)
				promised := promise(d)
				for range 3 {
					if promised() {
						t.Fatal("said before its write")
					}
					for range 5 { // news in bulk wait a little before they go
						if d.settle(bad) > 0 {
							break
						}
						d.pass(500 * time.Millisecond)
					}
					d.pass(3 * time.Second)
				}
				if promised() {
					t.Fatal("said on the word of no write")
				}
				for range 20 {
					d.settle(rpc.OK)
					d.pass(500 * time.Millisecond)
				}
				if !promised() {
					t.Fatal("never said")
				}
			})
		}
	}
}

// TestNoAnswerOfAnotherTerm: who waits for a write that a newer term has overtaken
// hears that it is not known, and what a poll hears is as old as the records.
func TestNoAnswerOfAnotherTerm(t *testing.T) {
	d := newDesk(t)
	ref := d.user(request.Submit, "wk-1", plainJob("wk-1", 1), nil)
	for _, x := range d.calls {
		if call, ok := x.(kv.Request); ok && call.Op == kv.Txn {
			if !slices.Contains(call.Conditions, kv.Condition{Key: record.TermKey, Rev: 1}) {
				t.Errorf("a write without the condition of the term: %+v", call.Conditions)
			}
			d.in(kv.Response{Ref: call.Ref, Outcome: rpc.Conflict, FailedKeys: []string{record.TermKey}})
		}
	}
	if a := d.answer(ref); a.Status != 503 {
		t.Errorf("%+v", a)
	}
	if d.c.leadership != nil {
		t.Error("leads on")
	}
}

// TestAcceptedElsewhereMeanwhile: who has submitted at the leader a job that another node
// accepts meanwhile hears so when the leader takes it on.
func TestAcceptedElsewhereMeanwhile(t *testing.T) {
	d := newDesk(t)
	ref := d.user(request.Submit, "wk-1", plainJob("wk-1", 1), nil)
	d.calls = nil // its write is on its way
	d.c.afterWhileLeading(0, func() { d.c.leadership.admitter.AdoptLeaderless(record.LeaderlessPrefix + "wk-1") })
	d.in(Tick{})
	for _, x := range d.calls {
		if call, ok := x.(kv.Request); ok && call.Op == kv.Get && call.Key == record.JobPrefix+"wk-1" {
			rec := &record.Job{Spec: *plainJob("wk-1", 1), Submitted: d.c.Now}
			d.in(kv.Response{Ref: call.Ref, Rev: 90, Entries: []kv.Entry{{Key: call.Key, Value: rec, Rev: 90}}})
		}
	}
	if a := d.answer(ref); a.Status != 200 || a.Job.State != spec.Queued {
		t.Errorf("%+v", a)
	}
}

// TestNothingFound: 404 takes two answers of the state service that say so, and one that
// its data is what this leader's term is on record with.
func TestNothingFound(t *testing.T) {
	for _, o := range []rpc.Outcome{rpc.NotFound, rpc.Unknown, rpc.Refused, rpc.Invalid} {
		d := newDesk(t)
		ref := d.user(request.Get, "wk-1", nil, nil)
		for i := range 2 {
			call := d.calls[len(d.calls)-1].(kv.Request)
			r := kv.Response{Ref: call.Ref, Outcome: rpc.NotFound}
			if i == 1 {
				r.Outcome = o
			}
			if d.answer(ref).Status != 0 {
				t.Fatal("an answer before it is known")
			}
			d.in(r)
		}
		if o != rpc.NotFound {
			if a := d.answer(ref); a.Status != 503 {
				t.Errorf("outcome %v: %+v", o, a)
			}
			continue
		}
		for _, sure := range []bool{true, false} {
			call := d.calls[len(d.calls)-1].(kv.Request)
			if call.Op != kv.Txn || len(call.Writes) > 0 || d.answer(ref).Status != 0 {
				t.Fatalf("an answer before it is sure: %+v", call)
			}
			want, r := 404, kv.Response{Ref: call.Ref, Outcome: rpc.OK}
			if !sure {
				want, r = 503, kv.Response{Ref: call.Ref, Outcome: rpc.Conflict, FailedKeys: []string{record.TermKey}}
			}
			d.in(r)
			if a := d.answer(ref); a.Status != want {
				t.Errorf("sure %v: %+v", sure, a)
			}
			if sure { // and once more
				ref = d.user(request.Get, "wk-2", nil, nil)
				for range 2 {
					d.in(kv.Response{Ref: d.calls[len(d.calls)-1].(kv.Request).Ref, Outcome: rpc.NotFound})
				}
			}
		}
		if d.c.leadership != nil {
			t.Error("leads on without a term on record")
		}
	}
}
