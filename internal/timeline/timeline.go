// Package timeline keeps the resource bookings of one machine over time and computes the latest or
// earliest time at which a task fits. It uses neither clocks nor I/O.
package timeline

import (
	"math"
	"slices"
	"time"
)

// Resources is an amount of CPUs, GPUs and memory (in GB), each in thousandths. Integers keep sums
// of decimal amounts exact.
type Resources struct {
	CPU, GPU, Mem int64
}

// maxAmount bounds an amount, in thousandths. It exceeds every valid amount, and sums over all
// tasks of a job do not overflow.
const maxAmount = 1 << 40

// roundingTolerance is the relative error, due to binary fractions, up to which an amount counts as
// a whole number of thousandths.
const roundingTolerance = 1e-6

// ToMilli converts a decimal amount to thousandths. Requests are rounded up and capacities down, so
// that rounding never overbooks a machine. NaN converts to the maximum when rounding up and to 0
// when rounding down.
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

// Seconds converts a decimal number of seconds to a duration, limited to ±Forever because
// converting larger values is undefined. NaN converts to 0.
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

// Need returns the resources that a task requests, rounded up.
func Need(cpus, gpus, memGB float64) Resources {
	return Resources{ToMilli(cpus, true), ToMilli(gpus, true), ToMilli(memGB, true)}
}

// Capacity returns the resources that a machine provides, rounded down.
func Capacity(cpus, gpus, memGB float64) Resources {
	return Resources{ToMilli(cpus, false), ToMilli(gpus, false), ToMilli(memGB, false)}
}

// Add returns r plus n times o; n may be negative.
func (r Resources) Add(o Resources, n int) Resources {
	return Resources{r.CPU + int64(n)*o.CPU, r.GPU + int64(n)*o.GPU, r.Mem + int64(n)*o.Mem}
}

// Fits reports whether r fits into available in every dimension.
func (r Resources) Fits(available Resources) bool {
	return r.CPU <= available.CPU && r.GPU <= available.GPU && r.Mem <= available.Mem
}

// CopiesWithin returns how many copies of r, at most limit, fit into available.
func (r Resources) CopiesWithin(available Resources, limit int) int {
	n := int64(limit)
	n = limitCopies(n, r.CPU, available.CPU)
	n = limitCopies(n, r.GPU, available.GPU)
	n = limitCopies(n, r.Mem, available.Mem)
	return int(max(n, 0))
}

// limitCopies limits n to the copies of need that fit into available.
func limitCopies(n, need, available int64) int64 {
	if need <= 0 {
		return n
	}
	return min(n, available/need)
}

// Forever is the length of the booking of a service, which runs until it is cancelled.
const Forever = 20 * 365 * 24 * time.Hour

// Booking books resources for Count equal tasks from Start until End.
type Booking struct {
	Start, End time.Time
	Need       Resources
	Count      int
}

// usagePoint is a time at which the booked resources change.
type usagePoint struct {
	at   time.Time
	used Resources // booked from at until the next point
}

// Timeline holds the bookings of one machine. The zero value has no capacity.
type Timeline struct {
	capacity Resources
	bookings []*Booking
	profile  []usagePoint // sorted by time; valid unless dirty
	dirty    bool
}

// New returns an empty timeline with the given capacity.
func New(capacity Resources) *Timeline { return &Timeline{capacity: capacity} }

// Capacity returns the total resources of the machine.
func (t *Timeline) Capacity() Resources { return t.capacity }

// Add adds the booking b. A caller that modifies b later must call Invalidate.
func (t *Timeline) Add(b *Booking) {
	t.bookings = append(t.bookings, b)
	t.dirty = true
}

// Remove removes the booking b if it is on the timeline.
func (t *Timeline) Remove(b *Booking) {
	if i := slices.Index(t.bookings, b); i >= 0 {
		t.bookings[i] = t.bookings[len(t.bookings)-1]
		t.bookings = t.bookings[:len(t.bookings)-1]
		t.dirty = true
	}
}

// Invalidate marks the cached profile as outdated. Call it after modifying a booking.
func (t *Timeline) Invalidate() { t.dirty = true }

// points returns the usage profile, rebuilt if a booking has changed.
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
	profile := changes[:0] // shares the array; writes never overtake reads
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

func (t *Timeline) free(used Resources) Resources { return t.capacity.Add(used, -1) }

// LatestStart returns the latest start, not before from, at which need fits for length and ends by
// deadline. It scans the gaps backwards; in the last one that is long enough, the task ends at the
// deadline or at the next booking, whichever comes first.
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
		gapStart := end // nothing is booked after the last point, so i+1 exists here
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

// EarliestStart returns the earliest start, not before from, at which need fits for length. It
// reports false if need exceeds the machine's capacity or what the bookings of services leave of it.
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
	return start, start.Sub(from) < Forever/2
}

// FitCount returns how many tasks with the given need, at most limit, fit together from start for
// length.
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
