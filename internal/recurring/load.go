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
	loadPageSize    = 100                    // records per list request
	loadPageGap     = 100 * time.Millisecond // leaves capacity for the new leader's other work
	loadRetryDelay  = 200 * time.Millisecond
	resolveInterval = 50 * time.Millisecond
)

// unresolvedOccurrence is an occurrence whose job ended before this leadership and whose
// final state is missing from the schedule's record.
type unresolvedOccurrence struct {
	sched *scheduleState
	jobID string
}

// Load reads all schedules from the key-value store, page by page, and then calls after.
func (s *Scheduler) Load(after func()) {
	s.onLoaded = after
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
		s.onLoaded()
		if n := len(s.names); n > 0 {
			s.engine.Log(slog.LevelInfo, "schedules loaded", "term", s.settings.Term, "schedules", n)
			s.resolveNext()
		}
	})
}

// LoadRecord adds a schedule from a record that was read. A record that cannot be decoded
// makes requests for the schedule fail.
func (s *Scheduler) LoadRecord(entry kv.Entry) {
	name := strings.TrimPrefix(entry.Key, record.SchedulePrefix)
	rec, _ := entry.Value.(*schedule.Record)
	if rec == nil {
		s.engine.Log(slog.LevelError, "record is unreadable", "key", entry.Key, "effect", "the schedule creates no jobs and requests for it fail")
		s.unreadable[name] = true
		return
	}
	s.leader.Replicate(entry)
	sched := &scheduleState{name: name, record: rec, revision: entry.Rev}
	s.addToMemory(sched)
	s.trackUnfinishedJobs(sched)
	s.planNext(sched)
}

// trackUnfinishedJobs finds a schedule's jobs that had not ended when the record was written.
// Live jobs are tracked; the others are added to the unresolved list.
func (s *Scheduler) trackUnfinishedJobs(sched *scheduleState) {
	entries, _ := sched.record.Entries()
	for _, entry := range entries {
		if entry.State != schedule.StateMade {
			continue
		}
		if live := s.leader.Job(entry.Job); live != nil {
			s.byJob[live] = sched
			s.watchDeadline(sched, live, entry.Deadline)
		} else {
			s.unresolved = append(s.unresolved, unresolvedOccurrence{sched: sched, jobID: entry.Job})
		}
	}
	if live := s.leader.Job(sched.record.LastJob); live != nil {
		s.byJob[live] = sched
	}
}

// resolveNext reads the final state of the job of one unresolved occurrence. The job's end
// time is unknown, so the current time is recorded instead.
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
			if status != nil && status.State.Final() {
				s.resolve(next, status.State)
			}
		}
		s.scope.After(resolveInterval, s.resolveNext)
	})
}

// resolveEnded reads and records the final state of the job of an occurrence that has ended.
func (s *Scheduler) resolveEnded(occurrence unresolvedOccurrence) {
	s.leader.ReadJob(occurrence.jobID, func(status *request.JobStatus, known bool) {
		switch {
		case s.scope.Closed():
		case !known:
			s.scope.After(s.engine.Jitter(loadRetryDelay), func() { s.resolveEnded(occurrence) })
		case status != nil && status.State.Final():
			s.resolve(occurrence, status.State)
		}
	})
}

// resolve records the final state of an unresolved occurrence.
func (s *Scheduler) resolve(occurrence unresolvedOccurrence, state spec.JobState) {
	at := s.engine.WallClock()
	if entry, ok := occurrence.sched.record.Entry(occurrence.jobID); ok && !entry.Deadline.IsZero() && !entry.Late && at.After(entry.Deadline) {
		at = entry.Deadline // no leader recorded a missed deadline, so assume it was met
	}
	s.finishOccurrence(occurrence.sched, occurrence.jobID, state, at)
}
