package core

import (
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/kv"
	"yewpass/internal/relaylinks"
	"yewpass/internal/writebatch"
)

// inventoryLeader implements inventory.Leader for a leadership.
type inventoryLeader struct {
	core       *Core
	leadership *leadership
}

// Write implements inventory.Leader.
func (r inventoryLeader) Write(change *writebatch.Change) { r.leadership.writes.Add(change) }

// ReadBack implements inventory.Leader.
func (r inventoryLeader) ReadBack(key string, f func(e kv.Entry, found bool)) {
	r.core.readBack(key, f)
}

// ReplicateDelete implements inventory.Leader.
func (r inventoryLeader) ReplicateDelete(key string) { r.core.replicateDelete(key) }

// RequestDispatch implements inventory.Leader.
func (r inventoryLeader) RequestDispatch(m *fleet.Machine) { r.leadership.dispatcher.Enqueue(m) }

// MarkAccounted implements inventory.Leader.
func (r inventoryLeader) MarkAccounted(host string) { r.core.markAccounted(host) }

// sortedJobs returns the jobs ordered by submission time, then by ID.
func (l *leadership) sortedJobs() []*fleet.Job {
	js := make([]*fleet.Job, 0, len(l.jobs))
	for _, j := range l.jobs {
		js = append(js, j)
	}
	slices.SortFunc(js, func(a, b *fleet.Job) int {
		if x := a.Submitted.Compare(b.Submitted); x != 0 {
			return x
		}
		if a.Spec.ID < b.Spec.ID {
			return -1
		}
		return 1
	})
	return js
}

// earlierLeaseExpiry returns the time by which all worker leases renewed by earlier leaders have
// expired. An earlier leader may have answered workers until all peers acknowledged the new term or
// its grace period ended, whichever came first.
func (c *Core) earlierLeaseExpiry() time.Time {
	l := c.leadership
	expiry := c.leaseTiming.TasksEndedBy(l.electedAt.Add(l.earlierLeaderOverlap))
	if !l.allAcknowledgedAt.IsZero() {
		if afterAcks := l.allAcknowledgedAt.Add(addClockDrift(c.workerLease)); afterAcks.Before(expiry) {
			return afterAcks
		}
	}
	return expiry
}

// expireLease drops the attempts and reservations of a machine whose lease has expired, and
// requeues incomplete tasks.
func (c *Core) expireLease(m *fleet.Machine) {
	c.Log(slog.LevelWarn, "worker lease expired", "machine", m.Host, "tasks", len(m.Attempts))
	c.leadership.attempts.DropAll(m)
	m.ExpireLease()
	relaylinks.Detach(m)
	c.markAccounted(m.Host)
	c.leadership.placement.DropMachineReservations(m)
}
