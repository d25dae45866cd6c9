// Package record holds the records in the key-value store: their keys and their values.
// Package kvclient has the form in which they are stored.
package record

import (
	"time"
	"yewpass/internal/kv"
	"yewpass/internal/spec"
)

// Size bounds the bytes of a machine in a record: what a worker says of
// itself may be anything, and one bad name must not spoil the record of many.
func (m *Machine) Size() int {
	return 90 + len(m.Host) + 6*(len(m.Address)+len(m.InstanceType)+len(m.Zone))
}

// MaxTerm bounds the terms, and with them the workers' epochs: an attempt carries
// its term in its upper bits. A number above it was never a term.
const MaxTerm = 1<<(64-AttemptBits) - 1

// AttemptBits is how much of an attempt counts the starts of a term.
const AttemptBits = 28

// Job keeps an accepted job until it is over.
type Job struct {
	Spec      spec.Job
	Submitted time.Time // time of day
	Cancelled bool
}

// Final keeps how a job ended, for good.
type Final struct {
	State spec.JobState
	Done  int
}

// Progress keeps which tasks of one chunk of a job are done.
type Progress struct {
	Ranges string
}

// Machines names machines that may hold tasks, many in one record: a large
// fleet would otherwise spend the state service's allowance on them alone.
type Machines struct {
	Machines []Machine
}

// Machine is a machine that may hold tasks.
type Machine struct {
	Host, Address, InstanceType, Zone string
	Spot                              bool
}

// Leader names the leader, under its grant.
type Leader struct {
	Node      string
	Term      uint64
	ProcessID uint64 // of the node's process; 0 in records of versions that had none
	Era       uint64 // see Term
}

// ScheduleNumber says up to which number schedules may have been numbered.
type ScheduleNumber struct {
	Number uint64
}

// Term counts the terms; a term is the workers' epoch.
type Term struct {
	Term uint64
	Era  uint64 // drawn anew whenever data was found to be lost; 0 in records of versions that had none
}

// NoJob returns the conditions that a job has neither a live nor a final record.
func NoJob(id string) []kv.Condition {
	return []kv.Condition{{Key: JobPrefix + id, Rev: 0}, {Key: FinalPrefix + id, Rev: 0}}
}
