package core

import (
	"testing"

	"yewpass/internal/record"
	"yewpass/internal/replica"
)

// TestOwnReplicaOutlivesAJumpOfTerms: after a loss terms go on far above the last one. The replica
// of whoever led last is then the newest that there is, and is kept until a whole copy of a
// later term has come. (It was dropped by the distance of the terms, and an older one lent.)
func TestOwnReplicaOutlivesAJumpOfTerms(t *testing.T) {
	c := leaderOf(t, 1)
	c.leadership, c.cfg.HostName = nil, "n1"
	c.replicas.SetOwn(replica.New(5, 2, record.FinalPrefix, 10))
	c.observeTerm(9, 188, 1)
	if k := c.newestReplica(); k == nil || k.Term != 2 {
		t.Fatal("the copy is gone")
	}
	c.election.SetLeader("n0", 188)
	c.handleReplicaLine("n0", &replica.Line{Era: 9, Term: 188, Session: 1, Number: 1})
	if k := c.newestReplica(); k.Term != 2 {
		t.Fatal("the copy is gone before the next one is whole")
	}
	c.handleReplicaLine("n0", &replica.Line{Era: 9, Term: 188, Session: 1, Number: 2, Complete: true})
	if k := c.newestReplica(); k.Term != 188 || c.replicas.Own() != nil {
		t.Error("the older copy is still there")
	}
}
