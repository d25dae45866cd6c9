// Package fleet is the state that the leader keeps of machines, jobs, the attempts of
// their tasks, and the reservations that bind them. It decides nothing.
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
	Spec             spec.Job
	Need             timeline.Resources
	Submitted        time.Time // on the core's clock
	Record           *record.Job
	FromEarlierTerm  bool         // accepted in an earlier term: its tasks may be anywhere
	Placement        topology.Job // its rules on places
	Team             *quota.Account
	LatencySensitive bool // must start at once

	Progress
	Queueing
	FailureHistory
	Finalization
}

// Progress is what a job's tasks have come to.
type Progress struct {
	Done                  bitset.Set             // completed
	Pending               bitset.Set             // neither done nor on a machine
	Waiting               int                    // members of pending
	Remaining             int                    // tasks not done
	Attempts              map[int]*Attempt       // tasks on machines, or that may be
	Running               int                    // tasks that workers report as running or checkpointing
	UnrecordedCompletions []*Attempt             // completed, and not known to be on record
	AnyCompleted          bool                   // a task has completed
	HasRun                bool                   // a task of it has run, or is done
	StartRecorded         bool                   // and has been noted to have started
	Runtime               estimate.MovingAverage // seconds that its tasks took
	ChunkRevisions        map[int]uint64         // revisions of the progress records
	DirtyChunks           map[int]bool           // chunks with changes not yet on their way
}

// NewProgress returns the progress of a job that has so many tasks, of which nothing is known
// yet.
func NewProgress(tasks int) Progress {
	return Progress{
		Done: bitset.New(tasks), Pending: bitset.New(tasks), Remaining: tasks, Attempts: map[int]*Attempt{},
		ChunkRevisions: map[int]uint64{}, DirtyChunks: map[int]bool{},
	}
}

// Queueing is a job's reservations and its place in the queue.
type Queueing struct {
	Reserved              int            // members of pending that have a place in the queue
	Reservations          []*Reservation // places in the queue, in order
	QueueTime             time.Time      // of the first, while queued
	Queued                bool
	ReservationPending    bool      // reservations are to be made soon
	LastRefreshed         time.Time // when its reservations were last renewed
	MissedObjectivesUntil time.Time // objectives up to this are out of reach
	ImageLocalUntil       time.Time // until then it starts only where its image is
}

// FailureHistory is how a job's tasks have failed.
type FailureHistory struct {
	FailedOn map[string]bool // machines on which its tasks failed
	Failures int             // since a task last completed
	RetryAt  time.Time       // not before this, after failures
}

// Finalization is how far a job's cancellation or completion has got.
type Finalization struct {
	Cancelling   bool               // a cancellation has been begun
	Cancelled    bool               // and has been committed
	Finishing    bool               // the final record is on its way
	FinalChange  *writebatch.Change // whichever of the two is on its way
	FinalWaiters []request.Request  // who waits for it
}

// Halted reports whether no task of the job may start any more.
func (j *Job) Halted() bool { return j.Cancelled || j.Cancelling || j.Finishing }

// View returns what a user is told of the job.
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

// Before reports whether the job stands before another one in the queue: by the time of
// its first reservation, then by submission.
func (j *Job) Before(o *Job) bool {
	if x := j.QueueTime.Compare(o.QueueTime); x != 0 {
		return x < 0
	}
	if !j.Submitted.Equal(o.Submitted) {
		return j.Submitted.Before(o.Submitted)
	}
	return j.Spec.ID < o.Spec.ID
}

// AllowsInstanceType reports whether the job may run on machines of the named type.
func AllowsInstanceType(s *spec.Job, name string) bool {
	return len(s.InstanceTypes) == 0 || slices.Contains(s.InstanceTypes, name)
}

// OfferedIn reports whether the cloud offers the instance type in the zone.
func OfferedIn(f *provider.InstanceType, zone string) bool { return slices.Contains(f.Zones, zone) }
