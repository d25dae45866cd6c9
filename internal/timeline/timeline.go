// Package timeline keeps the bookings of one machine and answers when a task
// fits on it: latest feasible start (the paper's GetTimeToStart, generalised to
// several resources) and earliest fit. It is pure: no clock, no I/O.
package timeline

import (
	"math"
	"slices"
	"time"
)

// Resources is an amount of CPUs, GPUs and memory in thousandths, so that sums
// of decimal amounts such as 1.1 GB stay exact.
type Resources struct {
	CPU, GPU, Mem int64
}

// maxAmount bounds an amount, in thousandths: above anything that input checks let through,
// and far below where sums over all tasks of a job would overflow.
const maxAmount = 1 << 40

// roundingTolerance is how far from a whole number of thousandths, relative to the amount,
// a decimal amount may be through its binary form alone.
const roundingTolerance = 1e-6

// ToMilli returns a decimal amount in thousandths, rounded up for what a task takes and
// down for what a machine has, so that rounding never overbooks. NaN counts as more than any
// machine has when rounded up, and as nothing when rounded down.
func ToMilli(amount float64, roundUp bool) int64 {
	scaled := amount * 1000
	switch {
	case math.IsNaN(scaled) && roundUp, scaled > maxAmount:
		return maxAmount
	case math.IsNaN(scaled), scaled < -maxAmount:
		return 0
	}
	rounded := math.Round(scaled)
	if math.Abs(scaled-rounded) < roundingTolerance*math.Max(1, math.Abs(scaled)) {
		return int64(rounded)
	}
	if roundUp {
		return int64(math.Ceil(scaled))
	}
	return int64(math.Floor(scaled))
}

// Seconds returns a decimal number of seconds as a duration, Forever at most: the conversion
// of what a duration cannot hold is undefined. NaN counts as 0.
func Seconds(seconds float64) time.Duration {
	switch limit := Forever.Seconds(); {
	case math.IsNaN(seconds):
		return 0
	case seconds > limit:
		return Forever
	case seconds < -limit:
		return -Forever
	}
	return time.Duration(seconds * float64(time.Second))
}

// Need returns what a task takes.
func Need(cpus, gpus, memGB float64) Resources {
	return Resources{ToMilli(cpus, true), ToMilli(gpus, true), ToMilli(memGB, true)}
}

// Capacity returns what a machine has.
func Capacity(cpus, gpus, memGB float64) Resources {
	return Resources{ToMilli(cpus, false), ToMilli(gpus, false), ToMilli(memGB, false)}
}

// Add returns r plus n times o.
func (r Resources) Add(o Resources, n int) Resources {
	return Resources{r.CPU + int64(n)*o.CPU, r.GPU + int64(n)*o.GPU, r.Mem + int64(n)*o.Mem}
}

// Fits reports whether r fits into room.
func (r Resources) Fits(room Resources) bool {
	return r.CPU <= room.CPU && r.GPU <= room.GPU && r.Mem <= room.Mem
}

// CopiesWithin returns how often r fits into room, at most limit.
func (r Resources) CopiesWithin(room Resources, limit int) int {
	n := int64(limit)
	n = limitCopies(n, r.CPU, room.CPU)
	n = limitCopies(n, r.GPU, room.GPU)
	n = limitCopies(n, r.Mem, room.Mem)
	return int(max(n, 0))
}

// limitCopies returns n, or how often need fits into room if that is less.
func limitCopies(n, need, room int64) int64 {
	if need <= 0 {
		return n
	}
	return min(n, room/need)
}

// Forever ends the booking of a service, which runs until it is cancelled.
const Forever = 20 * 365 * 24 * time.Hour

// Booking reserves room for Count equal tasks from Start to End.
type Booking struct {
	Start, End time.Time
	Need       Resources
	Count      int
}

// usagePoint is a time at which what is booked changes.
type usagePoint struct {
	at   time.Time
	used Resources // from then on, until the next point
}

// Timeline is the bookings of one machine. The zero value has no room.
type Timeline struct {
	capacity Resources
	bookings []*Booking
	profile  []usagePoint // in order of time; valid unless stale
	dirty    bool
}

// New returns an empty timeline of a machine of the given capacity.
func New(capacity Resources) *Timeline { return &Timeline{capacity: capacity} }

// Capacity returns what the machine has.
func (t *Timeline) Capacity() Resources { return t.capacity }

// Add books b. The caller may change b later, followed by Touch.
func (t *Timeline) Add(b *Booking) {
	t.bookings = append(t.bookings, b)
	t.dirty = true
}

// Remove takes b off the timeline.
func (t *Timeline) Remove(b *Booking) {
	if i := slices.Index(t.bookings, b); i >= 0 {
		t.bookings[i] = t.bookings[len(t.bookings)-1]
		t.bookings = t.bookings[:len(t.bookings)-1]
		t.dirty = true
	}
}

// Invalidate tells the timeline that a booking on it has changed.
func (t *Timeline) Invalidate() { t.dirty = true }

// points returns the profile of what is booked, rebuilt if a booking has changed.
func (t *Timeline) points() []usagePoint {
	if !t.dirty {
		return t.profile
	}
	t.dirty = false
	changes := t.profile[:0]
	for _, b := range t.bookings {
		if b.Count <= 0 || !b.Start.Before(b.End) {
			continue
		}
		changes = append(changes,
			usagePoint{b.Start, Resources{}.Add(b.Need, b.Count)},
			usagePoint{b.End, Resources{}.Add(b.Need, -b.Count)})
	}
	slices.SortFunc(changes, func(a, b usagePoint) int { return a.at.Compare(b.at) })
	profile := changes[:0] // never ahead of what is read
	var used Resources
	for _, change := range changes {
		used = used.Add(change.used, 1)
		if n := len(profile); n > 0 && profile[n-1].at.Equal(change.at) {
			profile[n-1].used = used
		} else {
			profile = append(profile, usagePoint{change.at, used})
		}
	}
	t.profile = profile
	return profile
}

// free returns what is left of the machine beside what is used.
func (t *Timeline) free(used Resources) Resources { return t.capacity.Add(used, -1) }

// LatestStart returns the latest start, not before from, at which need fits for
// length and is over by deadline. It scans from the back like the paper: the
// deadline minus the run time when that falls after the last booking in the
// way, otherwise the latest gap that fits, ending at the deadline or at the
// next booking, whichever comes first, down to the gap that begins at from.
func (t *Timeline) LatestStart(from, deadline time.Time, length time.Duration, need Resources) (time.Time, bool) {
	if !need.Fits(t.capacity) || from.Add(length).After(deadline) {
		return time.Time{}, false
	}
	points := t.points()
	end := deadline
	for i := len(points) - 1; i >= 0; i-- {
		if !points[i].at.Before(end) || need.Fits(t.free(points[i].used)) {
			continue
		}
		gapStart := end // nothing is used after the last point, so i+1 exists here
		if i+1 < len(points) {
			gapStart = points[i+1].at
		}
		if start := end.Add(-length); !start.Before(gapStart) && !start.Before(from) {
			return start, true
		}
		end = points[i].at
		if from.Add(length).After(end) {
			return time.Time{}, false
		}
	}
	start := end.Add(-length)
	return start, !start.Before(from)
}

// EarliestStart returns the earliest start, not before from, at which need fits for
// length.
func (t *Timeline) EarliestStart(from time.Time, length time.Duration, need Resources) (time.Time, bool) {
	if !need.Fits(t.capacity) {
		return time.Time{}, false
	}
	points := t.points()
	start := from
	for i, p := range points {
		if !p.at.Before(start.Add(length)) {
			break
		}
		if need.Fits(t.free(p.used)) {
			continue
		}
		if i+1 < len(points) && points[i+1].at.After(start) {
			start = points[i+1].at
		}
	}
	return start, true
}

// FitCount returns how many tasks of the given need fit from start for length, at
// most limit.
func (t *Timeline) FitCount(start time.Time, length time.Duration, need Resources, limit int) int {
	n := need.CopiesWithin(t.capacity, limit)
	end := start.Add(length)
	points := t.points()
	for i, p := range points {
		if !p.at.Before(end) {
			break
		}
		if i+1 < len(points) && !points[i+1].at.After(start) {
			continue
		}
		n = min(n, need.CopiesWithin(t.free(p.used), limit))
	}
	return n
}
