// Package heartbeat defines the messages between workers and controllers: reports,
// replies and probes. It holds no logic beyond reading and comparing them.
package heartbeat

import (
	"strconv"
	"strings"
	"time"

	"yewpass/internal/spec"
)

// TaskID identifies a task by its job and its index.
type TaskID struct {
	Job   string
	Index int
}

// String returns the form that ParseTaskID parses: JOB/INDEX.
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTaskID parses JOB/INDEX.
func ParseTaskID(s string) (TaskID, bool) {
	job, num, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(num)
	return TaskID{Job: job, Index: n}, ok && err == nil && n >= 0 && n < spec.MaxTasks && job != ""
}

// Phase is the state of a task on a machine.
type Phase string

// The phases that workers report.
const (
	Pulling       Phase = "pulling"
	Running       Phase = "running"
	Checkpointing Phase = "saving"
	Exited        Phase = "exited"
)

// Known reports whether p is a phase of the protocol.
func (p Phase) Known() bool {
	return p == Pulling || p == Running || p == Checkpointing || p == Exited
}

// Task is one attempt of a task in a report.
type Task struct {
	ID      TaskID
	Attempt uint64 // number of the attempt
	Phase   Phase
	Cause   string // of its exit
}

// Report is the state of a worker and its tasks, as it sends it with each heartbeat.
type Report struct {
	Host, Address, InstanceType, Zone  string
	Spot                               bool
	Incarnation, Counter, FencingToken uint64
	Notice                             time.Duration // until the cloud interrupts the machine
	HasNotice                          bool
	Tasks                              []Task
}

// Newer reports whether r was made after the report of the same machine with the given
// incarnation and counter.
func (r *Report) Newer(incarnation, counter uint64) bool {
	return r.Incarnation > incarnation || r.Incarnation == incarnation && r.Counter > counter
}

// Verb is what an order tells a worker to do.
type Verb string

// The verbs of the worker protocol.
const (
	Start Verb = "start"
	Stop  Verb = "stop"
	Reap  Verb = "reap"
)

// Known reports whether v is a verb of the protocol.
func (v Verb) Known() bool { return v == Start || v == Stop || v == Reap }

// Order is one command to a worker.
type Order struct {
	Verb    Verb
	Task    TaskID
	Attempt uint64
	Drain   time.Duration // with Stop: how long the task may take to save its checkpoint
}
