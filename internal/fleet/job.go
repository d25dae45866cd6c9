package fleet

import (
	"slices"
	"time"
	"yewpass/internal/bitset"
	"yewpass/internal/estimate"
	"yewpass/internal/provider"
	"yewpass/internal/quota"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
	"yewpass/internal/topology"
	"yewpass/internal/writebatch"
)

// MaxFailedMachines is on how many machines a job's tasks must have failed for it to be
// tried on them again: then it is the job.
const MaxFailedMachines = 2

// Job is an accepted job that is not over.
type Job struct {
	Spec            spec.Job
	Need            timeline.Resources
	Submitted       time.Time // on the core's clock
	Record          *record.Job
	FromEarlierTerm bool         // accepted in an earlier term: its tasks may be anywhere
	Placement       topology.Job // its rules on places
	Team            *quota.Account
	StartsAtOnce    bool // must start at once

	Done      bitset.Set       // completed
	Pending   bitset.Set       // neither done nor on a machine
	Waiting   int              // members of pending
	Remaining int              // tasks not done
	Attempts  map[int]*Attempt // tasks on machines, or that may be

	Reserved       int // members of pending that have a place in the queue
	ChunkRevisions map[int]uint64
	DirtyChunks    map[int]bool // chunks with news not yet on their way

	Cancelling    bool               // a cancellation has been begun
	Cancelled     bool               // and has been committed
	Finishing     bool               // the final record is on its way
	EndingChange  *writebatch.Change // whichever of the two is on its way
	CancelWaiters []request.Request  // who waits for it

	FailedOn           map[string]bool  // machines on which its tasks failed
	Failures           int              // since a task last completed
	RetryAt            time.Time        // not before this, after failures
	AnyCompleted       bool             // a task has completed
	MissedUntil        time.Time        // aims up to this are out of reach
	Runtime            estimate.Average // seconds that its tasks took
	Reservations       []*Reservation   // places in the queue, in order
	QueueTime          time.Time        // of the first, while queued
	Queued             bool
	ReservationPending bool       // to be booked soon
	LastRereserved     time.Time  // when its bookings were last looked at again
	ImageLocalUntil    time.Time  // until then it starts only where its image is
	Running            int        // tasks that workers report as running or saving
	Completed          []*Attempt // completed, and not known to be on record
	HasRun             bool       // a task of it has run, or is done
	StartNoted         bool       // and has been noted to have started
}

// Halted reports whether no task of the job may start any more.
func (j *Job) Halted() bool { return j.Cancelled || j.Cancelling || j.Finishing }

// View returns what users are told of the job.
func (j *Job) View() request.JobStatus {
	v := request.JobStatus{ID: j.Spec.ID, State: spec.Queued, Done: j.Spec.Tasks - j.Remaining, Running: j.Running}
	switch {
	case j.Cancelled:
		v.State = spec.Cancelled
	case v.Running > 0:
		v.State = spec.Running
	}
	return v
}

// Before reports whether the job stands before another in the queue.
func (j *Job) Before(o *Job) bool {
	if x := j.QueueTime.Compare(o.QueueTime); x != 0 {
		return x < 0
	}
	if !j.Submitted.Equal(o.Submitted) {
		return j.Submitted.Before(o.Submitted)
	}
	return j.Spec.ID < o.Spec.ID
}

// AllowsInstanceType reports whether a job may run on instances of a type.
func AllowsInstanceType(s *spec.Job, name string) bool {
	return len(s.InstanceTypes) == 0 || slices.Contains(s.InstanceTypes, name)
}

// OfferedIn reports whether an instance type is offered in a zone.
func OfferedIn(f *provider.InstanceType, zone string) bool { return slices.Contains(f.Zones, zone) }
