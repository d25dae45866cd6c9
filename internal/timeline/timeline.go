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

// most bounds an amount, in thousandths: above anything that input checks let through,
// and far below where sums over all tasks of a job turn round.
const most = 1 << 40

// Thousandths turns a decimal amount into thousandths, rounded up for what a
// task takes and down for what a machine has, so that rounding never overbooks. What
// is no amount counts as more than any machine has, or as nothing.
func Thousandths(x float64, up bool) int64 {
	y := x * 1000
	switch {
	case math.IsNaN(y) && up, y > most:
		return most
	case math.IsNaN(y), y < -most:
		return 0
	}
	if r := math.Round(y); math.Abs(y-r) < 1e-6*math.Max(1, math.Abs(y)) {
		return int64(r)
	}
	if up {
		return int64(math.Ceil(y))
	}
	return int64(math.Floor(y))
}

// Seconds turns a decimal number of seconds into a duration, Forever at the most:
// beyond what a duration holds the conversion itself would give anything. What is no
// number counts as 0.
func Seconds(s float64) time.Duration {
	switch limit := Forever.Seconds(); {
	case math.IsNaN(s):
		return 0
	case s > limit:
		return Forever
	case s < -limit:
		return -Forever
	}
	return time.Duration(s * float64(time.Second))
}

// Need returns what a task takes.
func Need(cpus, gpus, memGB float64) Resources {
	return Resources{Thousandths(cpus, true), Thousandths(gpus, true), Thousandths(memGB, true)}
}

// Capacity returns what a machine has.
func Capacity(cpus, gpus, memGB float64) Resources {
	return Resources{Thousandths(cpus, false), Thousandths(gpus, false), Thousandths(memGB, false)}
}

// Add returns r plus n times o.
func (r Resources) Add(o Resources, n int) Resources {
	return Resources{r.CPU + int64(n)*o.CPU, r.GPU + int64(n)*o.GPU, r.Mem + int64(n)*o.Mem}
}

// Fits reports whether r fits into room.
func (r Resources) Fits(room Resources) bool {
	return r.CPU <= room.CPU && r.GPU <= room.GPU && r.Mem <= room.Mem
}

// Times says how often r fits into room, at most limit.
func (r Resources) Times(room Resources, limit int) int {
	n := int64(limit)
	for _, p := range [...][2]int64{{r.CPU, room.CPU}, {r.GPU, room.GPU}, {r.Mem, room.Mem}} {
		if p[0] > 0 {
			n = min(n, p[1]/p[0])
		}
	}
	return int(max(n, 0))
}

// Forever ends the booking of a service, which runs until it is cancelled.
const Forever = 20 * 365 * 24 * time.Hour

// Booking reserves room for Count equal tasks from Start to End.
type Booking struct {
	Start, End time.Time
	Need       Resources
	Count      int
}

type point struct {
	at   time.Time
	used Resources
}

// Timeline is the bookings of one machine. The zero value has no room.
type Timeline struct {
	capacity Resources
	bookings []*Booking
	profile  []point // use from each point to the next, rebuilt when stale
	stale    bool
}

// New returns an empty timeline of a machine of the given capacity.
func New(capacity Resources) *Timeline { return &Timeline{capacity: capacity} }

// Capacity returns what the machine has.
func (t *Timeline) Capacity() Resources { return t.capacity }

// Add books b. The caller may change b later, followed by Touch.
func (t *Timeline) Add(b *Booking) {
	t.bookings = append(t.bookings, b)
	t.stale = true
}

// Remove takes b off the timeline.
func (t *Timeline) Remove(b *Booking) {
	if i := slices.Index(t.bookings, b); i >= 0 {
		t.bookings[i] = t.bookings[len(t.bookings)-1]
		t.bookings = t.bookings[:len(t.bookings)-1]
		t.stale = true
	}
}

// Touch tells the timeline that a booking on it has changed.
func (t *Timeline) Touch() { t.stale = true }

func (t *Timeline) points() []point {
	if !t.stale {
		return t.profile
	}
	t.stale = false
	ps := t.profile[:0]
	for _, b := range t.bookings {
		if b.Count > 0 && b.Start.Before(b.End) {
			ps = append(ps, point{b.Start, Resources{}.Add(b.Need, b.Count)}, point{b.End, Resources{}.Add(b.Need, -b.Count)})
		}
	}
	slices.SortFunc(ps, func(a, b point) int { return a.at.Compare(b.at) })
	out := ps[:0]
	var use Resources
	for _, p := range ps {
		use = use.Add(p.used, 1)
		if n := len(out); n > 0 && out[n-1].at.Equal(p.at) {
			out[n-1].used = use
		} else {
			out = append(out, point{p.at, use})
		}
	}
	t.profile = out
	return out
}

func (t *Timeline) room(used Resources) Resources { return t.capacity.Add(used, -1) }

// Latest returns the latest start, not before from, at which need fits for
// length and is over by deadline. It scans from the back like the paper: the
// deadline minus the run time when that falls after the last booking in the
// way, otherwise the latest gap that fits, ending at the deadline or at the
// next booking, whichever comes first, down to the gap that begins at from.
func (t *Timeline) Latest(from, deadline time.Time, length time.Duration, need Resources) (time.Time, bool) {
	if !need.Fits(t.capacity) || from.Add(length).After(deadline) {
		return time.Time{}, false
	}
	ps := t.points()
	end := deadline
	for i := len(ps) - 1; i >= 0; i-- {
		if !ps[i].at.Before(end) || need.Fits(t.room(ps[i].used)) {
			continue
		}
		segEnd := end // the last point has no use after it, so i+1 exists here
		if i+1 < len(ps) {
			segEnd = ps[i+1].at
		}
		if start := end.Add(-length); !start.Before(segEnd) && !start.Before(from) {
			return start, true
		}
		end = ps[i].at
		if from.Add(length).After(end) {
			return time.Time{}, false
		}
	}
	start := end.Add(-length)
	return start, !start.Before(from)
}

// Earliest returns the earliest start, not before from, at which need fits for
// length.
func (t *Timeline) Earliest(from time.Time, length time.Duration, need Resources) (time.Time, bool) {
	if !need.Fits(t.capacity) {
		return time.Time{}, false
	}
	ps := t.points()
	start := from
	for i, p := range ps {
		if !p.at.Before(start.Add(length)) {
			break
		}
		if need.Fits(t.room(p.used)) {
			continue
		}
		if i+1 < len(ps) && ps[i+1].at.After(start) {
			start = ps[i+1].at
		}
	}
	return start, true
}

// Count says how many tasks of the given need fit from start for length, at
// most limit.
func (t *Timeline) Count(start time.Time, length time.Duration, need Resources, limit int) int {
	n := need.Times(t.capacity, limit)
	end := start.Add(length)
	ps := t.points()
	for i, p := range ps {
		if !p.at.Before(end) {
			break
		}
		if i+1 < len(ps) && !ps[i+1].at.After(start) {
			continue
		}
		n = min(n, need.Times(t.room(p.used), limit))
	}
	return n
}
