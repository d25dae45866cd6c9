package core

import (
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
)

// probeLeader implements probe.Leader for a leadership.
type probeLeader struct {
	core       *Core
	leadership *leadership
}

// IsActive implements probe.Leader.
func (v probeLeader) IsActive() bool { return v.core.isActive() }

// IsLinkedToAny implements probe.Leader.
func (v probeLeader) IsLinkedToAny() bool { return v.core.election.IsLinkedToAny() }

// Reconcile implements probe.Leader.
func (v probeLeader) Reconcile(m *fleet.Machine, report *heartbeat.Report) {
	v.leadership.reconciler.Reconcile(m, report)
}

// HandleNewerToken implements probe.Leader. It releases the machine if the token turns out to be
// false.
func (v probeLeader) HandleNewerToken(m *fleet.Machine, token uint64) {
	v.core.handleNewerToken(m.Host, token, func() { v.core.leadership.autoscaler.Release(m) })
}
