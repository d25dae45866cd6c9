package schedule

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
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
	Cursor  Cursor // up to it every occurrence has been decided
	LastJob string // of the last occurrence that became a job
	Made    int64
	Missed  int64
	Late    int64
	Past    string // the latest occurrences, see Entries
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
	return &c
}

// Add puts an occurrence into the history and counts it.
func (r *Record) Add(e Entry) {
	r.Note(e)
	if e.State == StateMade {
		r.Made++
	} else {
		r.Missed++
	}
}

// Note puts a job into the history that is no occurrence: one that was asked for.
func (r *Record) Note(e Entry) {
	if len(e.Reason) > maxReason {
		e.Reason = e.Reason[:maxReason]
	}
	es, _ := r.Entries()
	es = append(es, e)
	r.keep(es[max(0, len(es)-HistoryLength):])
}

// Passed is an occurrence that does not run, and why.
type Passed struct {
	calendar.Occurrence
	State  string // StateMissed or StateFailed
	Reason string
}

// Pass adds occurrences that do not run, and moves the cursor.
func (r *Record) Pass(cursor Cursor, gone []Passed) {
	for _, p := range gone {
		r.Add(Entry{Job: JobID(r.Number, p.Nominal), Planned: p.Start, Due: p.Due, State: p.State, Reason: p.Reason})
	}
	r.Cursor = cursor
}

// Entry returns the entry of a job; false if the history has none.
func (r *Record) Entry(job string) (Entry, bool) {
	es, _ := r.Entries()
	for _, e := range es {
		if e.Job == job {
			return e, true
		}
	}
	return Entry{}, false
}

// Update changes the entry of a job, if the history has one.
func (r *Record) Update(job string, f func(e *Entry)) {
	es, _ := r.Entries()
	for i := range es {
		if es[i].Job == job {
			f(&es[i])
			r.keep(es)
			return
		}
	}
}

// Follow takes over what has become known of the occurrences of old meanwhile.
func (r *Record) Follow(old *Record) {
	r.Late = max(r.Late, old.Late)
	if r.Past == old.Past {
		return
	}
	es, _ := r.Entries()
	for i := range es {
		if e, ok := old.Entry(es[i].Job); ok {
			es[i] = e
		}
	}
	r.keep(es)
}

// pastTimes lists the times of an occurrence in the order of its record.
func pastTimes(e *Entry) [5]*time.Time {
	return [...]*time.Time{&e.Planned, &e.Due, &e.Made, &e.Started, &e.Ended}
}

// keep writes the history as one string: a leader holds and a new one reads
// thousands, and as values of their own the entries took half of the memory and
// half of the time. Entries end with a semicolon, fields with a comma: job, times
// in milliseconds to the base 36 (or nothing), state, "l" if late, reason.
func (r *Record) keep(es []Entry) {
	var b []byte
	for i := range es {
		e := &es[i]
		b = append(append(b, e.Job...), ',')
		for _, t := range pastTimes(e) {
			if !t.IsZero() {
				b = strconv.AppendInt(b, t.UnixMilli(), 36)
			}
			b = append(b, ',')
		}
		b = append(append(b, e.State...), ',')
		if e.Late {
			b = append(b, 'l')
		}
		b = append(append(append(b, ','), url.QueryEscape(e.Reason)...), ';')
	}
	r.Past = string(b)
}

// Entries returns the history, the oldest first; false if it is malformed.
func (r *Record) Entries() (es []Entry, ok bool) {
	s := r.Past
	if s == "" {
		return nil, true
	}
	es = make([]Entry, 0, strings.Count(s, ";")+1)
	for s != "" {
		var x string
		if x, s, ok = strings.Cut(s, ";"); !ok {
			return nil, false
		}
		var e Entry
		field := func() (f string) {
			f, x, _ = strings.Cut(x, ",")
			return f
		}
		e.Job = field()
		for _, t := range pastTimes(&e) {
			if f := field(); f != "" {
				ms, err := strconv.ParseInt(f, 36, 64)
				if err != nil {
					return nil, false
				}
				*t = time.UnixMilli(ms).UTC()
			}
		}
		e.State, e.Late = field(), field() == "l"
		var err error
		if e.Reason, err = url.QueryUnescape(x); err != nil {
			return nil, false
		}
		es = append(es, e)
	}
	return es, true
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
	es, _ := r.Entries()
	for _, e := range slices.Backward(es) {
		h.History = append(h.History, Past{e.Job, known(e.Planned, zone), known(e.Due, zone), known(e.Made, zone),
			known(e.Started, zone), known(e.Ended, zone), e.State, e.Late, e.Reason})
	}
	return h
}
