package schedule

import (
	"time"

	"yewpass/internal/calendar"
)

// Verdict is what is to become of the next occurrence.
type Verdict int

// The verdicts.
const (
	Never Verdict = iota // there is none any more
	Later                // it is not due yet
	Make                 // it becomes a job
	Miss                 // it does not run
	Hold                 // it waits for the job before
)

// Cursor is up to where a schedule's occurrences have been decided.
type Cursor struct {
	Nominal time.Time // of the last that was
	// Rule is the latest wall-clock time of the rule that has been, unmoved. A date
	// that ran ahead of a holiday does not run again when the holiday is taken
	// away, or when an edit lets it run on holidays.
	Rule time.Time
}

// Past returns the cursor when an occurrence has been decided.
func (c Cursor) Past(o calendar.Occurrence) Cursor {
	c.Nominal = o.Nominal
	if o.Rule.After(c.Rule) {
		c.Rule = o.Rule
	}
	return c
}

// Next returns the first occurrence that has not been decided; false if there is
// none.
func (d *Def) Next(c Cursor) (calendar.Occurrence, bool) {
	o, ok := d.Timing.Next(c.Nominal)
	for ok && !o.Rule.After(c.Rule) {
		o, ok = d.Timing.Next(o.Nominal)
	}
	return o, ok
}

// Before is what is known of the occurrence before.
type Before struct {
	Live  bool      // its job is not over
	Ended time.Time // when it was over; zero: unknown, or there was none
}

// Decide says what is to become of the first occurrence after the cursor, and why
// if it is missed. now is the time of day.
func (d *Def) Decide(cursor Cursor, now time.Time, before Before) (o calendar.Occurrence, v Verdict, reason string) {
	o, ok := d.Next(cursor)
	switch {
	case !ok:
		return o, Never, ""
	case o.Start.After(now):
		return o, Later, ""
	}
	since := o.Start
	if before.Live {
		switch d.Overlap {
		case SkipOverlap:
			return o, Miss, "the one before was not over"
		case WaitOverlap:
			return o, Hold, ""
		}
	} else if d.Overlap == WaitOverlap && before.Ended.After(since) {
		since = before.Ended // what waited on purpose is not late
	}
	late := now.Sub(since)
	if late <= OnTime {
		return o, Make, ""
	}
	switch {
	case d.CatchUp == None:
		return o, Miss, "could not be made in time"
	case late > d.Within:
		return o, Miss, "could not be made within catch_up_within_s"
	case d.CatchUp == Latest:
		if next, ok := d.Next(cursor.Past(o)); ok && !next.Start.After(now) {
			return o, Miss, "a later one was due as well"
		}
	}
	return o, Make, ""
}

// From returns the cursor of a schedule that begins now: no occurrence that
// starts at or before now is owed.
func (d *Def) From(now time.Time) Cursor {
	cursor := calendar.Wall(now, d.Timing.Zone())
	// Of the hour that autumn repeats only the first passing counts: on the second
	// the clock shows times whose occurrence has been.
	for o, ok := d.Timing.Next(cursor); ok && !o.Start.After(now); o, ok = d.Timing.Next(cursor) {
		cursor = o.Nominal
	}
	return Cursor{Nominal: cursor}
}

// Edited returns the cursor of a schedule that had the definition old. What was
// made is not made again. What was due and not made yet is still made if the new
// definition has it too; otherwise it is missed, and missed names it.
func (d *Def) Edited(old *Def, cursor Cursor, now time.Time) (next Cursor, missed []Passed) {
	if old == nil || d.Timing.Same(old.Timing) {
		return cursor, nil
	}
	for c := cursor; len(missed) < maxOwed; {
		o, ok := old.Next(c)
		if !ok || o.Start.After(now) {
			break
		}
		if d.Timing.Zone().String() == old.Timing.Zone().String() && d.Timing.Has(o.Nominal) {
			// Not from the cursor: between it and this one the new definition may
			// have what the old one never had, and that is not owed.
			if before := o.Nominal.Add(-time.Second); before.After(c.Nominal) {
				c.Nominal = before
			}
			return Cursor{c.Nominal, cursor.Rule}, missed
		}
		missed = append(missed, Passed{o, StateMissed, "the schedule was edited"})
		c = c.Past(o)
	}
	next = Cursor{d.From(now).Nominal, cursor.Rule}
	if cursor.Nominal.After(next.Nominal) {
		next = cursor // a zone further west: its clocks have yet to show what was made
	}
	return next, missed
}

// maxOwed bounds what an edit or a pause looks through of what was owed.
const maxOwed = 256

// Resumed returns the cursor of a schedule that was paused until now, after
// everything that is due, and the latest of what it passes over.
func (d *Def) Resumed(cursor Cursor, now time.Time) (next Cursor, missed []Passed) {
	for len(missed) < maxOwed {
		o, ok := d.Next(cursor)
		if !ok || o.Start.After(now) {
			return cursor, missed
		}
		missed = append(missed, Passed{o, StateMissed, "the schedule was paused"})
		cursor = cursor.Past(o)
	}
	return Cursor{d.From(now).Nominal, cursor.Rule}, missed
}
