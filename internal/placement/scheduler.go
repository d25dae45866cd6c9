// Package placement assigns tasks to machines: it reserves slots for pending tasks, orders jobs by
// the times of their reservations, and selects the tasks that start on a machine.
package placement

import (
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/estimate"
	"yewpass/internal/fleet"
	"yewpass/internal/topology"
)

// Leader is the part of the elected leader that the scheduler depends on.
type Leader interface {
	// IsActive reports whether the leader has authority and has loaded the records.
	IsActive() bool
	// Machines returns all machines of the fleet, sorted by name.
	Machines() []*fleet.Machine
	// IsUnaccounted reports whether the machine may have tasks of an earlier term that the leader
	// does not know.
	IsUnaccounted(host string) bool
	// UnaccountedCount returns the number of unaccounted machines.
	UnaccountedCount() int
	// RequestDispatchAll requests a check for tasks that can start on any machine.
	RequestDispatchAll()
	// Backlog returns the pending work as time on all current CPUs, and the number of these CPUs.
	Backlog() (work time.Duration, cpus float64)
}

// Scheduler places tasks during one term of the leader.
type Scheduler struct {
	// Queue holds the jobs that have reservations.
	Queue fleet.Queue
	// EstimateMargin is the fraction added to runtime estimates when slots are reserved.
	EstimateMargin float64
	// AnyGuarantee is set if at least one team has a guaranteed quota.
	AnyGuarantee bool
	// OrphanedTasks counts the tasks on machines whose job records cannot be read. Any team may own
	// them, so teams with a limit start nothing until they are gone.
	OrphanedTasks int
	// AttemptCount is the number of attempt numbers assigned in this term.
	AttemptCount uint64

	engine    *engine.Engine
	scope     *engine.Scope
	cfg       *config.Config
	leader    Leader
	term      uint64
	electedAt time.Time

	runtimes           estimate.Runtimes
	taskCounter        *topology.TaskCounter // counts tasks of jobs with placement rules
	starved            []*fleet.Job          // set by FindStarvedJobs
	starvedAfter       time.Duration         // waiting time after which a job counts as starved
	nextRoomSearch     int                   // index of the next job that findJobsWithRoom examines
	pendingJobs        []*fleet.Job          // passed to ReserveSoon
	continuationQueued bool                  // another step will run ReservePending
	offerBuffer        []offer               // reused by collectOffers
}

// New returns the scheduler of a term that begins now.
func New(e *engine.Engine, scope *engine.Scope, cfg *config.Config, leader Leader, term uint64) *Scheduler {
	return &Scheduler{
		engine: e, scope: scope, cfg: cfg, leader: leader, term: term, electedAt: e.Now,
		runtimes: estimate.NewRuntimes(), taskCounter: topology.NewTaskCounter(),
	}
}

func (s *Scheduler) now() time.Time { return s.engine.Now }

// allAccounted reports whether no machine can have unknown tasks of an earlier term.
func (s *Scheduler) allAccounted() bool { return s.leader.UnaccountedCount() == 0 }
