// Package heartbeat defines the messages between workers and controllers: heartbeats, which carry
// the Report of a worker, their replies, and probes.
package heartbeat

import (
	"strconv"
	"strings"
	"time"

	"yewpass/internal/spec"
)

// TaskID identifies a task by its job and its index in the job, starting at 0.
type TaskID struct {
	Job   string
	Index int
}

// String returns the form that ParseTaskID parses: JOB/INDEX.
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTaskID parses JOB/INDEX. It returns false if the job is empty or the index out of range.
func ParseTaskID(s string) (TaskID, bool) {
	job, num, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(num)
	return TaskID{Job: job, Index: n}, ok && err == nil && n >= 0 && n < spec.MaxTasks && job != ""
}

// Phase is the state of a task on a machine.
type Phase string

// Phases reported by workers.
const (
	Pulling       Phase = "pulling"
	Running       Phase = "running"
	Checkpointing Phase = "saving"
	Exited        Phase = "exited"
)

// Known reports whether p is one of the defined phases.
func (p Phase) Known() bool {
	return p == Pulling || p == Running || p == Checkpointing || p == Exited
}

// Task is one attempt of a task in a report.
type Task struct {
	ID      TaskID
	Attempt uint64 // attempt number
	Phase   Phase
	Cause   string // why it exited; only in phase Exited
}

// Report is the state of a worker and its tasks, sent in heartbeats and replies to probes.
type Report struct {
	Host, Address, InstanceType, Zone  string
	Spot                               bool
	Incarnation, Counter, FencingToken uint64
	Notice                             time.Duration // until the provider reclaims the instance
	HasNotice                          bool
	Tasks                              []Task
}

// Newer reports whether r is newer than the same machine's report with the given incarnation
// and counter.
func (r *Report) Newer(incarnation, counter uint64) bool {
	return r.Incarnation > incarnation || r.Incarnation == incarnation && r.Counter > counter
}

// Verb is the action that an order requests from a worker.
type Verb string

// Verbs of the worker protocol.
const (
	Start Verb = "start"
	Stop  Verb = "stop"
	Reap  Verb = "reap" // forget an exited task
)

// Known reports whether v is one of the defined verbs.
func (v Verb) Known() bool { return v == Start || v == Stop || v == Reap }

// Order is one command to a worker.
type Order struct {
	Verb    Verb
	Task    TaskID
	Attempt uint64
	Drain   time.Duration // with Stop: time that the task has to save a checkpoint
}
