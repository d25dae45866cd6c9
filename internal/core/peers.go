package core

import (
	"log/slog"

	"yewpass/internal/kv"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
)

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
	case peermsg.ReplicaRequest:
		c.handleReplicaRequest(p.From)
	case peermsg.LeaderlessJob:
		c.handleLeaderlessJob(p.Msg.Replica)
	case peermsg.PeerStateRequest:
		c.sendPeerState(p.From, p.Msg.Term)
	case peermsg.PeerStateResponse:
		c.handlePeerStateResponse(p.From, p.Msg)
	case peermsg.Heartbeats:
		c.handleRelayedHeartbeats(p.From, p.Msg)
	case peermsg.HeartbeatReplies:
		c.forwarder.HandleReplies(p.From, p.Msg.Term, p.Msg.HeartbeatReplies)
	}
}

func (c *Core) handleLinkChange(p peermsg.LinkChange) {
	c.election.SetLink(p.Name, p.Up)
	l := c.leadership
	switch {
	case p.Up && l != nil:
		// A peer that has acknowledged the term may have restarted.
		c.announceTermTo(p.Name)
		if l.noEarlierTerm {
			c.Emit(peermsg.Outgoing{To: p.Name, Msg: peermsg.Message{Kind: peermsg.PeerStateRequest, Term: l.term}})
		}
	case !p.Up && l != nil:
		l.publisher.DropFollower(p.Name)
	}
	if !p.Up {
		c.gateway.HandleLinkLost(p.Name)
	}
}

// announceTerm announces this leader's term to the peers that have not acknowledged it.
func (c *Core) announceTerm() {
	for _, p := range c.cfg.Seeds {
		if !c.leadership.termAcks[p.HostName] {
			c.announceTermTo(p.HostName)
		}
	}
}

func (c *Core) announceTermTo(peer string) {
	c.Emit(peermsg.Outgoing{To: peer, Msg: peermsg.Message{Kind: peermsg.Leader, Term: c.leadership.term, Version: peermsg.Version}})
}

func (c *Core) handleTermAck(from string, m peermsg.Message) {
	l := c.leadership
	if l == nil || m.Term != l.term {
		return
	}
	l.config.RecordPeerVersion(from, m.Version)
	if m.Ref == peermsg.VersionRequest {
		c.announceTermTo(from)
	}
	if l.termAcks[from] {
		return
	}
	l.termAcks[from] = true
	if len(l.termAcks) == len(c.cfg.Seeds) {
		l.allAcknowledgedAt = c.Now
	}
}

func (c *Core) handleForwardedRequest(from string, m peermsg.Message) {
	c.handleRequest(request.Request{Ref: m.Ref, From: from, Op: m.Op, ID: m.ID, Spec: m.Spec, Schedule: m.Schedule, Config: m.Config})
}

// handleReplicaRequest starts the transfer of this node's replica to a new leader.
func (c *Core) handleReplicaRequest(from string) {
	if c.leadership == nil {
		c.replicas.StartTransfer(from)
	}
}

// sendPeerState sends a new leader what this node knows of earlier terms.
func (c *Core) sendPeerState(to string, term uint64) {
	if c.leadership == nil {
		c.Emit(peermsg.Outgoing{To: to, Msg: peermsg.Message{Kind: peermsg.PeerStateResponse, Term: term, PeerState: c.peerState()}})
	}
}

// handlePeerStateResponse processes what a peer knows of earlier terms. It ignores replies to a
// request of another term.
func (c *Core) handlePeerStateResponse(from string, m peermsg.Message) {
	if l := c.leadership; l != nil && m.Term == l.term {
		c.handlePeerState(from, m.PeerState)
	}
}

// handleLeaderClaim handles a peer's claim to lead a term. A false claim must neither end a valid
// leadership nor keep other nodes from following the leader, so a leader with authority first reads
// the term record.
func (c *Core) handleLeaderClaim(from string, term, version uint64) {
	switch l := c.leadership; {
	case term < c.election.HighestTerm():
	case l == nil:
		c.election.AcceptClaim(from, term, version, peermsg.Version)
	case term == l.term:
		c.Log(slog.LevelError, "peer claims the term that this node leads", "peer", from, "term", term)
	case c.hasAuthority():
		// The lease, valid by this node's clock, excludes another leader. The store decides.
		c.verifyTerm("a peer leads a newer term", func() {
			c.Log(slog.LevelWarn, "peer claims a term that does not exist", "peer", from, "claimed", term, "term", l.term)
		})
	default:
		c.stepDown("a peer leads a newer term")
		c.election.AcceptClaim(from, term, version, peermsg.Version)
	}
}

// verifyTerm reads the term record after a hint that a newer term exists. It steps down for the
// given reason if the record has changed or is gone, and calls stillCurrent if this leader's term
// is still the newest. It does nothing while another check is in flight or the rate limit of reads
// is used up; the hint is then repeated.
func (c *Core) verifyTerm(reason string, stillCurrent func()) {
	l := c.leadership
	if l.verifying || !c.jobReader.Allow(1) {
		return
	}
	l.verifying = true
	c.callStoreWhileLeading(kv.Request{Op: kv.Get, Key: record.TermKey}, func(r kv.Response) {
		l.verifying = false
		switch {
		case r.Outcome == rpc.OK && r.Entries[0].Rev == l.termRevision:
			stillCurrent()
		case r.Outcome == rpc.OK || r.Outcome == rpc.NotFound:
			c.stepDown(reason)
		}
	})
}
