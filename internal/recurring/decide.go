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
	var missed []schedule.Passed
	cursor := job.record.Cursor
	for range maxDecisionsPerStep {
		occurrence, verdict, reason := job.definition.Decide(cursor, now, s.previous(job))
		if verdict == schedule.Make {
			jobSpec := job.definition.Job(job.record.Number, occurrence)
			if verdict, reason = s.admit(job, &jobSpec, occurrence.Start); verdict == schedule.Make {
				s.create(job, cursor.Past(occurrence), occurrence, &record.Job{Spec: jobSpec, Submitted: occurrence.Start}, missed)
				return
			}
		}
		if verdict != schedule.Miss {
			job.awaitingPrevious = verdict == schedule.Hold
			break
		}
		missed = append(missed, schedule.Passed{Occurrence: occurrence, State: schedule.StateMissed, Reason: reason})
		cursor = cursor.Past(occurrence)
	}
	if len(missed) > 0 {
		s.writeMissed(job, cursor, missed)
		return
	}
	s.planNext(job)
}

// previous returns what is known of the job of the previous occurrence.
func (s *Scheduler) previous(job *recurringJob) schedule.Before {
	before := schedule.Before{Live: s.leader.Job(job.record.LastJob) != nil}
	if entry, ok := job.record.Entry(job.record.LastJob); ok {
		before.Ended = entry.Ended
	}
	return before
}

// admit decides whether the job of an occurrence is accepted now, later or never.
func (s *Scheduler) admit(job *recurringJob, jobSpec *spec.Job, start time.Time) (schedule.Verdict, string) {
	if _, reason := s.leader.Unschedulable(jobSpec); reason != "" {
		return schedule.Miss, "can never run: " + reason
	}
	lateness, refused := s.leader.AdmissionRefused(jobSpec)
	if !refused {
		return schedule.Make, ""
	}
	now := s.engine.WallClock()
	if now.Sub(start) > max(job.definition.Within, schedule.OnTime) {
		return schedule.Miss, "refused for as long as it could be made"
	}
	job.notBefore = now.Add(min(max(lateness, minRetryDelay), maxRetryDelay))
	return schedule.Later, ""
}

// create turns an occurrence into a job; past is the cursor after it.
func (s *Scheduler) create(job *recurringJob, past schedule.Cursor, occurrence calendar.Occurrence, rec *record.Job, missed []schedule.Passed) {
	id := rec.Spec.ID
	job.notBefore = time.Time{}
	s.write(job, recordChange{
		priority: writebatch.Occurrence,
		apply: func(r *schedule.Record) {
			r.Pass(past, missed)
			r.LastJob = id
			r.Add(schedule.Entry{Job: id, Planned: occurrence.Start, Due: occurrence.Due, Made: s.engine.WallClock(), State: schedule.StateMade})
		},
		job: rec,
		done: func() {
			s.reportMissed(job, missed)
			s.created++
			if late := s.engine.WallClock().Sub(occurrence.Start); late > schedule.OnTime {
				s.engine.Log(slog.LevelWarn, "occurrence submitted late", "schedule", job.name, "planned", occurrence.Start, "job", id, "late", late)
			}
			if s.leader.Job(id) == nil { // otherwise a user submitted the ID at the same time
				s.leader.AddJob(rec)
			}
			live := s.leader.Job(id)
			s.byJob[live] = job
			s.watchDeadline(job, live, occurrence.Due)
		},
		idTaken: func() {
			s.engine.Log(slog.LevelError, "occurrence failed, job id already in use", "schedule", job.name, "planned", occurrence.Start, "job", id)
			s.writeMissed(job, past, append(missed, schedule.Passed{Occurrence: occurrence, State: schedule.StateFailed, Reason: "job id " + id + " is taken"}))
		},
	})
}

// writeMissed records that occurrences do not run.
func (s *Scheduler) writeMissed(job *recurringJob, cursor schedule.Cursor, missed []schedule.Passed) {
	s.write(job, recordChange{
		priority: writebatch.Occurrence,
		apply:    func(r *schedule.Record) { r.Pass(cursor, missed) },
		done:     func() { s.reportMissed(job, missed) },
	})
}

// reportMissed logs and counts occurrences that do not run.
func (s *Scheduler) reportMissed(job *recurringJob, missed []schedule.Passed) {
	s.missed += int64(len(missed))
	for _, occurrence := range missed {
		s.engine.Log(slog.LevelWarn, "occurrence skipped", "schedule", job.name, "planned", occurrence.Start, "job", schedule.JobID(job.record.Number, occurrence.Nominal), "reason", occurrence.Reason)
	}
}
