// Package record holds the records in the key-value store: their keys and their values.
// Package recordcodec has the form in which they are stored. Schedules and the live
// configuration have their records in packages schedule and liveconfig.
package record

import (
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/spec"
)

// AttemptCounterBits is how many bits of an attempt's number count the starts of a term. The
// upper bits are the term, so that attempts rise across terms.
const AttemptCounterBits = 28

// MaxTerm is the highest term: an attempt's number carries the term in its upper bits. A
// larger number was never a term.
const MaxTerm = 1<<(64-AttemptCounterBits) - 1

// Leader names the leader. Its key hangs on the leader lease.
type Leader struct {
	Node      string
	Term      uint64
	ProcessID uint64 // of the node's process; 0 in records of versions that had none
	Era       uint64 // see Term
}

// Term counts the terms. A term is the fencing token that workers go by.
type Term struct {
	Term uint64
	Era  uint64 // drawn anew whenever data was found to be lost; 0 in records of versions that had none
}

// Job keeps an accepted job until it has ended.
type Job struct {
	Spec      spec.Job
	Submitted time.Time // wall-clock time
	Cancelled bool
}

// Final keeps how a job ended, for good.
type Final struct {
	State spec.JobState
	Done  int // tasks
}

// Progress keeps which tasks of one chunk of a job are done, see package bitset.
type Progress struct {
	Ranges string
}

// Machines names machines that may hold tasks, many in one record: a large fleet would
// otherwise spend the store's allowance on them alone.
type Machines struct {
	Machines []Machine
}

// Machine is a machine that may hold tasks.
type Machine struct {
	Host, Address, InstanceType, Zone string
	Spot                              bool
}

// ScheduleNumber is the highest number that may have been given to a schedule.
type ScheduleNumber struct {
	Number uint64
}

// JobAbsent returns the conditions that a job has neither a live nor a final record.
func JobAbsent(id string) []kv.Condition {
	return []kv.Condition{{Key: JobPrefix + id, Rev: 0}, {Key: FinalPrefix + id, Rev: 0}}
}
