package calendar

import (
	"time"
	_ "time/tzdata" // controllers run on machines without zone files
)

// Day is the length of a civil date. Dates are midnights in UTC, so it is always
// 24 hours; Instant and FirstAfter account for the changes of a zone's clocks.
const Day = 24 * time.Hour

// Date returns a civil date.
func Date(year int, month time.Month, day int) time.Time {
	return time.Date(year, month, day, 0, 0, 0, 0, time.UTC)
}

// DateOf returns the civil date of t in its own location.
func DateOf(t time.Time) time.Time { return Date(t.Date()) }

// Wall returns the wall-clock time in the zone at an instant.
func Wall(instant time.Time, zone *time.Location) time.Time {
	return instant.UTC().Add(offsetAt(instant, zone))
}

// offsetAt returns the zone's offset from UTC at an instant.
func offsetAt(instant time.Time, zone *time.Location) time.Duration {
	_, seconds := instant.In(zone).Zone()
	return time.Duration(seconds) * time.Second
}

// instantsOf returns the first and the last instant at which clocks in the zone
// show the wall-clock time. They differ only in an hour that is repeated because
// clocks are set back. A time that is skipped because clocks are set forward has
// no instant: exists is false, and both results are the first instant after the
// gap.
//
// time.Date does not specify which of two instants it returns, nor what it makes
// of a skipped time. Therefore the offsets before and after the change are tried.
func instantsOf(wall time.Time, zone *time.Location) (first, last time.Time, exists bool) {
	before := offsetAt(wall.Add(-Day), zone)
	after := offsetAt(wall.Add(Day), zone)
	early := wall.Add(-max(before, after))
	late := wall.Add(-min(before, after))
	earlyMatches := Wall(early, zone).Equal(wall)
	lateMatches := Wall(late, zone).Equal(wall)
	switch {
	case earlyMatches && lateMatches:
		return early, late, true
	case earlyMatches:
		return early, early, true
	case lateMatches:
		return late, late, true
	}
	gapEnd, _ := late.In(zone).ZoneBounds()
	return gapEnd.UTC(), gapEnd.UTC(), false
}

// Instant returns the first instant at which clocks in the zone show a wall-clock
// time. If clocks skip that time, exists is false, and the result is the first
// instant after the gap.
func Instant(wall time.Time, zone *time.Location) (instant time.Time, exists bool) {
	instant, _, exists = instantsOf(wall, zone)
	return instant, exists
}

// FirstAfter returns the first instant after t at which clocks in the zone show a
// time of day. If clocks skip that time, it is the first instant after the gap.
func FirstAfter(t time.Time, timeOfDay time.Duration, zone *time.Location) time.Time {
	for date := DateOf(Wall(t, zone)).Add(-Day); ; date = date.Add(Day) {
		first, last, _ := instantsOf(date.Add(timeOfDay), zone)
		if first.After(t) {
			return first
		}
		if last.After(t) { // the time is repeated, and only its first pass is over
			return last
		}
	}
}
