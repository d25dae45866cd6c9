package core

import (
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/forwarder"
	"yewpass/internal/heartbeat"
	"yewpass/internal/peermsg"
	"yewpass/internal/relay"
)

// relaySilence is after which time without a line the leader leads nobody to a relay.
const relaySilence = 3 * time.Second

// forwarderView is the controller as its forwarder sees it.
type forwarderView struct{ c *Core }

// Leads implements forwarder.Controller.
func (v forwarderView) Leads() bool { return v.c.leadership != nil }

// Upstream implements forwarder.Controller.
func (v forwarderView) Upstream() forwarder.Upstream {
	c := v.c
	return forwarder.Upstream{Leader: c.knownLeader, Linked: c.hasLeaderLink(), LinkLostAt: c.leaderLinkLostAt, Term: c.highestTerm, ConfirmedTerm: c.confirmedTerm}
}

// ---- the leader's end

// handleRelayedHeartbeats takes in what a relay passes on.
func (c *Core) handleRelayedHeartbeats(from string, m peermsg.Message) {
	l := c.leadership
	if l == nil || m.Term != l.term {
		return // it will hear of the newest term, and tell its leader again
	}
	p := l.relay(from)
	former := p.Decoder.Session()
	reps, begun, err := p.Decoder.Decode(m.Reports)
	if begun {
		if former != 0 {
			// Maybe another process, back so soon that its end went unnoticed. Those who
			// reported to the one before look for another node first.
			p.LastSilent = c.Now
		}
		// All that waits there is told again. The numbers of the session before mean
		// nothing any more.
		for _, x := range l.fleet {
			if x.HeldReply != nil && x.HeldReply.Via.Relay == from {
				c.takeHeldReply(x)
			}
		}
		l.pendingHeartbeats = slices.DeleteFunc(l.pendingHeartbeats, func(r heartbeat.Received) bool { return r.Via.Relay == from })
		p.Replies, p.Weight = nil, 0
	}
	if err == relay.ErrStaleSession {
		return
	}
	if err != nil {
		if err != relay.ErrSequenceGap {
			c.Log(slog.LevelWarn, "malformed heartbeats from relay", "relay", from, "reason", err)
		}
		c.Emit(peermsg.Outgoing{To: from, Msg: peermsg.Message{Kind: peermsg.HeartbeatReplies, Term: l.term, Replies: &relay.Replies{Session: m.Reports.Session, Resync: true}}})
		return
	}
	p.LastBatch = c.Now
	by := heartbeat.RelaySession{Relay: from, Session: m.Reports.Session}
	for i := range reps {
		if ref := m.Reports.Reports[i].Ref; ref != 0 {
			c.handleHeartbeat(heartbeat.Received{Ref: ref, Via: by, Report: reps[i]})
		} else if x := l.machines[reps[i].Host]; x != nil && l.loaded && l.probeCounts(x) && reps[i].FencingToken == l.term {
			c.reconcileProbe(x, &reps[i])
		}
		if c.leadership != l {
			return
		}
	}
	for _, ref := range m.Reports.Abandoned {
		c.abandonHeldReply(fleet.HeartbeatKey{Via: by, Ref: ref})
	}
}

func (l *leadership) relay(name string) *fleet.RelayLink {
	p := l.relays[name]
	if p == nil {
		p = &fleet.RelayLink{}
		l.relays[name] = p
	}
	return p
}

// replyHeartbeat answers a report the way it came.
func (c *Core) replyHeartbeat(by heartbeat.RelaySession, a heartbeat.Reply) {
	if by.Relay == "" {
		c.Emit(a)
		return
	}
	if c.leadership == nil {
		return
	}
	p := c.leadership.relay(by.Relay)
	if by.Session != p.Decoder.Session() {
		return // nobody waits for it there
	}
	x := relay.Reply{Ref: a.Ref, Upstream: a.Upstream, Orders: a.Orders}
	if a.Status != 200 {
		x.Status = a.Status
	}
	p.Replies = append(p.Replies, x)
	p.Weight += x.Weight()
	if p.Weight > relay.MaxMessageWeight {
		c.sendRelayReplies(by.Relay, p)
	}
}

func (c *Core) sendRelayReplies(name string, p *fleet.RelayLink) {
	if len(p.Replies) == 0 {
		return
	}
	c.Emit(peermsg.Outgoing{To: name, Msg: peermsg.Message{Kind: peermsg.HeartbeatReplies, Term: c.leadership.term, Replies: &relay.Replies{Session: p.Decoder.Session(), List: p.Replies}}})
	p.Replies, p.Weight = nil, 0
}

// flushRelayReplies sends what was answered in this step to the relays.
func (c *Core) flushRelayReplies() {
	if l := c.leadership; l != nil && len(l.relays) > 0 {
		for _, s := range c.cfg.Seeds {
			if p := l.relays[s.HostName]; p != nil {
				c.sendRelayReplies(s.HostName, p)
			}
		}
	}
}

// setReportsVia notes by which node a machine reports.
func (l *leadership) setReportsVia(m *fleet.Machine, by string) {
	if p := l.relay(by); m.ReportsVia != p {
		l.clearReportsVia(m)
		m.ReportsVia = p
		p.Workers++
	}
}

// clearReportsVia notes that a machine reports by none.
func (l *leadership) clearReportsVia(m *fleet.Machine) {
	if m.ReportsVia != nil {
		m.ReportsVia.Workers--
		m.ReportsVia = nil
	}
}

// relayNodes returns the controllers that can take workers for us now.
func (c *Core) relayNodes() []relay.Node {
	l := c.leadership
	l.nodes = l.nodes[:0]
	for _, s := range c.cfg.Seeds {
		p := l.relays[s.HostName]
		if c.takesWorkers(s.HostName, p) {
			l.nodes = append(l.nodes, relay.Node{Name: s.HostName, Zone: s.Site, Workers: p.Workers, Capacity: c.maxWorkersPerNode()})
		}
	}
	return l.nodes
}

// workerRetryTimeout is how long a worker waits for an answer, and until it asks the next
// node: it may have sent its report to a relay that had just gone quiet.
const workerRetryTimeout = 4*time.Second + time.Second

// heardAgainWithin is within which time a worker that is well is heard again, though its next report
// has no answer and goes to another node.
func (c *Core) heardAgainWithin() time.Duration { return c.heartbeatInterval*5/4 + workerRetryTimeout }

// noteSilentRelays notes which relays say nothing. A worker of theirs is not silent by itself:
// it finds out when its next report has had no answer for long, and goes elsewhere then.
// Returned before that it would have lost its tasks for nothing.
func (c *Core) noteSilentRelays() {
	for _, s := range c.cfg.Seeds {
		if p := c.leadership.relays[s.HostName]; p != nil && c.Now.Sub(p.LastBatch) > 3*forwarder.KeepAliveInterval {
			p.LastSilent = c.Now
		}
	}
}

// overdueHeartbeat is when a report is overdue: they come up to a quarter late, and have waited
// for their replies before.
func overdueHeartbeat(report time.Duration) time.Duration { return report * 3 / 2 }

// noteIsolatedRelays notes which relays have lost their workers while we hear them ourselves, by
// how many of theirs are overdue. One machine of many is rather gone itself; a quarter of a
// node's falling silent together have lost that node, and find out as those of a quiet
// relay do.
func (c *Core) noteIsolatedRelays(overdue map[*fleet.RelayLink]int) {
	for p, n := range overdue {
		if n > 2 && 4*n > p.Workers {
			p.LastSilent = c.Now
		}
	}
}

// silenceLimit is how long the machine may be silent, given how long one may be.
func (c *Core) silenceLimit(m *fleet.Machine, silent time.Duration) time.Duration {
	if m.ReportsVia != nil && m.ReportsVia.LastSilent.After(m.LastHeartbeat) {
		return max(silent, c.heardAgainWithin()+time.Second)
	}
	return silent
}

// takesWorkers reports whether workers can report to us by a relay now.
func (c *Core) takesWorkers(name string, p *fleet.RelayLink) bool {
	return p != nil && c.links[name] && p.Decoder.Session() != 0 && c.Now.Sub(p.LastBatch) < relaySilence
}

// maxWorkersPerNode is how many workers a node takes: their part of the connections that it
// lets in. The rest is for users.
func (c *Core) maxWorkersPerNode() int {
	if n := c.cfg.Settings.Limits.MaxConnections; n > 0 {
		return max(4, relay.MaxClientConnections(n)*5/6)
	}
	return 1 << 30
}

// maxFleet is how many machines the controllers can serve together. The leader takes
// no workers itself while there are others, and one of those may be away.
func (c *Core) maxFleet() int {
	return c.maxWorkersPerNode() * max(1, len(c.cfg.Seeds)-1)
}

// redirectTarget says to which node a machine that has just reported by another should report,
// or "" while it stays. Workers are led away one at a time, so that no storm comes of
// it; only one that nobody has heard of before goes at once, for it has nothing to
// lose. A machine that comes back had a reason: the other node is out of its reach.
func (c *Core) redirectTarget(m *fleet.Machine, by string, first bool) string {
	l := c.leadership
	if len(c.cfg.Seeds) == 0 || !c.hasAuthority() || !l.allAccounted() || m.Releasing || c.Now.Sub(m.LastMoved) < 3*c.workerLease {
		return ""
	}
	first = first && by == ""
	if !first && (c.Now.Before(l.nextMoveAt) || m.FencingToken != l.term) {
		return ""
	}
	nodes := c.relayNodes()
	to := relay.LeastLoaded(nodes, m.Zone)
	if to == "" || to == by || by != "" && !relay.Imbalanced(nodes, by, to, m.Zone) {
		return ""
	}
	if !first {
		l.nextMoveAt = c.Now.Add(time.Second / time.Duration(4+len(l.fleet)/50))
	}
	m.LastMoved = c.Now
	return to
}
