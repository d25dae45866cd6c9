// Package fleet defines the leader's in-memory state of machines, jobs, task attempts and
// reservations. It makes no scheduling decisions.
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

// Job is an accepted job that has not finished.
type Job struct {
	Spec             spec.Job
	Need             timeline.Resources
	Submitted        time.Time // on the clock of this node
	Record           *record.Job
	FromEarlierTerm  bool         // accepted in an earlier term, so its tasks may run on any machine
	Placement        topology.Job // placement rules
	Team             *quota.Account
	LatencySensitive bool // its class has an objective on the waiting time

	Progress
	Queueing
	Renting
	FailureHistory
	Finalization
}

// Progress is the execution state of a job's tasks.
type Progress struct {
	Done                  bitset.Set       // completed tasks
	Pending               bitset.Set       // tasks neither completed nor on a machine
	Waiting               int              // number of pending tasks
	Remaining             int              // number of tasks not completed
	Attempts              map[int]*Attempt // by task index; attempts that are or may be on a machine
	Running               int              // tasks reported as running or checkpointing
	UnrecordedCompletions []*Attempt       // completions not known to be stored
	AnyCompleted          bool
	HasRun                bool                   // at least one task has run or completed
	StartRecorded         bool                   // the start has been added to the history of its schedule
	Runtime               estimate.MovingAverage // observed runtime in seconds
	ChunkRevisions        map[int]uint64
	DirtyChunks           map[int]bool // progress records with changes not yet being written
}

// NewProgress returns the progress of a job with the given number of tasks, none of them marked as
// pending, running or done.
func NewProgress(tasks int) Progress {
	return Progress{
		Done: bitset.New(tasks), Pending: bitset.New(tasks), Remaining: tasks, Attempts: map[int]*Attempt{},
		ChunkRevisions: map[int]uint64{}, DirtyChunks: map[int]bool{},
	}
}

// Queueing holds a job's reservations and its position in the queue.
type Queueing struct {
	Reserved              int            // pending tasks covered by Reservations
	Reservations          []*Reservation // in queue order
	QueueTime             time.Time      // queue time of the first reservation, while Queued
	Queued                bool
	ReservationPending    bool      // Reserve is scheduled
	LastRefreshed         time.Time // when new slots were last searched
	MissedObjectivesUntil time.Time // objectives up to this time cannot be met
	ImageLocalUntil       time.Time // until then only machines that have its image may start it
}

// Renting holds when the autoscaler last examined the job. Where it examines only some of the jobs at a
// time, those come first that it has not examined for the longest time.
type Renting struct {
	ExaminedForRequest time.Time // for a request of instances
	ExaminedForReturn  time.Time // for the return of a draining machine to service
}

// Finalization is the progress of a job's cancellation or completion.
type Finalization struct {
	Cancelling   bool               // the cancellation is being written
	Cancelled    bool               // the cancellation has been committed
	Finishing    bool               // the final record is being written
	FinalChange  *writebatch.Change // the cancellation or final record being written
	FinalWaiters []request.Request  // requests to answer when the job has ended
}

// Halted reports whether the job is cancelled, being cancelled or being finished, so that none of
// its tasks may start.
func (j *Job) Halted() bool { return j.Cancelled || j.Cancelling || j.Finishing }

// View returns the job status that is reported to users.
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

// Before reports whether the job precedes o in the queue: by the queue time of the first
// reservation, then by submission, then by ID.
func (j *Job) Before(o *Job) bool {
	if x := j.QueueTime.Compare(o.QueueTime); x != 0 {
		return x < 0
	}
	if !j.Submitted.Equal(o.Submitted) {
		return j.Submitted.Before(o.Submitted)
	}
	return j.Spec.ID < o.Spec.ID
}

// AllowsInstanceType reports whether the job may run on the named instance type. A job without a
// list of types allows all.
func AllowsInstanceType(s *spec.Job, name string) bool {
	return len(s.InstanceTypes) == 0 || slices.Contains(s.InstanceTypes, name)
}

// OfferedIn reports whether the catalog lists the instance type in the zone.
func OfferedIn(f *provider.InstanceType, zone string) bool { return slices.Contains(f.Zones, zone) }
