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

// configLeader implements configmanager.Leader for a leadership.
type configLeader struct {
	core       *Core
	leadership *leadership
}

// Answer implements configmanager.Leader.
func (l configLeader) Answer(to request.Request, response request.Response) {
	l.core.answer(to, response)
}

// ApplyTeams implements configmanager.Leader. Lowering a limit stops no running tasks, but no
// further ones start until the team is below it.
func (l configLeader) ApplyTeams(teams []liveconfig.Team) {
	if len(teams) == 0 {
		return
	}
	for _, t := range teams {
		l.leadership.teams.Configure(t)
	}
	l.leadership.placement.AnyGuarantee = l.leadership.teams.AnyGuarantee()
	l.leadership.dispatcher.EnqueueAll()
}

// TeamUsage implements configmanager.Leader.
func (l configLeader) TeamUsage(name string) timeline.Resources {
	if t := l.leadership.teams[name]; t != nil {
		return t.Allocated
	}
	return timeline.Resources{}
}

// SinceConfirmed implements configmanager.Leader. Each lease renewal also confirms the
// configuration, so the time follows from the expiry of the authority.
func (l configLeader) SinceConfirmed() time.Duration {
	return max(0, l.core.leaseTiming.Authority()-l.leadership.expiresAt.Sub(l.core.Now))
}

// IsLinked implements configmanager.Leader.
func (l configLeader) IsLinked(node string) bool { return l.core.election.IsLinked(node) }

// NewestReplica implements configmanager.Leader.
func (l configLeader) NewestReplica() *replica.Replica { return l.core.newestReplica() }

// ConfigPending implements configmanager.Leader.
func (l configLeader) ConfigPending() bool { return l.leadership.restorer.ConfigPending() }

// Replicate implements configmanager.Leader.
func (l configLeader) Replicate(entry kv.Entry) { l.core.replicate(entry) }

// LocalConfig returns the revision and age of the configuration that this node uses.
func (c *Core) LocalConfig() view.LocalConfig {
	if l := c.leadership; l != nil && l.loaded {
		return l.config.LocalConfig()
	}
	return c.config.LocalConfig(c.newestReplica())
}

// handleConfigRevision handles the revision that a peer has, on the leader, or that the leader has
// put into force, on another node.
func (c *Core) handleConfigRevision(from string, m peermsg.Message) {
	switch l := c.leadership; {
	case l != nil && m.Term == l.term:
		l.config.RecordPeerRevision(from, m.Ref)
	case l == nil && from == c.election.Leader() && m.Term == c.election.HighestTerm():
		c.config.HandleLeaderRevision(from, m, c.newestReplica())
	}
}
