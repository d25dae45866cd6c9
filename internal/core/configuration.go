package core

import (
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/liveconfig"
	"yewpass/internal/peermsg"
	"yewpass/internal/replica"
	"yewpass/internal/request"
	"yewpass/internal/timeline"
	"yewpass/internal/view"
)

// configLeader is a leadership as its live configuration sees it.
type configLeader struct {
	core       *Core
	leadership *leadership
}

// Answer implements configmanager.Leader.
func (l configLeader) Answer(to request.Request, response request.Response) {
	l.core.answer(to, response)
}

// ApplyTeams implements configmanager.Leader. Running tasks go on, and count; under a
// lowered limit nothing more starts until there is room.
func (l configLeader) ApplyTeams(teams []liveconfig.Team) {
	if len(teams) == 0 {
		return
	}
	for _, t := range teams {
		l.leadership.teams.Configure(t)
	}
	l.leadership.placement.Guarantees = l.leadership.teams.AnyGuarantee()
	l.leadership.dispatcher.RequestAll()
}

// TeamUsage implements configmanager.Leader.
func (l configLeader) TeamUsage(name string) timeline.Resources {
	if t := l.leadership.teams[name]; t != nil {
		return t.Allocated
	}
	return timeline.Resources{}
}

// SinceConfirmed implements configmanager.Leader: the authority counts from the last
// confirmation.
func (l configLeader) SinceConfirmed() time.Duration {
	return max(0, l.core.leaseTiming.Authority()-l.leadership.expiresAt.Sub(l.core.Now))
}

// HasLink implements configmanager.Leader.
func (l configLeader) HasLink(node string) bool { return l.core.election.IsLinked(node) }

// NewestReplica implements configmanager.Leader.
func (l configLeader) NewestReplica() *replica.Replica { return l.core.newestReplica() }

// RestoresConfig implements configmanager.Leader.
func (l configLeader) RestoresConfig() bool { return l.leadership.restorer.ConfigIsPending() }

// Replicate implements configmanager.Leader.
func (l configLeader) Replicate(entry kv.Entry) { l.core.replicate(entry) }

// LocalConfig returns which configuration this node has, whoever leads.
func (c *Core) LocalConfig() view.LocalConfig {
	if l := c.leadership; l != nil && l.loaded {
		return l.config.LocalConfig()
	}
	return c.config.LocalConfig(c.newestReplica())
}

// handleConfigRevision handles news of the revision that is in force, if from the leader,
// or of the one that another node has.
func (c *Core) handleConfigRevision(from string, m peermsg.Message) {
	switch l := c.leadership; {
	case l != nil && m.Term == l.term:
		l.config.RecordPeerRevision(from, m.Ref)
	case l == nil && from == c.election.Leader() && m.Term == c.election.HighestTerm():
		c.config.HandleLeaderRevision(from, m, c.newestReplica())
	}
}
