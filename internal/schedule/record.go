package schedule

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"yewpass/internal/calendar"
)

// Record is what is kept of a schedule. It changes in one transaction with the
// job that an occurrence becomes.
type Record struct {
	Number  uint64          // in job ids; never given twice
	Seq     uint64          // counts the writes
	Edition uint64          // counts what users changed
	File    json.RawMessage // the definition
	Paused  bool
	Cursor  time.Time // nominal time up to which every occurrence has been decided
	LastJob string    // of the last occurrence that became a job
	Made    int64
	Missed  int64
	Late    int64
	Last    []Entry // the latest, oldest first
}

// Entry is one occurrence of a record's history. Times that are not known are
// zero.
type Entry struct {
	Job     string
	Planned time.Time
	Due     time.Time
	Made    time.Time
	Started time.Time // of its first task
	Ended   time.Time
	State   string
	Late    bool   // its deadline passed before it was over
	Reason  string // why it was missed
}

// The states of an entry.
const (
	StateMade      = "made"
	StateDone      = "done"
	StateCancelled = "cancelled"
	StateMissed    = "missed"
	StateFailed    = "failed" // its job id is somebody else's
)

// HistoryLength is how many occurrences a record keeps.
const HistoryLength = 12

// maxReason keeps a record small, in bytes.
const maxReason = 120

// Clone copies a record, for a change that may not come through.
func (r *Record) Clone() *Record {
	c := *r
	c.Last = slices.Clone(r.Last)
	return &c
}

// Add puts an occurrence into the history and counts it.
func (r *Record) Add(e Entry) {
	if len(e.Reason) > maxReason {
		e.Reason = e.Reason[:maxReason]
	}
	r.Last = append(r.Last, e)
	if n := len(r.Last) - HistoryLength; n > 0 {
		r.Last = slices.Delete(r.Last, 0, n)
	}
	if e.State == StateMade {
		r.Made++
	} else {
		r.Missed++
	}
}

// Pass adds occurrences that do not run.
func (r *Record) Pass(os []calendar.Occurrence, reason string) {
	for _, o := range os {
		r.Add(Entry{Job: JobID(r.Number, o.Nominal), Planned: o.Start, Due: o.Due, State: StateMissed, Reason: reason})
	}
}

// Entry returns the entry of a job, or nil.
func (r *Record) Entry(job string) *Entry {
	for i := range r.Last {
		if r.Last[i].Job == job {
			return &r.Last[i]
		}
	}
	return nil
}

// ETag names the state that an edit is based on.
func (r *Record) ETag() string { return fmt.Sprintf(`"%d-%d"`, r.Number, r.Edition) }

// Size estimates the bytes of the record's value, with room for its history.
func (r *Record) Size() int { return 300 + len(r.File) + HistoryLength*(160+maxReason) }

// ---- what users are told

// View is a schedule as users see it.
type View struct {
	Schedule json.RawMessage `json:"schedule"`
	Number   uint64          `json:"number"`
	ETag     string          `json:"etag"`
	Paused   bool            `json:"paused"`
	Problem  string          `json:"problem,omitempty"` // why it makes no jobs
	Next     *Upcoming       `json:"next,omitempty"`
	Made     int64           `json:"made"`
	Missed   int64           `json:"missed"`
	Late     int64           `json:"late"`
}

// Upcoming is an occurrence to come, or one of the past that is listed.
type Upcoming struct {
	ID     string     `json:"id"`
	Start  time.Time  `json:"start"`
	Due    *time.Time `json:"due"`
	Remark string     `json:"remark,omitempty"`
}

// Page is a part of the list of schedules, by name.
type Page struct {
	Schedules []Brief `json:"schedules"`
	Truncated bool    `json:"truncated"`
}

// Brief is a schedule in a list.
type Brief struct {
	Name     string    `json:"name"`
	Zone     string    `json:"zone"`
	Rule     string    `json:"rule"`
	Calendar string    `json:"calendar,omitempty"`
	Paused   bool      `json:"paused"`
	Problem  string    `json:"problem,omitempty"`
	Next     *Upcoming `json:"next,omitempty"`
	Made     int64     `json:"made"`
	Missed   int64     `json:"missed"`
	Late     int64     `json:"late"`
}

// Coming lists occurrences to come.
type Coming struct {
	Upcoming []Upcoming `json:"upcoming"`
}

// History lists occurrences that have been, the latest first.
type History struct {
	History []Past `json:"history"`
}

// Past is an occurrence that has been.
type Past struct {
	ID      string     `json:"id"`
	Planned *time.Time `json:"planned"`
	Due     *time.Time `json:"due"`
	Made    *time.Time `json:"made"`
	Started *time.Time `json:"started"`
	Done    *time.Time `json:"done"`
	State   string     `json:"state"`
	Late    bool       `json:"late"`
	Reason  string     `json:"reason,omitempty"`
}

func known(t time.Time, zone *time.Location) *time.Time {
	if t.IsZero() {
		return nil
	}
	t = t.In(zone)
	return &t
}

// Tell returns an occurrence as users see it, in the schedule's zone.
func (d *Def) Tell(number uint64, o calendar.Occurrence) *Upcoming {
	z := d.Timing.Zone()
	return &Upcoming{JobID(number, o.Nominal), o.Start.In(z), known(o.Due, z), o.Remark}
}

// Told returns the record's history as users see it.
func (r *Record) Told(zone *time.Location) History {
	h := History{History: []Past{}}
	for _, e := range slices.Backward(r.Last) {
		h.History = append(h.History, Past{e.Job, known(e.Planned, zone), known(e.Due, zone), known(e.Made, zone),
			known(e.Started, zone), known(e.Ended, zone), e.State, e.Late, e.Reason})
	}
	return h
}
