// Package calendar computes the start times of recurring jobs from recurrence rules
// (RFC 5545), calendars of business days, and times of day in time zones. It does no I/O and
// reads no clock.
//
// Three kinds of time are represented as follows:
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

// countries maps ISO 3166 codes to public holidays. Each country adds start-up time and
// memory, so only those that the documentation names are included.
var countries = map[string]*[]*cal.Holiday{
	"BG": &bg.Holidays,
	"DE": &de.Holidays,
	"GB": &gb.Holidays,
	"GR": &gr.Holidays,
	"RO": &ro.Holidays,
	"US": &us.Holidays,
}

// Countries returns the sorted ISO 3166 codes of the countries whose holidays are known.
func Countries() []string { return slices.Sorted(maps.Keys(countries)) }

// FieldError reports which field of a schedule or calendar is invalid and why.
type FieldError struct{ Field, Reason string }

// Error returns the field and the reason, separated by a colon.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

// Definition is a calendar as configured by operators.
type Definition struct {
	Country      string         // ISO 3166 code; empty means no public holidays
	Holidays     []time.Time    // additional holidays
	BusinessDays []time.Time    // business days, which override the other fields
	Weekend      []time.Weekday // nil means Saturday and Sunday
	Events       []Event        // additional holidays from iCalendar files
}

// Calendar distinguishes business days from other days. It is not safe for concurrent use,
// because it caches holidays.
type Calendar struct {
	weekend      [7]bool // indexed by time.Weekday
	country      []*cal.Holiday
	holidays     map[time.Time]string // names of holidays that do not recur, by date
	businessDays map[time.Time]bool
	recurring    []Event
	years        map[int]map[time.Time]string // cache of holidaysIn, by year
}

const (
	// maxSearchDays limits the search for a business day.
	maxSearchDays  = 400
	maxCachedYears = 16
)

const defaultHolidayName = "holiday"

// New returns the calendar for a definition. The error is a *FieldError.
func New(definition Definition) (*Calendar, error) {
	c := &Calendar{
		holidays:     map[time.Time]string{},
		businessDays: map[time.Time]bool{},
		years:        map[int]map[time.Time]string{},
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
	for _, date := range definition.BusinessDays {
		c.businessDays[date] = true
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
	for _, date := range event.ExtraDates {
		event.mark(date, c.holidays)
	}
}

// IsBusinessDay reports whether a date is a business day. If not, why is the name of the
// holiday or weekday.
func (c *Calendar) IsBusinessDay(date time.Time) (business bool, why string) {
	if c.businessDays[date] {
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

// holidaysIn returns the names of public holidays and recurring events in a year,
// by date.
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

// markHoliday adds the dates of a public holiday that are in the year: the actual date and
// the observed one. The holiday of an adjacent year may be observed in this year.
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

// onOrAfter returns the first business day on or after a date, or false if maxSearchDays
// contain none.
func (c *Calendar) onOrAfter(date time.Time) (time.Time, bool) { return c.search(date, Day) }

// onOrBefore returns the last business day on or before a date, or false if maxSearchDays
// contain none.
func (c *Calendar) onOrBefore(date time.Time) (time.Time, bool) { return c.search(date, -Day) }

func (c *Calendar) search(date time.Time, step time.Duration) (time.Time, bool) {
	for range maxSearchDays {
		if business, _ := c.IsBusinessDay(date); business {
			return date, true
		}
		date = date.Add(step)
	}
	return time.Time{}, false
}
