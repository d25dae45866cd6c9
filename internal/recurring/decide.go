package recurring

import (
	"log/slog"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/record"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
	"yewpass/internal/writebatch"
)

const (
	maxDecisionsPerStep = 256              // occurrences of one schedule
	minRetryDelay       = time.Second      // after a refused admission
	maxRetryDelay       = 30 * time.Second // after a refused admission
)

// decide processes the due occurrences of a schedule, up to the first one that becomes a
// job, and queues a write of the outcome.
func (s *Scheduler) decide(sched *scheduleState) {
	now := s.engine.WallClock()
	sched.generation++
	if sched.writeInFlight {
		return // finishWrite queues the schedule again
	}
	var missed []schedule.MissedOccurrence
	cursor := sched.record.Cursor
	for range maxDecisionsPerStep {
		occurrence, verdict, reason := sched.definition.Decide(cursor, now, s.previousJob(sched))
		if verdict == schedule.CreateJob {
			jobSpec := sched.definition.Job(sched.record.Number, occurrence)
			if verdict, reason = s.admit(sched, &jobSpec, occurrence.Start); verdict == schedule.CreateJob {
				s.create(sched, cursor.AdvanceTo(occurrence), occurrence, &record.Job{Spec: jobSpec, Submitted: occurrence.Start}, missed)
				return
			}
		}
		if verdict != schedule.MissOccurrence {
			sched.awaitingPrevious = verdict == schedule.AwaitPrevious
			break
		}
		missed = append(missed, schedule.MissedOccurrence{Occurrence: occurrence, State: schedule.StateMissed, Reason: reason})
		cursor = cursor.AdvanceTo(occurrence)
	}
	if len(missed) > 0 {
		s.writeMissed(sched, cursor, missed)
		return
	}
	s.planNext(sched)
}

func (s *Scheduler) previousJob(sched *scheduleState) schedule.PreviousJob {
	before := schedule.PreviousJob{Active: s.leader.Job(sched.record.LastJob) != nil}
	if entry, ok := sched.record.Entry(sched.record.LastJob); ok {
		before.Ended = entry.Ended
	}
	return before
}

// admit decides whether the job of an occurrence is created now, later or never. If it is
// refused for now, admit sets the time of the next attempt.
func (s *Scheduler) admit(sched *scheduleState, jobSpec *spec.Job, start time.Time) (schedule.Decision, string) {
	if _, reason := s.leader.Unschedulable(jobSpec); reason != "" {
		return schedule.MissOccurrence, "can never run: " + reason
	}
	lateness, refused := s.leader.CheckDeadline(jobSpec)
	if !refused {
		return schedule.CreateJob, ""
	}
	now := s.engine.WallClock()
	if now.Sub(start) > max(sched.definition.CatchUpWindow, schedule.OnTimeTolerance) {
		return schedule.MissOccurrence, "refused for as long as it could be made"
	}
	sched.notBefore = now.Add(min(max(lateness, minRetryDelay), maxRetryDelay))
	return schedule.NotDue, ""
}

// create writes the job of an occurrence in one transaction with the schedule's record;
// past is the cursor after the occurrence.
func (s *Scheduler) create(sched *scheduleState, past schedule.Cursor, occurrence calendar.Occurrence, rec *record.Job, missed []schedule.MissedOccurrence) {
	id := rec.Spec.ID
	sched.notBefore = time.Time{}
	s.write(sched, recordChange{
		priority: writebatch.Occurrence,
		apply: func(r *schedule.Record) {
			r.AddMissed(past, missed)
			r.LastJob = id
			r.AddOccurrence(schedule.Entry{Job: id, Planned: occurrence.Start, Deadline: occurrence.Deadline, Made: s.engine.WallClock(), State: schedule.StateMade})
		},
		job: rec,
		onCommit: func() {
			s.reportMissed(sched, missed)
			s.created++
			if late := s.engine.WallClock().Sub(occurrence.Start); late > schedule.OnTimeTolerance {
				s.engine.Log(slog.LevelWarn, "occurrence submitted late", "schedule", sched.name, "planned", occurrence.Start, "job", id, "late", late)
			}
			live := s.leader.Job(id)
			if live == nil { // it has ended before the write was known to be committed
				s.resolveEnded(unresolvedOccurrence{sched: sched, jobID: id})
				return
			}
			s.byJob[live] = sched
			s.watchDeadline(sched, live, occurrence.Deadline)
		},
		onIDTaken: func() {
			s.engine.Log(slog.LevelError, "occurrence failed: job ID is already in use", "schedule", sched.name, "planned", occurrence.Start, "job", id)
			s.writeMissed(sched, past, append(missed, schedule.MissedOccurrence{Occurrence: occurrence, State: schedule.StateFailed, Reason: "job id " + id + " is taken"}))
		},
	})
}

// writeMissed records skipped or failed occurrences in the schedule's record.
func (s *Scheduler) writeMissed(sched *scheduleState, cursor schedule.Cursor, missed []schedule.MissedOccurrence) {
	s.write(sched, recordChange{
		priority: writebatch.Occurrence,
		apply:    func(r *schedule.Record) { r.AddMissed(cursor, missed) },
		onCommit: func() { s.reportMissed(sched, missed) },
	})
}

// reportMissed logs and counts occurrences that were skipped or failed.
func (s *Scheduler) reportMissed(sched *scheduleState, missed []schedule.MissedOccurrence) {
	s.missed += int64(len(missed))
	for _, occurrence := range missed {
		s.engine.Log(slog.LevelWarn, "occurrence skipped", "schedule", sched.name, "planned", occurrence.Start, "job", schedule.JobID(sched.record.Number, occurrence.Nominal), "reason", occurrence.Reason)
	}
}
