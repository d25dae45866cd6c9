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

// historyDelay is how long history changes are collected before they are written.
const historyDelay = 2 * time.Second

// JobAdded is called when the leader has accepted a new job. It adds a manual run to the
// history of its schedule.
func (s *Scheduler) JobAdded(live *fleet.Job) {
	sched := s.manualRuns[live.Spec.ID]
	if sched == nil {
		return
	}
	delete(s.manualRuns, live.Spec.ID)
	if sched.removed {
		return
	}
	now := s.engine.WallClock()
	entry := schedule.Entry{Job: live.Spec.ID, Planned: now, Made: now, State: schedule.StateMade}
	if live.Spec.HasDeadline {
		entry.Deadline = entry.Made.Add(live.Spec.Deadline)
	}
	s.byJob[live] = sched
	sched.pendingEntries = append(sched.pendingEntries, entry)
	if !sched.writeInFlight {
		s.applyPendingEntries(sched)
	}
}

// applyPendingEntries adds the history entries that arrived while a write was in flight.
// Entries added earlier would be lost when the commit replaces the record in memory.
func (s *Scheduler) applyPendingEntries(sched *scheduleState) {
	for _, entry := range sched.pendingEntries {
		sched.record.AddEntry(entry)
		if live := s.leader.Job(entry.Job); live != nil {
			s.watchDeadline(sched, live, entry.Deadline)
		} else if state, ok := s.leader.FinalState(entry.Job); ok {
			s.finishOccurrence(sched, entry.Job, state, s.engine.WallClock())
		}
		s.flushHistory(sched)
	}
	sched.pendingEntries = nil
}

// watchDeadline sets a timer that records a missed deadline if the job has not ended by due.
func (s *Scheduler) watchDeadline(sched *scheduleState, live *fleet.Job, due time.Time) {
	if due.IsZero() {
		return
	}
	id := live.Spec.ID
	s.scope.After(max(0, due.Sub(s.engine.WallClock())), func() {
		if s.leader.Job(id) != live || live.Cancelled || sched.removed {
			return
		}
		if entry, ok := sched.record.Entry(id); ok && !entry.Late {
			s.recordDeadlineMiss(sched, entry)
		}
	})
}

// recordDeadlineMiss marks an occurrence as late in the history, and logs and counts it.
func (s *Scheduler) recordDeadlineMiss(sched *scheduleState, entry schedule.Entry) {
	sched.record.UpdateEntry(entry.Job, func(entry *schedule.Entry) { entry.Late = true })
	sched.record.Late++
	s.flushHistory(sched)
	s.late++
	s.engine.Log(slog.LevelWarn, "occurrence missed its deadline", "schedule", sched.name, "planned", entry.Planned, "due", entry.Deadline, "job", entry.Job)
}

// JobStarted is called when a task of a job has started. It records the start time of the
// occurrence once.
func (s *Scheduler) JobStarted(live *fleet.Job) {
	sched := s.byJob[live]
	if sched == nil || live.StartRecorded || sched.removed {
		return
	}
	live.StartRecorded = true
	if entry, ok := sched.record.Entry(live.Spec.ID); ok && entry.Started.IsZero() {
		sched.record.UpdateEntry(live.Spec.ID, func(entry *schedule.Entry) { entry.Started = s.engine.WallClock() })
		s.flushHistory(sched)
	}
}

// JobFinished is called when the final state of a job has been recorded.
func (s *Scheduler) JobFinished(live *fleet.Job, state spec.JobState) {
	if sched := s.byJob[live]; sched != nil {
		delete(s.byJob, live)
		s.finishOccurrence(sched, live.Spec.ID, state, s.engine.WallClock())
	}
}

// finishOccurrence records the end of an occurrence's job. A schedule that waited for this
// job is queued again.
func (s *Scheduler) finishOccurrence(sched *scheduleState, id string, state spec.JobState, at time.Time) {
	if sched.removed {
		return
	}
	if entry, ok := sched.record.Entry(id); ok && entry.State == schedule.StateMade {
		sched.record.UpdateEntry(id, func(entry *schedule.Entry) {
			entry.Ended, entry.State = at, schedule.StateDone
			if state == spec.Cancelled {
				entry.State = schedule.StateCancelled
			}
		})
		if state != spec.Cancelled && !entry.Deadline.IsZero() && at.After(entry.Deadline) && !entry.Late {
			s.recordDeadlineMiss(sched, entry)
		}
		s.flushHistory(sched)
	}
	if sched.awaitingPrevious && id == sched.record.LastJob {
		sched.awaitingPrevious = false
		s.planNext(sched)
	}
}

// flushHistory schedules a write of a changed history after historyDelay. It is dropped if
// an earlier write of the schedule's record includes the change.
func (s *Scheduler) flushHistory(sched *scheduleState) {
	sched.historyChanged = true
	if sched.flushScheduled {
		return
	}
	sched.flushScheduled = true
	s.scope.After(historyDelay, func() { s.leader.Write(s.historyChange(sched)) })
}

// historyChange returns a change that writes the history as it is when the change is sent.
func (s *Scheduler) historyChange(sched *scheduleState) *writebatch.Change {
	change := &writebatch.Change{Priority: writebatch.Bulk, Writes: []kv.Write{{Key: sched.key()}}, Size: sched.record.Size()}
	prepared := false
	change.Prepare = func() bool {
		if prepared {
			return true // the write may have been applied, so a retry must be identical
		}
		sched.flushScheduled = false
		if sched.removed || !sched.historyChanged || sched.writeInFlight {
			return false // finishWrite flushes the history if a write is in flight
		}
		prepared, sched.writeInFlight, sched.historyChanged = true, true, false
		sched.generation++
		s.prepare(sched, change, recordChange{apply: func(*schedule.Record) {}, onCommit: func() {}})
		return true
	}
	return change
}
