// Package calendar says when recurring work is due: named calendars of business
// days, recurrence rules, and wall-clock times in zones whose clocks change. It
// is pure: it reads no clock, no file and no network.
//
// A civil date is a midnight in UTC, a wall-clock time is a time in UTC with the
// same fields, and a time of day is a duration since midnight.
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

// countries are those whose public holidays are known, by ISO 3166 code. Each
// costs start-up time and memory, so they are those that the docs name.
var countries = map[string]*[]*cal.Holiday{
	"BG": &bg.Holidays, "DE": &de.Holidays, "GB": &gb.Holidays, "GR": &gr.Holidays, "RO": &ro.Holidays, "US": &us.Holidays,
}

// Countries returns the codes of the countries whose holidays are known.
func Countries() []string { return slices.Sorted(maps.Keys(countries)) }

// FieldError says which field is wrong, and why.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func wrong(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

// Definition is what operators say of a calendar.
type Definition struct {
	Country  string         // its public holidays, and the days they are observed on; empty: none
	Holidays []time.Time    // further dates
	Worked   []time.Time    // business days whatever else says
	Weekend  []time.Weekday // nil: Saturday and Sunday
	Events   []Event        // of iCalendar files
}

// Calendar tells business days from others. It is not for concurrent use: it
// keeps the years that it worked out.
type Calendar struct {
	weekend [7]bool
	country []*cal.Holiday
	dates   map[time.Time]string
	worked  map[time.Time]bool
	yearly  []Event // recurring ones
	years   map[int]map[time.Time]string
}

// searchDays bounds the search for a business day, and yearsKept the years whose
// holidays are remembered.
const (
	searchDays = 400
	yearsKept  = 16
)

// New checks a definition. The error is a *FieldError.
func New(def Definition) (*Calendar, error) {
	c := &Calendar{dates: map[time.Time]string{}, worked: map[time.Time]bool{}, years: map[int]map[time.Time]string{}}
	if def.Country != "" {
		hs, ok := countries[strings.ToUpper(def.Country)]
		if !ok {
			return nil, wrong("country", "unknown country %q; known are %s", def.Country, strings.Join(Countries(), ", "))
		}
		c.country = *hs
	}
	if def.Weekend == nil {
		def.Weekend = []time.Weekday{time.Saturday, time.Sunday}
	}
	for _, d := range def.Weekend {
		c.weekend[d] = true
	}
	if c.weekend == [7]bool{true, true, true, true, true, true, true} {
		return nil, wrong("weekend", "leaves no business day")
	}
	for _, d := range def.Holidays {
		c.dates[d] = "holiday"
	}
	for _, d := range def.Worked {
		c.worked[d] = true
	}
	for _, e := range def.Events {
		if e.Rule != nil {
			c.yearly = append(c.yearly, e)
			continue
		}
		e.mark(e.Date, c.dates)
		for _, d := range e.Extra {
			e.mark(d, c.dates)
		}
	}
	return c, nil
}

// Day reports whether d is a business day, and if not, why.
func (c *Calendar) Day(d time.Time) (business bool, why string) {
	if c.worked[d] {
		return true, ""
	}
	if name, ok := c.dates[d]; ok {
		return false, name
	}
	if name, ok := c.year(d.Year())[d]; ok {
		return false, name
	}
	if c.weekend[d.Weekday()] {
		return false, d.Weekday().String()
	}
	return true, ""
}

// year returns the holidays of a year that are worked out.
func (c *Calendar) year(y int) map[time.Time]string {
	if days, ok := c.years[y]; ok {
		return days
	}
	days := map[time.Time]string{}
	for _, h := range c.country {
		if h.Type != cal.ObservancePublic && h.Type != cal.ObservanceBank {
			continue
		}
		// A holiday may be observed in the year before or after its own.
		for from := y - 1; from <= y+1; from++ {
			actual, observed := h.Calc(from)
			for _, d := range []time.Time{actual, observed} {
				if !d.IsZero() && d.Year() == y {
					days[DateOf(d)] = h.Name
				}
			}
		}
	}
	for _, e := range c.yearly {
		first, last := Date(y, 1, 1), Date(y, 12, 31)
		for d, ok := e.Rule.Next(first.AddDate(0, 0, -e.Days)); ok && !d.After(last); d, ok = e.Rule.Next(d.Add(Day)) {
			if !slices.Contains(e.Except, d) {
				e.mark(d, days)
			}
		}
		for _, d := range e.Extra {
			e.mark(d, days)
		}
	}
	if len(c.years) >= yearsKept {
		clear(c.years)
	}
	c.years[y] = days
	return days
}

// onOrAfter returns the first business day from d on, onOrBefore the last one up
// to d.
func (c *Calendar) onOrAfter(d time.Time) (time.Time, bool)  { return c.search(d, Day) }
func (c *Calendar) onOrBefore(d time.Time) (time.Time, bool) { return c.search(d, -Day) }

func (c *Calendar) search(d time.Time, step time.Duration) (time.Time, bool) {
	for range searchDays {
		if ok, _ := c.Day(d); ok {
			return d, true
		}
		d = d.Add(step)
	}
	return time.Time{}, false
}

// Set holds the calendars that operators define, and shares what schedules have
// in common. It is not for concurrent use.
type Set struct {
	calendars map[string]*Calendar
	zones     map[string]*time.Location
	rules     map[ruleKey]*Rule
}

type ruleKey struct {
	text         string
	starts, ends time.Time
}

// rulesKept bounds the rules that schedules share.
const rulesKept = 4096

// NewSet returns a set of these calendars.
func NewSet(calendars map[string]*Calendar) *Set {
	return &Set{calendars, map[string]*time.Location{}, map[ruleKey]*Rule{}}
}

// Names returns the calendars' names.
func (s *Set) Names() []string { return slices.Sorted(maps.Keys(s.calendars)) }

// zone finds an IANA zone.
func (s *Set) zone(name string) (*time.Location, error) {
	if z := s.zones[name]; z != nil {
		return z, nil
	}
	switch name {
	case "":
		return nil, wrong("zone", "missing")
	case "Local": // would mean another zone on every machine
		return nil, wrong("zone", "Local is no zone; give an IANA name such as Europe/Sofia")
	}
	z, err := time.LoadLocation(name)
	if err != nil {
		return nil, wrong("zone", "unknown zone %q; give an IANA name such as Europe/Sofia", name)
	}
	s.zones[name] = z
	return z, nil
}

func (s *Set) rule(text string, starts, ends time.Time) (*Rule, error) {
	k := ruleKey{text, starts, ends}
	if r := s.rules[k]; r != nil {
		return r, nil
	}
	r, err := ParseRule(text, starts, ends)
	if err != nil {
		return nil, wrong("rule", "%v", err)
	}
	if len(s.rules) >= rulesKept {
		clear(s.rules)
	}
	s.rules[k] = r
	return r, nil
}
