package calendar

import (
	"time"
	_ "time/tzdata" // controllers run on machines without zone files
)

// Day is the length of a civil day. Dates are midnights in UTC, so a day is
// always this long; what a zone's clocks do is the business of Instant.
const Day = 24 * time.Hour

// Date returns a civil date.
func Date(year int, month time.Month, day int) time.Time {
	return time.Date(year, month, day, 0, 0, 0, 0, time.UTC)
}

// DateOf returns the civil date that t shows in its own location.
func DateOf(t time.Time) time.Time { return Date(t.Date()) }

// Wall returns what clocks in the zone show at an instant, as a time in UTC.
func Wall(t time.Time, zone *time.Location) time.Time {
	_, offset := t.In(zone).Zone()
	return t.UTC().Add(time.Duration(offset) * time.Second)
}

// passings returns the first and the last instant at which clocks in the zone
// show the wall time; they differ in the hour that autumn repeats. In the gap of
// spring there is none: ok is false, and first is the first instant after it.
//
// time.Date does not say which of two instants it returns, and what it makes of
// a gap is an hour that nobody asked for. So both offsets around are tried.
func passings(wall time.Time, zone *time.Location) (first, last time.Time, ok bool) {
	_, before := wall.Add(-Day).In(zone).Zone()
	_, after := wall.Add(Day).In(zone).Zone()
	early := wall.Add(-time.Duration(max(before, after)) * time.Second)
	late := wall.Add(-time.Duration(min(before, after)) * time.Second)
	onEarly, onLate := Wall(early, zone).Equal(wall), Wall(late, zone).Equal(wall)
	switch {
	case onEarly && onLate:
		return early, late, true
	case onEarly:
		return early, early, true
	case onLate:
		return late, late, true
	}
	start, _ := late.In(zone).ZoneBounds()
	return start.UTC(), start.UTC(), false
}

// Instant returns when clocks in the zone first show the wall time (a time in
// UTC). In the gap of spring, when they never do, it is the first instant after
// the gap, and exists is false.
func Instant(wall time.Time, zone *time.Location) (at time.Time, exists bool) {
	at, _, exists = passings(wall, zone)
	return at, exists
}

// FirstAfter returns the first instant after t at which clocks in the zone show
// the time of day. Where that falls into a gap it is the first instant after it.
func FirstAfter(t time.Time, clock time.Duration, zone *time.Location) time.Time {
	for date := DateOf(Wall(t, zone)).Add(-Day); ; date = date.Add(Day) {
		first, last, _ := passings(date.Add(clock), zone)
		if first.After(t) {
			return first
		}
		if last.After(t) { // the second passing of a repeated hour
			return last
		}
	}
}
