package core

import (
	"yewpass/internal/gateway"
	"yewpass/internal/peermsg"
	"yewpass/internal/quota"
	"yewpass/internal/replica"
	"yewpass/internal/view"
)

// gatewayController implements gateway.Controller for Core.
type gatewayController struct{ core *Core }

// IsLeader implements gateway.Controller.
func (g gatewayController) IsLeader() bool { return g.core.leadership != nil }

// Upstream implements gateway.Controller.
func (g gatewayController) Upstream() gateway.Upstream {
	c := g.core
	return gateway.Upstream{
		Leader:       c.election.Leader(),
		Linked:       c.election.IsLinkedToLeader(),
		KnowsConfig:  c.election.LeaderVersion() >= peermsg.Version,
		Term:         c.election.HighestTerm(),
		TermRevision: c.election.ConfirmedTermRevision(),
	}
}

// RequestLeaderVersion implements gateway.Controller.
func (g gatewayController) RequestLeaderVersion() {
	c := g.core
	c.config.RequestLeaderVersion(c.election.Leader(), c.election.HighestTerm())
}

// Cluster implements gateway.Controller.
func (g gatewayController) Cluster() *view.Cluster { return g.core.clusterView() }

// LastLeaderReplica implements gateway.Controller.
func (g gatewayController) LastLeaderReplica() *replica.Replica { return g.core.lastLeaderReplica() }

// Team implements gateway.Controller.
func (g gatewayController) Team(k *replica.Replica, name string) *quota.Account {
	return g.core.config.TeamAccount(k, name)
}
