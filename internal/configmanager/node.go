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

// Node is a controller's view of the configuration, based on its replicas of the leader's
// records.
type Node struct {
	engine      *engine.Engine
	base        *liveconfig.State // from the settings
	confirmedAt time.Time         // when the leader last confirmed that the replica is the newest
}

// NewNode returns a Node that has not received any message from a leader.
func NewNode(e *engine.Engine, cfg *config.Config) *Node {
	return &Node{engine: e, base: baseState(cfg)}
}

// RequestLeaderVersion asks the known leader for its protocol version. This process lacks it
// if it has restarted, or if it knows the leader only from the leader's record.
func (n *Node) RequestLeaderVersion(leader string, highestTerm uint64) {
	n.engine.Emit(peermsg.Outgoing{To: leader, Msg: peermsg.Message{Kind: peermsg.Ack, Term: max(1, highestTerm), Ref: peermsg.VersionRequest, Version: peermsg.Version}})
}

// HandleLeaderRevision handles the leader's message with the revision that is in effect
// and replies with the revision of this node's newest replica.
func (n *Node) HandleLeaderRevision(leader string, m peermsg.Message, newest *replica.Replica) {
	revision := replicatedRevision(newest)
	if revision >= m.Ref {
		n.confirmedAt = n.engine.Now
	}
	n.engine.Emit(peermsg.Outgoing{To: leader, Msg: peermsg.Message{Kind: peermsg.ConfigRevision, Term: m.Term, Ref: revision}})
}

// LocalConfig returns the revision of the configuration in this node's newest replica, and
// the time since the leader confirmed it.
func (n *Node) LocalConfig(newest *replica.Replica) view.LocalConfig {
	since := n.confirmedAt
	if since.IsZero() {
		since = n.engine.StartedAt
	}
	return view.LocalConfig{Revision: replicatedRevision(newest), AgeSeconds: n.engine.Now.Sub(since).Seconds()}
}

// replicatedRevision returns the revision of the configuration in a replica, or 0 if
// the replica is nil or has no head record.
func replicatedRevision(newest *replica.Replica) uint64 {
	if newest == nil {
		return 0
	}
	head, _ := newest.Get(record.ConfigHeadKey)
	return revisionIn(head.Value)
}

// TeamAccount returns an account without usage for a team, configured as in last, the
// replica of the last leader's records, or else as in the settings. It returns nil for an
// unknown team. A write that is based on it must be conditional on the replica's head record.
func (n *Node) TeamAccount(last *replica.Replica, name string) *quota.Account {
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
