package calendar

import (
	"time"
	_ "time/tzdata" // for machines without time zone files
)

// Day is the difference between consecutive civil dates, which are in UTC.
const Day = 24 * time.Hour

// Date returns a civil date. Out-of-range values are normalized as in time.Date.
func Date(year int, month time.Month, day int) time.Time {
	return time.Date(year, month, day, 0, 0, 0, 0, time.UTC)
}

// DateOf returns the civil date of t in its own location.
func DateOf(t time.Time) time.Time { return Date(t.Date()) }

// WallClock returns the wall-clock time in the zone at an instant, as a time in UTC.
func WallClock(instant time.Time, zone *time.Location) time.Time {
	return instant.UTC().Add(offsetAt(instant, zone))
}

// offsetAt returns the zone's offset from UTC at an instant.
func offsetAt(instant time.Time, zone *time.Location) time.Duration {
	_, seconds := instant.In(zone).Zone()
	return time.Duration(seconds) * time.Second
}

// instantsOf returns the first and the last instant of a wall-clock time in the zone. They
// differ if clocks are set back and the time is repeated. If clocks are set forward and skip
// the time, exists is false, and both results are the first instant after the gap.
//
// It does not use time.Date, whose result for repeated and skipped times is unspecified.
func instantsOf(wall time.Time, zone *time.Location) (first, last time.Time, exists bool) {
	before := offsetAt(wall.Add(-Day), zone)
	after := offsetAt(wall.Add(Day), zone)
	early := wall.Add(-max(before, after))
	late := wall.Add(-min(before, after))
	earlyMatches := WallClock(early, zone).Equal(wall)
	lateMatches := WallClock(late, zone).Equal(wall)
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

// Instant returns the first instant of a wall-clock time in the zone. If clocks skip the
// time, exists is false, and the result is the first instant after the gap.
func Instant(wall time.Time, zone *time.Location) (instant time.Time, exists bool) {
	instant, _, exists = instantsOf(wall, zone)
	return instant, exists
}

// FirstAfter returns the first instant after t that has the given time of day in the zone.
// If clocks skip the time, the first instant after the gap counts as that time.
func FirstAfter(t time.Time, timeOfDay time.Duration, zone *time.Location) time.Time {
	for date := DateOf(WallClock(t, zone)).Add(-Day); ; date = date.Add(Day) {
		first, last, _ := instantsOf(date.Add(timeOfDay), zone)
		if first.After(t) {
			return first
		}
		if last.After(t) { // the time is repeated, and t is after the first one
			return last
		}
	}
}
