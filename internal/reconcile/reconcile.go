// Package reconcile judges workers' reports by what is known of their machines, and
// brings what is known of machines and their tasks in line with the reports that are
// believed.
package reconcile

import (
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/attempts"
	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/inventory"
	"yewpass/internal/placement"
)

// Leader is what the reconciler needs of the leadership that it is part of.
type Leader interface {
	// Booted follows the first heartbeat of a machine of an instance type.
	Booted(instanceType string)
	// MarkAccounted notes that no unknown task of an earlier term can be on a machine.
	MarkAccounted(host string)
}

// Reconciler takes in the reports of one term.
type Reconciler struct {
	engine      *engine.Engine
	leader      Leader
	inventory   *inventory.Inventory
	attempts    *attempts.Tracker
	placement   *placement.Scheduler
	term        uint64
	workerLease time.Duration
	reports     uint64 // taken in
}

// New returns the reconciler of the term that begins now.
func New(e *engine.Engine, leader Leader, v *inventory.Inventory, tracker *attempts.Tracker, scheduler *placement.Scheduler, term uint64, workerLease time.Duration) *Reconciler {
	return &Reconciler{engine: e, leader: leader, inventory: v, attempts: tracker, placement: scheduler, term: term, workerLease: workerLease}
}

// Reconcile takes in a report that is believed.
func (r *Reconciler) Reconcile(m *fleet.Machine, report *heartbeat.Report) {
	r.updateMachine(m, report)
	r.updateTasks(m, report)
	if r.dropUnlisted(m, report) {
		r.noteLostStart(m)
	}
	if report.FencingToken == r.term && r.inventory.Unaccounted(m.Host) {
		r.leader.MarkAccounted(m.Host)
	}
	r.placement.ExtendOverruns(m)
}

// updateMachine takes in what a report says of the machine itself.
func (r *Reconciler) updateMachine(m *fleet.Machine, report *heartbeat.Report) {
	now := r.engine.Now
	if !m.Reported {
		r.engine.Log(slog.LevelDebug, "first heartbeat of machine", "machine", m.Host, "type", report.InstanceType, "zone", report.Zone, "tasks", len(report.Tasks))
		m.IdleSince = now
		r.leader.Booted(m.TypeName)
	}
	if m.Reported && report.Incarnation > m.Incarnation {
		// Its lease has expired: the worker has killed all that it had.
		r.attempts.DropAll(m)
	}
	m.Reported, m.Incarnation, m.Counter, m.FencingToken = true, report.Incarnation, report.Counter, report.FencingToken
	m.LastHeartbeat, m.LeaseExpired, m.Unreachable = now, false, false
	if report.HasNotice {
		if m.InterruptionAt.IsZero() {
			r.engine.Log(slog.LevelInfo, "interruption notice received", "machine", m.Host, "notice", report.Notice)
		}
		m.InterruptionAt = now.Add(report.Notice)
	}
	if report.FencingToken == r.term {
		m.UnacknowledgedSince = time.Time{}
	}
}

// updateTasks takes in the tasks that a report lists.
func (r *Reconciler) updateTasks(m *fleet.Machine, report *heartbeat.Report) {
	r.reports++
	for i := range report.Tasks {
		t := &report.Tasks[i]
		a := m.FindAttempt(t.ID, t.Attempt, i)
		if a == nil {
			a = r.attempts.Adopt(m, t)
		}
		a.LastListed = r.reports
		r.attempts.Update(a, t)
	}
}

// dropUnlisted drops the attempts that a report should list and does not, and reports
// whether a start was lost. A start that went out with the reply to an earlier report and
// is not listed now was never executed, and never will be: the worker takes replies in
// turn and drops late ones.
func (r *Reconciler) dropUnlisted(m *fleet.Machine, report *heartbeat.Report) (lostStart bool) {
	m.Attempts = slices.DeleteFunc(m.Attempts, func(a *fleet.Attempt) bool {
		if a.LastListed == r.reports || report.Counter <= a.OrderedCounter {
			return false
		}
		lostStart = lostStart || a.Phase == fleet.Ordered && a.OrderedCounter > 0
		r.attempts.Release(a)
		return true
	})
	return lostStart
}

// noteLostStart notes that a machine has not executed a start. Once may be chance, or a
// relay that ended. A machine that does not hear us must not be what a task is tried on
// again and again while there is room elsewhere.
func (r *Reconciler) noteLostStart(m *fleet.Machine) {
	if m.UnlistedStarts++; m.UnlistedStarts > 1 {
		m.RetryAt = r.engine.Now.Add(min(time.Second<<min(m.UnlistedStarts-1, 10), r.workerLease))
	}
}
