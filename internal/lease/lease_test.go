package lease

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestBound checks, for random settings and worst-case clock drift, that all tasks end within
// CancelTimeout of a cancellation recorded at CancelSafeAfter. The old leader answers its last
// heartbeat at the end of the grace period, after MaxHiddenPause, and the worker's clock is slow.
func TestBound(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	between := func(a, b float64) time.Duration {
		return time.Duration((a + rng.Float64()*(b-a)) * float64(time.Second))
	}
	slow := func(d time.Duration) time.Duration { return d + d/2000 } // d on a clock that is 0.05% slow
	t0 := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	withGrace, delayed := 0, 0
	for range 20000 {
		x := Timing{LeaderLease: between(0.5, 6), WorkerLease: between(1, 90), CancelTimeout: between(0.5, 180)}
		if rng.IntN(3) == 0 { // about as long as the worker lease
			x.CancelTimeout = x.WorkerLease + between(-1, 6)
		}
		// The old leader sends its renewal at t0; the leader lease expires LeaderLease later.
		authority := t0.Add(slow(x.Authority()))
		if authority.After(t0.Add(x.LeaderLease)) {
			t.Fatalf("%+v: authority expires after the leader lease", x)
		}
		hiddenPause := between(0, MaxHiddenPause.Seconds())
		answered := authority
		if x.GracePeriod() > 0 {
			answered, withGrace = authority.Add(slow(x.GracePeriod())+hiddenPause), withGrace+1
		}
		tasksEnded := answered.Add(slow(x.WorkerLease))
		// The new term begins when the lease expires; the cancellation is requested then or later.
		leaseExpired := t0.Add(x.LeaderLease)
		requested := leaseExpired.Add(between(0, 3))
		confirmed := requested.Add(slow(x.CancelSafeAfter(requested, leaseExpired).Sub(requested)))
		if confirmed.After(requested) {
			delayed++
		}
		if over := tasksEnded.Sub(confirmed); over > x.CancelTimeout {
			t.Fatalf("%+v: cancellation confirmed %v after lease expiry, tasks end %v after the confirmation", x, confirmed.Sub(leaseExpired), over)
		}
		// Tasks whose lease the new leader renewed just before it sent the first stop command.
		if over := requested.Add(slow(x.WorkerLease)).Sub(confirmed); over > x.CancelTimeout {
			t.Fatalf("%+v: tasks renewed by the new leader end %v after the confirmation", x, over)
		}
		// After a data loss the new leader may start up to one leader lease before the old
		// leader's authority expires. It passes the later time to CancelSafeAfter.
		startedAfterLoss := t0.Add(between(0, x.LeaderLease.Seconds()))
		confirmed = x.CancelSafeAfter(startedAfterLoss, t0.Add(x.LeaderLease))
		if over := tasksEnded.Sub(confirmed); over > x.CancelTimeout {
			t.Fatalf("%+v: after a data loss, cancellation confirmed %v after the renewal, tasks end %v after the confirmation", x, confirmed.Sub(t0), over)
		}
	}
	if withGrace < 1000 || delayed < 1000 {
		t.Errorf("%d of 20,000 settings have a grace period and %d delay the confirmation, want at least 1000 each", withGrace, delayed)
	}
}

// TestClocks checks that the grace period ends by whichever clock is ahead, and that common
// settings confirm cancellations without delay.
func TestClocks(t *testing.T) {
	x := Timing{LeaderLease: 2 * time.Second, WorkerLease: 20 * time.Second, CancelTimeout: 40 * time.Second}
	if h := x.GracePeriod(); h < 15*time.Second || h > 17*time.Second {
		t.Errorf("grace period of %v, want between 15s and 17s", h)
	}
	if x.GracePeriodExpired(5*time.Second, 0) || !x.GracePeriodExpired(5*time.Second, 12*time.Second) || !x.GracePeriodExpired(17*time.Second, -9*time.Second) || x.GracePeriodExpired(5*time.Second, -9*time.Second) {
		t.Error("grace period ignores a paused monotonic clock, or is extended by a wall clock that was set back")
	}
	now := time.Unix(1000, 0)
	if at := x.CancelSafeAfter(now, now); !at.Equal(now) || x.MarginWarning() != "" {
		t.Errorf("confirmed %v after the request with warning %q, want no delay and no warning", at.Sub(now), x.MarginWarning())
	}
	for _, y := range []Timing{{x.LeaderLease, x.WorkerLease, 21 * time.Second}, {x.LeaderLease, x.WorkerLease, 20 * time.Second}} {
		if y.MarginWarning() == "" || y.GracePeriod() != 0 {
			t.Errorf("%+v: want a warning and no grace period, got a grace period of %v or no warning", y, y.GracePeriod())
		}
	}
}
