package core

import (
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
)

// proberLeader implements probe.Leader for a leadership.
type proberLeader struct {
	core       *Core
	leadership *leadership
}

// CanAct implements probe.Leader.
func (v proberLeader) CanAct() bool { return v.core.canAct() }

// Linked implements probe.Leader.
func (v proberLeader) Linked() bool { return v.core.election.IsLinkedToAny() }

// Reconcile implements probe.Leader.
func (v proberLeader) Reconcile(m *fleet.Machine, report *heartbeat.Report) {
	v.leadership.reconciler.Reconcile(m, report)
}

// HandleNewerToken implements probe.Leader. It releases the machine if the token turns out to be
// false.
func (v proberLeader) HandleNewerToken(m *fleet.Machine, token uint64) {
	v.core.handleNewerToken(m.Host, token, func() { v.core.leadership.autoscaler.Release(m) })
}
