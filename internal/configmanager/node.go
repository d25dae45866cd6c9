package configmanager

import (
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/liveconfig"
	"yewpass/internal/peermsg"
	"yewpass/internal/quota"
	"yewpass/internal/record"
	"yewpass/internal/replica"
	"yewpass/internal/view"
)

// Node is what every controller knows of the configuration, whoever leads. It goes by
// replicas of the leader's records.
type Node struct {
	engine      *engine.Engine
	base        *liveconfig.State // the settings
	confirmedAt time.Time         // when the leader last told that the replica is the newest
}

// NewNode returns a node that has heard of no leader.
func NewNode(e *engine.Engine, cfg *config.Config) *Node {
	return &Node{engine: e, base: baseState(cfg)}
}

// AskLeaderVersion asks the known leader for its protocol version. This node may know of
// it only from its record, or the leader has told an earlier process of this node.
func (n *Node) AskLeaderVersion(leader string, highestTerm uint64) {
	n.engine.Emit(peermsg.Outgoing{To: leader, Msg: peermsg.Message{Kind: peermsg.Ack, Term: max(1, highestTerm), Ref: peermsg.VersionRequest, Version: peermsg.Version}})
}

// HandleLeaderRevision handles the leader's news of the revision that is in force, and
// replies with the one of the newest replica here.
func (n *Node) HandleLeaderRevision(leader string, m peermsg.Message, newest *replica.Replica) {
	revision := replicatedRevision(newest)
	if revision >= m.Ref {
		n.confirmedAt = n.engine.Now
	}
	n.engine.Emit(peermsg.Outgoing{To: leader, Msg: peermsg.Message{Kind: peermsg.ConfigRevision, Term: m.Term, Ref: revision}})
}

// Local returns which configuration this node has by its newest replica.
func (n *Node) Local(newest *replica.Replica) view.LocalConfig {
	since := n.confirmedAt
	if since.IsZero() {
		since = n.engine.StartedAt
	}
	return view.LocalConfig{Revision: replicatedRevision(newest), AgeSeconds: n.engine.Now.Sub(since).Seconds()}
}

// replicatedRevision returns the revision of the configuration in a replica, which may
// be nil.
func replicatedRevision(newest *replica.Replica) uint64 {
	if newest == nil {
		return 0
	}
	head, _ := newest.Get(record.ConfigHeadKey)
	return revisionIn(head.Value)
}

// Team returns an empty account of a team as it is configured in a replica of the last
// leader's records, or else in the settings; nil if there is no such team. A decision
// by it must be conditional on the head record in that replica.
func (n *Node) Team(last *replica.Replica, name string) *quota.Account {
	if r, ok := last.Get(record.ConfigTeamPrefix + name); ok {
		if changed, _ := r.Value.(*liveconfig.TeamRecord); changed != nil {
			return quota.New(changed.Team)
		}
	}
	if team, _, ok := n.base.Team(name); ok {
		return quota.New(team)
	}
	return nil
}
