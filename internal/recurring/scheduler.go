// Package recurring runs schedules while a controller leads: it reads their records,
// decides on the occurrences that are due, turns them into jobs, keeps their history and
// serves users' requests about them. Package schedule has the definitions, the stored
// record and the decision on one occurrence.
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

// Settings are the parameters of a Scheduler.
type Settings struct {
	Calendars    *calendar.Set
	Term         uint64        // of the leadership, for the log
	TickInterval time.Duration // how often Tick is called
}

// Scheduler turns the occurrences of schedules into jobs. A schedule's cursor changes in
// one transaction with the job that an occurrence becomes, on the condition of the term
// and of the record's own revision: neither a leader that fails, nor a transaction that is
// applied late, nor the next leader can run an occurrence twice or leave one out.
type Scheduler struct {
	engine   *engine.Engine
	scope    *engine.Scope
	leader   Leader
	settings Settings

	registry
	queues
	numbers numberAllocator

	manualRuns map[string]*recurringJob // by the ID of the job that a user has asked for
	unresolved []unresolvedOccurrence   // created by an earlier leader; how they ended is not known

	created, missed, late int64 // occurrences, by this leader
}

// registry is the schedules that the leader knows.
type registry struct {
	byName       map[string]*recurringJob
	byJob        map[*fleet.Job]*recurringJob // by the live jobs of their occurrences
	names        []string                     // sorted
	unreadable   map[string]bool              // names of schedules whose records cannot be read
	loaded       bool
	afterLoading func()
}

// queues orders the schedules by their next occurrence. An entry whose generation is not
// the schedule's own is stale.
type queues struct {
	upcoming timerheap.Heap[queueEntry] // by the time at which the next occurrence is due
	ready    timerheap.Heap[queueEntry] // due ones, by deadline
}

// queueEntry is a schedule's place in a queue.
type queueEntry struct {
	schedule   *recurringJob
	generation uint64
}

// New returns a Scheduler for one leadership, which scope bounds. It knows no schedules
// until Load.
func New(e *engine.Engine, scope *engine.Scope, settings Settings, leader Leader) *Scheduler {
	return &Scheduler{
		engine:   e,
		scope:    scope,
		leader:   leader,
		settings: settings,
		registry: registry{
			byName:     map[string]*recurringJob{},
			byJob:      map[*fleet.Job]*recurringJob{},
			unreadable: map[string]bool{},
		},
		numbers:    numberAllocator{engine: e, scope: scope, records: leader},
		manualRuns: map[string]*recurringJob{},
	}
}

// Stats returns the figures for the metrics page.
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

// Has reports whether there is a schedule of this name, or one is being created.
func (s *Scheduler) Has(name string) bool { return s.byName[name] != nil }

// NumberRevision returns the last known revision of the record of schedule numbers. The
// first record of a schedule is written on the condition that it is unchanged.
func (s *Scheduler) NumberRevision() uint64 { return s.numbers.revision }

// SetNumberRevision notes the revision of the record of schedule numbers.
func (s *Scheduler) SetNumberRevision(revision uint64) { s.numbers.revision = revision }

// add takes a schedule whose record is known into memory.
func (s *Scheduler) add(job *recurringJob) {
	s.byName[job.name] = job
	if i, found := slices.BinarySearch(s.names, job.name); !found {
		s.names = slices.Insert(s.names, i, job.name)
	}
	s.compile(job)
}

// forget drops a schedule that has been removed.
func (s *Scheduler) forget(job *recurringJob) {
	job.removed = true
	job.generation++
	if s.byName[job.name] == job {
		delete(s.byName, job.name)
		if i, found := slices.BinarySearch(s.names, job.name); found {
			s.names = slices.Delete(s.names, i, i+1)
		}
	}
	s.finishWrite(job, func() {})
}
