// Package attempts follows the attempts of tasks on machines: it makes those known that
// workers report and the leader did not start, takes in what becomes of them, and forgets
// those that are surely gone.
package attempts

import (
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/placement"
)

// Jobs is the jobs that attempts belong to.
type Jobs interface {
	// Find returns the job, or nil if it is not known.
	Find(id string) *fleet.Job
	// Unreadable reports whether the job is on record and cannot be read.
	Unreadable(id string) bool
	// TaskStarted follows when a task of the job is reported as running.
	TaskStarted(j *fleet.Job)
	// CompleteTask marks a task of the job complete.
	CompleteTask(j *fleet.Job, index int)
	// Requeue makes a task of the job wait again.
	Requeue(j *fleet.Job, index int)
	// FinishIfOver records the end of the job if it is over.
	FinishIfOver(j *fleet.Job)
}

// Tracker follows the attempts of one term.
type Tracker struct {
	engine    *engine.Engine
	placement *placement.Scheduler
	jobs      Jobs
}

// New returns a tracker of attempts.
func New(e *engine.Engine, p *placement.Scheduler, jobs Jobs) *Tracker {
	return &Tracker{engine: e, placement: p, jobs: jobs}
}

// Adopt makes a task known that a worker lists and the leader did not start: of an earlier
// term, or of a job that is over.
func (t *Tracker) Adopt(m *fleet.Machine, task *heartbeat.Task) *fleet.Attempt {
	a := &fleet.Attempt{ID: task.ID, Number: task.Attempt, Machine: m, Phase: fleet.Ordered, OrderedAt: t.engine.Now}
	m.Attempts = append(m.Attempts, a)
	j := t.jobs.Find(a.ID.Job)
	if j != nil && a.ID.Index >= j.Spec.Tasks {
		j = nil
	}
	if task.Phase == heartbeat.Exited {
		a.Job = j
		return a
	}
	a.FoundRunning = task.Phase != heartbeat.Pulling
	if j != nil {
		t.replaceEarlier(a, j)
	}
	if j != nil && !j.Done.Has(a.ID.Index) && j.Attempts[a.ID.Index] == nil {
		t.placement.Occupy(a, j)
		return a
	}
	// Nobody waits for it.
	a.StopRequested = true
	if t.jobs.Unreadable(a.ID.Job) {
		a.Orphaned = true
		t.placement.OrphanedTasks++
	}
	if j != nil {
		t.engine.Log(slog.LevelWarn, "stopping duplicate task", "task", a.ID, "machine", m.Host)
	}
	return a
}

// replaceEarlier has an earlier attempt of the task stopped that is taken to be on another
// machine. A later attempt was only ordered once the earlier one was surely gone: what
// reported that one was late, and the later one is the one that runs.
func (t *Tracker) replaceEarlier(a *fleet.Attempt, j *fleet.Job) {
	earlier := j.Attempts[a.ID.Index]
	if earlier != nil && earlier.Machine != a.Machine && earlier.Number < a.Number {
		t.placement.Vacate(earlier)
		earlier.StopRequested = true
	}
}

// DropAll forgets all attempts on a machine, which are surely gone.
func (t *Tracker) DropAll(m *fleet.Machine) {
	for _, a := range slices.Clone(m.Attempts) {
		if i := slices.Index(m.Attempts, a); i >= 0 {
			m.Attempts = slices.Delete(m.Attempts, i, i+1)
		}
		t.Release(a)
	}
}

// Release gives up an attempt that is surely gone and makes its task wait again. The caller
// takes it off the machine's list.
func (t *Tracker) Release(a *fleet.Attempt) {
	held := a.Occupies
	t.placement.Vacate(a)
	if held {
		t.jobs.Requeue(a.Job, a.ID.Index)
		if a.Job.Cancelled {
			t.jobs.FinishIfOver(a.Job)
		}
	}
}

// Update takes in the state of a task.
func (t *Tracker) Update(a *fleet.Attempt, task *heartbeat.Task) {
	if a.Phase == heartbeat.Exited {
		return
	}
	if a.Phase == fleet.Ordered && a.OrderedCounter > 0 {
		a.Machine.UnlistedStarts = 0
	}
	if task.Phase == heartbeat.Exited {
		t.exited(a, task.Cause)
	} else {
		t.present(a, task.Phase)
	}
}

// present takes in that a task is on its machine.
func (t *Tracker) present(a *fleet.Attempt, phase heartbeat.Phase) {
	if phase == heartbeat.Running && a.Phase != heartbeat.Running {
		a.StartedAt = t.engine.Now
		if a.Job != nil {
			a.Machine.Images.Add(a.Job.Spec.Image, struct{}{})
			t.placement.Renew(a)
		}
	}
	a.Phase = phase
	runs := phase == heartbeat.Running || phase == heartbeat.Checkpointing
	if a.Occupies && a.CountRunning(runs) && runs {
		t.jobs.TaskStarted(a.Job)
	}
}

// exited takes in that a task has ended.
func (t *Tracker) exited(a *fleet.Attempt, cause string) {
	was, held := a.Phase, a.Occupies
	a.Phase = heartbeat.Exited
	t.placement.Vacate(a)
	if cause == heartbeat.CauseDone {
		t.completed(a, was, held)
	} else {
		t.failed(a, cause, held)
	}
}

// completed follows when a task is done. held says whether it counted against its job.
func (t *Tracker) completed(a *fleet.Attempt, was heartbeat.Phase, held bool) {
	m, j := a.Machine, a.Job
	m.FailureScore, m.OnProbation = 0, false
	if j == nil {
		a.Forgettable = !t.jobs.Unreadable(a.ID.Job)
		return
	}
	a.Forgettable = t.jobs.Find(a.ID.Job) != j
	switch {
	case !a.Forgettable && j.Finishing && !j.Cancelled:
		// Its final record is on its way: until that is known this exit may be all that
		// tells a successor that the task is done.
		j.Completed = append(j.Completed, a)
	case !a.Forgettable && !j.Halted():
		if was == heartbeat.Running && !a.StartedAt.IsZero() && !a.FoundRunning {
			t.placement.RecordRuntime(j, t.engine.Now.Sub(a.StartedAt))
		}
		j.Completed = append(j.Completed, a)
		t.jobs.CompleteTask(j, a.ID.Index)
	case held && j.Cancelled:
		a.Forgettable = true
		t.jobs.FinishIfOver(j)
	}
}

const (
	// noRoomDelay is how long a machine is left alone that has refused a start: the worker
	// sees less room than the leader does.
	noRoomDelay = time.Second
	// unknownTaskDelay is how long a job is left alone after an exit with CauseUnknownTask.
	unknownTaskDelay = 2 * time.Second
)

// failed follows when a task has ended without being done.
func (t *Tracker) failed(a *fleet.Attempt, cause string, held bool) {
	m, j := a.Machine, a.Job
	a.Forgettable = true
	if j == nil {
		return
	}
	switch cause {
	case heartbeat.CauseError:
		t.recordFailure(j, m)
	case heartbeat.CauseNoRoom:
		m.RetryAt = t.engine.Now.Add(noRoomDelay)
	case heartbeat.CauseUnknownTask:
		j.RetryAt = t.engine.Now.Add(unknownTaskDelay)
	}
	if j.Cancelled {
		t.jobs.FinishIfOver(j)
	} else if held {
		t.jobs.Requeue(j, a.ID.Index)
	}
}

// quarantineScore is the failure score from which on a machine gets no more tasks.
const quarantineScore = 4

// recordFailure weighs a failed task: the machine is at fault when jobs fail on it that run
// elsewhere, the job when it fails wherever it goes.
func (t *Tracker) recordFailure(j *fleet.Job, m *fleet.Machine) {
	if len(j.FailedOn) <= fleet.MaxFailedMachines { // more would not change where it may go
		j.FailedOn[m.Host] = true
	}
	j.Failures++
	m.OnProbation = true
	if j.AnyCompleted {
		m.FailureScore += 2
	} else {
		m.FailureScore++
	}
	if !j.AnyCompleted && len(j.FailedOn) > 1 {
		// Failed on several machines and never completed: more likely the job. It goes on
		// one task at a time, less and less often.
		wait := min(2*time.Second<<min(j.Failures/2, 5), time.Minute)
		j.RetryAt = t.engine.Now.Add(wait)
		t.engine.Log(slog.LevelDebug, "job fails repeatedly, backing off", "job", j.Spec.ID, "failures", j.Failures, "wait", wait)
	}
	if m.FailureScore >= quarantineScore && !m.Quarantined {
		m.Quarantined = true
		t.engine.Log(slog.LevelWarn, "machine quarantined", "machine", m.Host, "type", m.TypeName, "reason", "tasks fail on it that run elsewhere")
		t.placement.DropMachineReservations(m)
	}
}
