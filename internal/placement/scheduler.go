// Package placement decides which tasks run on which machines: it reserves room for the
// tasks that wait, keeps the queue of jobs by the times of their reservations, and chooses
// what starts on a machine that has room.
package placement

import (
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/estimate"
	"yewpass/internal/fleet"
	"yewpass/internal/topology"
)

// Leader is what placement needs to know of the leader that it works for.
type Leader interface {
	// CanAct reports whether the leader has authority and knows the records.
	CanAct() bool
	// Machines returns the machines of the fleet, by name.
	Machines() []*fleet.Machine
	// Unaccounted reports whether the machine may hold unknown tasks of an earlier term.
	Unaccounted(host string) bool
	// UnaccountedCount returns how many machines may.
	UnaccountedCount() int
	// DispatchAll has all machines looked at again whose replies are held.
	DispatchAll()
	// Backlog returns how long all CPUs at hand need for the work that waits, and how many
	// CPUs those are.
	Backlog() (work time.Duration, cpus float64)
}

// Scheduler places the tasks of one term.
type Scheduler struct {
	// Queue is the jobs that have reservations.
	Queue fleet.Queue
	// EstimateMargin is the share that is added to estimates when room is reserved.
	EstimateMargin float64
	// AnyGuarantee says that some team has a guarantee.
	AnyGuarantee bool
	// OrphanedTasks is how many tasks on machines are of jobs whose records cannot be read.
	// They may count for any team.
	OrphanedTasks int
	// AttemptCount is how many attempt numbers of the term have been given.
	AttemptCount uint64

	engine    *engine.Engine
	scope     *engine.Scope
	cfg       *config.Config
	leader    Leader
	term      uint64
	electedAt time.Time

	runtimes           estimate.Runtimes
	taskCounter        *topology.TaskCounter // tasks of jobs with rules on places
	starved            []*fleet.Job          // of which nothing has run for too long
	pendingJobs        []*fleet.Job          // see ReserveSoon
	continuationQueued bool                  // there are more of them than go in one step
	offerBuffer        []offer               // scratch space
}

// New returns the scheduler of the term that begins now.
func New(e *engine.Engine, scope *engine.Scope, cfg *config.Config, leader Leader, term uint64) *Scheduler {
	return &Scheduler{
		engine: e, scope: scope, cfg: cfg, leader: leader, term: term, electedAt: e.Now,
		runtimes: estimate.NewRuntimes(), taskCounter: topology.NewTaskCounter(),
	}
}

func (s *Scheduler) now() time.Time { return s.engine.Now }

// allAccounted reports whether every machine that may hold a task of an earlier term is
// accounted for.
func (s *Scheduler) allAccounted() bool { return s.leader.UnaccountedCount() == 0 }
