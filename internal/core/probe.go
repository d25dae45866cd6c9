package core

import (
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
)

// proberLeader is a leadership as its prober sees it.
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

// HandleNewerToken implements probe.Leader.
func (v proberLeader) HandleNewerToken(m *fleet.Machine, token uint64) {
	v.core.handleNewerToken(m.Host, token, func() { v.core.leadership.autoscaler.Release(m) })
}
