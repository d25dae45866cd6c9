package core

import (
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
)

// Attempts of tasks on machines, and what reports make of them.

// adoptAttempt makes a task known that a worker lists and we did not start: of an
// earlier term, or of a job that is over.
func (c *Core) adoptAttempt(m *fleet.Machine, t *heartbeat.Task) *fleet.Attempt {
	r := &fleet.Attempt{ID: t.Task, Number: t.Try, Machine: m, Phase: fleet.Ordered, OrderedAt: c.Now, OrderedCounter: 0}
	m.Attempts = append(m.Attempts, r)
	j := c.leadership.jobs[t.Task.Job]
	if j != nil && t.Task.Index >= j.Spec.Tasks {
		j = nil
	}
	if t.Phase == heartbeat.Exited {
		r.Job = j
		return r
	}
	r.FoundRunning = t.Phase != heartbeat.Pulling
	if j != nil {
		// A later attempt was only ordered once the earlier one was surely gone: what told
		// of that one was late, and the one that runs is this.
		if x := j.Attempts[t.Task.Index]; x != nil && x.Machine != m && x.Number < t.Try {
			c.leadership.placement.Vacate(x)
			x.StopRequested = true
		}
	}
	if j == nil || j.Done.Has(t.Task.Index) || j.Attempts[t.Task.Index] != nil {
		// Nobody waits for it: stop it.
		r.StopRequested = true
		if c.leadership.unreadableJobs[t.Task.Job] {
			r.Orphaned = true
			c.leadership.placement.OrphanedTasks++
		}
		if j != nil {
			c.Log(slog.LevelWarn, "stopping duplicate task", "task", t.Task, "machine", m.Host)
		}
		return r
	}
	c.leadership.placement.Occupy(r, j)
	return r
}

// countRunning keeps the number of a job's tasks that workers report as running.
func (c *Core) countRunning(r *fleet.Attempt, runs bool) {
	if r.CountRunning(runs) && runs {
		c.leadership.recurring.JobStarted(r.Job)
	}
}

// dropAttempt forgets a run that is surely gone and makes its task wait again.
func (c *Core) dropAttempt(r *fleet.Attempt) {
	m := r.Machine
	if i := slices.Index(m.Attempts, r); i >= 0 {
		m.Attempts = slices.Delete(m.Attempts, i, i+1)
	}
	c.releaseAttempt(r)
}

// releaseAttempt is dropAttempt without the machine's list of runs.
func (c *Core) releaseAttempt(r *fleet.Attempt) {
	held := r.Occupies
	c.leadership.placement.Vacate(r)
	if held {
		c.requeue(r.Job, r.ID.Index)
		if r.Job.Cancelled {
			c.finishIfOver(r.Job)
		}
	}
}

// updateAttempt takes in the state of one task.
func (c *Core) updateAttempt(r *fleet.Attempt, t *heartbeat.Task) {
	if r.Phase == heartbeat.Exited {
		return
	}
	m, j := r.Machine, r.Job
	if r.Phase == fleet.Ordered && r.OrderedCounter > 0 {
		m.UnlistedStarts = 0
	}
	if t.Phase != heartbeat.Exited {
		if t.Phase == heartbeat.TaskRuns && r.Phase != heartbeat.TaskRuns {
			r.StartedAt = c.Now
			if j != nil {
				m.Images.Add(j.Spec.Image, struct{}{})
				c.leadership.placement.Renew(r)
			}
		}
		r.Phase = t.Phase
		if r.Occupies {
			c.countRunning(r, t.Phase == heartbeat.TaskRuns || t.Phase == heartbeat.Checkpointing)
		}
		return
	}
	was := r.Phase
	r.Phase = heartbeat.Exited
	held := r.Occupies
	c.leadership.placement.Vacate(r)
	i := r.ID.Index
	if t.Cause == heartbeat.CauseDone {
		m.FailureScore, m.OnProbation = 0, false
		r.Forgettable = j == nil && !c.leadership.unreadableJobs[r.ID.Job] || j != nil && c.leadership.jobs[r.ID.Job] != j
		if j != nil && !r.Forgettable && j.Finishing && !j.Cancelled {
			// Its final record is on its way: until that is known this exit may be
			// all that tells a successor that the task is done.
			j.Completed = append(j.Completed, r)
			return
		}
		if j != nil && !r.Forgettable && !j.Halted() {
			if was == heartbeat.TaskRuns && !r.StartedAt.IsZero() && !r.FoundRunning {
				c.leadership.placement.RecordRuntime(j, c.Now.Sub(r.StartedAt))
			}
			j.Completed = append(j.Completed, r)
			c.completeTask(j, i)
			return
		}
		if j != nil && held && j.Cancelled {
			r.Forgettable = true
			c.finishIfOver(j)
		}
		return
	}
	r.Forgettable = true
	if j == nil {
		return
	}
	switch t.Cause {
	case heartbeat.CauseError:
		c.recordFailure(j, m)
	case heartbeat.CauseNoRoom:
		// The worker sees less room than we do; ask again a little later.
		m.RetryAt = c.Now.Add(time.Second)
	case heartbeat.CauseUnknownTask:
		j.RetryAt = c.Now.Add(2 * time.Second)
	}
	if j.Cancelled {
		c.finishIfOver(j)
	} else if held {
		c.requeue(j, i)
	}
}

// recordFailure weighs a failed task: the machine is faulty when jobs fail on it that
// run elsewhere, the job when it fails wherever it goes.
func (c *Core) recordFailure(j *fleet.Job, m *fleet.Machine) {
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
		// Failed on several machines and never completed: more likely the job.
		// It goes on one task at a time, less and less often.
		wait := min(2*time.Second<<min(j.Failures/2, 5), time.Minute)
		j.RetryAt = c.Now.Add(wait)
		c.Log(slog.LevelDebug, "job fails repeatedly, backing off", "job", j.Spec.ID, "failures", j.Failures, "wait", wait)
	}
	if m.FailureScore >= 4 && !m.Quarantined {
		m.Quarantined = true
		c.Log(slog.LevelWarn, "machine quarantined", "machine", m.Host, "type", m.TypeName, "reason", "tasks fail on it that run elsewhere")
		c.leadership.placement.DropMachineReservations(m)
	}
}
