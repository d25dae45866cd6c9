package calendar

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	ics "github.com/arran4/golang-ical"
)

// Event is one entry of an iCalendar file: days that are no business days.
type Event struct {
	Name   string
	Date   time.Time // the first day
	Days   int       // how many, at least 1
	Rule   *Rule     // when it recurs; nil: once
	Except []time.Time
	Extra  []time.Time
}

func (e *Event) mark(first time.Time, days map[time.Time]string) {
	for i := range e.Days {
		days[first.AddDate(0, 0, i)] = e.Name
	}
}

// Bounds of an iCalendar file.
const (
	MaxICalendar = 1 << 20 // bytes
	maxEventDays = 366
)

// ParseICalendar reads the events of an iCalendar file (RFC 5545). Only dates
// count: an event with times covers the days it touches. Cancelled events do not
// count; RRULE, RDATE and EXDATE do. RECURRENCE-ID, which moves one date of
// many, is refused rather than misread.
func ParseICalendar(data []byte) (events []Event, err error) {
	// The library is trusted with the file's form, not with its size, nor to
	// survive whatever bytes come.
	defer func() {
		if p := recover(); p != nil {
			events, err = nil, fmt.Errorf("malformed iCalendar file")
		}
	}()
	if len(data) > MaxICalendar {
		return nil, fmt.Errorf("larger than %d bytes", MaxICalendar)
	}
	cal, err := ics.ParseCalendar(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("malformed iCalendar file: %w", err)
	}
	for _, v := range cal.Events() {
		e, err := event(v)
		if err != nil {
			return nil, err
		}
		if e != nil {
			events = append(events, *e)
		}
	}
	return events, nil
}

func event(v *ics.VEvent) (*Event, error) {
	text := func(p ics.ComponentProperty) string {
		if x := v.GetProperty(p); x != nil {
			return x.Value
		}
		return ""
	}
	if strings.EqualFold(text(ics.ComponentPropertyStatus), "CANCELLED") {
		return nil, nil
	}
	// Names end up in lines that are read by machines: no tabs or line ends.
	e := &Event{Name: strings.Join(strings.Fields(ics.FromText(text(ics.ComponentPropertySummary))), " "), Days: 1}
	if e.Name == "" {
		e.Name = "holiday"
	}
	fail := func(part, format string, args ...any) (*Event, error) {
		return nil, fmt.Errorf("event %q: %s: %s", e.Name, part, fmt.Sprintf(format, args...))
	}
	if text("RECURRENCE-ID") != "" {
		return fail("RECURRENCE-ID", "is not supported; write the date as an event of its own")
	}
	var ok bool
	if e.Date, _, ok = icalDate(text(ics.ComponentPropertyDtStart)); !ok {
		return fail("DTSTART", "missing or no date")
	}
	if s := text(ics.ComponentPropertyDtEnd); s != "" {
		end, timed, ok := icalDate(s)
		if !ok {
			return fail("DTEND", "no date")
		}
		e.Days = int(end.Sub(e.Date) / Day) // a date is the first that is free again
		if timed || e.Days == 0 {
			e.Days++
		}
	} else if s := text(ics.ComponentPropertyDuration); s != "" {
		var n int
		var unit byte
		if k, _ := fmt.Sscanf(s, "P%d%c", &n, &unit); k == 2 && n <= maxEventDays && unit == 'D' {
			e.Days = n
		} else if k == 2 && n <= maxEventDays && unit == 'W' {
			e.Days = 7 * n
		}
	}
	if e.Days < 1 || e.Days > maxEventDays {
		return fail("DTEND", "covers %d days, not 1 to %d", e.Days, maxEventDays)
	}
	list := func(p ics.ComponentProperty) (ds []time.Time, ok bool) {
		for _, x := range v.GetProperties(p) {
			for s := range strings.SplitSeq(x.Value, ",") {
				d, _, ok := icalDate(s)
				if !ok {
					return nil, false
				}
				ds = append(ds, d)
			}
		}
		return ds, true
	}
	if e.Except, ok = list(ics.ComponentPropertyExdate); !ok {
		return fail("EXDATE", "no date")
	}
	if e.Extra, ok = list(ics.ComponentPropertyRdate); !ok {
		return fail("RDATE", "no date")
	}
	if s := text(ics.ComponentPropertyRrule); s != "" {
		var err error
		if e.Rule, err = ParseRule(s, e.Date, time.Time{}); err != nil {
			return fail("RRULE", "%v", err)
		}
	}
	return e, nil
}

// icalDate reads a DATE or the date of a DATE-TIME.
func icalDate(s string) (d time.Time, timed, ok bool) {
	date, _, timed := strings.Cut(s, "T")
	d, err := time.Parse("20060102", date)
	return d, timed, err == nil
}
