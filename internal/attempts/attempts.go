// Package attempts tracks the attempts to run tasks on machines: it adopts those that the leader
// did not start, applies their reported state, and releases those that have ended or were lost.
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

// Jobs provides the jobs that attempts belong to.
type Jobs interface {
	// Find returns the job with the given ID, or nil if it is not in memory.
	Find(id string) *fleet.Job
	// Unreadable reports whether the job's record exists but cannot be decoded.
	Unreadable(id string) bool
	// TaskStarted is called when a worker first reports a task of the job as running.
	TaskStarted(j *fleet.Job)
	// CompleteTask marks a task of the job as completed.
	CompleteTask(j *fleet.Job, index int)
	// Requeue marks a task of the job as pending again.
	Requeue(j *fleet.Job, index int)
	// FinishIfEnded writes the final record of the job if it has ended.
	FinishIfEnded(j *fleet.Job)
}

// Tracker tracks the attempts known in one leadership term.
type Tracker struct {
	engine    *engine.Engine
	placement *placement.Scheduler
	jobs      Jobs
}

// New returns a tracker that charges attempts to p and reports their outcome to jobs.
func New(e *engine.Engine, p *placement.Scheduler, jobs Jobs) *Tracker {
	return &Tracker{engine: e, placement: p, jobs: jobs}
}

// Adopt adds an attempt that a worker lists and this leader did not start, for instance one of an
// earlier term or of an ended job. A running attempt that is not needed is marked to be stopped.
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
	a.StartTimeUnknown = task.Phase != heartbeat.Pulling
	if j != nil {
		t.supersedeEarlier(a, j)
	}
	if j != nil && !j.Done.Has(a.ID.Index) && j.Attempts[a.ID.Index] == nil {
		t.placement.Allocate(a, j)
		return a
	}
	// The task is unknown, completed or running elsewhere.
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

// supersedeEarlier stops an earlier attempt of the same task on another machine. The later attempt
// was started only after the earlier one was known to have ended, so the information about the
// earlier one is outdated.
func (t *Tracker) supersedeEarlier(a *fleet.Attempt, j *fleet.Job) {
	earlier := j.Attempts[a.ID.Index]
	if earlier != nil && earlier.Machine != a.Machine && earlier.Number < a.Number {
		t.placement.Deallocate(earlier)
		earlier.StopRequested = true
	}
}

// DropAll removes and releases all attempts on a machine. None of them may still be running.
func (t *Tracker) DropAll(m *fleet.Machine) {
	for _, a := range slices.Clone(m.Attempts) {
		if i := slices.Index(m.Attempts, a); i >= 0 {
			m.Attempts = slices.Delete(m.Attempts, i, i+1)
		}
		t.Release(a)
	}
}

// Release frees the resources of an ended attempt and requeues its task. The caller removes the
// attempt from the machine's list.
func (t *Tracker) Release(a *fleet.Attempt) {
	occupied := a.HoldsResources
	t.placement.Deallocate(a)
	if occupied {
		t.jobs.Requeue(a.Job, a.ID.Index)
		if a.Job.Cancelled {
			t.jobs.FinishIfEnded(a.Job)
		}
	}
}

// Update applies the reported state of a task to its attempt, unless the attempt has exited.
func (t *Tracker) Update(a *fleet.Attempt, task *heartbeat.Task) {
	if a.Phase == heartbeat.Exited {
		return
	}
	if a.Phase == fleet.Ordered && a.OrderedCounter > 0 {
		a.Machine.MissedStarts = 0
	}
	if task.Phase == heartbeat.Exited {
		t.onExit(a, task.Cause)
	} else {
		t.onListed(a, task.Phase)
	}
}

func (t *Tracker) onListed(a *fleet.Attempt, phase heartbeat.Phase) {
	if phase == heartbeat.Running && a.Phase != heartbeat.Running {
		a.StartedAt = t.engine.Now
		if a.Job != nil {
			a.Machine.Images.Add(a.Job.Spec.Image, struct{}{})
			t.placement.ResetExpectedEnd(a)
		}
	}
	a.Phase = phase
	runs := phase == heartbeat.Running || phase == heartbeat.Checkpointing
	if runs {
		a.Machine.RecordRunning(a, t.engine.Now)
	}
	if a.HoldsResources && a.SetRunning(runs) && runs {
		t.jobs.TaskStarted(a.Job)
	}
}

func (t *Tracker) onExit(a *fleet.Attempt, cause string) {
	previous, occupied := a.Phase, a.HoldsResources
	a.Phase = heartbeat.Exited
	t.placement.Deallocate(a)
	if cause == heartbeat.CauseDone {
		t.onCompleted(a, previous, occupied)
	} else {
		t.onFailed(a, cause, occupied)
	}
}

// onCompleted handles an attempt that has completed its task. previous is its phase before the
// exit; occupied reports whether it held resources until then.
func (t *Tracker) onCompleted(a *fleet.Attempt, previous heartbeat.Phase, occupied bool) {
	m, j := a.Machine, a.Job
	m.RecordCompletion()
	if j == nil {
		a.Forgettable = !t.jobs.Unreadable(a.ID.Job)
		return
	}
	a.Forgettable = t.jobs.Find(a.ID.Job) != j
	switch {
	case !a.Forgettable && j.Finishing && !j.Cancelled:
		// Until the final record is committed, a new leader may learn of the completion only from
		// the exit that this worker reports.
		j.UnrecordedCompletions = append(j.UnrecordedCompletions, a)
	case !a.Forgettable && !j.Halted():
		if previous == heartbeat.Running && !a.StartedAt.IsZero() && !a.StartTimeUnknown {
			t.placement.RecordRuntime(j, t.engine.Now.Sub(a.StartedAt))
		}
		j.UnrecordedCompletions = append(j.UnrecordedCompletions, a)
		t.jobs.CompleteTask(j, a.ID.Index)
	case occupied && j.Cancelled:
		a.Forgettable = true
		t.jobs.FinishIfEnded(j)
	}
}

const (
	// noRoomDelay is how long a machine gets no task after its worker has rejected a start for lack
	// of resources.
	noRoomDelay = time.Second
	// unknownTaskDelay is how long no task of a job is started after an exit with CauseUnknownTask.
	unknownTaskDelay = 2 * time.Second
)

// onFailed handles an attempt that has exited without completing its task.
func (t *Tracker) onFailed(a *fleet.Attempt, cause string, occupied bool) {
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
		t.jobs.FinishIfEnded(j)
	} else if occupied {
		t.jobs.Requeue(j, a.ID.Index)
	}
}

// quarantineThreshold is the failure score at which a machine gets no more tasks.
const quarantineThreshold = 4

// recordFailure attributes a failed task to its machine or its job: a machine is quarantined if
// jobs fail on it that run elsewhere, and a job is delayed if it fails on several machines.
func (t *Tracker) recordFailure(j *fleet.Job, m *fleet.Machine) {
	j.RecordFailure(m.Host, t.engine.Now)
	weight := 1
	if j.AnyCompleted {
		weight = 2
	}
	m.RecordFailure(weight, t.engine.Now)
	if !j.AnyCompleted && len(j.FailedOn) > 1 {
		// No task has completed, and several machines have seen failures, so the job is the likely
		// cause.
		wait := min(2*time.Second<<min(j.Failures/2, 5), time.Minute)
		j.RetryAt = t.engine.Now.Add(wait)
		t.engine.Log(slog.LevelDebug, "job failed on several machines; delaying its next attempt", "job", j.Spec.ID, "failures", j.Failures, "wait", wait)
	}
	if m.FailureScore >= quarantineThreshold && !m.Quarantined {
		m.Quarantined = true
		t.engine.Log(slog.LevelWarn, "machine quarantined", "machine", m.Host, "type", m.TypeName, "reason", "tasks fail on this machine that complete on others")
		t.placement.DropMachineReservations(m)
	}
}
