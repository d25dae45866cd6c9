// Package lapse reckons for how long what a leader has said goes on after it: when its
// authority, what it answers to workers beyond it, and the leases that it renewed are over,
// and from when on a cancellation may therefore be confirmed. It decides nothing else and
// knows no clock. docs/design/cancellation.md has the argument.
package lapse

import (
	"slices"
	"time"
)

// The protocol bounds the drift of steady clocks at 0.05%, and two may drift apart: all
// margins take twice that.
const (
	driftPart = 1000 // a thousandth
	// Slack is added wherever times of two clocks are compared: timers that go off late,
	// and what settings in decimal seconds lose.
	Slack = 200 * time.Millisecond
	// Jump is what a steady clock that has stood still can hide of the time that has
	// passed: more is noticed by the time of day.
	Jump = time.Second
)

// WithDrift returns d as a clock that runs slower must measure it, to be sure that d has
// passed on another machine.
func WithDrift(d time.Duration) time.Duration { return d + d/driftPart + Slack }

// Times are the settings that the bound rests on.
type Times struct {
	Grant  time.Duration // for which the state service lets nobody else lead
	Lease  time.Duration // of a worker, from when its last answered report was sent
	Cancel time.Duration // within which tasks must be gone
}

// Authority is how long authority lasts by the leader's own clock, from when the last good
// renewal was sent: it is over before the grant is, on any clock.
func (t Times) Authority() time.Duration { return t.Grant - t.Grant/driftPart - Slack/2 }

// Hold is for how long after its authority a leader may go on answering reports, so that
// tasks outlive an outage: 0 where the settings leave no room.
//
// Whoever leads next may confirm a cancellation at the very instant at which this one's
// authority is over, or, when the state service has lost the grant along with its data, one
// grant earlier. A worker that is answered at the end of the hold keeps its tasks for a
// lease from there.
func (t Times) Hold() time.Duration {
	room := t.Cancel - WithDrift(t.Lease) - t.Grant - Jump - Slack
	return max(0, room-room/driftPart-Slack)
}

// Over reports whether a hold is over that began with the end of authority, by a clock
// that says so much has passed since, and by how much the time of day has run ahead of it.
func (t Times) Over(since, ahead time.Duration) bool { return since+max(0, ahead) > t.Hold() }

// Gone is when at the latest every task is gone that an earlier leader may keep on its
// machine, given when that one's authority is over for sure.
func (t Times) Gone(authority time.Time) time.Time {
	return authority.Add(t.Hold() + Jump + Slack + WithDrift(t.Lease))
}

// Confirm is from when on a cancellation may be written, for which every reply has been
// carrying stops since it was begun, and which earlier leaders know nothing of: everything
// must be gone within Cancel of it. With room in the settings that is at once.
func (t Times) Confirm(begun, authority time.Time) time.Time {
	own := begun.Add(WithDrift(t.Lease) - t.Cancel)
	earlier := t.Gone(authority).Add(-t.Cancel)
	return slices.MaxFunc([]time.Time{begun, own, earlier}, time.Time.Compare)
}

// Short says what gives way where the settings leave no room, or "".
func (t Times) Short() string {
	switch {
	case t.Cancel < WithDrift(t.Lease):
		return "cancel_s is no longer than a lease: cancellations are confirmed late, once their tasks are surely gone in time, and an outage of the state service costs tasks once a lease is over"
	case t.Hold() == 0:
		return "cancel_s is hardly longer than a lease: no worker is answered without authority, and an outage of the state service costs tasks once a lease is over"
	}
	return ""
}
