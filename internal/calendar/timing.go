package calendar

import (
	"fmt"
	"iter"
	"slices"
	"strings"
	"time"
)

// OnHoliday says what becomes of a date that is no business day.
type OnHoliday string

// What may become of it.
const (
	Run      OnHoliday = "run"      // it runs all the same
	Skip     OnHoliday = "skip"     // it does not run
	Next     OnHoliday = "next"     // it runs on the next business day
	Previous OnHoliday = "previous" // it runs on the business day before
)

// Times is when a schedule runs, as its file says.
type Times struct {
	Zone      string
	Rule      string
	At        []string
	Calendar  string
	OnHoliday string
	Starts    time.Time // a date; zero: none
	Ends      time.Time
	DueAt     string
}

// Timing is when a schedule runs, checked. It is not for concurrent use.
type Timing struct {
	zone      *time.Location
	rule      *Rule
	at        []time.Duration // of the day, ascending
	calendar  *Calendar       // nil: every day is a business day
	onHoliday OnHoliday
	dueAt     time.Duration // below 0: none
}

// Occurrence is one run of a schedule.
type Occurrence struct {
	// Nominal is the wall-clock time that names the occurrence, as a time in UTC.
	// It is what a schedule remembers: whatever becomes of the zone's offsets, an
	// occurrence that was made is not made again.
	Nominal time.Time
	Rule    time.Time // the latest wall-clock time of the rule that it stands for, unmoved
	Start   time.Time // when it starts
	Due     time.Time // when it is to be complete; zero: no deadline
	Remark  string    // where it was moved from and why, or why it is skipped
	Skipped bool      // it does not run (All only)
}

// clock reads a time of day.
func clock(s string) (time.Duration, bool) {
	t, err := time.Parse("15:04", s)
	if err != nil || len(s) != len("15:04") {
		return 0, false
	}
	return t.Sub(DateOf(t)), true
}

// MaxAt bounds the times of a day: one every minute.
const MaxAt = 24 * 60

// Timing checks when a schedule runs. The error is a *FieldError.
func (s *Set) Timing(x Times) (*Timing, error) {
	t := &Timing{dueAt: -1, onHoliday: OnHoliday(x.OnHoliday)}
	var err error
	if t.zone, err = s.zone(x.Zone); err != nil {
		return nil, err
	}
	if !x.Starts.IsZero() && !x.Ends.IsZero() && x.Ends.Before(x.Starts) {
		return nil, wrong("ends", "lies before starts")
	}
	if t.rule, err = s.rule(x.Rule, x.Starts, x.Ends); err != nil {
		return nil, err
	}
	if len(x.At) == 0 {
		return nil, wrong("at", "missing; give times of day such as [\"03:30\"]")
	}
	if len(x.At) > MaxAt {
		return nil, wrong("at", "more than %d times", MaxAt)
	}
	for _, a := range x.At {
		d, ok := clock(a)
		if !ok {
			return nil, wrong("at", "%q is no time of day such as 03:30", a)
		}
		t.at = append(t.at, d)
	}
	slices.Sort(t.at)
	for i := range t.at[1:] {
		if t.at[i] == t.at[i+1] {
			return nil, wrong("at", "a time stands twice; a schedule runs once a minute at the most")
		}
	}
	if x.DueAt != "" {
		var ok bool
		if t.dueAt, ok = clock(x.DueAt); !ok {
			return nil, wrong("due_at", "%q is no time of day such as 06:00", x.DueAt)
		}
	}
	if x.Calendar != "" {
		if t.calendar = s.calendars[x.Calendar]; t.calendar == nil {
			known := "none is defined, see [calendars] in the operators' file"
			if names := s.Names(); len(names) > 0 {
				known = "known are " + strings.Join(names, ", ")
			}
			return nil, wrong("calendar", "unknown calendar %q; %s", x.Calendar, known)
		}
	}
	switch t.onHoliday {
	case "":
		t.onHoliday = Run
	case Run:
	case Skip, Next, Previous:
		if t.calendar == nil {
			return nil, wrong("on_holiday", "%s needs a calendar", x.OnHoliday)
		}
	default:
		return nil, wrong("on_holiday", "%q is none of run, skip, next, previous", x.OnHoliday)
	}
	if x.Calendar != "" && x.OnHoliday == "" {
		return nil, wrong("on_holiday", "missing; say what becomes of an occurrence on a day that is no business day")
	}
	return t, nil
}

// Occurs reports whether there is any occurrence at all within 50 years of a
// wall-clock time.
func (t *Timing) Occurs(from time.Time) bool {
	_, ok := t.Next(from)
	return ok
}

// Zone returns the schedule's zone.
func (t *Timing) Zone() *time.Location { return t.zone }

// Same reports whether two timings yield the same occurrences because they say
// the same.
func (t *Timing) Same(o *Timing) bool {
	return t.zone.String() == o.zone.String() && t.rule == o.rule && slices.Equal(t.at, o.at) && t.calendar == o.calendar && t.onHoliday == o.onHoliday
}

// maxDates bounds the dates of a rule that are looked at for one occurrence, so
// that a rule whose every date is a holiday is found out.
const maxDates = 2_000

// date returns the first date on or after d on which the schedule runs, and the
// date of the rule that it stands for. Two dates of the rule that fall together
// on one business day are one; a date that was not moved goes before one that
// was.
func (t *Timing) date(d time.Time) (runs, rules time.Time, ok bool) {
	from := d
	if t.onHoliday == Next {
		// Dates since the last business day before d end up on d or later.
		b, ok := t.calendar.onOrBefore(d.Add(-Day))
		if !ok {
			return runs, rules, false
		}
		from = b.Add(Day)
	}
	for range maxDates {
		if rules, ok = t.rule.Next(from); !ok {
			return runs, rules, false
		}
		from = rules.Add(Day)
		switch t.onHoliday {
		case Run:
			return rules, rules, true
		case Skip:
			if business, _ := t.calendar.Day(rules); business {
				return rules, rules, true
			}
		case Next:
			if runs, ok = t.calendar.onOrAfter(rules); ok && !runs.Before(d) {
				if t.rule.Has(runs) {
					rules = runs
				}
				return runs, rules, true
			}
		case Previous:
			if runs, ok = t.calendar.onOrBefore(rules); ok && !runs.Before(d) {
				return runs, rules, true
			}
		}
	}
	return runs, rules, false
}

// latest returns the latest date of the rule that runs on a date, given one of
// them.
func (t *Timing) latest(runs, rules time.Time) time.Time {
	if t.onHoliday != Next && t.onHoliday != Previous {
		return rules
	}
	end := runs // of those that are moved forward none lies behind
	if t.onHoliday == Previous {
		if b, ok := t.calendar.onOrAfter(runs.Add(Day)); ok {
			end = b.Add(-Day)
		}
	}
	for d, ok := t.rule.Next(rules.Add(Day)); ok && !d.After(end); d, ok = t.rule.Next(d.Add(Day)) {
		rules = d
	}
	return rules
}

// Next returns the first occurrence whose nominal time lies after a wall-clock
// time; false if there is none within 50 years. Its cost does not depend on how
// long ago the schedule began.
func (t *Timing) Next(after time.Time) (Occurrence, bool) {
	day := DateOf(after)
	runs, rules, ok := t.date(day)
	if ok && runs.Equal(day) {
		if i, found := slices.BinarySearch(t.at, after.Sub(day)); found && i+1 < len(t.at) {
			return t.occurrence(runs, rules, t.at[i+1]), true
		} else if !found && i < len(t.at) {
			return t.occurrence(runs, rules, t.at[i]), true
		}
		runs, rules, ok = t.date(day.Add(Day))
	}
	if !ok {
		return Occurrence{}, false
	}
	return t.occurrence(runs, rules, t.at[0]), true
}

// Has reports whether the schedule has an occurrence with this nominal time.
func (t *Timing) Has(nominal time.Time) bool {
	o, ok := t.Next(nominal.Add(-time.Nanosecond))
	return ok && o.Nominal.Equal(nominal)
}

func (t *Timing) occurrence(runs, rules time.Time, at time.Duration) Occurrence {
	o := Occurrence{Nominal: runs.Add(at), Rule: t.latest(runs, rules).Add(at)}
	var exists bool
	o.Start, exists = Instant(o.Nominal, t.zone)
	o.Due = t.DueAfter(o.Start)
	var remarks []string
	if !runs.Equal(rules) {
		_, why := t.calendar.Day(rules)
		remarks = append(remarks, fmt.Sprintf("moved from %s: %s", rules.Format(time.DateOnly), why))
	}
	if !exists {
		remarks = append(remarks, fmt.Sprintf("clocks skip %s", o.Nominal.Format("15:04")))
	}
	o.Remark = strings.Join(remarks, "; ")
	return o
}

// All yields every date and time of the rule from a wall-clock date on, those
// that do not run as well, in the order of the rule.
func (t *Timing) All(from time.Time) iter.Seq[Occurrence] {
	return func(yield func(Occurrence) bool) {
		for d, ok := t.rule.Next(from); ok; d, ok = t.rule.Next(d.Add(Day)) {
			runs, skip := d, ""
			if t.calendar != nil {
				if business, why := t.calendar.Day(d); !business {
					switch t.onHoliday {
					case Skip:
						skip = "skipped: " + why
					case Next:
						runs, ok = t.calendar.onOrAfter(d)
					case Previous:
						runs, ok = t.calendar.onOrBefore(d)
					}
					if ok && skip == "" && !runs.Equal(d) {
						// Of several dates that fall together the one that Next takes runs.
						if _, rules, _ := t.date(runs); !rules.Equal(d) {
							skip = fmt.Sprintf("skipped: %s, falls together with %s", why, runs.Format(time.DateOnly))
						}
					}
				}
			}
			if !ok {
				return
			}
			for _, at := range t.at {
				o := t.occurrence(runs, d, at)
				if skip != "" {
					o.Skipped, o.Remark = true, skip
				}
				if !yield(o) {
					return
				}
			}
		}
	}
}

// DueAfter returns the deadline of a run that starts at t; zero if there is none.
func (t *Timing) DueAfter(start time.Time) time.Time {
	if t.dueAt < 0 {
		return time.Time{}
	}
	return FirstAfter(start, t.dueAt, t.zone)
}
