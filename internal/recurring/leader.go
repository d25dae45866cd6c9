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

// Leader is the interface of a Scheduler to the leader that it belongs to.
type Leader interface {
	Jobs
	Admission
	Records
	Requests
}

// Jobs gives access to the leader's jobs.
type Jobs interface {
	// Job returns the live job with an ID, or nil.
	Job(id string) *fleet.Job
	// FinalState returns how a recently finished job ended, or false if that is unknown.
	FinalState(id string) (spec.JobState, bool)
	// ReadJob reads a job's state from the key-value store and passes it to f. status is nil
	// if the job does not exist; known is false if the state could not be determined.
	ReadJob(id string, f func(status *request.JobStatus, known bool))
	// AddJob starts to schedule a job whose record has just been committed.
	AddJob(rec *record.Job)
	// AdoptJob makes sure that a job whose record was committed earlier is in memory in its present
	// state, unless it has ended, and then calls f.
	AdoptJob(id string, f func())
}

// Admission decides which jobs the cluster accepts.
type Admission interface {
	// CatalogLoaded reports whether the catalog of instance types was read in this term.
	CatalogLoaded() bool
	// Unschedulable returns why a job can never run and the field at fault. The reason is
	// empty for a job that can run.
	Unschedulable(job *spec.Job) (field, reason string)
	// CheckDeadline reports whether a job is refused for now because of the backlog, and how
	// late it would be.
	CheckDeadline(job *spec.Job) (lateness time.Duration, refused bool)
	// FitsValue reports whether a record of size bytes fits into a value of the key-value store.
	FitsValue(size int) bool
}

// Records writes to the key-value store on the condition of the leader's term, and
// maintains the replicas of the records.
type Records interface {
	// Write queues a change.
	Write(change *writebatch.Change)
	// ScheduleFlush requests that the queued changes be sent soon.
	ScheduleFlush()
	// ReadBack reads a record and retries until it succeeds. found is false if there is none.
	ReadBack(key string, f func(entry kv.Entry, found bool))
	// Replicate adds a record that was read to the replicas.
	Replicate(entry kv.Entry)
	// ReplicateDelete removes a deleted record from the replicas.
	ReplicateDelete(key string)
}

// Requests answers and forwards users' requests.
type Requests interface {
	// Answer sends a response to the sender of a request.
	Answer(call request.Request, response request.Response)
	// Serve serves a request of any kind.
	Serve(call request.Request)
}
