// Package recurring runs schedules at the leader: it loads their records, creates jobs for
// due occurrences, maintains histories and serves users' requests. Package schedule contains
// the definitions, the stored record and the decision on a single occurrence.
package recurring

import (
	"slices"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/timerheap"
	"yewpass/internal/view"
)

// Settings are the parameters of a Scheduler. They do not change during a leadership.
type Settings struct {
	Calendars    *calendar.Set
	Term         uint64        // of the leadership, for the log
	TickInterval time.Duration // how often Tick is called
}

// Scheduler creates jobs for the occurrences of schedules. The transaction that creates a
// job also advances the schedule's cursor, conditional on the leader's term and the revision
// of the schedule's record. Therefore no occurrence runs twice or is lost when a transaction
// is applied late or the leader changes.
type Scheduler struct {
	engine   *engine.Engine
	scope    *engine.Scope
	leader   Leader
	settings Settings

	registry
	queues
	numbers numberAllocator

	manualRuns map[string]*scheduleState // by job ID; submitted and not accepted yet
	unresolved []unresolvedOccurrence    // of earlier leaders

	created, missed, late int64 // occurrence counters of this leadership
}

type registry struct {
	byName     map[string]*scheduleState
	byJob      map[*fleet.Job]*scheduleState // by live jobs of the schedules
	names      []string                      // sorted
	unreadable map[string]bool               // names of schedules with undecodable records
	loaded     bool
	onLoaded   func()
}

// queues orders the schedules by their next occurrence. An entry is stale if its generation
// differs from that of its schedule.
type queues struct {
	upcoming timerheap.Heap[queueEntry] // by the time of the next occurrence
	ready    timerheap.Heap[queueEntry] // schedules with a due occurrence, by deadline
}

type queueEntry struct {
	sched      *scheduleState
	generation uint64
}

// New returns a Scheduler for the leadership that scope belongs to. It has no schedules
// until Load is called.
func New(e *engine.Engine, scope *engine.Scope, settings Settings, leader Leader) *Scheduler {
	return &Scheduler{
		engine:   e,
		scope:    scope,
		leader:   leader,
		settings: settings,
		registry: registry{
			byName:     map[string]*scheduleState{},
			byJob:      map[*fleet.Job]*scheduleState{},
			unreadable: map[string]bool{},
		},
		numbers:    numberAllocator{engine: e, scope: scope, records: leader},
		manualRuns: map[string]*scheduleState{},
	}
}

// Stats returns the number of schedules and the occurrence counters of this leadership.
func (s *Scheduler) Stats() view.ScheduleStats {
	return view.ScheduleStats{
		Schedules:          len(s.names),
		OccurrencesCreated: s.created,
		OccurrencesMissed:  s.missed,
		OccurrencesLate:    s.late,
	}
}

// Loaded reports whether all schedules have been read.
func (s *Scheduler) Loaded() bool { return s.loaded }

// Has reports whether a schedule with this name exists or is being created.
func (s *Scheduler) Has(name string) bool { return s.byName[name] != nil }

// NumberRevision returns the last known revision of the record of schedule numbers, which is
// a condition on the creation of a schedule.
func (s *Scheduler) NumberRevision() uint64 { return s.numbers.revision }

// SetNumberRevision sets the last known revision of the record of schedule numbers. Call it
// after the record was read or was restored after a data loss.
func (s *Scheduler) SetNumberRevision(revision uint64) { s.numbers.revision = revision }

// addToMemory registers a schedule whose record is known and compiles its definition.
func (s *Scheduler) addToMemory(sched *scheduleState) {
	s.byName[sched.name] = sched
	if i, found := slices.BinarySearch(s.names, sched.name); !found {
		s.names = slices.Insert(s.names, i, sched.name)
	}
	s.compile(sched)
}

// removeFromMemory removes a schedule whose record has been deleted.
func (s *Scheduler) removeFromMemory(sched *scheduleState) {
	sched.removed = true
	sched.generation++
	if s.byName[sched.name] == sched {
		delete(s.byName, sched.name)
		if i, found := slices.BinarySearch(s.names, sched.name); found {
			s.names = slices.Delete(s.names, i, i+1)
		}
	}
	s.finishWrite(sched, func() {})
}
