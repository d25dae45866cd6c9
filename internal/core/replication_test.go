package core

import (
	"testing"

	"yewpass/internal/record"
	"yewpass/internal/replica"
)

// TestOwnReplicaKeptAcrossTermJump checks that a former leader's replica is kept after a large
// jump of terms until a complete replica of a later term has arrived.
func TestOwnReplicaKeptAcrossTermJump(t *testing.T) {
	c := newLeader(t, 1)
	c.leadership, c.cfg.HostName = nil, "n1"
	c.replicas.SetOwn(replica.New(5, 2, record.FinalPrefix, 10))
	c.observeTerm(9, 188, 1)
	if newest := c.newestReplica(); newest == nil || newest.Term != 2 {
		t.Fatal("the replica is dropped after a jump of terms")
	}
	c.election.SetLeader("n0", 188)
	c.handleReplicaLine("n0", &replica.Line{Era: 9, Term: 188, Session: 1, Number: 1})
	if newest := c.newestReplica(); newest.Term != 2 {
		t.Fatal("the replica is dropped before the next one is complete")
	}
	c.handleReplicaLine("n0", &replica.Line{Era: 9, Term: 188, Session: 1, Number: 2, Complete: true})
	if newest := c.newestReplica(); newest.Term != 188 || c.replicas.Own() != nil {
		t.Error("the older replica is not replaced")
	}
}
