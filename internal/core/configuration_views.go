package core

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"yewpass/internal/liveconfig"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/view"
)

// peerVersion is the version of the talk between controllers. Those of before it was told
// say nothing, which counts as 0.
const peerVersion = 1

func (c *Core) viewTeam(name string) (v view.Team, ok bool) {
	conf := &c.leadership.config
	if v.Team, v.Revision, ok = conf.state.Team(name); !ok {
		return v, false
	}
	v.Damaged = conf.damaged["team/"+name]
	if t := c.leadership.teams[name]; t != nil {
		v.InUse.CPUs, v.InUse.GPUs = float64(t.Allocated.CPU)/1000, float64(t.Allocated.GPU)/1000
	}
	return v, true
}

func (c *Core) listTeams(q *request.ConfigParams) view.TeamPage {
	page := view.TeamPage{Revision: c.leadership.config.state.Revision, Teams: []view.Team{}}
	names := c.leadership.config.state.Names()
	i, found := slices.BinarySearch(names, q.After)
	if found {
		i++
	}
	for ; i < len(names); i++ {
		if len(page.Teams) == q.Count {
			page.Truncated = true
			break
		}
		v, _ := c.viewTeam(names[i])
		page.Teams = append(page.Teams, v)
	}
	return page
}

// configStatus tells which revision is in force where, as the leader knows.
func (c *Core) configStatus() view.ConfigStatus {
	l := c.leadership
	conf := &l.config
	v := view.ConfigStatus{Revision: conf.state.Revision, Changes: conf.changes, Waiting: len(conf.waiting), PropagationSeconds: conf.spread.Seconds(),
		Damaged: slices.Sorted(maps.Keys(conf.damaged)), Refusal: c.configRefusal()}
	if conf.batch != nil {
		v.Waiting += len(conf.batch.changes)
	}
	v.Nodes = append(v.Nodes, view.ConfigNodeStatus{Name: c.cfg.HostName, Revision: conf.state.Revision, AgeSeconds: c.confirmedAgo().Seconds(), SupportsLiveConfig: true})
	for _, s := range c.cfg.Seeds {
		n := view.ConfigNodeStatus{Name: s.HostName, AgeSeconds: -1}
		if x := conf.nodes[s.HostName]; x != nil {
			n.Revision, n.SupportsLiveConfig = x.revision, x.version >= peerVersion
			if !x.at.IsZero() {
				n.AgeSeconds = c.Now.Sub(x.at).Seconds()
			}
		}
		v.Nodes = append(v.Nodes, n)
	}
	return v
}

// confirmedAgo is how long ago the state service last confirmed what this leader goes by:
// its authority counts from then.
func (c *Core) confirmedAgo() time.Duration {
	return max(0, c.leaseTiming.Authority()-c.leadership.expiresAt.Sub(c.Now))
}

// LocalConfig returns what this node has.
func (c *Core) LocalConfig() view.LocalConfig {
	if l := c.leadership; l != nil && l.loaded {
		return view.LocalConfig{Revision: l.config.state.Revision, AgeSeconds: c.confirmedAgo().Seconds()}
	}
	since := c.configConfirmedAt
	if since.IsZero() {
		since = c.StartedAt
	}
	return view.LocalConfig{Revision: c.replicatedRevision(), AgeSeconds: c.Now.Sub(since).Seconds()}
}

// replicatedRevision is that of the last leader's copy.
func (c *Core) replicatedRevision() uint64 {
	k := c.newestReplica()
	if k == nil {
		return 0
	}
	r, _ := k.Get(record.ConfigHeadKey)
	head, _ := r.Value.(*liveconfig.HeadRecord)
	if head == nil {
		return 0
	}
	return head.Revision
}

// ---- telling each other

// broadcastConfig tells the other controllers which revision is in force, now and every while.
// Where nothing was ever changed there is nothing to tell.
func (c *Core) broadcastConfig() {
	c.sendConfigRevision()
	c.afterWhileLeading(configBroadcastInterval, c.broadcastConfig)
}

func (c *Core) sendConfigRevision() {
	conf := &c.leadership.config
	if conf.state.Revision == 0 {
		return
	}
	c.askPeerVersions()
	for _, s := range c.cfg.Seeds {
		if n := conf.nodes[s.HostName]; n != nil && n.version >= peerVersion && c.election.IsLinked(s.HostName) {
			c.Emit(peermsg.Outgoing{To: s.HostName, Msg: peermsg.Message{Kind: peermsg.ConfigRevision, Term: c.leadership.term, Ref: conf.state.Revision}})
		}
	}
}

// askPeerVersions asks those controllers for the version that they talk in whose word for our
// term has not come: their link to us comes up after ours to them.
func (c *Core) askPeerVersions() {
	for _, s := range c.cfg.Seeds {
		if c.leadership.config.nodes[s.HostName] == nil && c.election.IsLinked(s.HostName) {
			c.Emit(peermsg.Outgoing{To: s.HostName, Msg: peermsg.Message{Kind: peermsg.Leader, Term: c.leadership.term, Version: peerVersion}})
		}
	}
}

// askForVersion as an ack's reference asks the leader to say again in which version it talks.
// Leaders of before there was one take it for an ack.
const askForVersion = 1

// askLeaderVersion asks the leader that we know for the version that it talks in: we may have
// learned of it from the record, or its word went to the process before this one.
func (c *Core) askLeaderVersion() {
	c.Emit(peermsg.Outgoing{To: c.election.Leader(), Msg: peermsg.Message{Kind: peermsg.Ack, Term: max(1, c.election.HighestTerm()), Ref: askForVersion, Version: peerVersion}})
}

// notePeerVersion takes note of the version that another controller talks in.
func (c *Core) notePeerVersion(from string, version uint64) {
	conf := &c.leadership.config
	if conf.nodes[from] == nil {
		conf.nodes[from] = &configNode{}
	}
	conf.nodes[from].version = version
}

// handlePeerConfig: the leader tells which revision is in force, or another node which one it has.
func (c *Core) handlePeerConfig(from string, m peermsg.Message) {
	if l := c.leadership; l != nil {
		if n := l.config.nodes[from]; n != nil && m.Term == l.term {
			n.revision = m.Ref
			if n.revision >= l.config.state.Revision {
				n.at = c.Now
			}
			c.measureConfigSpread()
		}
		return
	}
	if from != c.election.Leader() || m.Term != c.election.HighestTerm() {
		return
	}
	have := c.replicatedRevision()
	if have >= m.Ref {
		c.configConfirmedAt = c.Now
	}
	c.Emit(peermsg.Outgoing{To: from, Msg: peermsg.Message{Kind: peermsg.ConfigRevision, Term: m.Term, Ref: have}})
}

// measureConfigSpread measures how long a revision takes to be known to all that are in reach.
func (c *Core) measureConfigSpread() {
	conf := &c.leadership.config
	if !conf.spreading {
		return
	}
	for name, n := range conf.nodes {
		if c.election.IsLinked(name) && n.version >= peerVersion && n.revision < conf.state.Revision {
			return
		}
	}
	conf.spreading, conf.spread = false, c.Now.Sub(conf.since)
	if conf.spread > configSpreadTarget {
		c.Log(slog.LevelWarn, "configuration change propagated slowly", "revision", conf.state.Revision, "after", conf.spread)
	}
}

// configSpreadTarget is within what time a change is in force at every controller.
const configSpreadTarget = 3 * time.Second
