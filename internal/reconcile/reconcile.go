// Package reconcile classifies workers' heartbeats as current or outdated, and updates machines and
// tasks from those that are accepted.
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

// Leader is the leader that a Reconciler belongs to.
type Leader interface {
	// Booted is called at the first heartbeat of a machine, with its instance type.
	Booted(instanceType string)
	// MarkAccounted records that all tasks that earlier terms started on a machine are known.
	MarkAccounted(host string)
}

// Reconciler applies the accepted heartbeats of one leadership term.
type Reconciler struct {
	engine       *engine.Engine
	leader       Leader
	inventory    *inventory.Inventory
	attempts     *attempts.Tracker
	placement    *placement.Scheduler
	term         uint64
	workerLease  time.Duration
	heartbeatSeq uint64 // number of the heartbeat being applied
}

// New returns a reconciler for the given term. workerLease bounds the delay before the next start
// on a machine that has lost start orders.
func New(e *engine.Engine, leader Leader, v *inventory.Inventory, tracker *attempts.Tracker, scheduler *placement.Scheduler, term uint64, workerLease time.Duration) *Reconciler {
	return &Reconciler{engine: e, leader: leader, inventory: v, attempts: tracker, placement: scheduler, term: term, workerLease: workerLease}
}

// Reconcile updates a machine and its tasks from an accepted heartbeat.
func (r *Reconciler) Reconcile(m *fleet.Machine, report *heartbeat.Report) {
	r.updateMachine(m, report)
	r.updateTasks(m, report)
	if r.releaseUnlisted(m, report) {
		r.backOffAfterLostStart(m)
	}
	if report.FencingToken == r.term && r.inventory.IsUnaccounted(m.Host) {
		r.leader.MarkAccounted(m.Host)
	}
	r.placement.ExtendOverruns(m)
}

func (r *Reconciler) updateMachine(m *fleet.Machine, report *heartbeat.Report) {
	now := r.engine.Now
	if !m.Reported {
		r.engine.Log(slog.LevelDebug, "first heartbeat of machine", "machine", m.Host, "type", report.InstanceType, "zone", report.Zone, "tasks", len(report.Tasks))
		m.IdleSince = now
		r.leader.Booted(m.TypeName)
	}
	if m.Reported && report.Incarnation > m.Incarnation {
		// The worker starts a new incarnation only after its lease has expired and it has killed
		// all of its tasks.
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

func (r *Reconciler) updateTasks(m *fleet.Machine, report *heartbeat.Report) {
	r.heartbeatSeq++
	for i := range report.Tasks {
		t := &report.Tasks[i]
		a := m.FindAttempt(t.ID, t.Attempt, i)
		if a == nil {
			a = r.attempts.Adopt(m, t)
		}
		a.LastListed = r.heartbeatSeq
		r.attempts.Update(a, t)
	}
}

// releaseUnlisted releases the attempts that a heartbeat should list and does not, and reports
// whether a start order was lost. A start sent in reply to an earlier heartbeat and not listed now
// is never executed, because workers process replies in order and ignore late ones.
func (r *Reconciler) releaseUnlisted(m *fleet.Machine, report *heartbeat.Report) (lostStart bool) {
	m.Attempts = slices.DeleteFunc(m.Attempts, func(a *fleet.Attempt) bool {
		if a.LastListed == r.heartbeatSeq || report.Counter <= a.OrderedCounter {
			return false
		}
		lostStart = lostStart || a.Phase == fleet.Ordered && a.OrderedCounter > 0
		r.attempts.Release(a)
		return true
	})
	return lostStart
}

// backOffAfterLostStart counts a start order that a machine did not execute. From the second one
// on, further starts are delayed exponentially, since the machine may not receive replies.
func (r *Reconciler) backOffAfterLostStart(m *fleet.Machine) {
	if m.MissedStarts++; m.MissedStarts > 1 {
		m.RetryAt = r.engine.Now.Add(min(time.Second<<min(m.MissedStarts-1, 10), r.workerLease))
	}
}
