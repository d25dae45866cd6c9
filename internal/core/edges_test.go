package core

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/kv"
	"yewpass/internal/placement"
	"yewpass/internal/provider"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
)

// TestAttemptNumbersPerTerm checks that attempt numbers increase across terms and that a leader
// steps down before its term runs out of them.
func TestAttemptNumbersPerTerm(t *testing.T) {
	const term = 7
	if last, next := uint64(term)<<record.AttemptCounterBits+placement.MaxAttempts, uint64(term+1)<<record.AttemptCounterBits+1; last >= next {
		t.Errorf("last attempt of a term %d, first of the next term %d, want a higher one", last, next)
	}
	if first := uint64(record.MaxTerm)<<record.AttemptCounterBits + 1; first>>record.AttemptCounterBits != record.MaxTerm {
		t.Error("attempt numbers of the last term overflow")
	}
	c := newLeader(t, 1)
	l := c.leadership
	m := l.inventory.Machines()[0]
	m.HeldReply, m.FencingToken = &fleet.HeldReply{HeartbeatKey: fleet.HeartbeatKey{Ref: 9}}, l.term
	j := newJob(c, 1, 3, testRand())
	c.leadership.placement.Reserve(j)
	l.placement.AttemptCount = placement.MaxAttempts
	if os := c.leadership.placement.StartTasksOn(m); len(os) > 0 {
		t.Errorf("%d starts with no attempt number left, want none", len(os))
	}
	l.placement.AttemptCount = placement.MaxAttempts - reservedAttempts - 1
	if os := c.leadership.placement.StartTasksOn(m); len(os) == 0 {
		t.Error("no start although attempt numbers are left")
	}
	c.Outputs = c.Outputs[:0]
	c.tickLeader()
	if c.leadership != nil {
		t.Fatal("still the leader with almost no attempt number left")
	}
	for _, o := range c.Outputs {
		if s, ok := o.(kv.Request); ok && s.Op == kv.RevokeLease && s.LeaseID == l.leaseID {
			return
		}
	}
	t.Error("the leader lease is not revoked, which delays the next election")
}

// TestResourceArithmeticDoesNotOverflow checks that extreme amounts and durations saturate instead
// of overflowing.
func TestResourceArithmeticDoesNotOverflow(t *testing.T) {
	for _, x := range []float64{0, 1e-9, 1, 1e6, 1e300, -1e300, math.Inf(1), math.Inf(-1), math.NaN(), math.MaxInt64} {
		up, down := timeline.ToMilli(x, true), timeline.ToMilli(x, false)
		if up < down || x > 0 && up <= 0 || x <= 0 && down > 0 {
			t.Errorf("%g is rounded up to %d and down to %d", x, up, down)
		}
		// The total of a job with the largest number of tasks.
		if s := (timeline.Resources{}).Add(timeline.Need(x, x, x), spec.MaxTasks); s.CPU < 0 && x > 0 || s.Mem < 0 && x > 0 {
			t.Errorf("%g: the sum overflows: %v", x, s)
		}
		if d := timeline.Seconds(x); d > timeline.Forever || d < -timeline.Forever || x > 0 && d < 0 || x < 0 && d > 0 {
			t.Errorf("%g seconds: duration %s", x, d)
		}
	}
	empty := timeline.New(timeline.Resources{})
	if _, ok := empty.LatestStart(t0, t0, 0, timeline.Resources{}); !ok {
		t.Error("an empty request does not fit an empty timeline")
	}
	if _, ok := empty.LatestStart(t0, t0.Add(-1), 0, timeline.Resources{}); ok {
		t.Error("a start is found for a deadline that has passed")
	}
	if n := empty.FitCount(t0, time.Hour, timeline.Need(1, 0, 0), 5); n != 0 {
		t.Errorf("%d tasks fit an empty timeline, want none", n)
	}
	if _, ok := empty.EarliestStart(t0, timeline.Forever, timeline.Need(0, 0, 1)); ok {
		t.Error("a task fits an empty timeline")
	}
}

// countReachable counts the pointers, map entries and slice elements reachable from a value.
func countReachable(v reflect.Value, seen map[uintptr]bool) int {
	n := 0
	switch v.Kind() {
	case reflect.Pointer, reflect.Map:
		if v.IsNil() || seen[v.Pointer()] {
			return 0
		}
		seen[v.Pointer()] = true
		if v.Kind() == reflect.Pointer {
			return 1 + countReachable(v.Elem(), seen)
		}
		for it := v.MapRange(); it.Next(); {
			n += 1 + countReachable(it.Value(), seen) + countReachable(it.Key(), seen)
		}
	case reflect.Interface:
		if !v.IsNil() {
			return countReachable(v.Elem(), seen)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			n += countReachable(v.Field(i), seen)
		}
	case reflect.Slice, reflect.Array:
		n = v.Len()
		for i := range v.Len() {
			n += countReachable(v.Index(i), seen)
		}
	}
	return n
}

// TestMemoryBoundedOverMonths checks that a leader's memory does not grow in two months in which
// machines come and go and every job has its own class and image, and that a late heartbeat of a
// released machine does not bring the machine back.
func TestMemoryBoundedOverMonths(t *testing.T) {
	c := newLeader(t, 2)
	l := c.leadership
	l.expiresAt = t0.Add(1e6 * time.Hour)
	c.leaseTiming.CancelTimeout = 0 // no grace period
	now, rev := t0, uint64(10)
	var deliver func(in any)
	orders := map[uint64][]heartbeat.Order{}
	statuses := map[uint64]int{}
	deliver = func(in any) {
		for _, o := range append([]any(nil), c.Step(now, in)...) {
			switch o := o.(type) {
			case kv.Request:
				r := kv.Response{Ref: o.Ref, Rev: rev}
				if o.Op == kv.Get {
					r.Outcome = rpc.NotFound
				} else if o.Op == kv.Txn {
					rev++
					r.Rev = rev
				} else if o.Op == kv.Watch {
					continue
				}
				deliver(r)
			case provider.Request:
				r := provider.Response{Ref: o.Ref}
				if o.Op == provider.ScaleOut {
					r.Outcome = rpc.Refused
				} else if o.Op == provider.Catalog {
					r.InstanceTypes = l.autoscaler.InstanceTypes
				}
				deliver(r)
			case heartbeat.Reply:
				orders[o.Ref], statuses[o.Ref] = o.Orders, o.Status
			}
		}
	}
	ref := uint64(1e6)
	sendHeartbeat := func(r heartbeat.Report) int {
		ref++
		delete(orders, ref)
		deliver(heartbeat.Received{Ref: ref, Report: r})
		for range 8 { // exceeds the maximum reply delay
			if _, ok := orders[ref]; ok {
				break
			}
			now = now.Add(500 * time.Millisecond)
			deliver(Tick{})
		}
		return statuses[ref]
	}
	permanent := slices.Clone(l.inventory.Machines())
	c.tickLeader()
	c.Outputs = nil
	const day, days = 720, 60
	var early, ran int
	for i := range day * days {
		host := fmt.Sprintf("host-1%07d", i)
		r := heartbeat.Report{Host: host, Address: host + ":9000", InstanceType: "f2", Zone: "a", Spot: true, Incarnation: 1, FencingToken: l.term}
		j := &spec.Job{ID: fmt.Sprintf("wk-%07d", i), Class: fmt.Sprint("class ", i), Owner: "t", Tasks: 2, CPUs: 1, MemGB: 1, Image: fmt.Sprint("img", i), AllowSpot: true, Runtime: time.Minute}
		r.Counter++
		sendHeartbeat(r) // has the machine recorded
		deliver(request.Request{Ref: uint64(i) + 5e6, Op: request.Submit, ID: j.ID, Spec: j})
		for round := range 4 {
			r.Counter++
			sendHeartbeat(r)
			for k := range r.Tasks { // started tasks run and then exit
				r.Tasks[k].Phase, r.Tasks[k].Cause = heartbeat.Exited, heartbeat.CauseDone
				if round == 1 {
					r.Tasks[k].Phase = heartbeat.Running
				}
			}
			for _, o := range orders[ref] {
				switch o.Verb {
				case heartbeat.Start:
					ran++
					r.Tasks = append(r.Tasks, heartbeat.Task{ID: o.Task, Attempt: o.Attempt, Phase: heartbeat.Running})
				case heartbeat.Reap:
					for k := range r.Tasks {
						if r.Tasks[k].Attempt == o.Attempt {
							r.Tasks = append(r.Tasks[:k], r.Tasks[k+1:]...)
							break
						}
					}
				}
			}
		}
		now = now.Add(100 * time.Second) // the silent machine is released
		for range 6 {
			for _, m := range permanent {
				m.LastHeartbeat, m.LastReply, m.IdleSince, m.Draining = now, now, now, false
			}
			now = now.Add(500 * time.Millisecond)
			deliver(Tick{})
		}
		if c.leadership != l {
			t.Fatal("the leader has stepped down")
		}
		r.Counter++
		if got := sendHeartbeat(r); got != 503 || l.inventory.Find(host) != nil {
			t.Fatalf("late heartbeat of a released machine: status %d, want 503 and no such machine", got)
		}
		if i == 10*day {
			early = countReachable(reflect.ValueOf(c), map[uintptr]bool{})
		}
	}
	late := countReachable(reflect.ValueOf(c), map[uintptr]bool{})
	t.Logf("%d machines, %d tasks; %d objects after 10 days, %d after %d", day*days, ran, early, late, days)
	if ran < day*days {
		t.Errorf("%d tasks ran, want at least one per machine", ran)
	}
	if late > early*11/10 {
		t.Errorf("memory grows: %d objects after 10 days, %d after %d", early, late, days)
	}
}

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// TestAuthorityAfterMachineSleep checks that a leader whose machine was suspended, with a stopped
// monotonic clock, has no authority until a lease renewal succeeds, and that setting the wall clock
// back later does not end it.
func TestAuthorityAfterMachineSleep(t *testing.T) {
	c := newLeader(t, 1)
	c.StartedAt = t0
	l := c.leadership
	j := newJob(c, 1, 1, testRand())
	c.leadership.placement.Reserve(j)
	if !c.HasAuthority(t0) {
		t.Fatal("the leader has no authority")
	}
	c.SetClockOffset(time.Hour)
	for _, o := range c.Step(t0.Add(time.Millisecond), heartbeat.Received{Ref: 5, Report: heartbeat.Report{Host: l.inventory.Machines()[0].Host, InstanceType: "f0", Zone: "a", Incarnation: 1, Counter: 2, FencingToken: 1}}) {
		if a, ok := o.(heartbeat.Reply); ok && len(a.Orders) > 0 {
			t.Errorf("orders sent after an hour of sleep: %+v", a)
		}
	}
	if c.HasAuthority(c.Now) || !l.suspended {
		t.Error("authority kept after an hour of sleep")
	}
	c.renewLease()
	var refs []uint64 // of the lease renewal and the confirmation of the term record
	for _, o := range c.Outputs {
		if s, ok := o.(kv.Request); ok && (s.Op == kv.KeepAlive || s.Op == kv.Txn && len(s.Writes) == 0) {
			refs = append(refs, s.Ref)
		}
	}
	l.expiresAt = time.Time{}
	for i, ref := range refs {
		if i == 1 && c.HasAuthority(c.Now) {
			t.Error("authority regained after one of two responses")
		}
		c.Step(c.Now.Add(time.Millisecond), kv.Response{Ref: ref})
	}
	if !c.HasAuthority(c.Now) || l.suspended {
		t.Error("no authority after a successful lease renewal")
	}
	c.SetClockOffset(-time.Hour)
	if !c.HasAuthority(c.Now) {
		t.Error("setting the wall clock back ends the authority")
	}
}

// TestUnloadableJobRecord checks that a job whose record panics on loading is answered with 503
// while other jobs are served.
func TestUnloadableJobRecord(t *testing.T) {
	c := newLeader(t, 1)
	l := c.leadership
	bad := &record.Job{Spec: spec.Job{ID: "wk-1", Owner: "t", Tasks: -1000}} // the bitset panics on a negative size
	good := &record.Job{Spec: spec.Job{ID: "wk-2", Owner: "t", Tasks: 2}}
	c.loadRecord(kv.Entry{Key: record.JobPrefix + "wk-1", Value: bad, Rev: 3})
	c.loadRecord(kv.Entry{Key: record.JobPrefix + "wk-2", Value: good, Rev: 4})
	if l.jobs["wk-1"] != nil || !l.unreadableJobs["wk-1"] || l.jobs["wk-2"] == nil {
		t.Errorf("jobs %v, unreadable jobs %v, want wk-2 loaded and wk-1 unreadable", l.jobs, l.unreadableJobs)
	}
	// A request reads the record again, with the same result.
	outs := slices.Clone(c.Step(c.Now.Add(time.Second), request.Request{Ref: 5, Op: request.Get, ID: "wk-1"}))
	for i := 0; i < len(outs); i++ {
		switch o := outs[i].(type) {
		case kv.Request:
			r := kv.Response{Ref: o.Ref, Outcome: rpc.OK, Rev: 9}
			if o.Key == record.JobPrefix+"wk-1" {
				r.Entries = []kv.Entry{{Key: o.Key, Value: bad, Rev: 3}}
			}
			if o.Key == record.JobPrefix+"wk-1" || o.Key == record.ProgressPrefix+"wk-1/" {
				outs = append(outs, slices.Clone(c.Step(c.Now, r))...)
			}
		case request.Response:
			if o.Status != 503 || !l.unreadableJobs["wk-1"] || l.jobs["wk-1"] != nil {
				t.Errorf("response %+v, want status 503 and the job still unreadable", o)
			}
			return
		}
	}
	t.Errorf("no response in %+v", outs)
}

// TestHeartbeatsAreNotAuthenticated records a known weakness: anyone who can reach the port can
// send a heartbeat with the largest counter for a machine, whose own heartbeats are then rejected
// as late until it is released. The test fails once heartbeats are authenticated.
func TestHeartbeatsAreNotAuthenticated(t *testing.T) {
	c := newLeader(t, 1)
	m := c.leadership.inventory.Machines()[0]
	status := func(counter uint64) int {
		for _, o := range c.Step(c.Now.Add(time.Second), heartbeat.Received{Ref: counter, Report: heartbeat.Report{Host: m.Host, InstanceType: "f0", Zone: "a", Incarnation: 1, Counter: counter, FencingToken: 1}}) {
			if a, ok := o.(heartbeat.Reply); ok && a.Ref == counter {
				return a.Status
			}
		}
		return 0
	}
	if got := status(5); got == 503 {
		t.Fatal("the machine's own heartbeat gets status 503")
	}
	status(1<<64 - 1)
	if got := status(6); got != 503 {
		t.Errorf("the machine's heartbeat gets status %d, want 503: if heartbeats are authenticated now, update this test", got)
	}
}
