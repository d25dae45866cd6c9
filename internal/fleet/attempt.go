package fleet

import (
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/timeline"
)

// Attempt is one attempt to run a task on a machine. It exists from the start order until the
// worker has confirmed that it no longer keeps the task.
type Attempt struct {
	ID               heartbeat.TaskID
	Number           uint64
	Machine          *Machine
	Job              *Job // nil if the job is not known
	Need             timeline.Resources
	Phase            heartbeat.Phase
	HoldsResources   bool   // its resources are charged to machine, team and job
	OrderedCounter   uint64 // counter of the heartbeat whose reply carried the start order
	OrderedAt        time.Time
	StartedAt        time.Time // when a heartbeat first listed it as running
	StartTimeUnknown bool      // it was already running when this leader first saw it
	Reservation      *timeline.Booking
	Forgettable      bool   // it has exited, and the worker may discard it
	CountedAsRunning bool   // included in Job.Running
	Orphaned         bool   // the record of its job cannot be read
	LastListed       uint64 // number of the last heartbeat that listed it
	StopRequested    bool   // a stop order is due or has been sent
	DrainTime        time.Duration
	StopSentAt       time.Time // when the stop order was first sent
}

// Ordered is the phase of an attempt whose start order no heartbeat has confirmed yet. Workers
// report only the phases that follow.
const Ordered = heartbeat.Phase("ordered")

// SetRunning adds the attempt to its job's running tasks or removes it. It reports whether the
// count has changed.
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
