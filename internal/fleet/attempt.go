// Package fleet holds what the leader knows of machines, jobs, attempts of tasks and
// reservations. It decides nothing.
package fleet

import (
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/timeline"
)

// Attempt is one attempt of a task on a machine: from the order to start it until
// the worker has forgotten it.
type Attempt struct {
	ID               heartbeat.TaskID
	Number           uint64
	Machine          *Machine
	Job              *Job // nil: of no job that we know
	Need             timeline.Resources
	Phase            heartbeat.Phase
	HoldsResources   bool   // counts against machine, team and job
	OrderedCounter   uint64 // the counter of the report whose reply carried the start
	OrderedAt        time.Time
	StartedAt        time.Time // first reported as running
	StartTimeUnknown bool      // it ran before that, nobody knows for how long
	Reservation      *timeline.Booking
	Forgettable      bool   // exited, and the worker may forget it
	CountedAsRunning bool   // among its job's running tasks
	Orphaned         bool   // of a job whose record cannot be read
	LastListed       uint64 // number of the last report that listed it
	StopRequested    bool   // to be stopped
	DrainTime        time.Duration
	StopSentAt       time.Time // when the stop first went out
}

// Ordered is the phase of an attempt whose start is in a reply that no later report has
// confirmed yet. Workers report the phases after it.
const Ordered = heartbeat.Phase("ordered")

// SetRunning counts the attempt among its job's running tasks, or no longer. It reports
// whether that is a change.
func (a *Attempt) SetRunning(runs bool) bool {
	if a.CountedAsRunning == runs || a.Job == nil {
		return false
	}
	a.CountedAsRunning = runs
	if runs {
		a.Job.Running++
		a.Job.HasRun = true
	} else {
		a.Job.Running--
	}
	return true
}
