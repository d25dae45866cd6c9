package recurring

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
)

const (
	loadPageSize    = 100                    // records read at a time
	loadPageGap     = 100 * time.Millisecond // between pages: the other work of a new leader goes first
	loadRetryDelay  = 200 * time.Millisecond
	resolveInterval = 50 * time.Millisecond
)

// unresolvedOccurrence is an occurrence whose job ended before this leader began, without
// the schedule's record saying how.
type unresolvedOccurrence struct {
	schedule *recurringJob
	jobID    string
}

// Load reads the schedules, page by page, and calls after once they are read.
func (s *Scheduler) Load(after func()) {
	s.afterLoading = after
	s.loadPage("")
}

// loadPage reads the schedules whose keys follow from.
func (s *Scheduler) loadPage(from string) {
	s.scope.CallStore(kv.Request{Op: kv.List, Key: record.SchedulePrefix, From: from, Limit: loadPageSize}, func(r kv.Response) {
		if r.Outcome != rpc.OK {
			s.scope.After(s.engine.Jitter(loadRetryDelay), func() { s.loadPage(from) })
			return
		}
		for _, entry := range r.Entries {
			s.LoadRecord(entry)
		}
		if r.More && len(r.Entries) > 0 {
			s.scope.After(loadPageGap, func() { s.loadPage(r.Entries[len(r.Entries)-1].Key) })
			return
		}
		s.loaded = true
		s.afterLoading()
		if n := len(s.names); n > 0 {
			s.engine.Log(slog.LevelInfo, "schedules loaded", "term", s.settings.Term, "schedules", n)
			s.resolveNext()
		}
	})
}

// LoadRecord takes in a schedule's record that was read.
func (s *Scheduler) LoadRecord(entry kv.Entry) {
	name := strings.TrimPrefix(entry.Key, record.SchedulePrefix)
	rec, _ := entry.Value.(*schedule.Record)
	if rec == nil {
		s.engine.Log(slog.LevelError, "record is unreadable", "key", entry.Key, "effect", "the schedule makes no jobs and is not served")
		s.unreadable[name] = true
		return
	}
	s.leader.Replicate(entry)
	job := &recurringJob{name: name, record: rec, revision: entry.Rev}
	s.add(job)
	s.findJobs(job)
	s.planNext(job)
}

// findJobs looks up the jobs of a schedule's occurrences that had not ended when its
// record was written.
func (s *Scheduler) findJobs(job *recurringJob) {
	entries, _ := job.record.Entries()
	for _, entry := range entries {
		if entry.State != schedule.StateMade {
			continue
		}
		if live := s.leader.Job(entry.Job); live != nil {
			s.byJob[live] = job
			s.watchDeadline(job, live, entry.Deadline)
		} else {
			s.unresolved = append(s.unresolved, unresolvedOccurrence{schedule: job, jobID: entry.Job})
		}
	}
	if live := s.leader.Job(job.record.LastJob); live != nil {
		s.byJob[live] = job
	}
}

// resolveNext looks up how an occurrence ended whose job was over when this leader began.
// When it ended is not known: the time of the finding stands for it.
func (s *Scheduler) resolveNext() {
	if len(s.unresolved) == 0 {
		return
	}
	next := s.unresolved[0]
	s.leader.ReadJob(next.jobID, func(status *request.JobStatus, known bool) {
		if s.scope.Closed() {
			return
		}
		if known {
			s.unresolved = slices.Delete(s.unresolved, 0, 1)
			if status != nil && (status.State == spec.Done || status.State == spec.Cancelled) {
				s.resolve(next, status.State)
			}
		}
		s.scope.After(resolveInterval, s.resolveNext)
	})
}

func (s *Scheduler) resolve(occurrence unresolvedOccurrence, state spec.JobState) {
	at := s.engine.WallClock()
	if entry, ok := occurrence.schedule.record.Entry(occurrence.jobID); ok && !entry.Deadline.IsZero() && !entry.Late && at.After(entry.Deadline) {
		at = entry.Deadline // no leader saw it miss the deadline
	}
	s.finishOccurrence(occurrence.schedule, occurrence.jobID, state, at)
}
