package core

import (
	"log/slog"
	"yewpass/internal/kv"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
)

// What controllers say to each other about who leads.

func (c *Core) announceTerm() {
	for _, p := range c.cfg.Seeds {
		if !c.leadership.acknowledged[p.HostName] {
			c.Emit(peermsg.Outgoing{To: p.HostName, Msg: peermsg.Message{Kind: peermsg.Leader, Term: c.leadership.term, Version: peerVersion}})
		}
	}
}

func (c *Core) peerLink(p peermsg.LinkChange) {
	c.election.SetLink(p.Name, p.Up)
	if c.leadership != nil && p.Up {
		// Also to one that has taken note of the term: it may be a new process.
		c.Emit(peermsg.Outgoing{To: p.Name, Msg: peermsg.Message{Kind: peermsg.Leader, Term: c.leadership.term, Version: peerVersion}})
		if c.leadership.noEarlierTerm {
			c.Emit(peermsg.Outgoing{To: p.Name, Msg: peermsg.Message{Kind: peermsg.AskKnowledge, Term: c.leadership.term}})
		}
	}
	if !p.Up && c.leadership != nil {
		c.leadership.publisher.DropFollower(p.Name)
	}
	if !p.Up {
		c.gateway.HandleLinkLost(p.Name)
	}
}

func (c *Core) peerIn(p peermsg.Received) {
	switch p.Msg.Kind {
	case peermsg.Leader:
		c.handleLeaderClaim(p.From, p.Msg.Term, p.Msg.Version)
	case peermsg.ConfigRevision:
		c.handlePeerConfig(p.From, p.Msg)
	case peermsg.Ack:
		l := c.leadership
		if l == nil || p.Msg.Term != l.term {
			return
		}
		c.notePeerVersion(p.From, p.Msg.Version)
		if p.Msg.Ref == askForVersion {
			c.Emit(peermsg.Outgoing{To: p.From, Msg: peermsg.Message{Kind: peermsg.Leader, Term: l.term, Version: peerVersion}})
		}
		if l.acknowledged[p.From] {
			return
		}
		l.acknowledged[p.From] = true
		if len(l.acknowledged) == len(c.cfg.Seeds) {
			l.allAcknowledgedAt = c.Now
		}
	case peermsg.Request:
		c.handleRequest(request.Request{Ref: p.Msg.Ref, From: p.From, Op: p.Msg.Op, ID: p.Msg.ID, Spec: p.Msg.Spec, Schedule: p.Msg.Schedule, Config: p.Msg.Config})
	case peermsg.Response:
		c.gateway.HandleResponse(p.From, p.Msg)
	case peermsg.Replica:
		c.handleReplicaLine(p.From, p.Msg.Replica)
	case peermsg.LeaderlessJob:
		c.handleLeaderlessJob(p.Msg.Replica)
	case peermsg.ReplicaRestart:
		c.restartReplica(p.From, p.Msg.Ref)
	case peermsg.AskKnowledge:
		if c.leadership == nil {
			c.Emit(peermsg.Outgoing{To: p.From, Msg: peermsg.Message{Kind: peermsg.TellKnowledge, Term: p.Msg.Term, Knowledge: c.knowledge()}})
		}
	case peermsg.TellKnowledge:
		if l := c.leadership; l != nil && p.Msg.Term == l.term {
			c.handleKnowledge(p.From, p.Msg.Knowledge)
		}
	case peermsg.WantReplica:
		if c.leadership == nil {
			c.replicas.StartTransfer(p.From)
		}
	case peermsg.Heartbeats:
		c.handleRelayedHeartbeats(p.From, p.Msg)
	case peermsg.HeartbeatReplies:
		c.forwarder.HandleReplies(p.From, p.Msg.Term, p.Msg.Replies)
	}
}

// handleLeaderClaim: a peer says that it leads a term. A line that anybody might have written
// must neither end a leadership that is in order nor keep the nodes from the leader
// that there is.
func (c *Core) handleLeaderClaim(from string, term, version uint64) {
	switch l := c.leadership; {
	case term < c.election.HighestTerm():
	case l == nil:
		c.election.AcceptClaim(from, term, version, peerVersion)
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
		c.election.AcceptClaim(from, term, version, peerVersion)
	}
}

// verifyTerm asks the state service whether our term is still the newest, because
// something says that it is not. If it is, unfounded is called.
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
