package calendar

import (
	"slices"
	"time"
)

// OnHoliday says what happens to a date of the rule that is not a business day.
type OnHoliday string

// The values of the field on_holiday.
const (
	Run      OnHoliday = "run"      // the schedule runs all the same
	Skip     OnHoliday = "skip"     // it does not run
	Next     OnHoliday = "next"     // it runs on the next business day
	Previous OnHoliday = "previous" // it runs on the previous business day
)

// Times holds the fields of a schedule that determine when it runs, unchecked.
type Times struct {
	Zone      string
	Rule      string
	At        []string // times of day
	Calendar  string
	OnHoliday string
	Starts    time.Time // a date; zero: none
	Ends      time.Time // a date; zero: none
	DueAt     string    // a time of day; empty: no deadline
}

// Timing determines when a schedule runs. It is not safe for concurrent use.
type Timing struct {
	zone      *time.Location
	rule      *Rule
	at        []time.Duration // times of day, ascending
	calendar  *Calendar       // nil: every day is a business day
	onHoliday OnHoliday
	dueAt     time.Duration // time of day, or noDueTime
}

// noDueTime is the due time of a schedule without a deadline.
const noDueTime time.Duration = -1

// MaxAt is the largest number of times of day in a schedule: one per minute.
const MaxAt = 24 * 60

// timeOfDayFormat is the form of times of day.
const timeOfDayFormat = "15:04"

// Timing checks the fields of a schedule. The error is a *FieldError for the first
// invalid field.
func (s *Set) Timing(times Times) (*Timing, error) {
	zone, err := s.zone(times.Zone)
	if err != nil {
		return nil, err
	}
	if !times.Starts.IsZero() && !times.Ends.IsZero() && times.Ends.Before(times.Starts) {
		return nil, fieldErrorf("ends", "lies before starts")
	}
	rule, err := s.rule(times.Rule, times.Starts, times.Ends)
	if err != nil {
		return nil, err
	}
	at, err := parseTimesOfDay(times.At)
	if err != nil {
		return nil, err
	}
	dueAt, err := parseDueAt(times.DueAt)
	if err != nil {
		return nil, err
	}
	calendar, err := s.calendar(times.Calendar)
	if err != nil {
		return nil, err
	}
	onHoliday, err := parseOnHoliday(times.OnHoliday, calendar != nil)
	if err != nil {
		return nil, err
	}
	return &Timing{zone: zone, rule: rule, at: at, calendar: calendar, onHoliday: onHoliday, dueAt: dueAt}, nil
}

// parseTimesOfDay returns the times of day in ascending order.
func parseTimesOfDay(texts []string) ([]time.Duration, error) {
	if len(texts) == 0 {
		return nil, fieldErrorf("at", "missing; give times of day such as [\"03:30\"]")
	}
	if len(texts) > MaxAt {
		return nil, fieldErrorf("at", "more than %d times", MaxAt)
	}
	at := make([]time.Duration, 0, len(texts))
	for _, text := range texts {
		timeOfDay, ok := parseTimeOfDay(text)
		if !ok {
			return nil, fieldErrorf("at", "%q is no time of day such as 03:30", text)
		}
		at = append(at, timeOfDay)
	}
	slices.Sort(at)
	if len(slices.Compact(slices.Clone(at))) < len(at) {
		return nil, fieldErrorf("at", "a time stands twice; a schedule runs once a minute at the most")
	}
	return at, nil
}

func parseDueAt(text string) (time.Duration, error) {
	if text == "" {
		return noDueTime, nil
	}
	timeOfDay, ok := parseTimeOfDay(text)
	if !ok {
		return 0, fieldErrorf("due_at", "%q is no time of day such as 06:00", text)
	}
	return timeOfDay, nil
}

// parseTimeOfDay parses a time of day. Both digits of the hour are required, which
// time.Parse does not enforce.
func parseTimeOfDay(text string) (timeOfDay time.Duration, ok bool) {
	t, err := time.Parse(timeOfDayFormat, text)
	if err != nil || len(text) != len(timeOfDayFormat) {
		return 0, false
	}
	return t.Sub(DateOf(t)), true
}

// parseOnHoliday requires an explicit value for a schedule with a calendar. Values
// other than run require a calendar.
func parseOnHoliday(text string, hasCalendar bool) (OnHoliday, error) {
	switch onHoliday := OnHoliday(text); onHoliday {
	case "":
		if hasCalendar {
			return "", fieldErrorf("on_holiday", "missing; say what becomes of an occurrence on a day that is no business day")
		}
		return Run, nil
	case Run:
		return onHoliday, nil
	case Skip, Next, Previous:
		if !hasCalendar {
			return "", fieldErrorf("on_holiday", "%s needs a calendar", text)
		}
		return onHoliday, nil
	}
	return "", fieldErrorf("on_holiday", "%q is none of run, skip, next, previous", text)
}

// Zone returns the schedule's time zone.
func (t *Timing) Zone() *time.Location { return t.zone }

// Same reports whether two timings of one Set have the same fields, apart from the
// due time, and so yield the same occurrences.
func (t *Timing) Same(other *Timing) bool {
	return t.zone.String() == other.zone.String() &&
		t.rule == other.rule && // the set shares equal rules
		slices.Equal(t.at, other.at) &&
		t.calendar == other.calendar &&
		t.onHoliday == other.onHoliday
}

// DueAfter returns the deadline of a run that starts at the given instant: the
// first due time after it. It is zero if the schedule has no deadline.
func (t *Timing) DueAfter(start time.Time) time.Time {
	if t.dueAt == noDueTime {
		return time.Time{}
	}
	return FirstAfter(start, t.dueAt, t.zone)
}
