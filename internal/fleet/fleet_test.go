package fleet

import (
	"testing"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/provider"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
)

var t0 = time.Unix(1_900_000_000, 0)

func newMachine() *Machine {
	f := &provider.InstanceType{Name: "f0", Capacity: timeline.Capacity(8, 0, 32), CPUs: 8, ImageGBps: 0.5, OnDemandRate: 16, SpotRate: 8}
	m := NewMachine(Identity{Host: "h1", TypeName: "f0", Zone: "a", InstanceType: f}, t0)
	m.Timeline = timeline.New(f.Capacity)
	return m
}

func newJob() *Job {
	j := &Job{Spec: spec.Job{ID: "wk-1", Tasks: 4, CPUs: 2, Image: "img", ImageGB: 1}, Progress: NewProgress(4), FailureHistory: NewFailureHistory()}
	j.Need = j.Spec.TaskResources()
	return j
}

func TestEligibleFor(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(m *Machine, j *Job)
		want    bool
	}{
		{"plain", func(*Machine, *Job) {}, true},
		{"unknown type", func(m *Machine, _ *Job) { m.InstanceType = nil }, false},
		{"releasing", func(m *Machine, _ *Job) { m.Releasing = true }, false},
		{"draining", func(m *Machine, _ *Job) { m.Draining = true }, false},
		{"quarantined", func(m *Machine, _ *Job) { m.Quarantined = true }, false},
		{"lease expired", func(m *Machine, _ *Job) { m.LeaseExpired = true }, false},
		{"unreachable", func(m *Machine, _ *Job) { m.Unreachable = true }, false},
		{"to be interrupted", func(m *Machine, _ *Job) { m.InterruptionAt = t0 }, false},
		{"spot refused", func(m *Machine, _ *Job) { m.Spot = true }, false},
		{"spot allowed", func(m *Machine, j *Job) { m.Spot, j.Spec.AllowSpot = true, true }, true},
		{"type refused", func(_ *Machine, j *Job) { j.Spec.InstanceTypes = []string{"f1"} }, false},
		{"type allowed", func(_ *Machine, j *Job) { j.Spec.InstanceTypes = []string{"f1", "f0"} }, true},
		{"other zone", func(_ *Machine, j *Job) { j.Spec.Zone = "b" }, false},
		{"own zone", func(_ *Machine, j *Job) { j.Spec.Zone = "a" }, true},
		{"too large", func(_ *Machine, j *Job) { j.Need = timeline.Need(9, 0, 0) }, false},
		{"failed there", func(_ *Machine, j *Job) { j.FailedOn["h1"] = t0 }, false},
		{"failed there long ago", func(_ *Machine, j *Job) { j.FailedOn["h1"] = t0.Add(-exclusionTime) }, true},
		{"failed elsewhere", func(_ *Machine, j *Job) { j.FailedOn["h2"] = t0 }, true},
		{"failed everywhere", func(_ *Machine, j *Job) { j.FailedOn = map[string]time.Time{"h1": t0, "h2": t0, "h3": t0} }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			m, j := newMachine(), newJob()
			if test.prepare(m, j); m.EligibleFor(j, t0) != test.want {
				t.Errorf("eligible %v, want %v", !test.want, test.want)
			}
		})
	}
}

func TestReservationDuration(t *testing.T) {
	m, j := newMachine(), newJob()
	if d := ReservationDuration(j, m, time.Minute); d != time.Minute+2*time.Second {
		t.Errorf("machine without the image: reserved for %v, want 1m2s", d)
	}
	m.Images.Add("img", struct{}{})
	if d := ReservationDuration(j, m, time.Minute); d != time.Minute {
		t.Errorf("machine with the image: reserved for %v, want 1m0s", d)
	}
	j.Spec.Service = true
	if d := ReservationDuration(j, m, time.Minute); d != timeline.Forever {
		t.Errorf("service: reserved for %v, want timeline.Forever", d)
	}
}

func TestFindAttempt(t *testing.T) {
	m := newMachine()
	for i := range 3 {
		m.Attempts = append(m.Attempts, &Attempt{ID: heartbeat.TaskID{Job: "wk-1", Index: i}, Number: uint64(10 + i)})
	}
	for from := range 5 {
		if a := m.FindAttempt(heartbeat.TaskID{Job: "wk-1", Index: 1}, 11, from); a != m.Attempts[1] {
			t.Errorf("search from %d: found %+v, want attempt 11", from, a)
		}
		if a := m.FindAttempt(heartbeat.TaskID{Job: "wk-1", Index: 1}, 12, from); a != nil {
			t.Errorf("search from %d: found %+v for another attempt number, want nil", from, a)
		}
	}
	if a := newMachine().FindAttempt(heartbeat.TaskID{}, 1, 0); a != nil {
		t.Errorf("idle machine: found %+v, want nil", a)
	}
}

// TestExpireLease checks that ExpiredIncarnation is updated only if the machine has reported.
func TestExpireLease(t *testing.T) {
	m := newMachine()
	m.Reported, m.Incarnation, m.LastReply = true, 3, t0
	m.ExpireLease()
	if m.Reported || !m.LeaseExpired || m.ExpiredIncarnation != 3 || !m.LastReply.IsZero() {
		t.Errorf("after the lease of incarnation 3 expired: %+v", m.Heartbeats)
	}
	m.Incarnation = 4
	if m.ExpireLease(); m.ExpiredIncarnation != 3 {
		t.Errorf("expired incarnation %d, want 3: incarnation 4 has not reported", m.ExpiredIncarnation)
	}
}

// TestQueue checks that jobs are ordered by queue time, then submission, then ID, and that
// Reposition moves and removes them.
func TestQueue(t *testing.T) {
	var q Queue
	add := func(id string, start, delay, submitted time.Duration) *Job {
		j := newJob()
		j.Spec.ID, j.Submitted = id, t0.Add(submitted)
		j.Reservations = []*Reservation{{Booking: timeline.Booking{Start: t0.Add(start)}, Job: j, QueueDelay: delay}}
		q.Reposition(j)
		return j
	}
	check := func(want ...string) {
		t.Helper()
		if len(q) != len(want) {
			t.Fatalf("%d jobs in the queue, want %v", len(q), want)
		}
		for i, j := range q {
			if j.Spec.ID != want[i] || !j.Queued {
				t.Errorf("position %d: %s (queued %v), want %s", i, j.Spec.ID, j.Queued, want[i])
			}
		}
	}
	late := add("late", 0, time.Minute, 0)
	early := add("early", time.Second, 0, time.Second)
	add("b", time.Second, 0, 2*time.Second)
	add("a", time.Second, 0, 2*time.Second)
	check("early", "a", "b", "late")
	late.Reservations[0].QueueDelay = 0
	q.Reposition(late)
	check("late", "early", "a", "b")
	early.Reservations = nil
	q.Reposition(early)
	check("late", "a", "b")
	if early.Queued {
		t.Error("job without reservations is still marked as queued")
	}
	q.Reposition(early)
	check("late", "a", "b")
}

func TestSetRunning(t *testing.T) {
	j := newJob()
	a := &Attempt{Job: j}
	for _, step := range []struct {
		runs, changed bool
		running       int
	}{{false, false, 0}, {true, true, 1}, {true, false, 1}, {false, true, 0}} {
		if changed := a.SetRunning(step.runs); changed != step.changed || j.Running != step.running {
			t.Errorf("step %+v: changed %v, %d running", step, changed, j.Running)
		}
	}
	if !j.HasRun {
		t.Error("HasRun is false after an attempt was running")
	}
	if (&Attempt{}).SetRunning(true) {
		t.Error("SetRunning reports a change for an attempt without a job")
	}
}

func TestJobView(t *testing.T) {
	j := newJob()
	j.Remaining = 3
	if v := j.View(); v.State != spec.Queued || v.Done != 1 {
		t.Errorf("job without running tasks: %+v, want queued with 1 done", v)
	}
	j.Running = 2
	if v := j.View(); v.State != spec.Running || v.Running != 2 {
		t.Errorf("job with running tasks: %+v, want running with 2 tasks", v)
	}
	j.Cancelled = true
	if v := j.View(); v.State != spec.Cancelled || !j.Halted() {
		t.Errorf("cancelled job: %+v, want cancelled and halted", v)
	}
}

func TestPricePerCPU(t *testing.T) {
	m := newMachine()
	if p := m.PricePerCPU(); p != 2 {
		t.Errorf("on-demand price per CPU %v, want 2", p)
	}
	m.Spot = true
	if p := m.PricePerCPU(); p != 1 {
		t.Errorf("spot price per CPU %v, want 1", p)
	}
}

// TestLimitStarts checks that a job which may be at fault starts more tasks only as far as others
// are running, and that it is not held up until one completes.
func TestLimitStarts(t *testing.T) {
	for _, test := range []struct {
		name      string
		failures  int
		completed bool
		attempts  int
		running   int
		after     time.Duration // since the failure
		want      int
	}{
		{"no failure", 0, false, 2, 2, 0, 9},
		{"completed one", 1, true, 2, 2, 0, 9},
		{"without attempts", 1, false, 0, 0, 0, 1},
		{"too early", 1, false, 2, 2, roundInterval - 1, 0},
		{"none running", 1, false, 2, 0, roundInterval, 1},
		{"some running", 1, false, 4, 4, roundInterval, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			j := newJob()
			j.Failures, j.LastFailure, j.AnyCompleted, j.Running = test.failures, t0, test.completed, test.running
			for i := range test.attempts {
				j.Attempts[i] = &Attempt{}
			}
			if got := j.LimitStarts(9, t0.Add(test.after)); got != test.want {
				t.Errorf("LimitStarts(9) = %d, want %d", got, test.want)
			}
			if test.failures == 0 || test.completed {
				return
			}
			started := 0 // one by one in the same round
			for ; started < 9 && j.LimitStarts(1, t0.Add(test.after)) > 0; started++ {
				j.RecordStart(t0.Add(test.after))
				j.Attempts[10+started] = &Attempt{}
			}
			if started != test.want {
				t.Errorf("%d tasks started one by one, want %d", started, test.want)
			}
		})
	}
}
