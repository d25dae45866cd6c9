package attempts

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/placement"
	"yewpass/internal/provider"
	"yewpass/internal/quota"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
)

var t0 = time.Unix(1_900_000_000, 0)

// fakeLeader implements Jobs and the leader that the placement package requires.
type fakeLeader struct {
	jobs       map[string]*fleet.Job
	unreadable map[string]bool
	calls      []string // calls of Jobs methods with effects
}

func (l *fakeLeader) IsActive() bool                    { return true }
func (l *fakeLeader) Machines() []*fleet.Machine        { return nil }
func (l *fakeLeader) IsUnaccounted(string) bool         { return false }
func (l *fakeLeader) UnaccountedCount() int             { return 0 }
func (l *fakeLeader) RequestDispatchAll()               {}
func (l *fakeLeader) Backlog() (time.Duration, float64) { return 0, 0 }

func (l *fakeLeader) record(format string, args ...any) {
	l.calls = append(l.calls, fmt.Sprintf(format, args...))
}

func (l *fakeLeader) Find(id string) *fleet.Job        { return l.jobs[id] }
func (l *fakeLeader) Unreadable(id string) bool        { return l.unreadable[id] }
func (l *fakeLeader) TaskStarted(*fleet.Job)           { l.record("started") }
func (l *fakeLeader) CompleteTask(_ *fleet.Job, i int) { l.record("complete %d", i) }
func (l *fakeLeader) Requeue(_ *fleet.Job, i int)      { l.record("requeue %d", i) }
func (l *fakeLeader) FinishIfEnded(*fleet.Job)         { l.record("finish") }
func (l *fakeLeader) wantCalls(t *testing.T, want ...string) {
	t.Helper()
	if fmt.Sprint(l.calls) != fmt.Sprint(want) {
		t.Errorf("calls of Jobs: %q, want %q", l.calls, want)
	}
	l.calls = nil
}

// fixture is a tracker with a job of four tasks.
type fixture struct {
	*Tracker
	leader    *fakeLeader
	engine    *engine.Engine
	placement *placement.Scheduler
	job       *fleet.Job
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	e := engine.New(rand.New(rand.NewPCG(1, 1)), 1)
	e.Now = t0
	j := &fleet.Job{
		Spec: spec.Job{ID: "wk-1", Tasks: 4, CPUs: 1, Image: "img", Runtime: time.Minute},
		Team: &quota.Account{}, Progress: fleet.NewProgress(4), FailureHistory: fleet.NewFailureHistory(),
	}
	j.Need = j.Spec.TaskResources()
	l := &fakeLeader{jobs: map[string]*fleet.Job{"wk-1": j}, unreadable: map[string]bool{}}
	p := placement.New(e, e.NewScope(), &config.Config{}, l, 1)
	return &fixture{Tracker: New(e, p, l), leader: l, engine: e, placement: p, job: j}
}

func newMachine(host string) *fleet.Machine {
	f := &provider.InstanceType{Name: "f0", Capacity: timeline.Capacity(8, 0, 32), CPUs: 8}
	m := fleet.NewMachine(fleet.Identity{Host: host, TypeName: "f0", InstanceType: f}, t0)
	m.Timeline = timeline.New(f.Capacity)
	return m
}

func task(index int, number uint64, phase heartbeat.Phase, cause string) *heartbeat.Task {
	return &heartbeat.Task{ID: heartbeat.TaskID{Job: "wk-1", Index: index}, Attempt: number, Phase: phase, Cause: cause}
}

// startTask adopts an attempt of a task of the job and reports it as running.
func (f *fixture) startTask(m *fleet.Machine, index int, number uint64) *fleet.Attempt {
	a := f.Adopt(m, task(index, number, heartbeat.Pulling, ""))
	f.Update(a, task(index, number, heartbeat.Running, ""))
	f.leader.calls = nil
	return a
}

func TestAdopt(t *testing.T) {
	t.Run("pending task", func(t *testing.T) {
		f, m := newFixture(t), newMachine("h1")
		a := f.Adopt(m, task(1, 1, heartbeat.Running, ""))
		if a.StopRequested || !a.HoldsResources || !a.StartTimeUnknown || f.job.Attempts[1] != a || m.Allocated != f.job.Need {
			t.Errorf("unexpected attempt state %+v", a)
		}
	})
	t.Run("exited", func(t *testing.T) {
		f, m := newFixture(t), newMachine("h1")
		if a := f.Adopt(m, task(1, 1, heartbeat.Exited, heartbeat.CauseDone)); a.Job != f.job || a.HoldsResources || a.StopRequested {
			t.Errorf("unexpected attempt state %+v", a)
		}
	})
	t.Run("completed task", func(t *testing.T) {
		f, m := newFixture(t), newMachine("h1")
		f.job.Done.Add(1)
		if a := f.Adopt(m, task(1, 1, heartbeat.Running, "")); !a.StopRequested || a.HoldsResources || a.Job != nil {
			t.Errorf("unexpected attempt state %+v", a)
		}
	})
	t.Run("no such task", func(t *testing.T) {
		f, m := newFixture(t), newMachine("h1")
		if a := f.Adopt(m, task(4, 1, heartbeat.Running, "")); !a.StopRequested || a.Orphaned || a.HoldsResources {
			t.Errorf("unexpected attempt state %+v", a)
		}
	})
	t.Run("unreadable job", func(t *testing.T) {
		f, m := newFixture(t), newMachine("h1")
		delete(f.leader.jobs, "wk-1")
		f.leader.unreadable["wk-1"] = true
		a := f.Adopt(m, task(1, 1, heartbeat.Running, ""))
		if !a.StopRequested || !a.Orphaned || f.placement.OrphanedTasks != 1 {
			t.Errorf("attempt %+v, %d orphaned tasks, want 1", a, f.placement.OrphanedTasks)
		}
		if f.DropAll(m); f.placement.OrphanedTasks != 0 {
			t.Error("orphaned tasks are counted after DropAll")
		}
	})
	t.Run("later attempt", func(t *testing.T) {
		f, m := newFixture(t), newMachine("h1")
		earlier := f.startTask(newMachine("h2"), 1, 1)
		a := f.Adopt(m, task(1, 2, heartbeat.Running, ""))
		if !earlier.StopRequested || earlier.HoldsResources || a.StopRequested || !a.HoldsResources {
			t.Errorf("earlier %+v, later %+v", earlier, a)
		}
	})
	t.Run("earlier attempt", func(t *testing.T) {
		f, m := newFixture(t), newMachine("h1")
		later := f.startTask(newMachine("h2"), 1, 2)
		a := f.Adopt(m, task(1, 1, heartbeat.Running, ""))
		if later.StopRequested || !later.HoldsResources || !a.StopRequested || a.HoldsResources {
			t.Errorf("earlier %+v, later %+v", a, later)
		}
	})
}

func TestUpdate(t *testing.T) {
	f, m := newFixture(t), newMachine("h1")
	a := f.Adopt(m, task(1, 1, heartbeat.Pulling, ""))
	f.Update(a, task(1, 1, heartbeat.Pulling, ""))
	f.leader.wantCalls(t)
	f.engine.Now = t0.Add(time.Second)
	f.Update(a, task(1, 1, heartbeat.Running, ""))
	f.leader.wantCalls(t, "started")
	if !a.StartedAt.Equal(f.engine.Now) || !m.Images.Contains("img") || f.job.Running != 1 {
		t.Errorf("unexpected attempt state %+v", a)
	}
	f.Update(a, task(1, 1, heartbeat.Checkpointing, ""))
	f.leader.wantCalls(t)
	f.engine.Now = t0.Add(21 * time.Second)
	f.Update(a, task(1, 1, heartbeat.Exited, heartbeat.CauseDone))
	f.leader.wantCalls(t, "complete 1")
	if f.job.Running != 0 || a.HoldsResources || m.Allocated != (timeline.Resources{}) || a.Forgettable || len(f.job.UnrecordedCompletions) != 1 {
		t.Errorf("unexpected attempt state %+v", a)
	}
	f.Update(a, task(1, 1, heartbeat.Exited, heartbeat.CauseError))
	f.leader.wantCalls(t)
}

// TestRuntime checks that a runtime is recorded only if start and exit of the task were observed.
func TestRuntime(t *testing.T) {
	for _, test := range []struct {
		name        string
		first, last heartbeat.Phase
		want        int
	}{
		{"start observed", heartbeat.Pulling, heartbeat.Running, 1},
		{"already running", heartbeat.Running, heartbeat.Running, 0},
		{"checkpointing before the exit", heartbeat.Pulling, heartbeat.Checkpointing, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			f, m := newFixture(t), newMachine("h1")
			a := f.Adopt(m, task(1, 1, test.first, ""))
			f.Update(a, task(1, 1, heartbeat.Running, ""))
			f.Update(a, task(1, 1, test.last, ""))
			f.engine.Now = t0.Add(20 * time.Second)
			f.Update(a, task(1, 1, heartbeat.Exited, heartbeat.CauseDone))
			if n := f.job.Runtime.N; n != test.want {
				t.Errorf("recorded %d runtimes, want %d", n, test.want)
			}
		})
	}
}

func TestExit(t *testing.T) {
	for _, test := range []struct {
		name        string
		prepare     func(j *fleet.Job)
		cause       string
		want        []string
		forgettable bool
	}{
		{name: "done", cause: heartbeat.CauseDone, want: []string{"complete 1"}},
		{name: "done while finishing", cause: heartbeat.CauseDone, prepare: func(j *fleet.Job) { j.Finishing = true }},
		{name: "done, cancelled", cause: heartbeat.CauseDone, prepare: func(j *fleet.Job) { j.Cancelled = true }, want: []string{"finish"}, forgettable: true},
		{name: "done, being cancelled", cause: heartbeat.CauseDone, prepare: func(j *fleet.Job) { j.Cancelling = true }},
		{name: "failed", cause: heartbeat.CauseError, want: []string{"requeue 1"}, forgettable: true},
		{name: "failed, cancelled", cause: heartbeat.CauseError, prepare: func(j *fleet.Job) { j.Cancelled = true }, want: []string{"finish"}, forgettable: true},
		{name: "no room", cause: heartbeat.CauseNoRoom, want: []string{"requeue 1"}, forgettable: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f, m := newFixture(t), newMachine("h1")
			a := f.startTask(m, 1, 1)
			if test.prepare != nil {
				test.prepare(f.job)
			}
			f.Update(a, task(1, 1, heartbeat.Exited, test.cause))
			f.leader.wantCalls(t, test.want...)
			if a.Forgettable != test.forgettable || a.HoldsResources {
				t.Errorf("unexpected attempt state %+v", a)
			}
		})
	}
	t.Run("job no longer in memory", func(t *testing.T) {
		f, m := newFixture(t), newMachine("h1")
		a := f.startTask(m, 1, 1)
		delete(f.leader.jobs, "wk-1")
		f.Update(a, task(1, 1, heartbeat.Exited, heartbeat.CauseDone))
		if f.leader.wantCalls(t); !a.Forgettable {
			t.Error("attempt of a removed job is not forgettable")
		}
	})
}

func TestDropAll(t *testing.T) {
	f, m := newFixture(t), newMachine("h1")
	f.startTask(m, 1, 1)
	f.startTask(m, 2, 2)
	f.job.Cancelled = true
	f.DropAll(m)
	f.leader.wantCalls(t, "requeue 1", "finish", "requeue 2", "finish")
	if len(m.Attempts) != 0 || len(f.job.Attempts) != 0 || m.Allocated != (timeline.Resources{}) {
		t.Errorf("%d attempts left on the machine, want 0 and no allocated resources", len(m.Attempts))
	}
}

// TestFailures checks that a machine is quarantined if a job fails on it that completes elsewhere,
// and that a job that fails on several machines without completing a task is delayed.
func TestFailures(t *testing.T) {
	f, m := newFixture(t), newMachine("h1")
	f.job.AnyCompleted = true
	fail := func(m *fleet.Machine, number uint64) {
		a := f.startTask(m, 1, number)
		f.Update(a, task(1, number, heartbeat.Exited, heartbeat.CauseError))
	}
	if fail(m, 1); m.Quarantined || !m.OnProbation || !f.job.Excludes("h1", t0) {
		t.Errorf("machine health after one failure: %+v", m.Health)
	}
	if fail(m, 2); !m.Quarantined {
		t.Error("machine not quarantined after two failures")
	}
	if !f.job.RetryAt.IsZero() {
		t.Error("job delayed because of failures on one machine")
	}
	f = newFixture(t)
	if fail(newMachine("h1"), 1); !f.job.RetryAt.IsZero() {
		t.Error("job delayed after one failure")
	}
	if fail(newMachine("h2"), 2); !f.job.RetryAt.Equal(t0.Add(4 * time.Second)) {
		t.Errorf("job delayed for %v after failures on two machines, want 4s", f.job.RetryAt.Sub(t0))
	}
}

// TestProbationEndsWithoutCompletion guards against a machine that stays on probation for as long as
// no task on it completes: a task that was started after the failure and keeps running ends it.
func TestProbationEndsWithoutCompletion(t *testing.T) {
	f, m := newFixture(t), newMachine("h1")
	earlier := f.startTask(m, 0, 1)
	f.engine.Now = f.engine.Now.Add(time.Minute)
	failed := f.startTask(m, 1, 2)
	f.Update(failed, task(1, 2, heartbeat.Exited, heartbeat.CauseError))
	f.engine.Now = f.engine.Now.Add(time.Minute)
	if f.Update(earlier, task(0, 1, heartbeat.Running, "")); !m.OnProbation {
		t.Error("probation ended by a task that was started before the failure")
	}
	later := f.startTask(m, 2, 3)
	f.engine.Now = f.engine.Now.Add(9 * time.Second)
	if f.Update(later, task(2, 3, heartbeat.Running, "")); !m.OnProbation {
		t.Error("probation ended by a task that has run for 9 s")
	}
	f.engine.Now = f.engine.Now.Add(time.Second)
	if f.Update(later, task(2, 3, heartbeat.Running, "")); m.OnProbation {
		t.Error("probation not ended by a task that has run for 10 s")
	}
}

// TestOldFailuresAreForgotten guards against a machine that is quarantined for failures that lie
// far apart, if no task on it ever completes.
func TestOldFailuresAreForgotten(t *testing.T) {
	f, m := newFixture(t), newMachine("h1")
	for i := range uint64(quarantineThreshold + 1) {
		a := f.startTask(m, 1, 1+i)
		f.Update(a, task(1, 1+i, heartbeat.Exited, heartbeat.CauseError))
		f.engine.Now = f.engine.Now.Add(time.Hour)
	}
	if m.Quarantined {
		t.Error("machine quarantined for one failure an hour")
	}
}
