package core

import (
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/timeline"
)

// Attempts of tasks on machines, and what reports make of them.

// attempt is one attempt of a task on a machine: from the order to start it until
// the worker has forgotten it.
type attempt struct {
	id             heartbeat.TaskID
	number         uint64
	machine        *machine
	job            *job // nil: of no job that we know
	need           timeline.Resources
	phase          heartbeat.Phase
	occupies       bool   // counts against machine, team and job
	orderedCounter uint64 // the counter of the report whose reply carried the start
	orderedAt      time.Time
	startedAt      time.Time // first reported as running
	foundRunning   bool      // it ran before that, nobody knows for how long
	reservation    *timeline.Booking
	forgettable    bool   // exited, and the worker may forget it
	countedRunning bool   // among its job's running tasks
	orphaned       bool   // of a job whose record cannot be read
	lastListed     uint64 // number of the last report that listed it
	stopRequested  bool   // to be stopped
	drainTime      time.Duration
	stopSentAt     time.Time // when the stop first went out
}

// adoptAttempt makes a task known that a worker lists and we did not start: of an
// earlier term, or of a job that is over.
func (c *Core) adoptAttempt(m *machine, t *heartbeat.Task) *attempt {
	r := &attempt{id: t.Task, number: t.Try, machine: m, phase: Ordered, orderedAt: c.Now, orderedCounter: 0}
	m.attempts = append(m.attempts, r)
	j := c.leadership.jobs[t.Task.Job]
	if j != nil && t.Task.Index >= j.spec.Tasks {
		j = nil
	}
	if t.Phase == heartbeat.Exited {
		r.job = j
		return r
	}
	r.foundRunning = t.Phase != heartbeat.Pulling
	if j != nil {
		// A later attempt was only ordered once the earlier one was surely gone: what told
		// of that one was late, and the one that runs is this.
		if x := j.attempts[t.Task.Index]; x != nil && x.machine != m && x.number < t.Try {
			c.vacate(x)
			x.stopRequested = true
		}
	}
	if j == nil || j.done.Has(t.Task.Index) || j.attempts[t.Task.Index] != nil {
		// Nobody waits for it: stop it.
		r.stopRequested = true
		if c.leadership.unreadableJobs[t.Task.Job] {
			r.orphaned = true
			c.leadership.orphanedTasks++
		}
		if j != nil {
			c.Log(slog.LevelWarn, "task is listed twice or done, stopping it", "task", t.Task, "machine", m.host)
		}
		return r
	}
	c.occupy(r, j)
	return r
}

// occupy counts a run against its machine, team and job.
func (c *Core) occupy(r *attempt, j *job) {
	i := r.id.Index
	r.job, r.need, r.occupies = j, j.need, true
	j.attempts[i] = r
	if j.pending.Has(i) {
		j.pending.Remove(i)
		j.waiting--
		c.dropExcessReservation(j)
	}
	if len(j.placement.Rules) > 0 {
		c.leadership.tally.Add(j.spec.ID, r.machine.place, 1)
	}
	r.machine.allocated = r.machine.allocated.Add(j.need, 1)
	j.team.allocated = j.team.allocated.Add(j.need, 1)
	r.reservation = &timeline.Booking{Start: c.Now, End: c.Now.Add(c.occupancy(j, r.machine)), Need: j.need, Count: 1}
	r.machine.timeline.Add(r.reservation)
}

// vacate is the reverse of occupy: the task is surely not on the machine.
func (c *Core) vacate(r *attempt) {
	if r.reservation != nil {
		r.machine.timeline.Remove(r.reservation)
		r.reservation = nil
	}
	if r.orphaned {
		r.orphaned = false
		c.leadership.orphanedTasks--
		c.leadership.dispatchAll = true
	}
	if !r.occupies {
		return
	}
	r.occupies = false
	j := r.job
	c.countRunning(r, false)
	if len(j.placement.Rules) > 0 {
		c.leadership.tally.Add(j.spec.ID, r.machine.place, -1)
	}
	r.machine.allocated = r.machine.allocated.Add(r.need, -1)
	j.team.allocated = j.team.allocated.Add(r.need, -1)
	if j.attempts[r.id.Index] == r {
		delete(j.attempts, r.id.Index)
	}
	if r.machine.allocated == (timeline.Resources{}) {
		r.machine.idleSince = c.Now
	}
	// The machine's own reply looks for work for the room. Others can make use
	// of what the team or the job has got back.
	if j.team.limitReached || j.spec.SamePlace || j.spec.Apart || j.failures > 0 {
		j.team.limitReached = false
		c.leadership.dispatchAll = true
	}
}

// countRunning keeps the number of a job's tasks that workers report as running.
func (c *Core) countRunning(r *attempt, runs bool) {
	if r.countedRunning == runs || r.job == nil {
		return
	}
	r.countedRunning = runs
	if runs {
		r.job.running++
		r.job.hasRun = true
		c.occurrenceStarted(r.job)
	} else {
		r.job.running--
	}
}

// dropAttempt forgets a run that is surely gone and makes its task wait again.
func (c *Core) dropAttempt(r *attempt) {
	m := r.machine
	if i := slices.Index(m.attempts, r); i >= 0 {
		m.attempts = slices.Delete(m.attempts, i, i+1)
	}
	c.releaseAttempt(r)
}

// releaseAttempt is dropAttempt without the machine's list of runs.
func (c *Core) releaseAttempt(r *attempt) {
	held := r.occupies
	c.vacate(r)
	if held {
		c.requeue(r.job, r.id.Index)
		if r.job.cancelled {
			c.finishIfOver(r.job)
		}
	}
}

// updateAttempt takes in the state of one task.
func (c *Core) updateAttempt(r *attempt, t *heartbeat.Task) {
	if r.phase == heartbeat.Exited {
		return
	}
	m, j := r.machine, r.job
	if r.phase == Ordered && r.orderedCounter > 0 {
		m.unlistedStarts = 0
	}
	if t.Phase != heartbeat.Exited {
		if t.Phase == heartbeat.TaskRuns && r.phase != heartbeat.TaskRuns {
			r.startedAt = c.Now
			if j != nil {
				m.images.Add(j.spec.Image, struct{}{})
				if r.reservation != nil {
					r.reservation.End = c.Now.Add(c.occupancy(j, m))
					m.timeline.Touch()
				}
			}
		}
		r.phase = t.Phase
		if r.occupies {
			c.countRunning(r, t.Phase == heartbeat.TaskRuns || t.Phase == heartbeat.Checkpointing)
		}
		return
	}
	was := r.phase
	r.phase = heartbeat.Exited
	held := r.occupies
	c.vacate(r)
	i := r.id.Index
	if t.Cause == heartbeat.CauseDone {
		m.failureScore, m.onProbation = 0, false
		r.forgettable = j == nil && !c.leadership.unreadableJobs[r.id.Job] || j != nil && c.leadership.jobs[r.id.Job] != j
		if j != nil && !r.forgettable && j.finishing && !j.cancelled {
			// Its final record is on its way: until that is known this exit may be
			// all that tells a successor that the task is done.
			j.completed = append(j.completed, r)
			return
		}
		if j != nil && !r.forgettable && !j.halted() {
			if was == heartbeat.TaskRuns && !r.startedAt.IsZero() && !r.foundRunning {
				c.recordRuntime(j, m, c.Now.Sub(r.startedAt))
			}
			j.completed = append(j.completed, r)
			c.completeTask(j, i)
			return
		}
		if j != nil && held && j.cancelled {
			r.forgettable = true
			c.finishIfOver(j)
		}
		return
	}
	r.forgettable = true
	if j == nil {
		return
	}
	switch t.Cause {
	case heartbeat.CauseError:
		c.recordFailure(j, m)
	case heartbeat.CauseNoRoom:
		// The worker sees less room than we do; ask again a little later.
		m.retryAt = c.Now.Add(time.Second)
	case heartbeat.CauseNoSuch:
		j.retryAt = c.Now.Add(2 * time.Second)
	}
	if j.cancelled {
		c.finishIfOver(j)
	} else if held {
		c.requeue(j, i)
	}
}

// extendOverruns moves the end of runs that take longer than booked.
func (c *Core) extendOverruns(m *machine) {
	for _, r := range m.attempts {
		if r.reservation != nil && !r.reservation.End.After(c.Now) {
			r.reservation.End = c.Now.Add(max(c.occupancy(r.job, m)/8, time.Second))
			m.timeline.Touch()
		}
	}
}

// recordFailure weighs a failed task: the machine is faulty when jobs fail on it that
// run elsewhere, the job when it fails wherever it goes.
func (c *Core) recordFailure(j *job, m *machine) {
	if len(j.failedOn) <= maxFailedMachines { // more would not change where it may go
		j.failedOn[m.host] = true
	}
	j.failures++
	m.onProbation = true
	if j.anyCompleted {
		m.failureScore += 2
	} else {
		m.failureScore++
	}
	if !j.anyCompleted && len(j.failedOn) > 1 {
		// Failed on several machines and never completed: more likely the job.
		// It goes on one task at a time, less and less often.
		wait := min(2*time.Second<<min(j.failures/2, 5), time.Minute)
		j.retryAt = c.Now.Add(wait)
		c.Log(slog.LevelDebug, "job keeps failing", "job", j.spec.ID, "failures", j.failures, "wait", wait)
	}
	if m.failureScore >= 4 && !m.quarantined {
		m.quarantined = true
		c.Log(slog.LevelWarn, "machine condemned", "machine", m.host, "type", m.typeName, "reason", "tasks fail on it that run elsewhere")
		c.dropMachineReservations(m)
	}
}

// maxFailedMachines is on how many machines a job's tasks must have failed for it to be
// tried on them again: then it is the job.
const maxFailedMachines = 2
