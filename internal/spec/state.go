package spec

// JobState is the state of a job in the user API. The empty string means no state.
type JobState string

// The states of a job. Done and Cancelled are final.
const (
	Queued    JobState = "queued"
	Running   JobState = "running"
	Done      JobState = "done"
	Cancelled JobState = "cancelled"
)

// Known reports whether s is one of the declared states or empty.
func (s JobState) Known() bool {
	return s == "" || s == Queued || s == Running || s == Done || s == Cancelled
}

// Final reports whether a job in state s has ended and cannot change state again.
func (s JobState) Final() bool { return s == Done || s == Cancelled }
