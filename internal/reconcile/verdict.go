package reconcile

import (
	"fmt"

	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
)

// Verdict is the classification of a worker's heartbeat.
type Verdict int

const (
	// Accepted is a heartbeat that is newer than all known ones and is applied.
	Accepted Verdict = iota
	// Resent is an accepted heartbeat that a relay has sent again in a new session.
	Resent
	// Superseded is a heartbeat that is older than the worker's answer to a probe.
	Superseded
	// Stale is a delayed heartbeat, older than the known state of the machine.
	Stale
	// Deferred is a heartbeat to process after the stored records have been loaded.
	Deferred
	// Refused is a heartbeat received while the leader has no valid lease and must not answer.
	Refused
	// UnknownToken is a heartbeat with a fencing token newer than the leader's own.
	UnknownToken
)

var verdictNames = [...]string{"accepted", "resent", "superseded", "stale", "deferred", "refused", "unknown token"}

// String returns the verdict in lower case, or its number if it is undefined.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return fmt.Sprintf("Verdict(%d)", int(v))
	}
	return verdictNames[v]
}

// Classify compares a heartbeat with the known state of its machine. It returns Accepted, Resent,
// Superseded or Stale.
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
	// A worker's fencing token decreases only when its process restarts. The counters may restart
	// too and do not tell whether the old or the new process sent a heartbeat. All are rejected
	// until the known lease has expired, which the worker cannot renew without replies.
	if report.FencingToken < m.FencingToken {
		return Stale
	}
	// A relay that starts a new session resends the heartbeats that wait for a reply. Replies sent
	// in the previous session will never reach the worker.
	if in.Via.Relay != "" && sameIncarnation && report.Counter == m.Counter {
		return Resent
	}
	if !report.Newer(m.Incarnation, m.Counter) {
		return Stale
	}
	return Accepted
}
