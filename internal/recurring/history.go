package recurring

import (
	"log/slog"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/kv"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
	"yewpass/internal/writebatch"
)

// historyDelay is how long changes of a history are collected before they are written.
const historyDelay = 2 * time.Second

// JobAdded is called when the leader has taken on a new job. One that a user has asked a
// schedule for goes into the schedule's history.
func (s *Scheduler) JobAdded(live *fleet.Job) {
	job := s.manualRuns[live.Spec.ID]
	if job == nil {
		return
	}
	delete(s.manualRuns, live.Spec.ID)
	if job.removed {
		return
	}
	now := s.engine.WallClock()
	entry := schedule.Entry{Job: live.Spec.ID, Planned: now, Made: now, State: schedule.StateMade}
	if live.Spec.HasDeadline {
		entry.Deadline = entry.Made.Add(live.Spec.Deadline)
	}
	s.byJob[live] = job
	job.pendingEntries = append(job.pendingEntries, entry)
	if !job.writing {
		s.applyPendingEntries(job)
	}
}

// applyPendingEntries adds to the history what came up while a write was in flight, which
// would have replaced it.
func (s *Scheduler) applyPendingEntries(job *recurringJob) {
	for _, entry := range job.pendingEntries {
		job.record.AddEntry(entry)
		if live := s.leader.Job(entry.Job); live != nil {
			s.watchDeadline(job, live, entry.Deadline)
		} else if state, ok := s.leader.FinalState(entry.Job); ok {
			s.finishOccurrence(job, entry.Job, state, s.engine.WallClock())
		}
		s.flushHistory(job)
	}
	job.pendingEntries = nil
}

// watchDeadline notes when the deadline of an occurrence passes before its job has ended.
func (s *Scheduler) watchDeadline(job *recurringJob, live *fleet.Job, due time.Time) {
	if due.IsZero() {
		return
	}
	id := live.Spec.ID
	s.scope.After(max(0, due.Sub(s.engine.WallClock())), func() {
		if s.leader.Job(id) != live || live.Cancelled || job.removed {
			return
		}
		if entry, ok := job.record.Entry(id); ok && !entry.Late {
			s.noteLate(job, entry)
		}
	})
}

// noteLate notes that an occurrence has missed its deadline.
func (s *Scheduler) noteLate(job *recurringJob, entry schedule.Entry) {
	job.record.UpdateEntry(entry.Job, func(entry *schedule.Entry) { entry.Late = true })
	job.record.Late++
	s.flushHistory(job)
	s.late++
	s.engine.Log(slog.LevelWarn, "occurrence missed its deadline", "schedule", job.name, "planned", entry.Planned, "due", entry.Deadline, "job", entry.Job)
}

// JobStarted is called when a task of a job has started.
func (s *Scheduler) JobStarted(live *fleet.Job) {
	job := s.byJob[live]
	if job == nil || live.StartRecorded || job.removed {
		return
	}
	live.StartRecorded = true
	if entry, ok := job.record.Entry(live.Spec.ID); ok && entry.Started.IsZero() {
		job.record.UpdateEntry(live.Spec.ID, func(entry *schedule.Entry) { entry.Started = s.engine.WallClock() })
		s.flushHistory(job)
	}
}

// JobFinished is called when the end of a job has been recorded.
func (s *Scheduler) JobFinished(live *fleet.Job, state spec.JobState) {
	if job := s.byJob[live]; job != nil {
		delete(s.byJob, live)
		s.finishOccurrence(job, live.Spec.ID, state, s.engine.WallClock())
	}
}

// finishOccurrence notes that the job of an occurrence has ended; a schedule that waited
// for it goes on.
func (s *Scheduler) finishOccurrence(job *recurringJob, id string, state spec.JobState, at time.Time) {
	if job.removed {
		return
	}
	if entry, ok := job.record.Entry(id); ok && entry.State == schedule.StateMade {
		job.record.UpdateEntry(id, func(entry *schedule.Entry) {
			entry.Ended, entry.State = at, schedule.StateDone
			if state == spec.Cancelled {
				entry.State = schedule.StateCancelled
			}
		})
		if state != spec.Cancelled && !entry.Deadline.IsZero() && at.After(entry.Deadline) && !entry.Late {
			s.noteLate(job, entry)
		}
		s.flushHistory(job)
	}
	if job.awaitingPrevious && id == job.record.LastJob {
		job.awaitingPrevious = false
		s.planNext(job)
	}
}

// flushHistory has a changed history written after a delay, unless another write of the
// schedule takes it along before.
func (s *Scheduler) flushHistory(job *recurringJob) {
	job.historyDirty = true
	if job.flushScheduled {
		return
	}
	job.flushScheduled = true
	s.scope.After(historyDelay, func() { s.leader.Write(s.historyChange(job)) })
}

// historyChange returns a change that takes up the history as it is when the change goes.
func (s *Scheduler) historyChange(job *recurringJob) *writebatch.Change {
	change := &writebatch.Change{Priority: writebatch.Bulk, Writes: []kv.Write{{Key: job.key()}}, Size: job.record.Size()}
	prepared := false
	change.Prepare = func() bool {
		if prepared {
			return true // it may have been executed: a retry has to be the same
		}
		job.flushScheduled = false
		if job.removed || !job.historyDirty || job.writing {
			return false // the end of the write in flight sees to it
		}
		prepared, job.writing, job.historyDirty = true, true, false
		job.generation++
		s.prepare(job, change, recordChange{apply: func(*schedule.Record) {}, done: func() {}})
		return true
	}
	return change
}
