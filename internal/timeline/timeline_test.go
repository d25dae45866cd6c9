package timeline

import (
	"math/rand/v2"
	"testing"
	"time"
)

var t0 = time.Unix(1000, 0)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func book(t *Timeline, from, to, cpus float64) *Booking {
	b := &Booking{Start: at(from), End: at(to), Need: Need(cpus, 0, 0), Count: 1}
	t.Add(b)
	return b
}

// TestLatestStart checks the gaps before, between and after three bookings of a whole machine.
func TestLatestStart(t *testing.T) {
	tl := New(Capacity(1, 0, 0))
	book(tl, 10, 20, 1)
	book(tl, 24, 30, 1)
	book(tl, 40, 50, 1)
	one := Need(1, 0, 0)
	for _, c := range []struct {
		name           string
		deadline, long float64
		want           float64 // -1: no fit
	}{
		{"after the last booking", 60, 8, 52},
		{"exactly after the last booking", 58, 8, 50},
		{"latest gap, ending at the next booking", 55, 8, 32},
		{"latest gap, ending at the deadline", 39, 8, 31},
		{"an earlier gap when the latest is too short", 39, 4, 35},
		{"gap before the first booking", 45, 10, 30},
		{"only the gap that begins now", 22, 9, 1},
		{"no gap is long enough", 39, 11, -1},
		{"deadline passed", -1, 1, -1},
	} {
		got, ok := tl.LatestStart(at(0), at(c.deadline), secs(c.long), one)
		if ok != (c.want >= 0) || ok && !got.Equal(at(c.want)) {
			t.Errorf("%s: start at %v (found %v), want %v s", c.name, got.Sub(t0), ok, c.want)
		}
	}
}

// fits checks second by second whether need fits from start for length.
func fits(tl *Timeline, start time.Time, length time.Duration, need Resources) bool {
	for s := start; s.Before(start.Add(length)); s = s.Add(time.Second) {
		used := need
		for _, b := range tl.bookings {
			if !b.Start.After(s) && b.End.After(s) {
				used = used.Add(b.Need, b.Count)
			}
		}
		if !used.Fits(tl.capacity) {
			return false
		}
	}
	return true
}

// TestMatchesExhaustiveSearch compares LatestStart, EarliestStart and FitCount with a search over
// every second of random timelines.
func TestMatchesExhaustiveSearch(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		tl := New(Capacity(8, 2, 16))
		for range rng.IntN(12) {
			s := float64(rng.IntN(60))
			n := Need(float64(1+rng.IntN(4)), float64(rng.IntN(2)), float64(rng.IntN(8)))
			b := &Booking{Start: at(s), End: at(s + 1 + float64(rng.IntN(20))), Need: n, Count: 1}
			if fits(tl, b.Start, b.End.Sub(b.Start), n) {
				tl.Add(b)
			}
		}
		need := Need(float64(1+rng.IntN(8)), float64(rng.IntN(3)), float64(rng.IntN(16)))
		length, deadline := secs(float64(1+rng.IntN(25))), at(float64(rng.IntN(90)))
		var latest, earliest time.Time
		for s := 0.0; s < 200; s++ {
			if !fits(tl, at(s), length, need) {
				continue
			}
			if earliest.IsZero() {
				earliest = at(s)
			}
			if !at(s).Add(length).After(deadline) {
				latest = at(s)
			}
		}
		got, ok := tl.LatestStart(t0, deadline, length, need)
		if ok == latest.IsZero() || ok && !got.Equal(latest) {
			t.Fatalf("LatestStart: got %v (found %v), want %v", got.Sub(t0), ok, latest.Sub(t0))
		}
		got, ok = tl.EarliestStart(t0, length, need)
		if ok == earliest.IsZero() || ok && !got.Equal(earliest) {
			t.Fatalf("EarliestStart: got %v (found %v), want %v", got.Sub(t0), ok, earliest.Sub(t0))
		}
		if ok != (tl.FitCount(got, length, need, 9) > 0) {
			t.Fatalf("FitCount: %d at the earliest start", tl.FitCount(got, length, need, 9))
		}
	}
}

// TestEarliestStartBesideService checks that no start is found after the booking of a service.
func TestEarliestStartBesideService(t *testing.T) {
	tl := New(Capacity(8, 0, 32))
	tl.Add(&Booking{Start: t0, End: t0.Add(Forever), Need: Need(2, 0, 1), Count: 1})
	tl.Add(&Booking{Start: t0, End: t0.Add(time.Minute), Need: Need(6, 0, 1), Count: 1})
	if start, ok := tl.EarliestStart(t0, time.Second, Need(6, 0, 1)); !ok || !start.Equal(t0.Add(time.Minute)) {
		t.Errorf("start %v (found %v), want a minute later", start, ok)
	}
	if start, ok := tl.EarliestStart(t0, time.Second, Need(7, 0, 1)); ok {
		t.Errorf("start %v found for what never fits beside the service", start)
	}
}
