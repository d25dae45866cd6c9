package calendar

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	ics "github.com/arran4/golang-ical"
)

// Event is an event of an iCalendar file. The days that it covers are holidays.
type Event struct {
	Name          string
	Date          time.Time   // first day
	Days          int         // number of days, at least 1
	Rule          *Rule       // recurrence; nil means none
	ExcludedDates []time.Time // first days of occurrences that Rule must not produce
	ExtraDates    []time.Time // first days of occurrences in addition to Rule
}

// mark adds the days of the occurrence that begins on first.
func (e *Event) mark(first time.Time, holidays map[time.Time]string) {
	for i := range e.Days {
		holidays[first.AddDate(0, 0, i)] = e.Name
	}
}

// markYear adds the days of a recurring event's occurrences that overlap with the year.
func (e *Event) markYear(year int, holidays map[time.Time]string) {
	from := Date(year, time.January, 1).AddDate(0, 0, -e.Days)
	last := Date(year, time.December, 31)
	for date, ok := e.Rule.Next(from); ok && !date.After(last); date, ok = e.Rule.Next(date.Add(Day)) {
		if !slices.Contains(e.ExcludedDates, date) {
			e.mark(date, holidays)
		}
	}
	for _, date := range e.ExtraDates {
		e.mark(date, holidays)
	}
}

const (
	// MaxICalendarBytes limits the size of an iCalendar file.
	MaxICalendarBytes = 1 << 20
	// maxEventDays limits the days that an event covers.
	maxEventDays = 366
)

// icalDateFormat is the format of DATE values.
const icalDateFormat = "20060102"

// propertyRecurrenceID is a property for which the library has no constant.
const propertyRecurrenceID ics.ComponentProperty = "RECURRENCE-ID"

// ParseICalendar returns the events of an iCalendar file (RFC 5545) except cancelled ones. An
// event covers every day that it overlaps with. RRULE, RDATE and EXDATE are supported;
// RECURRENCE-ID, which moves a single occurrence, is an error.
func ParseICalendar(data []byte) (events []Event, err error) {
	// The library panics on some malformed input and does not limit its memory.
	defer func() {
		if recover() != nil {
			events, err = nil, errors.New("malformed iCalendar file")
		}
	}()
	if len(data) > MaxICalendarBytes {
		return nil, fmt.Errorf("larger than %d bytes", MaxICalendarBytes)
	}
	file, err := ics.ParseCalendar(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("malformed iCalendar file: %w", err)
	}
	for _, component := range file.Events() {
		if isCancelled(component) {
			continue
		}
		event, err := parseEvent(component)
		if err != nil {
			return nil, err
		}
		events = append(events, *event)
	}
	return events, nil
}

func isCancelled(component *ics.VEvent) bool {
	return strings.EqualFold(propertyValue(component, ics.ComponentPropertyStatus), "CANCELLED")
}

// propertyValue returns the value of a property, or "" if the event lacks it.
func propertyValue(component *ics.VEvent, property ics.ComponentProperty) string {
	if found := component.GetProperty(property); found != nil {
		return found.Value
	}
	return ""
}

func parseEvent(component *ics.VEvent) (*Event, error) {
	event := &Event{Name: eventName(component)}
	fail := func(property, format string, args ...any) (*Event, error) {
		return nil, fmt.Errorf("event %q: %s: %s", event.Name, property, fmt.Sprintf(format, args...))
	}
	if propertyValue(component, propertyRecurrenceID) != "" {
		return fail("RECURRENCE-ID", "is not supported; add a separate event for the date")
	}
	var ok bool
	if event.Date, _, ok = parseICalDate(propertyValue(component, ics.ComponentPropertyDtStart)); !ok {
		return fail("DTSTART", "missing or no date")
	}
	if event.Days, ok = eventDays(component, event.Date); !ok {
		return fail("DTEND", "not a date")
	}
	if event.Days < 1 || event.Days > maxEventDays {
		return fail("DTEND", "event covers %d days; must be 1 to %d", event.Days, maxEventDays)
	}
	if event.ExcludedDates, ok = propertyDates(component, ics.ComponentPropertyExdate); !ok {
		return fail("EXDATE", "not a date")
	}
	if event.ExtraDates, ok = propertyDates(component, ics.ComponentPropertyRdate); !ok {
		return fail("RDATE", "not a date")
	}
	if text := propertyValue(component, ics.ComponentPropertyRrule); text != "" {
		var err error
		if event.Rule, err = ParseRule(text, event.Date, time.Time{}); err != nil {
			return fail("RRULE", "%v", err)
		}
	}
	return event, nil
}

// eventName returns the summary with white space collapsed, because names appear in
// tab-separated command output.
func eventName(component *ics.VEvent) string {
	summary := ics.FromText(propertyValue(component, ics.ComponentPropertySummary))
	name := strings.Join(strings.Fields(summary), " ")
	if name == "" {
		return defaultHolidayName
	}
	return name
}

// eventDays returns the number of days that an event covers, from DTEND or DURATION, or
// false if DTEND is malformed. The caller validates the number.
func eventDays(component *ics.VEvent, start time.Time) (days int, ok bool) {
	if text := propertyValue(component, ics.ComponentPropertyDtEnd); text != "" {
		end, timed, ok := parseICalDate(text)
		if !ok {
			return 0, false
		}
		days = int(end.Sub(start) / Day) // DTEND is exclusive if it is a DATE
		if timed || days == 0 {
			days++
		}
		return days, true
	}
	return durationDays(propertyValue(component, ics.ComponentPropertyDuration)), true
}

// durationDays returns the number of days of a DURATION such as P3D or P2W. Durations with
// times of day count as one day.
func durationDays(text string) int {
	var count int
	var unit byte
	if parsed, _ := fmt.Sscanf(text, "P%d%c", &count, &unit); parsed < 2 || count > maxEventDays {
		return 1
	}
	switch unit {
	case 'D':
		return count
	case 'W':
		return 7 * count
	}
	return 1
}

// propertyDates returns the dates of all instances of a property, each of which may be a
// comma-separated list. It returns false if a date is malformed.
func propertyDates(component *ics.VEvent, property ics.ComponentProperty) (dates []time.Time, ok bool) {
	for _, list := range component.GetProperties(property) {
		for text := range strings.SplitSeq(list.Value, ",") {
			date, _, ok := parseICalDate(text)
			if !ok {
				return nil, false
			}
			dates = append(dates, date)
		}
	}
	return dates, true
}

// parseICalDate parses a DATE or the date of a DATE-TIME, for which timed is true.
func parseICalDate(text string) (date time.Time, timed, ok bool) {
	text, _, timed = strings.Cut(text, "T")
	date, err := time.Parse(icalDateFormat, text)
	return date, timed, err == nil
}
