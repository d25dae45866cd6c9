package recurring

import (
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/spec"
	"yewpass/internal/writebatch"
)

// Leader is what a Scheduler needs of the leader.
type Leader interface {
	Jobs
	Admission
	Records
	Requests
}

// Jobs gives access to the leader's jobs.
type Jobs interface {
	// Job returns the live job of an ID, or nil.
	Job(id string) *fleet.Job
	// FinalState returns how a recent job ended; false if that is not known.
	FinalState(id string) (spec.JobState, bool)
	// ReadJob reads a job's state from the key-value store; status is nil for a job that
	// does not exist.
	ReadJob(id string, f func(status *request.JobStatus, known bool))
	// AddJob takes on a job whose record has just been committed.
	AddJob(rec *record.Job)
}

// Admission decides which jobs the cluster accepts.
type Admission interface {
	// CatalogRead reports whether the instance types are known.
	CatalogRead() bool
	// Unschedulable returns the reason why a job can never run, and the field that causes
	// it; "" if it can.
	Unschedulable(job *spec.Job) (field, reason string)
	// AdmissionRefused reports whether a job is refused for now, and how late it would be.
	AdmissionRefused(job *spec.Job) (lateness time.Duration, refused bool)
	// FitsValue reports whether a record of a size in bytes fits into a value of the store.
	FitsValue(size int) bool
}

// Records writes to the key-value store on the condition of the leader's term, and keeps
// the replicas of the records.
type Records interface {
	// Write queues a change.
	Write(change *writebatch.Change)
	// WakeWriter has the queue looked at again soon.
	WakeWriter()
	// ReadBack reads a record, however often it takes; found is false if there is none.
	ReadBack(key string, f func(entry kv.Entry, found bool))
	// Replicate takes a record that was read into the replicas.
	Replicate(entry kv.Entry)
	// DropReplica takes a record that was deleted out of the replicas.
	DropReplica(key string)
}

// Requests serves users.
type Requests interface {
	// Answer sends a response to where the request came from.
	Answer(call request.Request, response request.Response)
	// Serve serves a request of any kind.
	Serve(call request.Request)
}
