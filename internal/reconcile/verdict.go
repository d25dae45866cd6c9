package reconcile

import (
	"fmt"

	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
)

// Verdict is what is made of a worker's heartbeat.
type Verdict int

const (
	// Accepted is a heartbeat that is believed.
	Accepted Verdict = iota
	// Resent is a heartbeat that was accepted before, and that a relay has sent again in a
	// new session.
	Resent
	// Superseded is a heartbeat that the worker's own answer to a probe has overtaken.
	Superseded
	// Stale is a heartbeat that was delayed on the way: what it says is older than what is
	// known.
	Stale
	// Deferred is a heartbeat that waits until the records have been read.
	Deferred
	// Refused is a heartbeat that the leader has no authority to answer.
	Refused
	// UnknownToken is a heartbeat of a worker that has seen a fencing token newer than the
	// leader's.
	UnknownToken
)

var verdictNames = [...]string{"accepted", "resent", "overtaken", "stale", "deferred", "refused", "unknown token"}

// String returns the name of the verdict.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return fmt.Sprintf("Verdict(%d)", int(v))
	}
	return verdictNames[v]
}

// Classify judges a heartbeat by what is known of its machine. It returns Accepted,
// Resent, Overtaken or Stale.
func Classify(m *fleet.Machine, in heartbeat.Received, hasAuthority bool) Verdict {
	report := &in.Report
	sameIncarnation := report.Incarnation == m.Incarnation
	if m.Probed && sameIncarnation && report.Counter <= m.Counter && hasAuthority {
		return Superseded
	}
	if report.Incarnation <= m.ExpiredIncarnation {
		return Stale
	}
	if !m.Reported {
		return Accepted
	}
	// A worker never forgets a fencing token that it has seen, unless its process has
	// begun anew: then its counters may begin anew too, and what is newer by them may have
	// been sent before the earlier process ended. Nothing of either is believed until the
	// lease of what we know is over, which a machine that is not answered does not outlast.
	if report.FencingToken < m.FencingToken {
		return Stale
	}
	// A relay that has begun a new session sends again what waits there. What was answered
	// in the session before has not reached the worker, and will not.
	if in.Via.Relay != "" && sameIncarnation && report.Counter == m.Counter {
		return Resent
	}
	if !report.Newer(m.Incarnation, m.Counter) {
		return Stale
	}
	return Accepted
}
