// Package heartbeat holds what workers say and what they are told, as the protocol of
// workers has it. It decides nothing.
package heartbeat

import (
	"strconv"
	"strings"
	"time"

	"yewpass/internal/spec"
)

// TaskID names a task: job and number.
type TaskID struct {
	Job   string
	Index int
}

// String is the form that ParseTaskID reads: the job, a slash and the number.
func (t TaskID) String() string { return t.Job + "/" + strconv.Itoa(t.Index) }

// ParseTaskID reads a task's name.
func ParseTaskID(s string) (TaskID, bool) {
	job, num, ok := strings.Cut(s, "/")
	n, err := strconv.Atoi(num)
	return TaskID{job, n}, ok && err == nil && n >= 0 && n < spec.MaxTasks && job != ""
}

// Phase is the state of a task on a machine.
type Phase string

// The phases that workers report.
const (
	Pulling       Phase = "pulling"
	TaskRuns      Phase = "running"
	Checkpointing Phase = "saving"
	Exited        Phase = "exited"
)

// Known reports whether p is a phase of the protocol.
func (p Phase) Known() bool {
	return p == Pulling || p == TaskRuns || p == Checkpointing || p == Exited
}

// Task is one task in a report.
type Task struct {
	Task  TaskID
	Try   uint64
	Phase Phase
	Cause string
}

// Report is a worker's report.
type Report struct {
	Host, Address, InstanceType, Zone  string
	Spot                               bool
	Incarnation, Counter, FencingToken uint64
	Notice                             time.Duration // until the cloud takes the machine away
	HasNotice                          bool
	Tasks                              []Task
}

// Newer reports whether r was made after the report of the same machine with the
// given tenure and counter.
func (r *Report) Newer(tenure, counter uint64) bool {
	return r.Incarnation > tenure || r.Incarnation == tenure && r.Counter > counter
}

// Verb is what an order asks of a worker.
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
	Verb  Verb
	Task  TaskID
	Try   uint64
	Drain time.Duration // of a stop
}
