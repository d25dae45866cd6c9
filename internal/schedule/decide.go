package schedule

import (
	"fmt"
	"time"

	"yewpass/internal/calendar"
)

// Decision is what to do about the next occurrence of a schedule.
type Decision int

// The results of Decide.
const (
	NoOccurrence Decision = iota // the schedule has no further occurrences
	NotDue
	CreateJob
	MissOccurrence // do not run the occurrence; record it as missed
	AwaitPrevious  // decide again after the previous job has ended
)

var decisionNames = [...]string{"never", "later", "make", "miss", "hold"}

// String returns the name of the decision for diagnostics.
func (d Decision) String() string {
	if d < 0 || int(d) >= len(decisionNames) {
		return fmt.Sprintf("Decision(%d)", int(d))
	}
	return decisionNames[d]
}

// Cursor is the position up to which a schedule's occurrences have been decided. Both
// fields are wall-clock times, see calendar.Occurrence.
type Cursor struct {
	// Nominal is the nominal time of the last decided occurrence.
	Nominal time.Time
	// Rule is the latest decided time of the recurrence rule, before any move because of a
	// holiday. It prevents an occurrence that ran ahead of a holiday from running again if
	// the calendar or the schedule changes.
	Rule time.Time
}

// AdvanceTo returns the cursor after occurrence has been decided.
func (c Cursor) AdvanceTo(occurrence calendar.Occurrence) Cursor {
	c.Nominal = occurrence.Nominal
	if occurrence.Rule.After(c.Rule) {
		c.Rule = occurrence.Rule
	}
	return c
}

// Next returns the first undecided occurrence, or false if there is none.
func (d *Definition) Next(cursor Cursor) (calendar.Occurrence, bool) {
	occurrence, ok := d.Timing.Next(cursor.Nominal)
	for ok && !occurrence.Rule.After(cursor.Rule) {
		occurrence, ok = d.Timing.Next(occurrence.Nominal)
	}
	return occurrence, ok
}

// nextDue returns the first undecided occurrence and whether it is due.
func (d *Definition) nextDue(cursor Cursor, now time.Time) (calendar.Occurrence, bool) {
	occurrence, ok := d.Next(cursor)
	return occurrence, ok && !occurrence.Start.After(now)
}

// PreviousJob is the state of the job of the previous occurrence.
type PreviousJob struct {
	Active bool      // the job exists and has not ended
	Ended  time.Time // zero if unknown or if there was no job
}

// Decide returns the first occurrence after the cursor and what to do about it at
// the time now. The reason is set if the decision is MissOccurrence.
func (d *Definition) Decide(cursor Cursor, now time.Time, previous PreviousJob) (occurrence calendar.Occurrence, decision Decision, reason string) {
	occurrence, ok := d.Next(cursor)
	switch {
	case !ok:
		return occurrence, NoOccurrence, ""
	case occurrence.Start.After(now):
		return occurrence, NotDue, ""
	}
	if previous.Active {
		switch d.Overlap {
		case OverlapSkip:
			return occurrence, MissOccurrence, "the one before was not over"
		case OverlapWait:
			return occurrence, AwaitPrevious, ""
		}
	}
	late := now.Sub(d.eligibleAt(occurrence, previous))
	decision, reason = d.decideByDelay(cursor.AdvanceTo(occurrence), now, late)
	return occurrence, decision, reason
}

// eligibleAt returns the time from which the delay of an occurrence is measured: its start
// or, if it waited for the previous job, the end of that job.
func (d *Definition) eligibleAt(occurrence calendar.Occurrence, previous PreviousJob) time.Time {
	waited := d.Overlap == OverlapWait && !previous.Active && previous.Ended.After(occurrence.Start)
	if waited {
		return previous.Ended
	}
	return occurrence.Start
}

// decideByDelay applies the catch-up policy to a due occurrence. The cursor after is the
// position that follows the occurrence.
func (d *Definition) decideByDelay(after Cursor, now time.Time, late time.Duration) (decision Decision, reason string) {
	switch {
	case late <= OnTimeTolerance:
		return CreateJob, ""
	case d.CatchUp == CatchUpNone:
		return MissOccurrence, "could not be made in time"
	case late > d.CatchUpWindow:
		return MissOccurrence, "could not be made within catch_up_within_s"
	case d.CatchUp == CatchUpLatest:
		if _, due := d.nextDue(after, now); due {
			return MissOccurrence, "a later one was due as well"
		}
	}
	return CreateJob, ""
}
