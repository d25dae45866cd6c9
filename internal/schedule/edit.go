package schedule

import (
	"time"

	"yewpass/internal/calendar"
)

// maxMissedRecorded limits the missed occurrences that CursorAfterEdit and CursorAfterPause
// return. Further ones are skipped without an entry in the history.
const maxMissedRecorded = 256

// Reasons in the history for due occurrences that do not run.
const (
	reasonEdited = "the schedule was edited"
	reasonPaused = "the schedule was paused"
)

// CursorAt returns the initial cursor of a schedule that is created now: occurrences
// that start at or before now do not run.
func (d *Definition) CursorAt(now time.Time) Cursor {
	nominal := calendar.WallClock(now, d.Timing.Zone())
	// In the second pass of an hour that is repeated because clocks are set back, the
	// wall-clock time is before occurrences that started in the first pass.
	for {
		occurrence, ok := d.Timing.Next(nominal)
		if !ok || occurrence.Start.After(now) {
			return Cursor{Nominal: nominal}
		}
		nominal = occurrence.Nominal
	}
}

// CursorAfterEdit returns the cursor of a schedule whose definition changes from old
// to d, so that no occurrence runs twice. Due occurrences of old for which no job
// exists yet still run if d has them too; the others are returned as missed.
func (d *Definition) CursorAfterEdit(old *Definition, cursor Cursor, now time.Time) (next Cursor, missed []MissedOccurrence) {
	if old == nil || d.Timing.SameOccurrences(old.Timing) {
		return cursor, nil
	}
	position := cursor
	for len(missed) < maxMissedRecorded {
		occurrence, due := old.nextDue(position, now)
		if !due {
			break
		}
		if d.retains(old, occurrence) {
			return Cursor{Nominal: justBefore(occurrence, position), Rule: cursor.Rule}, missed
		}
		missed = append(missed, MissedOccurrence{occurrence, StateMissed, reasonEdited})
		position = position.AdvanceTo(occurrence)
	}
	next = Cursor{Nominal: d.CursorAt(now).Nominal, Rule: cursor.Rule}
	if cursor.Nominal.After(next.Nominal) {
		// The new zone is west of the old one, so its wall-clock time is before decided
		// occurrences.
		next = cursor
	}
	return next, missed
}

// retains reports whether d still has an occurrence of the definition old.
func (d *Definition) retains(old *Definition, occurrence calendar.Occurrence) bool {
	sameZone := d.Timing.Zone().String() == old.Timing.Zone().String()
	return sameZone && d.Timing.HasOccurrence(occurrence.Nominal)
}

// justBefore returns a nominal time shortly before the occurrence, but not before the
// position. Continuing from the position itself would also run earlier occurrences that only
// the new definition has.
func justBefore(occurrence calendar.Occurrence, position Cursor) time.Time {
	before := occurrence.Nominal.Add(-time.Second)
	if before.After(position.Nominal) {
		return before
	}
	return position.Nominal
}

// CursorAfterPause returns the cursor of a schedule that is resumed now. It is after every
// due occurrence; these are returned as missed.
func (d *Definition) CursorAfterPause(cursor Cursor, now time.Time) (next Cursor, missed []MissedOccurrence) {
	for len(missed) < maxMissedRecorded {
		occurrence, due := d.nextDue(cursor, now)
		if !due {
			return cursor, missed
		}
		missed = append(missed, MissedOccurrence{occurrence, StateMissed, reasonPaused})
		cursor = cursor.AdvanceTo(occurrence)
	}
	return Cursor{Nominal: d.CursorAt(now).Nominal, Rule: cursor.Rule}, missed
}
