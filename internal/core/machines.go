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

// recordsLeader is a leadership as its records of machines see it.
type recordsLeader struct {
	core       *Core
	leadership *leadership
}

// Write implements inventory.Leader.
func (r recordsLeader) Write(change *writebatch.Change) { r.leadership.writes.Add(change) }

// ReadBack implements inventory.Leader.
func (r recordsLeader) ReadBack(key string, f func(e kv.Entry, found bool)) { r.core.readBack(key, f) }

// ReplicateDrop implements inventory.Leader.
func (r recordsLeader) ReplicateDrop(key string) { r.core.replicateDrop(key) }

// RequestDispatch implements inventory.Leader.
func (r recordsLeader) RequestDispatch(m *fleet.Machine) { r.leadership.dispatcher.Request(m) }

// MarkAccounted implements inventory.Leader.
func (r recordsLeader) MarkAccounted(host string) { r.core.markAccounted(host) }

// sortedJobs returns the jobs by the time of their submission.
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

// earlierLeaseExpiry is when a lease is surely over that only earlier leaders renewed: one
// may have gone on answering until its peers told it of our term or its hold ran out.
func (c *Core) earlierLeaseExpiry() time.Time {
	l := c.leadership
	over := c.leaseTiming.TasksEndedBy(l.electedAt.Add(l.earlierLeaderLag))
	if !l.allAcknowledgedAt.IsZero() {
		if told := l.allAcknowledgedAt.Add(withDrift(c.workerLease)); told.Before(over) {
			return told
		}
	}
	return over
}

// expireLease gives up on the tasks of a machine whose lease is surely over.
func (c *Core) expireLease(m *fleet.Machine) {
	c.Log(slog.LevelWarn, "worker lease expired", "machine", m.Host, "tasks", len(m.Attempts))
	c.leadership.attempts.DropAll(m)
	m.ExpireLease()
	relaylinks.Detach(m)
	c.markAccounted(m.Host)
	c.leadership.placement.DropMachineReservations(m)
}
