// Package calendar computes when recurring jobs are due, from calendars of
// business days, recurrence rules (RFC 5545), and wall-clock times in time zones
// with daylight saving. It does no I/O and reads no clock.
//
// Three kinds of time have a representation of their own:
//   - A civil date is midnight of that date in UTC.
//   - A wall-clock time is a time in UTC with the same fields.
//   - A time of day is a duration since midnight.
package calendar

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rickar/cal/v2"
	"github.com/rickar/cal/v2/bg"
	"github.com/rickar/cal/v2/de"
	"github.com/rickar/cal/v2/gb"
	"github.com/rickar/cal/v2/gr"
	"github.com/rickar/cal/v2/ro"
	"github.com/rickar/cal/v2/us"
)

// countries maps ISO 3166 codes to public holidays. Each country costs start-up
// time and memory, so only those that the documentation names are included.
var countries = map[string]*[]*cal.Holiday{
	"BG": &bg.Holidays,
	"DE": &de.Holidays,
	"GB": &gb.Holidays,
	"GR": &gr.Holidays,
	"RO": &ro.Holidays,
	"US": &us.Holidays,
}

// Countries returns the ISO 3166 codes of the supported countries, sorted.
func Countries() []string { return slices.Sorted(maps.Keys(countries)) }

// FieldError reports an invalid field and the reason.
type FieldError struct{ Field, Reason string }

// Error returns the field and the reason on one line.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

// Definition describes a calendar as operators configure it.
type Definition struct {
	Country  string         // whose public holidays apply; empty: none
	Holidays []time.Time    // additional holidays
	Worked   []time.Time    // business days, whatever the other fields say
	Weekend  []time.Weekday // nil: Saturday and Sunday
	Events   []Event        // additional holidays from iCalendar files
}

// Calendar distinguishes business days from other days. It is not safe for
// concurrent use, because it caches the holidays of the years it was asked for.
type Calendar struct {
	weekend   [7]bool // indexed by time.Weekday
	country   []*cal.Holiday
	holidays  map[time.Time]string // names of holidays on fixed dates
	worked    map[time.Time]bool
	recurring []Event
	years     map[int]map[time.Time]string // cache of holidaysIn
}

const (
	// maxSearchDays limits the search for a business day.
	maxSearchDays = 400
	// maxCachedYears limits the years whose holidays a calendar caches.
	maxCachedYears = 16
)

// defaultHolidayName names holidays that have no name of their own.
const defaultHolidayName = "holiday"

// New returns the calendar that a definition describes. The error is a
// *FieldError.
func New(definition Definition) (*Calendar, error) {
	c := &Calendar{
		holidays: map[time.Time]string{},
		worked:   map[time.Time]bool{},
		years:    map[int]map[time.Time]string{},
	}
	if err := c.setCountry(definition.Country); err != nil {
		return nil, err
	}
	if err := c.setWeekend(definition.Weekend); err != nil {
		return nil, err
	}
	for _, date := range definition.Holidays {
		c.holidays[date] = defaultHolidayName
	}
	for _, date := range definition.Worked {
		c.worked[date] = true
	}
	for _, event := range definition.Events {
		c.addEvent(event)
	}
	return c, nil
}

func (c *Calendar) setCountry(code string) error {
	if code == "" {
		return nil
	}
	holidays, ok := countries[strings.ToUpper(code)]
	if !ok {
		return fieldErrorf("country", "unknown country %q; known are %s", code, strings.Join(Countries(), ", "))
	}
	c.country = *holidays
	return nil
}

func (c *Calendar) setWeekend(weekdays []time.Weekday) error {
	if weekdays == nil {
		weekdays = []time.Weekday{time.Saturday, time.Sunday}
	}
	for _, weekday := range weekdays {
		c.weekend[weekday] = true
	}
	if !slices.Contains(c.weekend[:], false) {
		return fieldErrorf("weekend", "leaves no business day")
	}
	return nil
}

func (c *Calendar) addEvent(event Event) {
	if event.Rule != nil {
		c.recurring = append(c.recurring, event)
		return
	}
	event.mark(event.Date, c.holidays)
	for _, date := range event.Extra {
		event.mark(date, c.holidays)
	}
}

// Day reports whether a date is a business day and, if it is not, why.
func (c *Calendar) Day(date time.Time) (business bool, why string) {
	if c.worked[date] {
		return true, ""
	}
	if name, ok := c.holidays[date]; ok {
		return false, name
	}
	if name, ok := c.holidaysIn(date.Year())[date]; ok {
		return false, name
	}
	if c.weekend[date.Weekday()] {
		return false, date.Weekday().String()
	}
	return true, ""
}

// holidaysIn returns the public holidays and recurring events of a year.
func (c *Calendar) holidaysIn(year int) map[time.Time]string {
	if holidays, ok := c.years[year]; ok {
		return holidays
	}
	holidays := map[time.Time]string{}
	for _, holiday := range c.country {
		if holiday.Type == cal.ObservancePublic || holiday.Type == cal.ObservanceBank {
			markHoliday(holiday, year, holidays)
		}
	}
	for _, event := range c.recurring {
		event.markYear(year, holidays)
	}
	if len(c.years) >= maxCachedYears {
		clear(c.years)
	}
	c.years[year] = holidays
	return holidays
}

// markHoliday adds the dates of a public holiday that lie in the year: the actual
// one and the one on which it is observed. The latter may belong to the holiday of
// the year before or after.
func markHoliday(holiday *cal.Holiday, year int, holidays map[time.Time]string) {
	for holidayYear := year - 1; holidayYear <= year+1; holidayYear++ {
		actual, observed := holiday.Calc(holidayYear)
		for _, date := range []time.Time{actual, observed} {
			if !date.IsZero() && date.Year() == year {
				holidays[DateOf(date)] = holiday.Name
			}
		}
	}
}

// onOrAfter returns the first business day on or after a date; false if there is
// none within maxSearchDays.
func (c *Calendar) onOrAfter(date time.Time) (time.Time, bool) { return c.search(date, Day) }

// onOrBefore returns the last business day on or before a date; false if there is
// none within maxSearchDays.
func (c *Calendar) onOrBefore(date time.Time) (time.Time, bool) { return c.search(date, -Day) }

func (c *Calendar) search(date time.Time, step time.Duration) (time.Time, bool) {
	for range maxSearchDays {
		if business, _ := c.Day(date); business {
			return date, true
		}
		date = date.Add(step)
	}
	return time.Time{}, false
}
