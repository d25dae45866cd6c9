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
	minRetryDelay       = time.Second      // after a refusal
	maxRetryDelay       = 30 * time.Second // likewise
)

// decide decides on the next occurrences of a schedule, up to one that becomes a job, and
// has the outcome written.
func (s *Scheduler) decide(job *recurringJob) {
	now := s.engine.WallClock()
	job.generation++
	if job.writing {
		return // planned again after the write
	}
	var missed []schedule.MissedOccurrence
	cursor := job.record.Cursor
	for range maxDecisionsPerStep {
		occurrence, verdict, reason := job.definition.Decide(cursor, now, s.previous(job))
		if verdict == schedule.CreateJob {
			jobSpec := job.definition.Job(job.record.Number, occurrence)
			if verdict, reason = s.admit(job, &jobSpec, occurrence.Start); verdict == schedule.CreateJob {
				s.create(job, cursor.AdvanceTo(occurrence), occurrence, &record.Job{Spec: jobSpec, Submitted: occurrence.Start}, missed)
				return
			}
		}
		if verdict != schedule.MissOccurrence {
			job.awaitingPrevious = verdict == schedule.AwaitPrevious
			break
		}
		missed = append(missed, schedule.MissedOccurrence{Occurrence: occurrence, State: schedule.StateMissed, Reason: reason})
		cursor = cursor.AdvanceTo(occurrence)
	}
	if len(missed) > 0 {
		s.writeMissed(job, cursor, missed)
		return
	}
	s.planNext(job)
}

// previous returns what is known of the job of the previous occurrence.
func (s *Scheduler) previous(job *recurringJob) schedule.PreviousJob {
	before := schedule.PreviousJob{Active: s.leader.Job(job.record.LastJob) != nil}
	if entry, ok := job.record.Entry(job.record.LastJob); ok {
		before.Ended = entry.Ended
	}
	return before
}

// admit decides whether the job of an occurrence is accepted now, later or never.
func (s *Scheduler) admit(job *recurringJob, jobSpec *spec.Job, start time.Time) (schedule.Decision, string) {
	if _, reason := s.leader.Unschedulable(jobSpec); reason != "" {
		return schedule.MissOccurrence, "can never run: " + reason
	}
	lateness, refused := s.leader.AdmissionRefused(jobSpec)
	if !refused {
		return schedule.CreateJob, ""
	}
	now := s.engine.WallClock()
	if now.Sub(start) > max(job.definition.CatchUpWindow, schedule.OnTimeTolerance) {
		return schedule.MissOccurrence, "refused for as long as it could be made"
	}
	job.notBefore = now.Add(min(max(lateness, minRetryDelay), maxRetryDelay))
	return schedule.NotDue, ""
}

// create turns an occurrence into a job; past is the cursor after it.
func (s *Scheduler) create(job *recurringJob, past schedule.Cursor, occurrence calendar.Occurrence, rec *record.Job, missed []schedule.MissedOccurrence) {
	id := rec.Spec.ID
	job.notBefore = time.Time{}
	s.write(job, recordChange{
		priority: writebatch.Occurrence,
		apply: func(r *schedule.Record) {
			r.AddMissed(past, missed)
			r.LastJob = id
			r.AddOccurrence(schedule.Entry{Job: id, Planned: occurrence.Start, Deadline: occurrence.Deadline, Made: s.engine.WallClock(), State: schedule.StateMade})
		},
		job: rec,
		done: func() {
			s.reportMissed(job, missed)
			s.created++
			if late := s.engine.WallClock().Sub(occurrence.Start); late > schedule.OnTimeTolerance {
				s.engine.Log(slog.LevelWarn, "occurrence submitted late", "schedule", job.name, "planned", occurrence.Start, "job", id, "late", late)
			}
			if s.leader.Job(id) == nil { // otherwise a user submitted the ID at the same time
				s.leader.AddJob(rec)
			}
			live := s.leader.Job(id)
			s.byJob[live] = job
			s.watchDeadline(job, live, occurrence.Deadline)
		},
		idTaken: func() {
			s.engine.Log(slog.LevelError, "occurrence failed, job id already in use", "schedule", job.name, "planned", occurrence.Start, "job", id)
			s.writeMissed(job, past, append(missed, schedule.MissedOccurrence{Occurrence: occurrence, State: schedule.StateFailed, Reason: "job id " + id + " is taken"}))
		},
	})
}

// writeMissed records that occurrences do not run.
func (s *Scheduler) writeMissed(job *recurringJob, cursor schedule.Cursor, missed []schedule.MissedOccurrence) {
	s.write(job, recordChange{
		priority: writebatch.Occurrence,
		apply:    func(r *schedule.Record) { r.AddMissed(cursor, missed) },
		done:     func() { s.reportMissed(job, missed) },
	})
}

// reportMissed logs and counts occurrences that do not run.
func (s *Scheduler) reportMissed(job *recurringJob, missed []schedule.MissedOccurrence) {
	s.missed += int64(len(missed))
	for _, occurrence := range missed {
		s.engine.Log(slog.LevelWarn, "occurrence skipped", "schedule", job.name, "planned", occurrence.Start, "job", schedule.JobID(job.record.Number, occurrence.Nominal), "reason", occurrence.Reason)
	}
}
