package recurring

import (
	"time"

	"yewpass/internal/calendar"
)

const (
	maxDuePerTick   = 500                   // schedules that become due in one step
	dueBacklogDelay = 10 * time.Millisecond // until the rest of them do
	undatedDelay    = 100 * 365 * 24 * time.Hour
)

// planNext queues a schedule by when its next occurrence is due.
func (s *Scheduler) planNext(job *recurringJob) {
	job.generation++
	if job.removed || job.writing || job.awaitingPrevious || job.record == nil || job.record.Paused || job.definition == nil {
		return
	}
	occurrence, ok := job.definition.Next(job.record.Cursor)
	if !ok {
		return
	}
	at := occurrence.Start
	if job.notBefore.After(at) {
		at = job.notBefore
	}
	now := s.engine.WallClock()
	if !at.After(now) {
		s.enqueueReady(job, occurrence)
		return
	}
	s.upcoming.Push(at, queueEntry{schedule: job, generation: job.generation})
	if wait := at.Sub(now); wait < s.settings.TickInterval {
		s.scope.After(wait, s.Tick)
	}
}

// enqueueReady queues a schedule whose next occurrence is due: by deadline, and behind
// them those whose deadline has passed or that have none.
func (s *Scheduler) enqueueReady(job *recurringJob, occurrence calendar.Occurrence) {
	at := occurrence.Deadline
	if !at.After(s.engine.WallClock()) {
		at = occurrence.Start.Add(undatedDelay)
	}
	s.ready.Push(at, queueEntry{schedule: job, generation: job.generation})
	if s.ready.Len() == 1 {
		s.leader.WakeWriter()
	}
}

// Tick finds the occurrences that have become due. It goes by the time of day each time
// anew, so that a clock that is set back or forward only changes when they are found.
func (s *Scheduler) Tick() {
	now := s.engine.WallClock()
	for n := 0; s.upcoming.Len() > 0; {
		at, first := s.upcoming.First()
		if first.generation != first.schedule.generation {
			s.upcoming.Pop()
			continue
		}
		if wait := at.Sub(now); wait > 0 {
			if wait < s.settings.TickInterval {
				s.scope.After(wait, s.Tick)
			}
			return
		}
		if n++; n > maxDuePerTick {
			s.scope.After(dueBacklogDelay, s.Tick)
			return
		}
		s.upcoming.Pop()
		if occurrence, ok := first.schedule.definition.Next(first.schedule.record.Cursor); ok {
			s.enqueueReady(first.schedule, occurrence)
		}
	}
}

// Due reports whether occurrences wait to be created.
func (s *Scheduler) Due() bool { return s.ready.Len() > 0 }

// CreateDue decides on occurrences that are due, the most pressing first, as long as there
// is room for the two writes of each: the record of the schedule and that of the job.
// Deciding as late as this takes account of all that is known when the writes go.
func (s *Scheduler) CreateDue(room int) {
	for room >= 2 && s.ready.Len() > 0 {
		first := s.ready.Pop()
		if first.generation == first.schedule.generation {
			s.decide(first.schedule)
			room -= 2
		}
	}
}
