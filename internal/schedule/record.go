package schedule

import (
	"encoding/json"
	"fmt"
	"time"

	"yewpass/internal/calendar"
)

// Record is the stored state of a schedule. It is written in the same transaction
// as the job that an occurrence becomes, so that neither exists without the other.
type Record struct {
	Number  uint64          // part of job IDs; never reused
	Seq     uint64          // incremented with every write
	Edition uint64          // incremented with every change by a user
	File    json.RawMessage // the definition
	Paused  bool
	Cursor  Cursor // every occurrence up to it has been decided
	LastJob string // the job of the last occurrence that became one
	Made    int64  // occurrences that became jobs
	Missed  int64  // occurrences that did not
	Late    int64  // jobs that missed their deadline
	Past    string // the encoded history, see Entries
}

// Entry describes a job or a missed occurrence in a record's history. Unknown
// times are zero.
type Entry struct {
	Job     string
	Planned time.Time // when the occurrence was to start
	Due     time.Time // its deadline
	Made    time.Time // when the job was created
	Started time.Time // when the first task started
	Ended   time.Time
	State   string // one of the State constants
	Late    bool   // the deadline passed before the job ended
	Reason  string // why the occurrence was missed
}

// The states of an entry. They are part of the stored record.
const (
	StateMade      = "made"
	StateDone      = "done"
	StateCancelled = "cancelled"
	StateMissed    = "missed"
	StateFailed    = "failed" // another job has the ID
)

// Clone returns a copy of the record, for a change that may fail to be written.
// The copy shares File, which is never modified in place.
func (r *Record) Clone() *Record {
	clone := *r
	return &clone
}

// Add appends an occurrence to the history and counts it as made or missed.
func (r *Record) Add(entry Entry) {
	r.Note(entry)
	if entry.State == StateMade {
		r.Made++
	} else {
		r.Missed++
	}
}

// Note appends an entry to the history without counting it. It is meant for jobs
// that a user requested, which are no occurrences.
func (r *Record) Note(entry Entry) {
	if len(entry.Reason) > maxReasonBytes {
		entry.Reason = entry.Reason[:maxReasonBytes]
	}
	entries, _ := r.Entries()
	entries = append(entries, entry)
	r.setEntries(entries[max(0, len(entries)-HistoryLength):])
}

// Passed is an occurrence that does not run, and the reason.
type Passed struct {
	calendar.Occurrence
	State  string // StateMissed or StateFailed
	Reason string
}

// Pass appends occurrences that do not run to the history and moves the cursor.
func (r *Record) Pass(cursor Cursor, passed []Passed) {
	for _, occurrence := range passed {
		r.Add(Entry{
			Job:     JobID(r.Number, occurrence.Nominal),
			Planned: occurrence.Start,
			Due:     occurrence.Due,
			State:   occurrence.State,
			Reason:  occurrence.Reason,
		})
	}
	r.Cursor = cursor
}

// Entry returns the history's entry of a job; false if there is none.
func (r *Record) Entry(job string) (Entry, bool) {
	entries, _ := r.Entries()
	for _, entry := range entries {
		if entry.Job == job {
			return entry, true
		}
	}
	return Entry{}, false
}

// Update applies change to the history's entry of a job, if there is one.
func (r *Record) Update(job string, change func(entry *Entry)) {
	entries, _ := r.Entries()
	for i := range entries {
		if entries[i].Job == job {
			change(&entries[i])
			r.setEntries(entries)
			return
		}
	}
}

// Follow brings a changed clone of a record up to date with what the original has
// learnt about its jobs since it was cloned.
func (r *Record) Follow(original *Record) {
	r.Late = max(r.Late, original.Late)
	if r.Past == original.Past {
		return
	}
	entries, _ := r.Entries()
	for i := range entries {
		if entry, ok := original.Entry(entries[i].Job); ok {
			entries[i] = entry
		}
	}
	r.setEntries(entries)
}

// ETag returns the HTTP entity tag of the record's current edition. An edit names
// the one that it is based on.
func (r *Record) ETag() string { return fmt.Sprintf(`"%d-%d"`, r.Number, r.Edition) }

// Estimates of the encoded size of a record, in bytes.
const (
	recordOverhead = 300
	entryOverhead  = 160
)

// Size returns an upper estimate of the record's stored size in bytes, with space
// for a full history.
func (r *Record) Size() int {
	return recordOverhead + len(r.File) + HistoryLength*(entryOverhead+maxReasonBytes)
}
