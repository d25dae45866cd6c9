// Package lease computes for how long what a leader has said stays in force after it: when
// its authority expires, until when it may go on answering workers without authority, when
// the worker leases that it renewed have expired, and from when on a cancellation may
// therefore be confirmed. It has no clock. docs/design/cancellation.md has the argument.
package lease

import (
	"slices"
	"time"
)

// The protocol bounds the drift of steady clocks at 0.05%, and two may drift apart: all
// margins take twice that.
const (
	driftDivisor = 1000 // a thousandth
	// ClockSlack is added wherever times of two clocks are compared. It covers timers that
	// fire late, and what settings in decimal seconds lose.
	ClockSlack = 200 * time.Millisecond
	// MaxHiddenPause is how much of the time that has passed a steady clock that stood still
	// can hide: more shows in the wall clock.
	MaxHiddenPause = time.Second
)

// WithDrift returns for how long a clock must measure to be sure that d has passed on
// another machine.
func WithDrift(d time.Duration) time.Duration { return d + d/driftDivisor + ClockSlack }

// Timing holds the settings that the bounds follow from.
type Timing struct {
	LeaderLease   time.Duration // the TTL for which the store lets nobody else lead
	WorkerLease   time.Duration // from when a worker's last answered heartbeat was sent
	CancelTimeout time.Duration // within which the tasks of a cancelled job must have ended
}

// Authority returns how long a leader's authority lasts by its own clock, from when its last
// successful renewal was sent: it expires before the leader lease does on any clock.
func (t Timing) Authority() time.Duration {
	return t.LeaderLease - t.LeaderLease/driftDivisor - ClockSlack/2
}

// GracePeriod returns for how long a leader whose authority has expired may go on answering
// heartbeats, so that tasks survive an outage of the store; 0 where the settings leave no
// room.
//
// The next leader may confirm a cancellation at the very moment at which this one's
// authority expires or, when the store has lost the lease along with its data, one leader
// lease earlier. A worker that is answered at the end of the grace period keeps its tasks for
// a worker lease from there.
func (t Timing) GracePeriod() time.Duration {
	room := t.CancelTimeout - WithDrift(t.WorkerLease) - t.LeaderLease - MaxHiddenPause - ClockSlack
	return max(0, room-room/driftDivisor-ClockSlack)
}

// GraceOver reports whether the grace period has ended, given how long ago authority expired
// by the steady clock, and by how much the wall clock has run ahead of it since.
func (t Timing) GraceOver(since, ahead time.Duration) bool {
	return since+max(0, ahead) > t.GracePeriod()
}

// TasksGoneAfter returns when at the latest every task has ended that an earlier leader may
// have kept on its machine, given when that leader's authority has surely expired.
func (t Timing) TasksGoneAfter(authorityExpired time.Time) time.Time {
	return authorityExpired.Add(t.GracePeriod() + MaxHiddenPause + ClockSlack + WithDrift(t.WorkerLease))
}

// CancelSafeAfter returns from when on a cancellation may be recorded. Every reply since
// requested has carried its stops, and earlier leaders know nothing of it: all tasks must
// have ended within CancelTimeout of the record. Where the settings leave room that is at
// once.
func (t Timing) CancelSafeAfter(requested, authorityExpired time.Time) time.Time {
	own := requested.Add(WithDrift(t.WorkerLease) - t.CancelTimeout)
	earlier := t.TasksGoneAfter(authorityExpired).Add(-t.CancelTimeout)
	return slices.MaxFunc([]time.Time{requested, own, earlier}, time.Time.Compare)
}

// Shortfall returns what gives way where the settings leave no room, or "".
func (t Timing) Shortfall() string {
	switch {
	case t.CancelTimeout < WithDrift(t.WorkerLease):
		return "cancel_s is no longer than a lease: cancellations are confirmed late, once their tasks are surely gone in time, and an outage of the state service costs tasks once a lease is over"
	case t.GracePeriod() == 0:
		return "cancel_s is hardly longer than a lease: no worker is answered without authority, and an outage of the state service costs tasks once a lease is over"
	}
	return ""
}
