package lease

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestBound plays the worst that may meet, by the clocks of two leaders and a worker that
// drift as far as the protocol lets them, for settings drawn at random: the old leader's
// last answer comes at the very end of its hold, a steady clock that stood still has hidden
// what it can, and the worker's lease runs on a slow clock. Confirmed no earlier than
// Confirm says, every task is gone within Cancel.
func TestBound(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	between := func(a, b float64) time.Duration {
		return time.Duration((a + rng.Float64()*(b-a)) * float64(time.Second))
	}
	slow := func(d time.Duration) time.Duration { return d + d/2000 } // in true time, on a clock that is 0.05% slow
	t0 := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	held, late := 0, 0
	for range 20000 {
		x := Timing{LeaderLease: between(0.5, 6), WorkerLease: between(1, 90), CancelTimeout: between(0.5, 180)}
		if rng.IntN(3) == 0 { // barely longer than the lease
			x.CancelTimeout = x.WorkerLease + between(-1, 6)
		}
		// The old leader's renewal is sent at t0, and the grant is over a full grant later.
		authority := t0.Add(slow(x.Authority()))
		if authority.After(t0.Add(x.LeaderLease)) {
			t.Fatalf("%+v: authority outlasts the grant", x)
		}
		hidden := between(0, MaxHiddenPause.Seconds())
		answered := authority
		if x.GracePeriod() > 0 {
			answered, held = authority.Add(slow(x.GracePeriod())+hidden), held+1
		}
		gone := answered.Add(slow(x.WorkerLease))
		// The new leader's term begins when the grant is over, and it is asked to cancel then
		// or later.
		since := t0.Add(x.LeaderLease)
		begun := since.Add(between(0, 3))
		confirmed := begun.Add(slow(x.CancelSafeAfter(begun, since).Sub(begun)))
		if confirmed.After(begun) {
			late++
		}
		if over := gone.Sub(confirmed); over > x.CancelTimeout {
			t.Fatalf("%+v: confirmed %v after the grant, tasks gone %v later", x, confirmed.Sub(since), over)
		}
		// And what it answered itself, just before the stop went out.
		if over := begun.Add(slow(x.WorkerLease)).Sub(confirmed); over > x.CancelTimeout {
			t.Fatalf("%+v: its own tasks are gone %v after the confirmation", x, over)
		}
		// After a loss of data it may lead a grant before the other's authority is over, and
		// is told so.
		lost := t0.Add(between(0, x.LeaderLease.Seconds()))
		confirmed = x.CancelSafeAfter(lost, t0.Add(x.LeaderLease))
		if over := gone.Sub(confirmed); over > x.CancelTimeout {
			t.Fatalf("%+v: after a loss confirmed %v after the grant, tasks gone %v later", x, confirmed.Sub(t0), over)
		}
	}
	if held < 1000 || late < 1000 {
		t.Errorf("%d of 20,000 settings leave room for a hold and %d confirm late: that shows nothing", held, late)
	}
}

// TestClocks: a hold ends by whichever clock says so first, and the deployments' settings
// confirm at once.
func TestClocks(t *testing.T) {
	x := Timing{LeaderLease: 2 * time.Second, WorkerLease: 20 * time.Second, CancelTimeout: 40 * time.Second}
	if h := x.GracePeriod(); h < 15*time.Second || h > 17*time.Second {
		t.Errorf("hold of %v", h)
	}
	if x.GraceOver(5*time.Second, 0) || !x.GraceOver(5*time.Second, 12*time.Second) || !x.GraceOver(17*time.Second, -9*time.Second) || x.GraceOver(5*time.Second, -9*time.Second) {
		t.Error("a clock that stood still is not noticed, or one that was set back ends nothing")
	}
	now := time.Unix(1000, 0)
	if at := x.CancelSafeAfter(now, now); !at.Equal(now) || x.Shortfall() != "" {
		t.Errorf("confirmed %v later: %s", at.Sub(now), x.Shortfall())
	}
	for _, y := range []Timing{{x.LeaderLease, x.WorkerLease, 21 * time.Second}, {x.LeaderLease, x.WorkerLease, 20 * time.Second}} {
		if y.Shortfall() == "" || y.GracePeriod() != 0 {
			t.Errorf("%+v: nothing is said, or workers are held for %v", y, y.GracePeriod())
		}
	}
}
