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

// leaderHarness drives a leader's Core. The test answers the store and provider requests.
type leaderHarness struct {
	*testing.T
	c       *Core
	lastRef uint64
	pending []any // store and provider requests not yet answered
	outputs []any // all other outputs
}

func newLeaderHarness(t *testing.T) *leaderHarness {
	h := &leaderHarness{T: t, c: newLeader(t, 1), lastRef: 1e6}
	loadNoSchedules(t, h.c)
	h.c.StartedAt = t0
	h.c.leadership.suspended = false
	return h
}

func (h *leaderHarness) step(x any) {
	for _, o := range slices.Clone(h.c.Step(h.c.Now.Add(time.Millisecond), x)) {
		switch o := o.(type) {
		case kv.Request, provider.Request:
			h.pending = append(h.pending, o)
		case heartbeat.Reply:
			o.Orders = slices.Clone(o.Orders)
			h.outputs = append(h.outputs, o)
		default:
			h.outputs = append(h.outputs, o)
		}
	}
}

// advance moves the clock forward by span in ticks of 50 ms.
func (h *leaderHarness) advance(span time.Duration) {
	for end := h.c.Now.Add(span); h.c.Now.Before(end); {
		h.c.Now = h.c.Now.Add(50 * time.Millisecond)
		h.step(Tick{})
	}
}

// answerPending answers all pending requests and returns the number of writes. Writes and releases
// get outcome o, store reads find nothing, and other provider requests are refused.
func (h *leaderHarness) answerPending(o rpc.Outcome) (writes int) {
	calls := h.pending
	h.pending = nil
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
			h.step(r)
		case provider.Request:
			r := provider.Response{Ref: x.Ref, Outcome: rpc.Refused}
			if x.Op == provider.Release {
				writes++
				r.Outcome = o
			}
			h.step(r)
		}
	}
	return writes
}

// quiesce answers requests with success for a second.
func (h *leaderHarness) quiesce() {
	for range 10 {
		h.answerPending(rpc.OK)
		h.advance(100 * time.Millisecond)
	}
}

// sendRequest sends a user's request and returns its reference. The response goes to outputs.
func (h *leaderHarness) sendRequest(op request.Operation, id string, s *spec.Job, q *request.ScheduleParams) uint64 {
	h.lastRef++
	h.step(request.Request{Ref: h.lastRef, Op: op, ID: id, Spec: s, Schedule: q})
	return h.lastRef
}

// response returns the response to a request, or one with status 0 if there is none yet.
func (h *leaderHarness) response(ref uint64) request.Response {
	for _, o := range h.outputs {
		if a, ok := o.(request.Response); ok && a.Ref == ref {
			return a
		}
	}
	return request.Response{}
}

// sendHeartbeat sends a machine's heartbeat, lets 5 s pass and returns the orders of the reply.
func (h *leaderHarness) sendHeartbeat(host string, counter uint64, tasks ...heartbeat.Task) []heartbeat.Order {
	h.lastRef++
	ref := h.lastRef
	h.step(heartbeat.Received{Ref: ref, Report: heartbeat.Report{Host: host, Address: host, InstanceType: "f2", Zone: "a", Spot: true, Incarnation: 1, Counter: counter, FencingToken: 1, Tasks: tasks}})
	h.advance(5 * time.Second)
	for _, o := range h.outputs {
		if a, ok := o.(heartbeat.Reply); ok && a.Ref == ref {
			return a.Orders
		}
	}
	return nil
}

func withVerb(orders []heartbeat.Order, v heartbeat.Verb) []heartbeat.Order {
	return slices.DeleteFunc(slices.Clone(orders), func(o heartbeat.Order) bool { return o.Verb != v })
}

func plainJob(id string, tasks int) *spec.Job {
	return &spec.Job{ID: id, Class: "c", Owner: "t", Urgency: spec.Standard, Tasks: tasks, CPUs: 1, MemGB: 1, Image: "i", AllowSpot: true, Runtime: time.Minute}
}

// startJob submits a job and reports its tasks as running on host-000000.
func (h *leaderHarness) startJob(id string, tasks int) []heartbeat.Task {
	h.sendRequest(request.Submit, id, plainJob(id, tasks), nil)
	h.quiesce()
	var ts []heartbeat.Task
	for _, o := range withVerb(h.sendHeartbeat("host-000000", 10), heartbeat.Start) {
		ts = append(ts, heartbeat.Task{ID: o.Task, Attempt: o.Attempt, Phase: heartbeat.Running})
	}
	if len(ts) != tasks {
		h.Fatalf("started %d tasks, want %d", len(ts), tasks)
	}
	h.sendHeartbeat("host-000000", 11, ts...)
	h.answerPending(rpc.OK)
	return ts
}

func stringPtr(s string) *string  { return &s }
func floatPtr(x float64) *float64 { return &x }

func nightlySchedule() *request.ScheduleParams {
	n, no, yes := 1, false, true
	return &request.ScheduleParams{Name: "n", File: &schedule.File{Name: "n", Zone: "UTC", Rule: "FREQ=DAILY", At: []string{"01:00"}, Job: spec.Submission{
		JobClass: stringPtr("c"), Owner: stringPtr("t"), Shape: stringPtr("array"), Urgency: stringPtr("idle"), Shards: &n, VCPUs: floatPtr(1), GPUs: floatPtr(0), MemGB: floatPtr(1),
		Bundle: stringPtr("i"), SizeGB: floatPtr(1), SamePlace: &no, Apart: &no, Reclaimable: &yes, RuntimeS: floatPtr(10), SnapshotEveryS: floatPtr(0), SnapshotS: floatPtr(0)}}}
}

// TestResponseWaitsForCommit checks that a response or order that depends on a write is sent only
// once the write has committed.
func TestResponseWaitsForCommit(t *testing.T) {
	ok := func(h *leaderHarness, ref uint64) func() bool {
		return func() bool { s := h.response(ref).Status; return s >= 200 && s < 300 }
	}
	schedules := func(op request.Operation) func(h *leaderHarness) func() bool {
		return func(h *leaderHarness) func() bool {
			h.sendRequest(request.SchedulePut, "", nil, nightlySchedule())
			h.quiesce()
			return ok(h, h.sendRequest(op, "", nil, &request.ScheduleParams{Name: "n", IdempotencyKey: "r"}))
		}
	}
	for name, begin := range map[string]func(h *leaderHarness) (sent func() bool){
		"submit response": func(h *leaderHarness) func() bool {
			ref := h.sendRequest(request.Submit, "wk-1", plainJob("wk-1", 1), nil)
			return ok(h, ref)
		},
		"submit response to a peer": func(h *leaderHarness) func() bool {
			h.step(request.Request{Ref: 7, From: "n1", Op: request.Submit, ID: "wk-1", Spec: plainJob("wk-1", 1)})
			return func() bool {
				return slices.ContainsFunc(h.outputs, func(o any) bool {
					p, ok := o.(peermsg.Outgoing)
					return ok && p.Msg.Kind == peermsg.Response && p.Msg.Response.Status == 201
				})
			}
		},
		"duplicate submit and status": func(h *leaderHarness) func() bool {
			h.sendRequest(request.Submit, "wk-1", plainJob("wk-1", 1), nil)
			ref := h.sendRequest(request.Submit, "wk-1", plainJob("wk-1", 1), nil)
			poll := h.sendRequest(request.Get, "wk-1", nil, nil)
			return func() bool { return ok(h, ref)() || ok(h, poll)() }
		},
		"cancel response and status": func(h *leaderHarness) func() bool {
			h.startJob("wk-1", 1)
			ref := h.sendRequest(request.Cancel, "wk-1", nil, nil)
			poll := h.sendRequest(request.Get, "wk-1", nil, nil)
			return func() bool { return ok(h, ref)() || h.response(poll).Job.State == spec.Cancelled }
		},
		"status of a completed job": func(h *leaderHarness) func() bool {
			ts := h.startJob("wk-1", 1)
			ts[0].Phase, ts[0].Cause = heartbeat.Exited, heartbeat.CauseDone
			h.sendHeartbeat("host-000000", 12, ts...)
			return func() bool { return h.response(h.sendRequest(request.Get, "wk-1", nil, nil)).Job.State == spec.Done }
		},
		"reap of the last task": func(h *leaderHarness) func() bool {
			ts := h.startJob("wk-1", 1)
			ts[0].Phase, ts[0].Cause = heartbeat.Exited, heartbeat.CauseDone
			n := uint64(12)
			return func() bool { n++; return len(withVerb(h.sendHeartbeat("host-000000", n, ts...), heartbeat.Reap)) > 0 }
		},
		"reap of a duplicate attempt": func(h *leaderHarness) func() bool {
			ts := h.startJob("wk-1", 1)
			ts[0].Phase, ts[0].Cause = heartbeat.Exited, heartbeat.CauseDone
			h.sendHeartbeat("host-000000", 12, ts...) // the leader writes the final record
			n := uint64(1)
			return func() bool { // a duplicate attempt from an earlier term exits too
				n++
				return len(withVerb(h.sendHeartbeat("host-2", n, heartbeat.Task{ID: ts[0].ID, Attempt: 3, Phase: heartbeat.Exited, Cause: heartbeat.CauseDone}), heartbeat.Reap)) > 0
			}
		},
		"reap of one of several tasks": func(h *leaderHarness) func() bool {
			ts := h.startJob("wk-1", 2)
			ts[0].Phase, ts[0].Cause = heartbeat.Exited, heartbeat.CauseDone
			n := uint64(12)
			return func() bool { n++; return len(withVerb(h.sendHeartbeat("host-000000", n, ts...), heartbeat.Reap)) > 0 }
		},
		"start on a new machine": func(h *leaderHarness) func() bool {
			m := h.c.leadership.inventory.Machines()[0]
			m.Quarantined = true
			h.sendRequest(request.Submit, "wk-1", plainJob("wk-1", 1), nil)
			h.quiesce()
			n := uint64(0)
			return func() bool { n++; return len(withVerb(h.sendHeartbeat("host-2", n), heartbeat.Start)) > 0 }
		},
		"requeue from a released machine": func(h *leaderHarness) func() bool {
			h.startJob("wk-1", 1)
			h.c.leadership.autoscaler.Release(h.c.leadership.inventory.Machines()[0])
			j := h.c.leadership.jobs["wk-1"]
			return func() bool {
				h.c.After(0, h.c.leadership.autoscaler.SendReleases)
				h.step(Tick{})
				return j.Waiting > 0
			}
		},
		"schedule stored": func(h *leaderHarness) func() bool {
			ref := h.sendRequest(request.SchedulePut, "", nil, nightlySchedule())
			return ok(h, ref)
		},
		"schedule paused":  schedules(request.SchedulePause),
		"schedule removed": schedules(request.ScheduleDelete),
		"schedule run now": schedules(request.ScheduleRun),
	} {
		for _, bad := range []rpc.Outcome{rpc.Unknown, rpc.Refused} {
			t.Run(name, func(t *testing.T) {
				h := newLeaderHarness(t)
				sent := begin(h)
				for range 3 {
					if sent() {
						t.Fatal("response or order sent before its write committed")
					}
					for range 5 { // batched writes are sent after a short delay
						if h.answerPending(bad) > 0 {
							break
						}
						h.advance(500 * time.Millisecond)
					}
					h.advance(3 * time.Second)
				}
				if sent() {
					t.Fatal("response or order sent although no write committed")
				}
				for range 20 {
					h.answerPending(rpc.OK)
					h.advance(500 * time.Millisecond)
				}
				if !sent() {
					t.Fatal("response or order not sent after its write committed")
				}
			})
		}
	}
}

// TestWriteConflictOnTermEndsLeadership checks that a leader steps down when a write fails on the
// condition of the term record, and answers the waiting request with 503.
func TestWriteConflictOnTermEndsLeadership(t *testing.T) {
	h := newLeaderHarness(t)
	ref := h.sendRequest(request.Submit, "wk-1", plainJob("wk-1", 1), nil)
	for _, x := range h.pending {
		if call, ok := x.(kv.Request); ok && call.Op == kv.Txn {
			if !slices.Contains(call.Conditions, kv.Condition{Key: record.TermKey, Rev: 1}) {
				t.Errorf("write lacks the condition on the term record: %+v", call.Conditions)
			}
			h.step(kv.Response{Ref: call.Ref, Outcome: rpc.Conflict, FailedKeys: []string{record.TermKey}})
		}
	}
	if a := h.response(ref); a.Status != 503 {
		t.Errorf("response %+v, want status 503", a)
	}
	if h.c.leadership != nil {
		t.Error("still the leader after a conflict on the term record")
	}
}

// TestSubmitOfJobAcceptedWithoutLeader checks that the leader answers a pending submission when it
// adopts the job, which another node has accepted in the meantime.
func TestSubmitOfJobAcceptedWithoutLeader(t *testing.T) {
	h := newLeaderHarness(t)
	ref := h.sendRequest(request.Submit, "wk-1", plainJob("wk-1", 1), nil)
	h.pending = nil // the write of the job stays unanswered
	h.c.afterWhileLeading(0, func() { h.c.leadership.admitter.AdoptLeaderless(record.LeaderlessPrefix + "wk-1") })
	h.step(Tick{})
	for _, x := range h.pending {
		if call, ok := x.(kv.Request); ok && call.Op == kv.Get && call.Key == record.JobPrefix+"wk-1" {
			rec := &record.Job{Spec: *plainJob("wk-1", 1), Submitted: h.c.Now}
			h.step(kv.Response{Ref: call.Ref, Rev: 90, Entries: []kv.Entry{{Key: call.Key, Value: rec, Rev: 90}}})
		}
	}
	if a := h.response(ref); a.Status != 200 || a.Job.State != spec.Queued {
		t.Errorf("response %+v, want status 200 and state queued", a)
	}
}

// TestNotFoundIsConfirmed checks that 404 is returned only after two reads of the store have found
// nothing and a transaction has confirmed the term record, in case the store has lost data.
func TestNotFoundIsConfirmed(t *testing.T) {
	for _, o := range []rpc.Outcome{rpc.NotFound, rpc.Unknown, rpc.Refused, rpc.Invalid} {
		h := newLeaderHarness(t)
		ref := h.sendRequest(request.Get, "wk-1", nil, nil)
		for i := range 2 {
			call := h.pending[len(h.pending)-1].(kv.Request)
			r := kv.Response{Ref: call.Ref, Outcome: rpc.NotFound}
			if i == 1 {
				r.Outcome = o
			}
			if h.response(ref).Status != 0 {
				t.Fatal("response before both reads were answered")
			}
			h.step(r)
		}
		if o != rpc.NotFound {
			if a := h.response(ref); a.Status != 503 {
				t.Errorf("outcome %v: response %+v, want status 503", o, a)
			}
			continue
		}
		for _, confirmed := range []bool{true, false} {
			call := h.pending[len(h.pending)-1].(kv.Request)
			if call.Op != kv.Txn || len(call.Writes) > 0 || h.response(ref).Status != 0 {
				t.Fatalf("response before the term was confirmed, or no confirmation requested: %+v", call)
			}
			want, r := 404, kv.Response{Ref: call.Ref, Outcome: rpc.OK}
			if !confirmed {
				want, r = 503, kv.Response{Ref: call.Ref, Outcome: rpc.Conflict, FailedKeys: []string{record.TermKey}}
			}
			h.step(r)
			if a := h.response(ref); a.Status != want {
				t.Errorf("term confirmed %v: unexpected response %+v", confirmed, a)
			}
			if confirmed { // repeat with a failed confirmation
				ref = h.sendRequest(request.Get, "wk-2", nil, nil)
				for range 2 {
					h.step(kv.Response{Ref: h.pending[len(h.pending)-1].(kv.Request).Ref, Outcome: rpc.NotFound})
				}
			}
		}
		if h.c.leadership != nil {
			t.Error("still the leader although the term record has changed")
		}
	}
}
