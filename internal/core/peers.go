package core

import (
	"log/slog"

	"yewpass/internal/kv"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
)

// handlePeerMessage takes in a message of another controller.
func (c *Core) handlePeerMessage(p peermsg.Received) {
	switch p.Msg.Kind {
	case peermsg.Leader:
		c.handleLeaderClaim(p.From, p.Msg.Term, p.Msg.Version)
	case peermsg.Ack:
		c.handleTermAck(p.From, p.Msg)
	case peermsg.ConfigRevision:
		c.handleConfigRevision(p.From, p.Msg)
	case peermsg.Request:
		c.handleForwardedRequest(p.From, p.Msg)
	case peermsg.Response:
		c.gateway.HandleResponse(p.From, p.Msg)
	case peermsg.Replica:
		c.handleReplicaLine(p.From, p.Msg.Replica)
	case peermsg.ReplicaRestart:
		c.restartReplica(p.From, p.Msg.Ref)
	case peermsg.WantReplica:
		c.handleReplicaWanted(p.From)
	case peermsg.LeaderlessJob:
		c.handleLeaderlessJob(p.Msg.Replica)
	case peermsg.AskKnowledge:
		c.tellKnowledge(p.From, p.Msg.Term)
	case peermsg.TellKnowledge:
		c.handleKnowledgeTold(p.From, p.Msg)
	case peermsg.Heartbeats:
		c.handleRelayedHeartbeats(p.From, p.Msg)
	case peermsg.HeartbeatReplies:
		c.forwarder.HandleReplies(p.From, p.Msg.Term, p.Msg.Replies)
	}
}

// handleLinkChange takes in that the link to another controller has come up or gone down.
func (c *Core) handleLinkChange(p peermsg.LinkChange) {
	c.election.SetLink(p.Name, p.Up)
	l := c.leadership
	switch {
	case p.Up && l != nil:
		// Also to one that has acknowledged the term: it may be a new process.
		c.announceTermTo(p.Name)
		if l.noEarlierTerm {
			c.Emit(peermsg.Outgoing{To: p.Name, Msg: peermsg.Message{Kind: peermsg.AskKnowledge, Term: l.term}})
		}
	case !p.Up && l != nil:
		l.publisher.DropFollower(p.Name)
	}
	if !p.Up {
		c.gateway.HandleLinkLost(p.Name)
	}
}

// announceTerm tells the peers that have not acknowledged our term that we lead it.
func (c *Core) announceTerm() {
	for _, p := range c.cfg.Seeds {
		if !c.leadership.acknowledged[p.HostName] {
			c.announceTermTo(p.HostName)
		}
	}
}

// announceTermTo tells a peer that we lead our term.
func (c *Core) announceTermTo(peer string) {
	c.Emit(peermsg.Outgoing{To: peer, Msg: peermsg.Message{Kind: peermsg.Leader, Term: c.leadership.term, Version: peermsg.Version}})
}

// handleTermAck takes in that a peer has acknowledged a term.
func (c *Core) handleTermAck(from string, m peermsg.Message) {
	l := c.leadership
	if l == nil || m.Term != l.term {
		return
	}
	l.config.RecordPeerVersion(from, m.Version)
	if m.Ref == peermsg.AskVersion {
		c.announceTermTo(from)
	}
	if l.acknowledged[from] {
		return
	}
	l.acknowledged[from] = true
	if len(l.acknowledged) == len(c.cfg.Seeds) {
		l.allAcknowledgedAt = c.Now
	}
}

// handleForwardedRequest serves a user's request that a peer has passed on.
func (c *Core) handleForwardedRequest(from string, m peermsg.Message) {
	c.handleRequest(request.Request{Ref: m.Ref, From: from, Op: m.Op, ID: m.ID, Spec: m.Spec, Schedule: m.Schedule, Config: m.Config})
}

// handleReplicaWanted begins to send our replica to a new leader.
func (c *Core) handleReplicaWanted(from string) {
	if c.leadership == nil {
		c.replicas.StartTransfer(from)
	}
}

// tellKnowledge answers a new leader that asks what we know of earlier terms.
func (c *Core) tellKnowledge(to string, term uint64) {
	if c.leadership == nil {
		c.Emit(peermsg.Outgoing{To: to, Msg: peermsg.Message{Kind: peermsg.TellKnowledge, Term: term, Knowledge: c.knowledge()}})
	}
}

// handleKnowledgeTold takes in what a peer knows, if we asked in this term.
func (c *Core) handleKnowledgeTold(from string, m peermsg.Message) {
	if l := c.leadership; l != nil && m.Term == l.term {
		c.handleKnowledge(from, m.Knowledge)
	}
}

// handleLeaderClaim takes in that a peer claims to lead a term. A message that anybody might
// have written must neither end a leadership that is in order nor keep the nodes from the
// leader that there is.
func (c *Core) handleLeaderClaim(from string, term, version uint64) {
	switch l := c.leadership; {
	case term < c.election.HighestTerm():
	case l == nil:
		c.election.AcceptClaim(from, term, version, peermsg.Version)
	case term == l.term:
		c.Log(slog.LevelError, "peer claims the term that this node leads", "peer", from, "term", term)
	case c.hasAuthority():
		// In authority our lease lives, and nobody else can have begun a term, as
		// far as our clock goes; the state service knows.
		c.verifyTerm("a newer term is known", func() {
			c.Log(slog.LevelWarn, "claimed term does not exist", "peer", from, "claimed", term, "term", l.term)
		})
	default:
		c.stepDown("a newer term is known")
		c.election.AcceptClaim(from, term, version, peermsg.Version)
	}
}

// verifyTerm asks the store whether our term is still the newest, because something says
// that it is not. If it is, unfounded is called.
func (c *Core) verifyTerm(because string, unfounded func()) {
	l := c.leadership
	if l.verifying || !c.jobs.Allow(1) {
		return // whoever insists will say so again
	}
	l.verifying = true
	c.storeWhileLeading(kv.Request{Op: kv.Get, Key: record.TermKey}, func(r kv.Response) {
		l.verifying = false
		switch {
		case r.Outcome == rpc.OK && r.Entries[0].Rev == l.termRevision:
			unfounded()
		case r.Outcome == rpc.OK || r.Outcome == rpc.NotFound:
			c.stepDown(because)
		}
	})
}
