package schedule

import (
	"encoding/json"
	"fmt"
	"time"

	"yewpass/internal/calendar"
)

// Record is the stored state of a schedule. The transaction that creates the job of an
// occurrence also writes the record, so that the two are consistent.
type Record struct {
	Number         uint64          // part of job IDs; never reused
	Seq            uint64          // incremented with every write
	Edition        uint64          // incremented with every change by a user
	File           json.RawMessage // the definition, a File as JSON
	Paused         bool
	Cursor         Cursor // position of the last decided occurrence
	LastJob        string // ID of the latest occurrence's job
	Made           int64  // occurrences for which a job was created
	Missed         int64  // occurrences that did not run
	Late           int64  // jobs that missed their deadline
	EncodedHistory string // see Entries
}

// Entry is a job or a missed occurrence in a history. Unknown times are zero.
type Entry struct {
	Job      string
	Planned  time.Time // scheduled start
	Deadline time.Time
	Made     time.Time // when the job was created
	Started  time.Time // when the first task started
	Ended    time.Time
	State    string // one of the State constants
	Late     bool   // the deadline passed before the job ended
	Reason   string // why the occurrence was missed
}

// The states of an Entry. They are stored.
const (
	StateMade      = "made"
	StateDone      = "done"
	StateCancelled = "cancelled"
	StateMissed    = "missed"
	StateFailed    = "failed" // another job already has the ID
)

// Clone returns a copy of the record to modify and write, so that the original is unchanged
// if the write fails. It shares File, which is never modified in place.
func (r *Record) Clone() *Record {
	clone := *r
	return &clone
}

// AddOccurrence appends an occurrence to the history and increments Made or Missed,
// depending on its state.
func (r *Record) AddOccurrence(entry Entry) {
	r.AddEntry(entry)
	if entry.State == StateMade {
		r.Made++
	} else {
		r.Missed++
	}
}

// AddEntry appends an entry to the history and drops the oldest if there are more than
// HistoryLength. It changes no counter: call it directly only for jobs that users
// requested, which are not occurrences.
func (r *Record) AddEntry(entry Entry) {
	if len(entry.Reason) > maxReasonBytes {
		entry.Reason = entry.Reason[:maxReasonBytes]
	}
	entries, _ := r.Entries()
	entries = append(entries, entry)
	r.setEntries(entries[max(0, len(entries)-HistoryLength):])
}

// MissedOccurrence is an occurrence that does not run, with the reason.
type MissedOccurrence struct {
	calendar.Occurrence
	State  string // StateMissed or StateFailed
	Reason string
}

// AddMissed appends missed occurrences to the history, counts them and sets the cursor.
func (r *Record) AddMissed(cursor Cursor, missed []MissedOccurrence) {
	for _, occurrence := range missed {
		r.AddOccurrence(Entry{
			Job:      JobID(r.Number, occurrence.Nominal),
			Planned:  occurrence.Start,
			Deadline: occurrence.Deadline,
			State:    occurrence.State,
			Reason:   occurrence.Reason,
		})
	}
	r.Cursor = cursor
}

// Entry returns the entry of a job in the history, or false if there is none.
func (r *Record) Entry(job string) (Entry, bool) {
	entries, _ := r.Entries()
	for _, entry := range entries {
		if entry.Job == job {
			return entry, true
		}
	}
	return Entry{}, false
}

// UpdateEntry applies change to the entry of a job in the history, if there is one.
func (r *Record) UpdateEntry(job string, change func(entry *Entry)) {
	entries, _ := r.Entries()
	for i := range entries {
		if entries[i].Job == job {
			change(&entries[i])
			r.setEntries(entries)
			return
		}
	}
}

// MergeUpdates copies to r the updates of history entries and of Late that original has got
// since r was cloned from it. Call it when r has been written.
func (r *Record) MergeUpdates(original *Record) {
	r.Late = max(r.Late, original.Late)
	if r.EncodedHistory == original.EncodedHistory {
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

// ETag returns the HTTP entity tag of the record's edition. An edit whose If-Match contains
// an older one is rejected.
func (r *Record) ETag() string { return fmt.Sprintf(`"%d-%d"`, r.Number, r.Edition) }

// Estimates of the encoded size of a record, in bytes.
const (
	recordOverhead = 300
	entryOverhead  = 160
)

// Size returns an upper bound of the stored size in bytes, with a full history.
func (r *Record) Size() int {
	return recordOverhead + len(r.File) + HistoryLength*(entryOverhead+maxReasonBytes)
}
