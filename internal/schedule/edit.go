package schedule

import (
	"time"

	"yewpass/internal/calendar"
)

// maxPassedOver limits how many due occurrences Edited and Resumed pass over one
// by one. Occurrences beyond it are passed over without an entry in the history.
const maxPassedOver = 256

// The reasons that users see for occurrences that are passed over.
const (
	reasonEdited = "the schedule was edited"
	reasonPaused = "the schedule was paused"
)

// From returns the cursor of a schedule that begins now: occurrences that start
// at or before now do not run.
func (d *Def) From(now time.Time) Cursor {
	nominal := calendar.Wall(now, d.Timing.Zone())
	// During the second pass of the hour that is repeated when clocks are set back,
	// the wall-clock time lies before occurrences of the first pass. Skip these:
	// they have started already.
	for {
		occurrence, ok := d.Timing.Next(nominal)
		if !ok || occurrence.Start.After(now) {
			return Cursor{Nominal: nominal}
		}
		nominal = occurrence.Nominal
	}
}

// Edited returns the cursor of a schedule whose definition changes from old to d,
// so that no occurrence runs twice. Due occurrences that did not become jobs yet
// still run if the new definition has them too; the others are returned as missed.
func (d *Def) Edited(old *Def, cursor Cursor, now time.Time) (next Cursor, missed []Passed) {
	if old == nil || d.Timing.Same(old.Timing) {
		return cursor, nil
	}
	position := cursor
	for len(missed) < maxPassedOver {
		occurrence, due := old.nextDue(position, now)
		if !due {
			break
		}
		if d.keeps(old, occurrence) {
			return Cursor{Nominal: justBefore(occurrence, position), Rule: cursor.Rule}, missed
		}
		missed = append(missed, Passed{occurrence, StateMissed, reasonEdited})
		position = position.Past(occurrence)
	}
	next = Cursor{Nominal: d.From(now).Nominal, Rule: cursor.Rule}
	if cursor.Nominal.After(next.Nominal) {
		// The zone has moved west, so its wall-clock time lies before occurrences that
		// have been decided.
		next = cursor
	}
	return next, missed
}

// keeps reports whether d has an occurrence of the definition old too.
func (d *Def) keeps(old *Def, occurrence calendar.Occurrence) bool {
	sameZone := d.Timing.Zone().String() == old.Timing.Zone().String()
	return sameZone && d.Timing.Has(occurrence.Nominal)
}

// justBefore returns a nominal time shortly before the occurrence, but not before
// the position. Continuing from the position itself would run occurrences between
// the two that only the new definition has, and these must not run late.
func justBefore(occurrence calendar.Occurrence, position Cursor) time.Time {
	before := occurrence.Nominal.Add(-time.Second)
	if before.After(position.Nominal) {
		return before
	}
	return position.Nominal
}

// Resumed returns the cursor of a schedule that has been paused until now, after
// every due occurrence, and the occurrences that it passed over.
func (d *Def) Resumed(cursor Cursor, now time.Time) (next Cursor, missed []Passed) {
	for len(missed) < maxPassedOver {
		occurrence, due := d.nextDue(cursor, now)
		if !due {
			return cursor, missed
		}
		missed = append(missed, Passed{occurrence, StateMissed, reasonPaused})
		cursor = cursor.Past(occurrence)
	}
	return Cursor{Nominal: d.From(now).Nominal, Rule: cursor.Rule}, missed
}
