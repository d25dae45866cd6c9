package spec

// JobState is a job's state as users see it.
type JobState string

// The states of a job.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Done      JobState = "done"
	Cancelled JobState = "cancelled"
)

// Known reports whether s is a state of the protocol, or none.
func (s JobState) Known() bool {
	return s == "" || s == Queued || s == Running || s == Done || s == Cancelled
}

// Final reports whether a job in this state has ended.
func (s JobState) Final() bool { return s == Done || s == Cancelled }
