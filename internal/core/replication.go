package core

import (
	"yewpass/internal/kv"
	"yewpass/internal/replica"
	"yewpass/internal/replication"
)

// replicationHost is what package replication sees of the controller.
type replicationHost struct{ c *Core }

// HighestTerm returns the highest term heard of.
func (h replicationHost) HighestTerm() uint64 { return h.c.election.HighestTerm() }

// ConfirmedTerm returns the highest term that the store has told of.
func (h replicationHost) ConfirmedTerm() uint64 { return h.c.election.ConfirmedTerm() }

// IsLinked reports whether the link to a peer is up.
func (h replicationHost) IsLinked(peer string) bool { return h.c.election.IsLinked(peer) }

// HasLoadedRecords reports whether we lead and know which records there are.
func (h replicationHost) HasLoadedRecords() bool {
	l := h.c.leadership
	return l != nil && l.recovery == nil
}

// AdmitScrub reports whether the scrubber may read, and takes two reads from the allowance.
func (h replicationHost) AdmitScrub() bool {
	c := h.c
	return c.canAct() && c.leadership.restorer.IsDone() && c.jobs.Allow(2)
}

// StoreRevision returns the highest revision of the store that was observed.
func (h replicationHost) StoreRevision() uint64 { return h.c.observed.Revision }

// ReportDataLoss ends the term, as the store has lost data.
func (h replicationHost) ReportDataLoss(reason string) { h.c.reportDataLoss(reason) }

// startReplication sets up the replication of a new term.
func (c *Core) startReplication(l *leadership) {
	l.publisher = replication.NewPublisher(c.replicas, l.scope, l.term)
	l.scrubber = replication.NewScrubber(l.publisher, l.writes, replicationHost{c})
}

// newestReplica returns the newest replica that this process has, or nil.
func (c *Core) newestReplica() *replica.Replica { return c.replicas.Newest() }

// lastLeaderReplica returns the replica of the last leader that we know of, or nil without one, and
// when the store is known to have lost data since.
func (c *Core) lastLeaderReplica() *replica.Replica {
	if newest := c.newestReplica(); newest != nil && newest.Term == c.election.ConfirmedTerm() && c.dataLossReason == "" {
		return newest
	}
	return nil
}

// ownReplica returns the replica of the term that we lead, or nil.
func (c *Core) ownReplica() *replica.Replica {
	if c.leadership == nil {
		return nil
	}
	return c.leadership.publisher.Replica()
}

// replicate publishes a record that was read.
func (c *Core) replicate(e kv.Entry) {
	if c.leadership != nil {
		c.leadership.publisher.PublishRead(e)
	}
}

// replicateDrop publishes that we have deleted a record.
func (c *Core) replicateDrop(key string) {
	if c.leadership != nil {
		c.leadership.publisher.PublishDelete(key)
	}
}

// handleLeaderlessJob takes in a job that another controller has accepted without a leader.
func (c *Core) handleLeaderlessJob(line *replica.Line) {
	if c.leadership == nil { // a leader adopts it by its note
		c.replicas.ReceiveLeaderlessJob(line)
	}
}

// handleReplicaLine takes in a line of a replica: of the leader's, or of one that we have asked for.
func (c *Core) handleReplicaLine(from string, line *replica.Line) {
	l := c.leadership
	switch {
	case l == nil:
		if from != c.election.Leader() || line.Term > c.election.HighestTerm() {
			return // of nobody who leads
		}
		if !c.replicas.ReceiveFromLeader(from, line) {
			return
		}
		c.replicas.DropOutdatedOwn()
	case l.recovery != nil:
		if !l.recovery.ReceiveReplica(from, line) {
			return
		}
	case l.finals.Source() == from && from != "":
		c.receiveFinals(line)
		return
	default:
		return
	}
	for i := range line.Puts {
		c.observed.Revision = max(c.observed.Revision, line.Puts[i].Rev)
	}
	if l != nil {
		l.recovery.AdvanceIfFetched()
	}
}

// receiveFinals takes in a line of the replica from which we learn how jobs have ended.
func (c *Core) receiveFinals(line *replica.Line) {
	l := c.leadership
	if c.ownReplica() == nil || line.Term >= l.term {
		return
	}
	if fetched := l.finals.Receive(line, replication.MaxFinalRecords(c.cfg)); fetched != nil {
		l.publisher.MergeFetched(fetched)
		c.rememberFinals(fetched)
		if l.recurring.Loaded() {
			l.restorer.RestoreMissingSchedules()
		}
	}
}

// rememberFinals takes in how the jobs of a replica have ended.
func (c *Core) rememberFinals(r *replica.Replica) {
	for id, final := range replication.FinalRecords(r) {
		c.jobs.Remember(id, final)
	}
}

// restartReplica begins a stream anew whose lines did not all arrive.
func (c *Core) restartReplica(from string, session uint64) {
	if l := c.leadership; l != nil {
		l.publisher.RestartFollower(from, session) // supplied again with the next tick
		return
	}
	c.replicas.RestartTransfer(from, session)
}
