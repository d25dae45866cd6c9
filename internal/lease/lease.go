// Package lease computes the time bounds that follow from the leader lease and the worker leases.
// It reads no clock. docs/design/cancellation.md derives the bounds.
package lease

import (
	"slices"
	"time"
)

// The protocol assumes that a monotonic clock drifts by at most 0.05%. Margins allow for two clocks
// that drift in opposite directions.
const (
	driftDivisor = 1000 // maximum relative drift between two clocks is 1/driftDivisor
	// ClockMargin is added wherever times of two clocks are compared. It covers late timers and
	// the rounding of settings.
	ClockMargin = 200 * time.Millisecond
	// MaxHiddenPause is the longest pause of a monotonic clock, for example while the machine is
	// suspended, that the wall clock may not detect.
	MaxHiddenPause = time.Second
)

// WithDrift returns how long to wait so that at least d has passed on another machine's clock.
func WithDrift(d time.Duration) time.Duration { return d + d/driftDivisor + ClockMargin }

// Timing holds the settings that the bounds are computed from.
type Timing struct {
	LeaderLease   time.Duration // TTL of the leader key in the store
	WorkerLease   time.Duration // measured from the sending of the last heartbeat that was answered
	CancelTimeout time.Duration // time within which the tasks of a cancelled job must have ended
}

// Authority returns how long a leader's authority lasts on its own clock, measured from the sending
// of its last successful renewal. It expires before the leader lease does on any clock.
func (t Timing) Authority() time.Duration {
	return t.LeaderLease - t.LeaderLease/driftDivisor - ClockMargin/2
}

// GracePeriod returns how long a leader may keep answering heartbeats after its authority has
// expired, so that tasks survive an outage of the store. It is 0 if CancelTimeout is too short.
//
// The next leader may confirm a cancellation as soon as this leader's authority expires, or one
// leader lease earlier if the store lost the lease together with other data. A worker answered
// at the end of the grace period keeps its tasks for one more worker lease, and the tasks must
// end within CancelTimeout of the confirmation.
func (t Timing) GracePeriod() time.Duration {
	margin := t.CancelTimeout - WithDrift(t.WorkerLease) - t.LeaderLease - MaxHiddenPause - ClockMargin
	return max(0, margin-margin/driftDivisor-ClockMargin)
}

// GracePeriodExpired reports whether the grace period has ended. since is the time since the
// authority expired by the monotonic clock, and ahead is how much more time has passed by the
// wall clock.
func (t Timing) GracePeriodExpired(since, ahead time.Duration) bool {
	return since+max(0, ahead) > t.GracePeriod()
}

// TasksEndedBy returns the time by which all tasks that only an earlier leader's replies kept
// running have ended. Its authority had certainly expired at authorityExpired.
func (t Timing) TasksEndedBy(authorityExpired time.Time) time.Time {
	return authorityExpired.Add(t.GracePeriod() + MaxHiddenPause + ClockMargin + WithDrift(t.WorkerLease))
}

// CancelSafeAfter returns the earliest time, not before requested, at which a cancellation may be
// recorded so that all tasks of the job end within CancelTimeout of the record. This leader's
// replies carry the stop commands from requested on; earlier leaders do not know of them.
func (t Timing) CancelSafeAfter(requested, authorityExpired time.Time) time.Time {
	own := requested.Add(WithDrift(t.WorkerLease) - t.CancelTimeout)
	earlier := t.TasksEndedBy(authorityExpired).Add(-t.CancelTimeout)
	return slices.MaxFunc([]time.Time{requested, own, earlier}, time.Time.Compare)
}

// MarginWarning returns a warning if CancelTimeout leaves no margin over WorkerLease, or "".
func (t Timing) MarginWarning() string {
	switch {
	case t.CancelTimeout < WithDrift(t.WorkerLease):
		return "cancel_s does not exceed the worker lease: cancellations are confirmed with a delay, and tasks are lost if an outage of the key-value store outlasts the worker lease"
	case t.GracePeriod() == 0:
		return "cancel_s barely exceeds the worker lease: heartbeats are not answered without authority, and tasks are lost if an outage of the key-value store outlasts the worker lease"
	}
	return ""
}
