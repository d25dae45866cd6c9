package schedule

import (
	"fmt"
	"time"

	"yewpass/internal/calendar"
)

// Verdict is the decision on the next occurrence of a schedule.
type Verdict int

// The verdicts.
const (
	Never Verdict = iota // there are no further occurrences
	Later                // the occurrence is not due yet
	Make                 // the occurrence becomes a job
	Miss                 // the occurrence does not run
	Hold                 // the occurrence waits for the previous job to end
)

var verdictNames = [...]string{"never", "later", "make", "miss", "hold"}

// String returns the name of the verdict, for diagnostics.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return fmt.Sprintf("Verdict(%d)", int(v))
	}
	return verdictNames[v]
}

// Cursor marks the position up to which the occurrences of a schedule have been
// decided. Both fields are wall-clock times, see calendar.Occurrence.
type Cursor struct {
	// Nominal is the nominal time of the last decided occurrence.
	Nominal time.Time
	// Rule is the latest time of the recurrence rule that has been decided, before
	// any move because of a holiday. An occurrence that ran ahead of a holiday must
	// not run again if the holiday is removed or the schedule is edited to run on
	// holidays.
	Rule time.Time
}

// Past returns the cursor after the occurrence has been decided.
func (c Cursor) Past(occurrence calendar.Occurrence) Cursor {
	c.Nominal = occurrence.Nominal
	if occurrence.Rule.After(c.Rule) {
		c.Rule = occurrence.Rule
	}
	return c
}

// Next returns the first undecided occurrence; false if there is none.
func (d *Def) Next(cursor Cursor) (calendar.Occurrence, bool) {
	occurrence, ok := d.Timing.Next(cursor.Nominal)
	for ok && !occurrence.Rule.After(cursor.Rule) {
		occurrence, ok = d.Timing.Next(occurrence.Nominal)
	}
	return occurrence, ok
}

// nextDue returns the first undecided occurrence that starts at or before now;
// false if there is none.
func (d *Def) nextDue(cursor Cursor, now time.Time) (calendar.Occurrence, bool) {
	occurrence, ok := d.Next(cursor)
	return occurrence, ok && !occurrence.Start.After(now)
}

// Before describes the job of the previous occurrence.
type Before struct {
	Live  bool      // the job has not ended
	Ended time.Time // when the job ended; zero: unknown, or there was no job
}

// Decide decides on the first occurrence after the cursor. The reason is set if
// the verdict is Miss.
func (d *Def) Decide(cursor Cursor, now time.Time, before Before) (occurrence calendar.Occurrence, verdict Verdict, reason string) {
	occurrence, ok := d.Next(cursor)
	switch {
	case !ok:
		return occurrence, Never, ""
	case occurrence.Start.After(now):
		return occurrence, Later, ""
	}
	if before.Live {
		switch d.Overlap {
		case SkipOverlap:
			return occurrence, Miss, "the one before was not over"
		case WaitOverlap:
			return occurrence, Hold, ""
		}
	}
	late := now.Sub(d.ready(occurrence, before))
	verdict, reason = d.decideLate(cursor.Past(occurrence), now, late)
	return occurrence, verdict, reason
}

// ready returns the time from which the delay of an occurrence counts: its start
// or, if it had to wait for the previous job, the end of that job.
func (d *Def) ready(occurrence calendar.Occurrence, before Before) time.Time {
	waited := d.Overlap == WaitOverlap && !before.Live && before.Ended.After(occurrence.Start)
	if waited {
		return before.Ended
	}
	return occurrence.Start
}

// decideLate decides on a due occurrence by its delay. The cursor is the position
// after the occurrence.
func (d *Def) decideLate(after Cursor, now time.Time, late time.Duration) (verdict Verdict, reason string) {
	switch {
	case late <= OnTime:
		return Make, ""
	case d.CatchUp == None:
		return Miss, "could not be made in time"
	case late > d.Within:
		return Miss, "could not be made within catch_up_within_s"
	case d.CatchUp == Latest:
		if _, due := d.nextDue(after, now); due {
			return Miss, "a later one was due as well"
		}
	}
	return Make, ""
}
