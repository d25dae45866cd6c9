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

// fakeLeader is the leader and the jobs around a tracker.
type fakeLeader struct {
	jobs       map[string]*fleet.Job
	unreadable map[string]bool
	log        []string // what was asked of the jobs
}

func (l *fakeLeader) CanAct() bool                      { return true }
func (l *fakeLeader) Machines() []*fleet.Machine        { return nil }
func (l *fakeLeader) Unaccounted(string) bool           { return false }
func (l *fakeLeader) UnaccountedCount() int             { return 0 }
func (l *fakeLeader) DispatchAll()                      {}
func (l *fakeLeader) Backlog() (time.Duration, float64) { return 0, 0 }

func (l *fakeLeader) note(format string, args ...any) {
	l.log = append(l.log, fmt.Sprintf(format, args...))
}

func (l *fakeLeader) Find(id string) *fleet.Job        { return l.jobs[id] }
func (l *fakeLeader) Unreadable(id string) bool        { return l.unreadable[id] }
func (l *fakeLeader) TaskStarted(*fleet.Job)           { l.note("started") }
func (l *fakeLeader) CompleteTask(_ *fleet.Job, i int) { l.note("complete %d", i) }
func (l *fakeLeader) Requeue(_ *fleet.Job, i int)      { l.note("requeue %d", i) }
func (l *fakeLeader) FinishIfOver(*fleet.Job)          { l.note("finish") }
func (l *fakeLeader) logged(t *testing.T, want ...string) {
	t.Helper()
	if fmt.Sprint(l.log) != fmt.Sprint(want) {
		t.Errorf("asked of the jobs: %q, want %q", l.log, want)
	}
	l.log = nil
}

// world is a tracker with one job of four tasks.
type world struct {
	*Tracker
	leader    *fakeLeader
	engine    *engine.Engine
	placement *placement.Scheduler
	job       *fleet.Job
}

func newWorld(t *testing.T) *world {
	t.Helper()
	e := engine.New(rand.New(rand.NewPCG(1, 1)), 1)
	e.Now = t0
	j := &fleet.Job{
		Spec: spec.Job{ID: "wk-1", Tasks: 4, CPUs: 1, Image: "img", Runtime: time.Minute},
		Team: &quota.Account{}, Progress: fleet.NewProgress(4), FailureHistory: fleet.FailureHistory{FailedOn: map[string]bool{}},
	}
	j.Need = j.Spec.Need()
	l := &fakeLeader{jobs: map[string]*fleet.Job{"wk-1": j}, unreadable: map[string]bool{}}
	p := placement.New(e, e.NewScope(), &config.Config{}, l, 1)
	return &world{Tracker: New(e, p, l), leader: l, engine: e, placement: p, job: j}
}

func newMachine(host string) *fleet.Machine {
	f := &provider.InstanceType{Name: "f0", Capacity: timeline.Capacity(8, 0, 32), CPUs: 8}
	m := fleet.NewMachine(fleet.Identity{Host: host, TypeName: "f0", InstanceType: f}, t0)
	m.Timeline = timeline.New(f.Capacity)
	return m
}

func task(index int, try uint64, phase heartbeat.Phase, cause string) *heartbeat.Task {
	return &heartbeat.Task{ID: heartbeat.TaskID{Job: "wk-1", Index: index}, Attempt: try, Phase: phase, Cause: cause}
}

// run has a task of the job run on the machine.
func (w *world) run(m *fleet.Machine, index int, try uint64) *fleet.Attempt {
	a := w.Adopt(m, task(index, try, heartbeat.Pulling, ""))
	w.Update(a, task(index, try, heartbeat.Running, ""))
	w.leader.log = nil
	return a
}

func TestAdopt(t *testing.T) {
	t.Run("waited for", func(t *testing.T) {
		w, m := newWorld(t), newMachine("h1")
		a := w.Adopt(m, task(1, 1, heartbeat.Running, ""))
		if a.StopRequested || !a.Occupies || !a.FoundRunning || w.job.Attempts[1] != a || m.Allocated != w.job.Need {
			t.Errorf("%+v", a)
		}
	})
	t.Run("exited", func(t *testing.T) {
		w, m := newWorld(t), newMachine("h1")
		if a := w.Adopt(m, task(1, 1, heartbeat.Exited, heartbeat.CauseDone)); a.Job != w.job || a.Occupies || a.StopRequested {
			t.Errorf("%+v", a)
		}
	})
	t.Run("done already", func(t *testing.T) {
		w, m := newWorld(t), newMachine("h1")
		w.job.Done.Add(1)
		if a := w.Adopt(m, task(1, 1, heartbeat.Running, "")); !a.StopRequested || a.Occupies || a.Job != nil {
			t.Errorf("%+v", a)
		}
	})
	t.Run("no such task", func(t *testing.T) {
		w, m := newWorld(t), newMachine("h1")
		if a := w.Adopt(m, task(4, 1, heartbeat.Running, "")); !a.StopRequested || a.Orphaned || a.Occupies {
			t.Errorf("%+v", a)
		}
	})
	t.Run("unreadable job", func(t *testing.T) {
		w, m := newWorld(t), newMachine("h1")
		delete(w.leader.jobs, "wk-1")
		w.leader.unreadable["wk-1"] = true
		a := w.Adopt(m, task(1, 1, heartbeat.Running, ""))
		if !a.StopRequested || !a.Orphaned || w.placement.OrphanedTasks != 1 {
			t.Errorf("%+v, %d orphaned", a, w.placement.OrphanedTasks)
		}
		if w.DropAll(m); w.placement.OrphanedTasks != 0 {
			t.Error("still orphaned")
		}
	})
	t.Run("later attempt", func(t *testing.T) {
		w, m := newWorld(t), newMachine("h1")
		earlier := w.run(newMachine("h2"), 1, 1)
		a := w.Adopt(m, task(1, 2, heartbeat.Running, ""))
		if !earlier.StopRequested || earlier.Occupies || a.StopRequested || !a.Occupies {
			t.Errorf("earlier %+v, later %+v", earlier, a)
		}
	})
	t.Run("earlier attempt", func(t *testing.T) {
		w, m := newWorld(t), newMachine("h1")
		later := w.run(newMachine("h2"), 1, 2)
		a := w.Adopt(m, task(1, 1, heartbeat.Running, ""))
		if later.StopRequested || !later.Occupies || !a.StopRequested || a.Occupies {
			t.Errorf("earlier %+v, later %+v", a, later)
		}
	})
}

func TestUpdate(t *testing.T) {
	w, m := newWorld(t), newMachine("h1")
	a := w.Adopt(m, task(1, 1, heartbeat.Pulling, ""))
	w.Update(a, task(1, 1, heartbeat.Pulling, ""))
	w.leader.logged(t)
	w.engine.Now = t0.Add(time.Second)
	w.Update(a, task(1, 1, heartbeat.Running, ""))
	w.leader.logged(t, "started")
	if !a.StartedAt.Equal(w.engine.Now) || !m.Images.Contains("img") || w.job.Running != 1 {
		t.Errorf("%+v", a)
	}
	w.Update(a, task(1, 1, heartbeat.Checkpointing, ""))
	w.leader.logged(t)
	w.engine.Now = t0.Add(21 * time.Second)
	w.Update(a, task(1, 1, heartbeat.Exited, heartbeat.CauseDone))
	w.leader.logged(t, "complete 1")
	if w.job.Running != 0 || a.Occupies || m.Allocated != (timeline.Resources{}) || a.Forgettable || len(w.job.Completed) != 1 {
		t.Errorf("%+v", a)
	}
	w.Update(a, task(1, 1, heartbeat.Exited, heartbeat.CauseError))
	w.leader.logged(t) // an attempt ends once
}

// TestRuntime: how long a task ran is known only of one that was seen to begin and to end while
// it ran.
func TestRuntime(t *testing.T) {
	for _, test := range []struct {
		name        string
		first, last heartbeat.Phase
		want        int
	}{
		{"seen to begin", heartbeat.Pulling, heartbeat.Running, 1},
		{"found running", heartbeat.Running, heartbeat.Running, 0},
		{"checkpointing at last", heartbeat.Pulling, heartbeat.Checkpointing, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			w, m := newWorld(t), newMachine("h1")
			a := w.Adopt(m, task(1, 1, test.first, ""))
			w.Update(a, task(1, 1, heartbeat.Running, ""))
			w.Update(a, task(1, 1, test.last, ""))
			w.engine.Now = t0.Add(20 * time.Second)
			w.Update(a, task(1, 1, heartbeat.Exited, heartbeat.CauseDone))
			if n := w.job.Runtime.N; n != test.want {
				t.Errorf("%d run times, not %d", n, test.want)
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
			w, m := newWorld(t), newMachine("h1")
			a := w.run(m, 1, 1)
			if test.prepare != nil {
				test.prepare(w.job)
			}
			w.Update(a, task(1, 1, heartbeat.Exited, test.cause))
			w.leader.logged(t, test.want...)
			if a.Forgettable != test.forgettable || a.Occupies {
				t.Errorf("%+v", a)
			}
		})
	}
	t.Run("job forgotten", func(t *testing.T) {
		w, m := newWorld(t), newMachine("h1")
		a := w.run(m, 1, 1)
		delete(w.leader.jobs, "wk-1")
		w.Update(a, task(1, 1, heartbeat.Exited, heartbeat.CauseDone))
		if w.leader.logged(t); !a.Forgettable {
			t.Error("to be kept for nobody")
		}
	})
}

func TestDropAll(t *testing.T) {
	w, m := newWorld(t), newMachine("h1")
	w.run(m, 1, 1)
	w.run(m, 2, 2)
	w.job.Cancelled = true
	w.DropAll(m)
	w.leader.logged(t, "requeue 1", "finish", "requeue 2", "finish")
	if len(m.Attempts) != 0 || len(w.job.Attempts) != 0 || m.Allocated != (timeline.Resources{}) {
		t.Errorf("%d attempts are left", len(m.Attempts))
	}
}

// TestFailures: a machine on which a job fails that runs elsewhere is quarantined soon, and a job
// that fails on several machines and never completed is held back.
func TestFailures(t *testing.T) {
	w, m := newWorld(t), newMachine("h1")
	w.job.AnyCompleted = true
	fail := func(m *fleet.Machine, try uint64) {
		a := w.run(m, 1, try)
		w.Update(a, task(1, try, heartbeat.Exited, heartbeat.CauseError))
	}
	if fail(m, 1); m.Quarantined || !m.OnProbation || !w.job.FailedOn["h1"] {
		t.Errorf("after one failure: %+v", m.Health)
	}
	if fail(m, 2); !m.Quarantined {
		t.Error("not quarantined after two failures")
	}
	if !w.job.RetryAt.IsZero() {
		t.Error("the job is held back for a machine's fault")
	}
	w = newWorld(t)
	if fail(newMachine("h1"), 1); !w.job.RetryAt.IsZero() {
		t.Error("held back after one failure")
	}
	if fail(newMachine("h2"), 2); !w.job.RetryAt.Equal(t0.Add(4 * time.Second)) {
		t.Errorf("held back for %v after failures on two machines", w.job.RetryAt.Sub(t0))
	}
}
