package calendar

import (
	"slices"
	"time"
)

// OnHoliday determines what happens if a date of the rule is not a business day.
type OnHoliday string

// The values of the field on_holiday.
const (
	HolidayRun      OnHoliday = "run"      // run on that date
	HolidaySkip     OnHoliday = "skip"     // do not run
	HolidayNext     OnHoliday = "next"     // run on the next business day
	HolidayPrevious OnHoliday = "previous" // run on the previous business day
)

// TimingSpec holds the fields of a schedule that determine when it runs, before
// ParseTiming validates them.
type TimingSpec struct {
	Zone      string
	Rule      string
	At        []string // times of day
	Calendar  string
	OnHoliday string
	Starts    time.Time // date; zero means no limit
	Ends      time.Time // date; zero means no limit
	DueAt     string    // time of day; empty means no deadline
}

// Timing computes when a schedule runs. It is not safe for concurrent use, because
// its rule and calendar cache dates.
type Timing struct {
	zone      *time.Location
	rule      *Rule
	at        []time.Duration // times of day in ascending order
	calendar  *Calendar       // nil means that every day is a business day
	onHoliday OnHoliday
	dueAt     time.Duration // time of day, or noDeadline
}

// noDeadline is the Timing.dueAt of a schedule without a deadline.
const noDeadline time.Duration = -1

// MaxTimesOfDay limits the times of day in a schedule to one per minute.
const MaxTimesOfDay = 24 * 60

const timeOfDayFormat = "15:04"

// ParseTiming returns the Timing that the fields describe. The error is a *FieldError for
// the first invalid field.
func (s *Set) ParseTiming(times TimingSpec) (*Timing, error) {
	zone, err := s.zone(times.Zone)
	if err != nil {
		return nil, err
	}
	if !times.Starts.IsZero() && !times.Ends.IsZero() && times.Ends.Before(times.Starts) {
		return nil, fieldErrorf("ends", "is before starts")
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

// parseTimesOfDay returns the times of day in ascending order. Duplicates are an error.
func parseTimesOfDay(texts []string) ([]time.Duration, error) {
	if len(texts) == 0 {
		return nil, fieldErrorf("at", "missing; must be a list of times of day such as [\"03:30\"]")
	}
	if len(texts) > MaxTimesOfDay {
		return nil, fieldErrorf("at", "has more than %d times of day", MaxTimesOfDay)
	}
	at := make([]time.Duration, 0, len(texts))
	for _, text := range texts {
		timeOfDay, ok := parseTimeOfDay(text)
		if !ok {
			return nil, fieldErrorf("at", "%q is not a time of day such as 03:30", text)
		}
		at = append(at, timeOfDay)
	}
	slices.Sort(at)
	if len(slices.Compact(slices.Clone(at))) < len(at) {
		return nil, fieldErrorf("at", "contains a time of day twice; a schedule runs at most once a minute")
	}
	return at, nil
}

func parseDueAt(text string) (time.Duration, error) {
	if text == "" {
		return noDeadline, nil
	}
	timeOfDay, ok := parseTimeOfDay(text)
	if !ok {
		return 0, fieldErrorf("due_at", "%q is not a time of day such as 06:00", text)
	}
	return timeOfDay, nil
}

// parseTimeOfDay requires two digits for the hour, which time.Parse does not.
func parseTimeOfDay(text string) (timeOfDay time.Duration, ok bool) {
	t, err := time.Parse(timeOfDayFormat, text)
	if err != nil || len(text) != len(timeOfDayFormat) {
		return 0, false
	}
	return t.Sub(DateOf(t)), true
}

// parseOnHoliday parses the field on_holiday, which is required with a calendar. Values other
// than run require a calendar.
func parseOnHoliday(text string, hasCalendar bool) (OnHoliday, error) {
	switch onHoliday := OnHoliday(text); onHoliday {
	case "":
		if hasCalendar {
			return "", fieldErrorf("on_holiday", "missing; required with a calendar, must be one of run, skip, next, previous")
		}
		return HolidayRun, nil
	case HolidayRun:
		return onHoliday, nil
	case HolidaySkip, HolidayNext, HolidayPrevious:
		if !hasCalendar {
			return "", fieldErrorf("on_holiday", "%s requires a calendar", text)
		}
		return onHoliday, nil
	}
	return "", fieldErrorf("on_holiday", "%q is not one of run, skip, next, previous", text)
}

// Zone returns the time zone of the schedule's times of day.
func (t *Timing) Zone() *time.Location { return t.zone }

// SameOccurrences reports whether two timings from the same Set differ at most in their due
// time, and therefore yield the same occurrences.
func (t *Timing) SameOccurrences(other *Timing) bool {
	return t.zone.String() == other.zone.String() &&
		t.rule == other.rule && // the set returns the same *Rule for equal rules
		slices.Equal(t.at, other.at) &&
		t.calendar == other.calendar &&
		t.onHoliday == other.onHoliday
}

// DeadlineAfter returns the deadline of an occurrence that starts at the given instant:
// the first due time after it, or zero if the schedule has no deadline.
func (t *Timing) DeadlineAfter(start time.Time) time.Time {
	if t.dueAt == noDeadline {
		return time.Time{}
	}
	return FirstAfter(start, t.dueAt, t.zone)
}
