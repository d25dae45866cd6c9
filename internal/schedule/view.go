package schedule

import (
	"encoding/json"
	"slices"
	"time"

	"yewpass/internal/calendar"
)

// View is the JSON form of a schedule that users see.
type View struct {
	Schedule json.RawMessage `json:"schedule"`
	Number   uint64          `json:"number"`
	ETag     string          `json:"etag"`
	Paused   bool            `json:"paused"`
	Problem  string          `json:"problem,omitempty"` // why the schedule creates no jobs
	Next     *Upcoming       `json:"next,omitempty"`
	Made     int64           `json:"made"`
	Missed   int64           `json:"missed"`
	Late     int64           `json:"late"`
}

// Upcoming is the JSON form of an occurrence that is planned.
type Upcoming struct {
	ID     string     `json:"id"`
	Start  time.Time  `json:"start"`
	Due    *time.Time `json:"due"`
	Remark string     `json:"remark,omitempty"`
}

// Page is the JSON form of a part of the list of schedules, sorted by name.
type Page struct {
	Schedules []Brief `json:"schedules"`
	Truncated bool    `json:"truncated"`
}

// Brief is the JSON form of a schedule in a list.
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

// Coming is the JSON form of the list of planned occurrences.
type Coming struct {
	Upcoming []Upcoming `json:"upcoming"`
}

// History is the JSON form of a record's history, latest entry first.
type History struct {
	History []Past `json:"history"`
}

// Past is the JSON form of an Entry.
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

// timeOrNull returns t in the zone, or nil, which is null in JSON, if t is zero.
func timeOrNull(t time.Time, zone *time.Location) *time.Time {
	if t.IsZero() {
		return nil
	}
	t = t.In(zone)
	return &t
}

// Tell returns the form of an occurrence that users see, with times in the
// schedule's zone. The number is the schedule's.
func (d *Def) Tell(number uint64, occurrence calendar.Occurrence) *Upcoming {
	zone := d.Timing.Zone()
	return &Upcoming{
		ID:     JobID(number, occurrence.Nominal),
		Start:  occurrence.Start.In(zone),
		Due:    timeOrNull(occurrence.Due, zone),
		Remark: occurrence.Remark,
	}
}

// Told returns the form of the record's history that users see, with times in the
// zone.
func (r *Record) Told(zone *time.Location) History {
	history := History{History: []Past{}} // an empty list, not null, in JSON
	entries, _ := r.Entries()
	for _, entry := range slices.Backward(entries) {
		history.History = append(history.History, Past{
			ID:      entry.Job,
			Planned: timeOrNull(entry.Planned, zone),
			Due:     timeOrNull(entry.Due, zone),
			Made:    timeOrNull(entry.Made, zone),
			Started: timeOrNull(entry.Started, zone),
			Done:    timeOrNull(entry.Ended, zone),
			State:   entry.State,
			Late:    entry.Late,
			Reason:  entry.Reason,
		})
	}
	return history
}
