package calendar

import (
	"slices"
	"time"

	"github.com/teambition/rrule-go"
)

// Rule is a recurrence rule (RFC 5545) that yields dates. It is not safe for concurrent use,
// because it caches dates.
//
// The rrule library expands a rule from its start, which is slow for old rules. Rule
// therefore starts the expansion at a period shortly before the requested date.
type Rule struct {
	option      rrule.ROption // without start, end and count, and with an explicit day part
	anchor      time.Time     // beginning of a period of the rule
	from, until time.Time     // first and last allowed date; zero means no limit

	// Cache of all dates of the rule from cacheStart to the last element of dates.
	cacheStart time.Time
	dates      []time.Time // ascending
	exhausted  time.Time   // the rule has no date on or after this one; zero means unknown
}

const (
	// horizonYears limits the search for a date. The rarest useful rule, 29 February on a
	// given weekday, recurs within 40 years, also across a century year without a leap day.
	horizonYears = 50
	// cacheLookback is how many days before the requested date the cache begins, rounded
	// down to the beginning of a period.
	cacheLookback = 10
	// cacheAhead is the number of cached dates on or after the requested date.
	cacheAhead = 24
)

const (
	daysPerWeek   = 7
	monthsPerYear = 12
)

// rruleWeekdays maps time.Weekday to the weekdays of the rrule library.
var rruleWeekdays = [...]rrule.Weekday{rrule.SU, rrule.MO, rrule.TU, rrule.WE, rrule.TH, rrule.FR, rrule.SA}

// setImplicitDay adds a day part, taken from the start as in RFC 5545, to a rule without one,
// so that the expansion can begin in any period.
func (r *Rule) setImplicitDay(starts time.Time) {
	option := &r.option
	if len(option.Byweekno)+len(option.Byyearday)+len(option.Bymonthday)+len(option.Byweekday) > 0 {
		return
	}
	switch option.Freq {
	case rrule.YEARLY:
		if len(option.Bymonth) == 0 {
			option.Bymonth = []int{int(starts.Month())}
		}
		option.Bymonthday = []int{starts.Day()}
	case rrule.MONTHLY:
		option.Bymonthday = []int{starts.Day()}
	case rrule.WEEKLY:
		option.Byweekday = []rrule.Weekday{rruleWeekdays[starts.Weekday()]}
	}
}

// alignAnchor sets the anchor to the beginning of the period of starts or, if starts is zero,
// of the current anchor.
func (r *Rule) alignAnchor(starts time.Time) {
	if !starts.IsZero() {
		r.anchor = starts
	}
	switch r.option.Freq {
	case rrule.YEARLY:
		r.anchor = Date(r.anchor.Year(), time.January, 1)
	case rrule.MONTHLY:
		r.anchor = Date(r.anchor.Year(), r.anchor.Month(), 1)
	case rrule.WEEKLY:
		weekday := mondayBased(r.anchor.Weekday())
		sinceWeekStart := (weekday - r.option.Wkst.Day() + daysPerWeek) % daysPerWeek
		r.anchor = r.anchor.AddDate(0, 0, -sinceWeekStart)
	}
}

// mondayBased returns the weekday as numbered by the rrule library: Monday is 0.
func mondayBased(weekday time.Weekday) int { return (int(weekday) + daysPerWeek - 1) % daysPerWeek }

// periodStart returns the beginning of the rule's period that contains a date. The
// length of a period is INTERVAL times the unit of FREQ.
func (r *Rule) periodStart(date time.Time) time.Time {
	interval := r.option.Interval
	days := int(date.Sub(r.anchor) / Day)
	months := monthsPerYear*(date.Year()-r.anchor.Year()) + int(date.Month()-r.anchor.Month())
	switch r.option.Freq {
	case rrule.DAILY:
		return r.anchor.AddDate(0, 0, floorToMultiple(days, interval))
	case rrule.WEEKLY:
		return r.anchor.AddDate(0, 0, floorToMultiple(days, daysPerWeek*interval))
	case rrule.YEARLY:
		return r.anchor.AddDate(0, floorToMultiple(months, monthsPerYear*interval), 0)
	default: // MONTHLY
		return r.anchor.AddDate(0, floorToMultiple(months, interval), 0)
	}
}

// floorToMultiple rounds n down to a multiple of factor, also if n is negative.
func floorToMultiple(n, factor int) int { return n - ((n%factor)+factor)%factor }

// fillCache replaces the cache by the dates around date.
func (r *Rule) fillCache(date time.Time) {
	r.cacheStart = r.periodStart(date.AddDate(0, 0, -cacheLookback))
	r.dates = r.dates[:0]
	option := r.option
	option.Dtstart = r.cacheStart
	expansion, err := rrule.NewRRule(option)
	if err != nil {
		return // not reached: ParseRule rejects invalid options
	}
	// Without further dates, the library searches up to the year 9999, even with UNTIL.
	next, limit := expansion.Iterator(), date.AddDate(horizonYears, 0, 0)
	for ahead := 0; ahead < cacheAhead; {
		found, ok := next()
		if !ok || found.After(limit) {
			return
		}
		r.dates = append(r.dates, found)
		if !found.Before(date) {
			ahead++
		}
	}
}

// isCached reports whether the cache contains the first date of the rule on or after date.
func (r *Rule) isCached(date time.Time) bool {
	return len(r.dates) > 0 && !date.Before(r.cacheStart) && !date.After(r.dates[len(r.dates)-1])
}

// Next returns the first date of the rule on or after date, or false if there is none within
// 50 years.
func (r *Rule) Next(date time.Time) (time.Time, bool) {
	if date.Before(r.from) {
		date = r.from
	}
	if r.isAfterEnd(date) || !r.exhausted.IsZero() && !date.Before(r.exhausted) {
		return time.Time{}, false
	}
	if !r.isCached(date) {
		r.fillCache(date)
	}
	index, _ := slices.BinarySearchFunc(r.dates, date, time.Time.Compare)
	if index == len(r.dates) {
		r.exhausted = date
		return time.Time{}, false
	}
	if next := r.dates[index]; !r.isAfterEnd(next) {
		return next, true
	}
	return time.Time{}, false
}

func (r *Rule) isAfterEnd(date time.Time) bool { return !r.until.IsZero() && date.After(r.until) }

// Contains reports whether date is one of the dates of the rule.
func (r *Rule) Contains(date time.Time) bool {
	next, ok := r.Next(date)
	return ok && next.Equal(date)
}
