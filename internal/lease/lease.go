// Package lease reckons for how long what a leader has said goes on after it: when its
// authority, what it answers to workers beyond it, and the leases that it renewed are over,
// and from when on a cancellation may therefore be confirmed. It decides nothing else and
// knows no clock. docs/design/cancellation.md has the argument.
package lease

import (
	"slices"
	"time"
)

// The protocol bounds the drift of steady clocks at 0.05%, and two may drift apart: all
// margins take twice that.
const (
	driftDivisor = 1000 // a thousandth
	// ClockSlack is added wherever times of two clocks are compared: timers that go off late,
	// and what settings in decimal seconds lose.
	ClockSlack = 200 * time.Millisecond
	// MaxHiddenPause is what a steady clock that has stood still can hide of the time that has
	// passed: more is noticed by the time of day.
	MaxHiddenPause = time.Second
)

// WithDrift returns d as a clock that runs slower must measure it, to be sure that d has
// passed on another machine.
func WithDrift(d time.Duration) time.Duration { return d + d/driftDivisor + ClockSlack }

// Timing are the settings that the bound rests on.
type Timing struct {
	LeaderLease   time.Duration // for which the state service lets nobody else lead
	WorkerLease   time.Duration // of a worker, from when its last answered report was sent
	CancelTimeout time.Duration // within which tasks must be gone
}

// Authority is how long authority lasts by the leader's own clock, from when the last good
// renewal was sent: it is over before the grant is, on any clock.
func (t Timing) Authority() time.Duration {
	return t.LeaderLease - t.LeaderLease/driftDivisor - ClockSlack/2
}

// GracePeriod is for how long after its authority a leader may go on answering reports, so that
// tasks outlive an outage: 0 where the settings leave no room.
//
// Whoever leads next may confirm a cancellation at the very instant at which this one's
// authority is over, or, when the state service has lost the grant along with its data, one
// grant earlier. A worker that is answered at the end of the hold keeps its tasks for a
// lease from there.
func (t Timing) GracePeriod() time.Duration {
	room := t.CancelTimeout - WithDrift(t.WorkerLease) - t.LeaderLease - MaxHiddenPause - ClockSlack
	return max(0, room-room/driftDivisor-ClockSlack)
}

// GraceOver reports whether a hold is over that began with the end of authority, by a clock
// that says so much has passed since, and by how much the time of day has run ahead of it.
func (t Timing) GraceOver(since, ahead time.Duration) bool {
	return since+max(0, ahead) > t.GracePeriod()
}

// TasksGoneAfter is when at the latest every task is gone that an earlier leader may keep on its
// machine, given when that one's authority is over for sure.
func (t Timing) TasksGoneAfter(authority time.Time) time.Time {
	return authority.Add(t.GracePeriod() + MaxHiddenPause + ClockSlack + WithDrift(t.WorkerLease))
}

// CancelSafeAfter is from when on a cancellation may be written, for which every reply has been
// carrying stops since it was begun, and which earlier leaders know nothing of: everything
// must be gone within Cancel of it. With room in the settings that is at once.
func (t Timing) CancelSafeAfter(begun, authority time.Time) time.Time {
	own := begun.Add(WithDrift(t.WorkerLease) - t.CancelTimeout)
	earlier := t.TasksGoneAfter(authority).Add(-t.CancelTimeout)
	return slices.MaxFunc([]time.Time{begun, own, earlier}, time.Time.Compare)
}

// Shortfall says what gives way where the settings leave no room, or "".
func (t Timing) Shortfall() string {
	switch {
	case t.CancelTimeout < WithDrift(t.WorkerLease):
		return "cancel_s is no longer than a lease: cancellations are confirmed late, once their tasks are surely gone in time, and an outage of the state service costs tasks once a lease is over"
	case t.GracePeriod() == 0:
		return "cancel_s is hardly longer than a lease: no worker is answered without authority, and an outage of the state service costs tasks once a lease is over"
	}
	return ""
}
