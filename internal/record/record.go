// Package record defines the keys and values of the records in the key-value store, which
// package recordcodec encodes. Packages schedule and liveconfig define their own records.
package record

import (
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/spec"
)

// AttemptCounterBits is the width of the counter in the lower bits of an attempt number. The
// upper bits hold the term, so that attempt numbers increase with it.
const AttemptCounterBits = 28

// MaxTerm is the highest term that fits into an attempt number. Records with a higher term
// are invalid.
const MaxTerm = 1<<(64-AttemptCounterBits) - 1

// Leader identifies the current leader. Its key is attached to the leader lease.
type Leader struct {
	Node      string
	Term      uint64
	ProcessID uint64 // random ID of the node's process; 0 in records of older versions
	Era       uint64 // see Term
}

// Term holds the highest term. Workers use the term as the fencing token.
type Term struct {
	Term uint64
	Era  uint64 // random ID, replaced after each data loss; 0 in records of older versions
}

// Job is the record of an accepted job. It is replaced by a Final when the job ends.
type Job struct {
	Spec      spec.Job
	Submitted time.Time // wall-clock time
	Cancelled bool
}

// Final is the permanent record of how a job ended.
type Final struct {
	State spec.JobState
	Done  int // number of completed tasks
}

// Progress records which tasks of one chunk of a job are complete.
type Progress struct {
	Ranges string // in the format of bitset.Set.EncodeChunk
}

// Machines lists machines that may have tasks. A record for each machine would exceed the
// store's write rate limit in a large fleet.
type Machines struct {
	Machines []Machine
}

// Machine is a machine that may have tasks.
type Machine struct {
	Host, Address, InstanceType, Zone string
	Spot                              bool
}

// ScheduleNumber is an upper bound of the numbers assigned to schedules.
type ScheduleNumber struct {
	Number uint64
}

// RemovedSchedule is the tombstone of the removed schedules with one name. Without it, a schedule
// that the store lacks and an older replica has could not be told from one that the store has lost.
type RemovedSchedule struct {
	Number uint64 // of the schedule removed last; all with lower numbers were removed before it
}

// Covers reports whether the schedule with a number has been removed. A nil tombstone covers none.
func (r *RemovedSchedule) Covers(number uint64) bool { return r != nil && number <= r.Number }

// JobAbsent returns the conditions of a transaction that fails if the job has a live or a
// final record.
func JobAbsent(id string) []kv.Condition {
	return []kv.Condition{{Key: JobPrefix + id, Rev: 0}, {Key: FinalPrefix + id, Rev: 0}}
}
