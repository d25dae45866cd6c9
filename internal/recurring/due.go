package recurring

import (
	"time"

	"yewpass/internal/calendar"
)

const (
	maxDuePerTick   = 500                        // schedules moved to the ready queue in one step
	nextTickDelay   = 10 * time.Millisecond      // until the next step, if more are due
	noDeadlineDelay = 100 * 365 * 24 * time.Hour // sorts occurrences without a deadline last
)

// planNext queues a schedule by the time of its next occurrence, unless it is paused,
// disabled or removed, or waits for a write or for the previous job.
func (s *Scheduler) planNext(sched *scheduleState) {
	sched.generation++
	if sched.removed || sched.writeInFlight || sched.awaitingPrevious || sched.record == nil || sched.record.Paused || sched.definition == nil {
		return
	}
	occurrence, ok := sched.definition.Next(sched.record.Cursor)
	if !ok {
		return
	}
	at := occurrence.Start
	if sched.notBefore.After(at) {
		at = sched.notBefore
	}
	now := s.engine.WallClock()
	if !at.After(now) {
		s.enqueueReady(sched, occurrence)
		return
	}
	s.upcoming.Push(at, queueEntry{sched: sched, generation: sched.generation})
	if wait := at.Sub(now); wait < s.settings.TickInterval {
		s.scope.After(wait, s.Tick)
	}
}

// enqueueReady queues a schedule whose next occurrence is due. Occurrences with a future
// deadline come first, ordered by deadline; those without one, or whose deadline has
// passed, follow.
func (s *Scheduler) enqueueReady(sched *scheduleState, occurrence calendar.Occurrence) {
	at := occurrence.Deadline
	if !at.After(s.engine.WallClock()) {
		at = occurrence.Start.Add(noDeadlineDelay)
	}
	s.ready.Push(at, queueEntry{sched: sched, generation: sched.generation})
	if s.ready.Len() == 1 {
		s.leader.ScheduleFlush()
	}
}

// Tick moves the schedules whose next occurrence is due to the ready queue. It reads the
// time of day on each call, so changes of the clock take effect immediately.
func (s *Scheduler) Tick() {
	now := s.engine.WallClock()
	for n := 0; s.upcoming.Len() > 0; {
		at, first := s.upcoming.First()
		if first.generation != first.sched.generation {
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
			s.scope.After(nextTickDelay, s.Tick)
			return
		}
		s.upcoming.Pop()
		if occurrence, ok := first.sched.definition.Next(first.sched.record.Cursor); ok {
			s.enqueueReady(first.sched, occurrence)
		}
	}
}

// HasDue reports whether due occurrences wait for CreateDue.
func (s *Scheduler) HasDue() bool { return s.ready.Len() > 0 }

// CreateDue decides on due occurrences in deadline order, while room allows two writes for
// each: the schedule's record and the job's. Call it right before the writes are sent, so
// that decisions use the latest state.
func (s *Scheduler) CreateDue(room int) {
	for room >= 2 && s.ready.Len() > 0 {
		first := s.ready.Pop()
		if first.generation == first.sched.generation {
			s.decide(first.sched)
			room -= 2
		}
	}
}
