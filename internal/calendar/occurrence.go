package calendar

import (
	"fmt"
	"iter"
	"slices"
	"strings"
	"time"
)

// Occurrence is one run of a schedule.
type Occurrence struct {
	// Nominal is the wall-clock time that identifies the occurrence. It is stored instead of
	// Start, since Start changes with the zone's UTC offsets, and an occurrence could run
	// twice.
	Nominal time.Time
	// Rule is the wall-clock time of the recurrence rule, before any move because of a
	// holiday. If several dates are moved to one day, it is the latest.
	Rule     time.Time
	Start    time.Time // start as an instant
	Deadline time.Time // deadline as an instant; zero means none
	Remark   string    // why the occurrence is moved or skipped, for users
	Skipped  bool      // does not run; set by All only
}

// plannedDate is a date of the rule and the date of its run, which differs if the run is
// moved because of a holiday.
type plannedDate struct {
	run, rule time.Time
}

// maxRuleDates limits the search for an occurrence, in case every date of the rule is a
// holiday.
const maxRuleDates = 2_000

// OccursAfter reports whether there is an occurrence in the 50 years after a
// wall-clock time.
func (t *Timing) OccursAfter(from time.Time) bool {
	_, ok := t.Next(from)
	return ok
}

// Next returns the first occurrence whose nominal time is after a wall-clock time, or false
// if there is none within 50 years. Its cost does not grow with the age of the schedule.
func (t *Timing) Next(after time.Time) (Occurrence, bool) {
	day := DateOf(after)
	date, ok := t.firstRunDate(day)
	if ok && date.run.Equal(day) {
		index, found := slices.BinarySearch(t.at, after.Sub(day))
		if found {
			index++
		}
		if index < len(t.at) {
			return t.occurrence(date, t.at[index]), true
		}
		date, ok = t.firstRunDate(day.Add(Day))
	}
	if !ok {
		return Occurrence{}, false
	}
	return t.occurrence(date, t.at[0]), true
}

// HasOccurrence reports whether an occurrence has the given nominal time.
func (t *Timing) HasOccurrence(nominal time.Time) bool {
	occurrence, ok := t.Next(nominal.Add(-time.Nanosecond))
	return ok && occurrence.Nominal.Equal(nominal)
}

// All yields an occurrence for every date of the rule on or after from and every time of
// day, in the order of the rule, including those that a holiday skips.
func (t *Timing) All(from time.Time) iter.Seq[Occurrence] {
	return func(yield func(Occurrence) bool) {
		for rule, ok := t.rule.Next(from); ok; rule, ok = t.rule.Next(rule.Add(Day)) {
			date, skipped, ok := t.planOrSkip(rule)
			if !ok {
				return
			}
			for _, at := range t.at {
				occurrence := t.occurrence(date, at)
				if skipped != "" {
					occurrence.Skipped = true
					occurrence.Remark = skipped
				}
				if !yield(occurrence) {
					return
				}
			}
		}
	}
}

// planOrSkip returns the date on which the schedule runs for a date of the rule. If it does
// not run, skipped is the reason. It returns false if there is no business day to move to.
func (t *Timing) planOrSkip(rule time.Time) (date plannedDate, skipped string, ok bool) {
	date = plannedDate{run: rule, rule: rule}
	if t.calendar == nil || t.onHoliday == HolidayRun {
		return date, "", true
	}
	business, why := t.calendar.IsBusinessDay(rule)
	if business {
		return date, "", true
	}
	if t.onHoliday == HolidaySkip {
		return date, "skipped: " + why, true
	}
	if date.run, ok = t.runDate(rule); !ok {
		return date, "", false
	}
	if first, _ := t.firstRunDate(date.run); !first.rule.Equal(rule) {
		skipped = fmt.Sprintf("skipped: %s, falls together with %s", why, date.run.Format(time.DateOnly))
	}
	return date, skipped, true
}

// runDate returns the date on which the schedule runs for a date of the rule, or
// false if it does not run.
func (t *Timing) runDate(rule time.Time) (run time.Time, ok bool) {
	switch t.onHoliday {
	case HolidaySkip:
		business, _ := t.calendar.IsBusinessDay(rule)
		return rule, business
	case HolidayNext:
		return t.calendar.onOrAfter(rule)
	case HolidayPrevious:
		return t.calendar.onOrBefore(rule)
	}
	return rule, true
}

// firstRunDate returns the first date on or after day on which the schedule runs, or false
// if there is none. Dates of the rule that are moved to the same business day are one run:
// its rule date is that day if it is a date of the rule, and otherwise the first of them.
func (t *Timing) firstRunDate(day time.Time) (date plannedDate, ok bool) {
	from, ok := t.earliestRuleDate(day)
	if !ok {
		return plannedDate{}, false
	}
	for range maxRuleDates {
		rule, ok := t.rule.Next(from)
		if !ok {
			return plannedDate{}, false
		}
		if run, ok := t.runDate(rule); ok && !run.Before(day) {
			if t.onHoliday == HolidayNext && t.rule.Contains(run) {
				rule = run
			}
			return plannedDate{run: run, rule: rule}, true
		}
		from = rule.Add(Day)
	}
	return plannedDate{}, false
}

// earliestRuleDate returns the first date that can be moved to day or later. With
// HolidayNext, it is the day after the last business day before day.
func (t *Timing) earliestRuleDate(day time.Time) (time.Time, bool) {
	if t.onHoliday != HolidayNext {
		return day, true
	}
	businessDay, ok := t.calendar.onOrBefore(day.Add(-Day))
	return businessDay.Add(Day), ok
}

// latestRuleDate returns the latest date of the rule that runs on date.run.
func (t *Timing) latestRuleDate(date plannedDate) time.Time {
	latest := date.rule
	if t.onHoliday != HolidayNext && t.onHoliday != HolidayPrevious {
		return latest
	}
	end := date.run
	if t.onHoliday == HolidayPrevious {
		// Every date before the next business day is moved back to date.run.
		if businessDay, ok := t.calendar.onOrAfter(date.run.Add(Day)); ok {
			end = businessDay.Add(-Day)
		}
	}
	for rule, ok := t.rule.Next(latest.Add(Day)); ok && !rule.After(end); rule, ok = t.rule.Next(rule.Add(Day)) {
		latest = rule
	}
	return latest
}

func (t *Timing) occurrence(date plannedDate, at time.Duration) Occurrence {
	nominal := date.run.Add(at)
	start, exists := Instant(nominal, t.zone)
	var remarks []string
	if !date.run.Equal(date.rule) {
		_, why := t.calendar.IsBusinessDay(date.rule)
		remarks = append(remarks, fmt.Sprintf("moved from %s: %s", date.rule.Format(time.DateOnly), why))
	}
	if !exists {
		remarks = append(remarks, "clocks skip "+nominal.Format(timeOfDayFormat))
	}
	return Occurrence{
		Nominal:  nominal,
		Rule:     t.latestRuleDate(date).Add(at),
		Start:    start,
		Deadline: t.DeadlineAfter(start),
		Remark:   strings.Join(remarks, "; "),
	}
}
