package core

import (
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/timeline"
)

// Attempts of tasks on machines, and what reports make of them.

// run is one attempt of a task on a machine: from the order to start it until
// the worker has forgotten it.
type run struct {
	id      TaskID
	try     uint64
	m       *machine
	job     *job // nil: of no job that we know
	need    timeline.Resources
	phase   Phase
	holds   bool   // counts against machine, team and job
	order   uint64 // the counter of the report whose reply carried the start
	ordered time.Time
	began   time.Time // first reported as running
	midway  bool      // it ran before that, nobody knows for how long
	slot    *timeline.Booking
	saved   bool   // exited, and the worker may forget it
	counted bool   // among its job's running tasks
	stray   bool   // of a job whose record cannot be read
	listed  uint64 // number of the last report that listed it
	stop    bool   // to be stopped
	drain   time.Duration
	stopped time.Time // when the stop first went out
}

// foundRun makes a task known that a worker lists and we did not start: of an
// earlier term, or of a job that is over.
func (c *Core) foundRun(m *machine, t *TaskReport) *run {
	r := &run{id: t.Task, try: t.Try, m: m, phase: orderedFor, ordered: c.now, order: 0}
	m.runs = append(m.runs, r)
	j := c.leadership.jobs[t.Task.Job]
	if j != nil && t.Task.Index >= j.spec.Tasks {
		j = nil
	}
	if t.Phase == Exited {
		r.job = j
		return r
	}
	r.midway = t.Phase != Pulling
	if j != nil {
		// A later attempt was only ordered once the earlier one was surely gone: what told
		// of that one was late, and the one that runs is this.
		if x := j.runs[t.Task.Index]; x != nil && x.m != m && x.try < t.Try {
			c.vacate(x)
			x.stop = true
		}
	}
	if j == nil || j.done.has(t.Task.Index) || j.runs[t.Task.Index] != nil {
		// Nobody waits for it: stop it.
		r.stop = true
		if c.leadership.unreadableJobs[t.Task.Job] {
			r.stray = true
			c.leadership.orphanedTasks++
		}
		if j != nil {
			c.note(slog.LevelWarn, "task is listed twice or done, stopping it", "task", t.Task, "machine", m.host)
		}
		return r
	}
	c.occupy(r, j)
	return r
}

// occupy counts a run against its machine, team and job.
func (c *Core) occupy(r *run, j *job) {
	i := r.id.Index
	r.job, r.need, r.holds = j, j.need, true
	j.runs[i] = r
	if j.pending.has(i) {
		j.pending.clear(i)
		j.waiting--
		c.dropExcessReservation(j)
	}
	if len(j.places.Rules) > 0 {
		c.leadership.tally.Add(j.spec.ID, r.m.leaf, 1)
	}
	r.m.used = r.m.used.Add(j.need, 1)
	j.team.used = j.team.used.Add(j.need, 1)
	r.slot = &timeline.Booking{Start: c.now, End: c.now.Add(c.occupancy(j, r.m)), Need: j.need, Count: 1}
	r.m.timeline.Add(r.slot)
}

// vacate is the reverse of occupy: the task is surely not on the machine.
func (c *Core) vacate(r *run) {
	if r.slot != nil {
		r.m.timeline.Remove(r.slot)
		r.slot = nil
	}
	if r.stray {
		r.stray = false
		c.leadership.orphanedTasks--
		c.leadership.dirty = true
	}
	if !r.holds {
		return
	}
	r.holds = false
	j := r.job
	c.count(r, false)
	if len(j.places.Rules) > 0 {
		c.leadership.tally.Add(j.spec.ID, r.m.leaf, -1)
	}
	r.m.used = r.m.used.Add(r.need, -1)
	j.team.used = j.team.used.Add(r.need, -1)
	if j.runs[r.id.Index] == r {
		delete(j.runs, r.id.Index)
	}
	if r.m.used == (timeline.Resources{}) {
		r.m.idle = c.now
	}
	// The machine's own reply looks for work for the room. Others can make use
	// of what the team or the job has got back.
	if j.team.short || j.spec.SamePlace || j.spec.Apart || j.failures > 0 {
		j.team.short = false
		c.leadership.dirty = true
	}
}

// count keeps the number of a job's tasks that workers report as running.
func (c *Core) count(r *run, runs bool) {
	if r.counted == runs || r.job == nil {
		return
	}
	r.counted = runs
	if runs {
		r.job.running++
		r.job.ran = true
		if r.job.sched != nil {
			c.occurrenceStarted(r.job)
		}
	} else {
		r.job.running--
	}
}

// dropRun forgets a run that is surely gone and makes its task wait again.
func (c *Core) dropRun(r *run) {
	m := r.m
	if i := slices.Index(m.runs, r); i >= 0 {
		m.runs = slices.Delete(m.runs, i, i+1)
	}
	c.forget(r)
}

// forget is dropRun without the machine's list of runs.
func (c *Core) forget(r *run) {
	held := r.holds
	c.vacate(r)
	if held {
		c.requeue(r.job, r.id.Index)
		if r.job.cancelled {
			c.closeIfOver(r.job)
		}
	}
}

// update takes in the state of one task.
func (c *Core) update(r *run, t *TaskReport) {
	if r.phase == Exited {
		return
	}
	m, j := r.m, r.job
	if r.phase == orderedFor && r.order > 0 {
		m.lostStarts = 0
	}
	if t.Phase != Exited {
		if t.Phase == TaskRuns && r.phase != TaskRuns {
			r.began = c.now
			if j != nil {
				m.images.Add(j.spec.Image, struct{}{})
				if r.slot != nil {
					r.slot.End = c.now.Add(c.occupancy(j, m))
					m.timeline.Touch()
				}
			}
		}
		r.phase = t.Phase
		if r.holds {
			c.count(r, t.Phase == TaskRuns || t.Phase == Checkpointing)
		}
		return
	}
	was := r.phase
	r.phase = Exited
	held := r.holds
	c.vacate(r)
	i := r.id.Index
	if t.Cause == CauseDone {
		m.strikes, m.suspect = 0, false
		r.saved = j == nil && !c.leadership.unreadableJobs[r.id.Job] || j != nil && c.leadership.jobs[r.id.Job] != j
		if j != nil && !r.saved && j.closing && !j.cancelled {
			// Its final record is on its way: until that is known this exit may be
			// all that tells a successor that the task is done.
			j.ended = append(j.ended, r)
			return
		}
		if j != nil && !r.saved && !j.halted() {
			if was == TaskRuns && !r.began.IsZero() && !r.midway {
				c.observe(j, m, c.now.Sub(r.began))
			}
			j.ended = append(j.ended, r)
			c.taskDone(j, i)
			return
		}
		if j != nil && held && j.cancelled {
			r.saved = true
			c.closeIfOver(j)
		}
		return
	}
	r.saved = true
	if j == nil {
		return
	}
	switch t.Cause {
	case CauseError:
		c.blame(j, m)
	case CauseNoRoom:
		// The worker sees less room than we do; ask again a little later.
		m.retryAt = c.now.Add(time.Second)
	case CauseNoSuch:
		j.retryAt = c.now.Add(2 * time.Second)
	}
	if j.cancelled {
		c.closeIfOver(j)
	} else if held {
		c.requeue(j, i)
	}
}

// stretch moves the end of runs that take longer than booked.
func (c *Core) stretch(m *machine) {
	for _, r := range m.runs {
		if r.slot != nil && !r.slot.End.After(c.now) {
			r.slot.End = c.now.Add(max(c.occupancy(r.job, m)/8, time.Second))
			m.timeline.Touch()
		}
	}
}

// blame weighs a failed task: the machine is faulty when jobs fail on it that
// run elsewhere, the job when it fails wherever it goes.
func (c *Core) blame(j *job, m *machine) {
	if len(j.errHosts) <= errHostsMost { // more would not change where it may go
		j.errHosts[m.host] = true
	}
	j.failures++
	m.suspect = true
	if j.any {
		m.strikes += 2
	} else {
		m.strikes++
	}
	if !j.any && len(j.errHosts) > 1 {
		// Failed on several machines and never completed: more likely the job.
		// It goes on one task at a time, less and less often.
		wait := min(2*time.Second<<min(j.failures/2, 5), time.Minute)
		j.retryAt = c.now.Add(wait)
		c.note(slog.LevelDebug, "job keeps failing", "job", j.spec.ID, "failures", j.failures, "wait", wait)
	}
	if m.strikes >= 4 && !m.condemned {
		m.condemned = true
		c.note(slog.LevelWarn, "machine condemned", "machine", m.host, "type", m.typeName, "reason", "tasks fail on it that run elsewhere")
		c.dropMachineReservations(m)
	}
}

// errHostsMost is on how many machines a job's tasks must have failed for it to be
// tried on them again: then it is the job.
const errHostsMost = 2
