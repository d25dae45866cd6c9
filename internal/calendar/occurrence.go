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
	// Nominal is the wall-clock time that identifies the occurrence. It is what the
	// scheduler stores, because it stays the same if the offsets of the zone change,
	// so that no occurrence runs twice.
	Nominal time.Time
	// Rule is the wall-clock time of the rule that the occurrence stands for, before
	// any move because of a holiday. If several dates fall together, it is the latest.
	Rule    time.Time
	Start   time.Time // the instant at which it starts
	Due     time.Time // the deadline; zero: none
	Remark  string    // from where and why it was moved, or why it is skipped
	Skipped bool      // it does not run; set by All only
}

// plannedDate is a date of the rule and the date on which the schedule runs for
// it. They differ if the date was moved because of a holiday.
type plannedDate struct {
	run, rule time.Time
}

// maxRuleDates limits the dates of the rule that are examined for one occurrence,
// in case every date of the rule is a holiday.
const maxRuleDates = 2_000

// Occurs reports whether there is an occurrence within 50 years of a wall-clock
// time.
func (t *Timing) Occurs(from time.Time) bool {
	_, ok := t.Next(from)
	return ok
}

// Next returns the first occurrence whose nominal time lies after a wall-clock
// time; false if there is none within 50 years. The cost does not depend on how
// long ago the schedule began.
func (t *Timing) Next(after time.Time) (Occurrence, bool) {
	day := DateOf(after)
	date, ok := t.firstDate(day)
	if ok && date.run.Equal(day) {
		index, found := slices.BinarySearch(t.at, after.Sub(day))
		if found {
			index++
		}
		if index < len(t.at) {
			return t.occurrence(date, t.at[index]), true
		}
		date, ok = t.firstDate(day.Add(Day))
	}
	if !ok {
		return Occurrence{}, false
	}
	return t.occurrence(date, t.at[0]), true
}

// Has reports whether the schedule has an occurrence with this nominal time.
func (t *Timing) Has(nominal time.Time) bool {
	occurrence, ok := t.Next(nominal.Add(-time.Nanosecond))
	return ok && occurrence.Nominal.Equal(nominal)
}

// All yields an occurrence for every date and time of the rule from a date on, in
// the order of the rule. Those that do not run are marked as skipped.
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

// planOrSkip returns when the schedule runs for a date of the rule. If it does not
// run, skipped is the reason. It fails if there is no business day to move to.
func (t *Timing) planOrSkip(rule time.Time) (date plannedDate, skipped string, ok bool) {
	date = plannedDate{run: rule, rule: rule}
	if t.calendar == nil || t.onHoliday == Run {
		return date, "", true
	}
	business, why := t.calendar.Day(rule)
	if business {
		return date, "", true
	}
	if t.onHoliday == Skip {
		return date, "skipped: " + why, true
	}
	if date.run, ok = t.runDate(rule); !ok {
		return date, "", false
	}
	if first, _ := t.firstDate(date.run); !first.rule.Equal(rule) {
		skipped = fmt.Sprintf("skipped: %s, falls together with %s", why, date.run.Format(time.DateOnly))
	}
	return date, skipped, true
}

// runDate returns the date on which the schedule runs for a date of the rule;
// false if it does not run.
func (t *Timing) runDate(rule time.Time) (run time.Time, ok bool) {
	switch t.onHoliday {
	case Skip:
		business, _ := t.calendar.Day(rule)
		return rule, business
	case Next:
		return t.calendar.onOrAfter(rule)
	case Previous:
		return t.calendar.onOrBefore(rule)
	}
	return rule, true
}

// firstDate returns the first date on or after a day on which the schedule runs;
// false if there is none. If several dates of the rule fall together on one
// business day, they are one run: for that day itself if it is a date of the rule,
// and otherwise for the first of them.
func (t *Timing) firstDate(day time.Time) (date plannedDate, ok bool) {
	from, ok := t.firstRelevantDate(day)
	if !ok {
		return plannedDate{}, false
	}
	for range maxRuleDates {
		rule, ok := t.rule.Next(from)
		if !ok {
			return plannedDate{}, false
		}
		if run, ok := t.runDate(rule); ok && !run.Before(day) {
			if t.onHoliday == Next && t.rule.Has(run) {
				rule = run
			}
			return plannedDate{run: run, rule: rule}, true
		}
		from = rule.Add(Day)
	}
	return plannedDate{}, false
}

// firstRelevantDate returns the first date that can be moved to the day or later:
// with Next, the day after the last business day before it.
func (t *Timing) firstRelevantDate(day time.Time) (time.Time, bool) {
	if t.onHoliday != Next {
		return day, true
	}
	businessDay, ok := t.calendar.onOrBefore(day.Add(-Day))
	return businessDay.Add(Day), ok
}

// latestRuleDate returns the latest date of the rule that the schedule runs for on
// the date's day.
func (t *Timing) latestRuleDate(date plannedDate) time.Time {
	latest := date.rule
	if t.onHoliday != Next && t.onHoliday != Previous {
		return latest
	}
	end := date.run
	if t.onHoliday == Previous {
		// Every date before the next business day is moved back to this one.
		if businessDay, ok := t.calendar.onOrAfter(date.run.Add(Day)); ok {
			end = businessDay.Add(-Day)
		}
	}
	for rule, ok := t.rule.Next(latest.Add(Day)); ok && !rule.After(end); rule, ok = t.rule.Next(rule.Add(Day)) {
		latest = rule
	}
	return latest
}

// occurrence returns the occurrence on a date at a time of day.
func (t *Timing) occurrence(date plannedDate, at time.Duration) Occurrence {
	nominal := date.run.Add(at)
	start, exists := Instant(nominal, t.zone)
	var remarks []string
	if !date.run.Equal(date.rule) {
		_, why := t.calendar.Day(date.rule)
		remarks = append(remarks, fmt.Sprintf("moved from %s: %s", date.rule.Format(time.DateOnly), why))
	}
	if !exists {
		remarks = append(remarks, "clocks skip "+nominal.Format(timeOfDayFormat))
	}
	return Occurrence{
		Nominal: nominal,
		Rule:    t.latestRuleDate(date).Add(at),
		Start:   start,
		Due:     t.DueAfter(start),
		Remark:  strings.Join(remarks, "; "),
	}
}
