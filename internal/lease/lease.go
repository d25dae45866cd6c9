// Package lease computes the time bounds that follow from the leader lease and the worker
// leases: when a leader's authority expires, how long it may keep answering heartbeats without
// authority, when the worker leases that it renewed have expired, and when a cancellation may
// be confirmed. The package does not read a clock. The bounds are derived in
// docs/design/cancellation.md.
package lease

import (
	"slices"
	"time"
)

// The protocol assumes that a monotonic clock drifts by at most 0.05%. Margins allow for twice
// that, because two clocks may drift in opposite directions.
const (
	driftDivisor = 1000 // maximum relative drift between two clocks is 1/driftDivisor
	// ClockMargin is added wherever times of two clocks are compared. It covers timers that
	// fire late and the rounding of settings given in decimal seconds.
	ClockMargin = 200 * time.Millisecond
	// MaxHiddenPause is the longest pause of a monotonic clock, for example while the machine
	// is suspended, that can go undetected. A longer pause is detected by the wall clock.
	MaxHiddenPause = time.Second
)

// WithDrift returns how long to wait on the local clock so that at least d has passed on the
// clock of another machine.
func WithDrift(d time.Duration) time.Duration { return d + d/driftDivisor + ClockMargin }

// Timing holds the settings that the bounds are computed from.
type Timing struct {
	LeaderLease   time.Duration // TTL of the leader key in the store
	WorkerLease   time.Duration // measured from the sending of the last heartbeat that was answered
	CancelTimeout time.Duration // time within which the tasks of a cancelled job must have ended
}

// Authority returns how long a leader's authority lasts on its own clock, measured from the
// sending of its last successful renewal. It is shorter than the leader lease, so that the
// authority expires before the lease does on any clock.
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

// TasksEndedBy returns the time by which all tasks have ended that were kept running only by
// the replies of an earlier leader. authorityExpired is a time at which that leader's authority
// had certainly expired.
func (t Timing) TasksEndedBy(authorityExpired time.Time) time.Time {
	return authorityExpired.Add(t.GracePeriod() + MaxHiddenPause + ClockMargin + WithDrift(t.WorkerLease))
}

// CancelSafeAfter returns the earliest time at which a cancellation may be recorded so that all
// tasks of the job end within CancelTimeout of the record. Heartbeat replies of this leader
// carry the stop commands from requested on; earlier leaders do not know of the cancellation.
// The result is requested itself if CancelTimeout is long enough.
func (t Timing) CancelSafeAfter(requested, authorityExpired time.Time) time.Time {
	own := requested.Add(WithDrift(t.WorkerLease) - t.CancelTimeout)
	earlier := t.TasksEndedBy(authorityExpired).Add(-t.CancelTimeout)
	return slices.MaxFunc([]time.Time{requested, own, earlier}, time.Time.Compare)
}

// MarginWarning returns a warning for the operator if CancelTimeout leaves no safety margin
// over WorkerLease, or "".
func (t Timing) MarginWarning() string {
	switch {
	case t.CancelTimeout < WithDrift(t.WorkerLease):
		return "cancel_s does not exceed the worker lease: cancellations are confirmed with a delay, and tasks are lost if an outage of the key-value store outlasts the worker lease"
	case t.GracePeriod() == 0:
		return "cancel_s barely exceeds the worker lease: heartbeats are not answered without authority, and tasks are lost if an outage of the key-value store outlasts the worker lease"
	}
	return ""
}
