package schedule

import (
	"encoding/json"
	"slices"
	"time"

	"yewpass/internal/calendar"
)

// View is a schedule in JSON responses to users.
type View struct {
	Schedule json.RawMessage `json:"schedule"`
	Number   uint64          `json:"number"`
	ETag     string          `json:"etag"`
	Paused   bool            `json:"paused"`
	Problem  string          `json:"problem,omitempty"` // why the leader cannot run the schedule
	Next     *Upcoming       `json:"next,omitempty"`
	Made     int64           `json:"made"`
	Missed   int64           `json:"missed"`
	Late     int64           `json:"late"`
}

// Upcoming is a planned occurrence in JSON responses.
type Upcoming struct {
	ID     string     `json:"id"`
	Start  time.Time  `json:"start"`
	Due    *time.Time `json:"due"`
	Remark string     `json:"remark,omitempty"`
}

// ListPage is one page of the list of schedules in JSON responses, sorted by name.
type ListPage struct {
	Schedules []Summary `json:"schedules"`
	Truncated bool      `json:"truncated"`
}

// Summary is a schedule in a ListPage.
type Summary struct {
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

// UpcomingList is a list of planned occurrences in JSON responses, earliest first.
type UpcomingList struct {
	Upcoming []Upcoming `json:"upcoming"`
}

// History is the history of a schedule in JSON responses, latest entry first.
type History struct {
	History []HistoryEntry `json:"history"`
}

// HistoryEntry is an Entry in JSON responses. Unknown times are null.
type HistoryEntry struct {
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

// timeOrNull returns t in the zone, or nil (JSON null) if t is zero.
func timeOrNull(t time.Time, zone *time.Location) *time.Time {
	if t.IsZero() {
		return nil
	}
	t = t.In(zone)
	return &t
}

// Upcoming returns an occurrence in its JSON form, with times in the schedule's zone. The
// number is that of the schedule's record.
func (d *Definition) Upcoming(number uint64, occurrence calendar.Occurrence) *Upcoming {
	zone := d.Timing.Zone()
	return &Upcoming{
		ID:     JobID(number, occurrence.Nominal),
		Start:  occurrence.Start.In(zone),
		Due:    timeOrNull(occurrence.Deadline, zone),
		Remark: occurrence.Remark,
	}
}

// HistoryView returns the history in its JSON form, with times in the zone. It is empty if
// the history is malformed.
func (r *Record) HistoryView(zone *time.Location) History {
	history := History{History: []HistoryEntry{}} // encoded as [] instead of null if empty
	entries, _ := r.Entries()
	for _, entry := range slices.Backward(entries) {
		history.History = append(history.History, HistoryEntry{
			ID:      entry.Job,
			Planned: timeOrNull(entry.Planned, zone),
			Due:     timeOrNull(entry.Deadline, zone),
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
