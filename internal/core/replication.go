package core

import (
	"yewpass/internal/kv"
	"yewpass/internal/replica"
	"yewpass/internal/replication"
)

// replicationController implements replication.Controller and replication.ScrubHost.
type replicationController struct{ c *Core }

// HighestTerm implements replication.Controller.
func (h replicationController) HighestTerm() uint64 { return h.c.election.HighestTerm() }

// ConfirmedTerm implements replication.Controller.
func (h replicationController) ConfirmedTerm() uint64 { return h.c.election.ConfirmedTerm() }

// IsLinked implements replication.Controller.
func (h replicationController) IsLinked(peer string) bool { return h.c.election.IsLinked(peer) }

// HasLoadedRecords implements replication.Controller.
func (h replicationController) HasLoadedRecords() bool {
	l := h.c.leadership
	return l != nil && l.recovery == nil
}

// AdmitScrub implements replication.ScrubHost.
func (h replicationController) AdmitScrub() bool {
	c := h.c
	return c.isActive() && c.leadership.restorer.IsDone() && c.jobReader.Allow(2)
}

// StoreRevision implements replication.ScrubHost.
func (h replicationController) StoreRevision() uint64 { return h.c.observed.Revision }

// ReportDataLoss implements replication.ScrubHost. It ends the term.
func (h replicationController) ReportDataLoss(reason string) { h.c.reportDataLoss(reason) }

func (c *Core) startReplication(l *leadership) {
	l.publisher = replication.NewPublisher(c.replicas, l.scope, l.term)
	l.scrubber = replication.NewScrubber(l.publisher, l.writes, replicationController{c})
}

func (c *Core) newestReplica() *replica.Replica { return c.replicas.Newest() }

// lastLeaderReplica returns the replica of the newest confirmed term, or nil if this node does not
// have it or the store is known to have lost data.
func (c *Core) lastLeaderReplica() *replica.Replica {
	if newest := c.newestReplica(); newest != nil && newest.Term == c.election.ConfirmedTerm() && c.dataLossReason == "" {
		return newest
	}
	return nil
}

// ownReplica returns the replica that this node publishes as the leader, or nil.
func (c *Core) ownReplica() *replica.Replica {
	if c.leadership == nil {
		return nil
	}
	return c.leadership.publisher.Replica()
}

// replicate publishes a record read from the store, on the leader only.
func (c *Core) replicate(e kv.Entry) {
	if c.leadership != nil {
		c.leadership.publisher.PublishRead(e)
	}
}

func (c *Core) replicateDelete(key string) {
	if c.leadership != nil {
		c.leadership.publisher.PublishDelete(key)
	}
}

// handleLeaderlessJob adds to the replica a job that a peer has accepted while there was no leader.
func (c *Core) handleLeaderlessJob(line *replica.Line) {
	if c.leadership == nil { // a leader finds the job in the store
		c.replicas.ReceiveLeaderlessJob(line)
	}
}

// handleReplicaLine processes one line of a replica stream. A follower accepts lines from the
// leader; a new leader accepts lines of a replica that it requested from a peer.
func (c *Core) handleReplicaLine(from string, line *replica.Line) {
	l := c.leadership
	switch {
	case l == nil:
		if from != c.election.Leader() || line.Term > c.election.HighestTerm() {
			return // the sender is not the current leader
		}
		if !c.replicas.ReceiveFromLeader(from, line) {
			return
		}
		c.replicas.DropOutdatedOwn()
	case l.recovery != nil:
		if !l.recovery.ReceiveReplica(from, line) {
			return
		}
	case l.finalRecords.Source() == from && from != "":
		c.receiveFinalRecords(line)
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

// receiveFinalRecords processes a line of an earlier term's replica, and merges that replica into
// this leader's once it is complete.
func (c *Core) receiveFinalRecords(line *replica.Line) {
	l := c.leadership
	if c.ownReplica() == nil || line.Term >= l.term {
		return
	}
	if fetched := l.finalRecords.Receive(line, replication.MaxFinalRecords(c.cfg)); fetched != nil {
		l.publisher.MergeFetched(fetched)
		c.cacheFinalRecords(fetched)
		if l.recurring.Loaded() {
			l.restorer.RestoreMissingSchedules()
		}
	}
}

func (c *Core) cacheFinalRecords(r *replica.Replica) {
	for id, final := range replication.FinalRecords(r) {
		c.jobReader.CacheFinal(id, final)
	}
}

// restartReplica restarts a replica stream after the receiver has reported a gap.
func (c *Core) restartReplica(from string, session uint64) {
	if l := c.leadership; l != nil {
		l.publisher.RestartFollower(from, session) // the next tick starts a new stream
		return
	}
	c.replicas.RestartTransfer(from, session)
}
