package core

import (
	"log/slog"
	"time"
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
	if p.Name == c.knownLeader && c.links[p.Name] {
		c.leaderLinkLostAt = c.Now
	}
	c.links[p.Name] = p.Up
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
		c.userCall(request.Request{Ref: p.Msg.Ref, From: p.From, Op: p.Msg.Op, ID: p.Msg.ID, Spec: p.Msg.Spec, Schedule: p.Msg.Schedule, Config: p.Msg.Config})
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
func (c *Core) handleLeaderClaim(from string, term, speaks uint64) {
	accept := func() {
		c.noteLeader(from, term)
		c.leaderVersion = speaks
		c.Emit(peermsg.Outgoing{To: from, Msg: peermsg.Message{Kind: peermsg.Ack, Term: term, Version: peerVersion}})
	}
	switch l := c.leadership; {
	case term < c.highestTerm:
	case l != nil && term == l.term:
		c.Log(slog.LevelError, "peer claims the term that this node leads", "peer", from, "term", term)
	case l != nil && c.hasAuthority():
		// In authority our grant lives, and nobody else can have begun a term, as
		// far as our clock goes; the state service knows.
		c.verifyTerm("a newer term is known", func() {
			c.Log(slog.LevelWarn, "claimed term does not exist", "peer", from, "claimed", term, "term", l.term)
		})
	case l != nil:
		c.stepDown("a newer term is known")
		accept()
		c.verifyClaim(term)
	case term == c.confirmedTerm && (c.knownLeader == from || c.knownLeader == ""):
		accept()
	default:
		accept()
		c.verifyClaim(term)
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

// verifyClaim asks the state service about a term that a peer has claimed to lead. It
// was believed at once, because workers are led to a new leader by that; what is not
// on record is forgotten again.
func (c *Core) verifyClaim(term uint64) {
	again := func() {
		if c.leadership == nil && c.highestTerm == term && c.confirmedTerm != term {
			c.verifyClaim(term)
		}
	}
	asked := c.LastRef
	c.CallStore(kv.Request{Op: kv.Get, Key: record.LeaderKey}, func(r kv.Response) {
		if c.leadership != nil || c.highestTerm != term {
			return
		}
		var rec *record.Leader
		if r.Outcome == rpc.OK {
			rec, _ = r.Entries[0].Value.(*record.Leader)
		}
		switch {
		case rec != nil:
			c.adoptRecordedLeader(rec, r.Entries[0].Rev, asked)
		case r.Outcome == rpc.OK || r.Outcome == rpc.NotFound:
			c.verifyEndedClaim(term, again)
		default:
			c.After(c.Jitter(500*time.Millisecond), again)
		}
	})
}

// verifyEndedClaim is confirm where nobody leads: the term may have been, and be over. Then no
// older one must be listened to either.
func (c *Core) verifyEndedClaim(term uint64, again func()) {
	c.CallStore(kv.Request{Op: kv.Get, Key: record.TermKey}, func(r kv.Response) {
		if c.leadership != nil || c.highestTerm != term {
			return
		}
		var began *record.Term
		if r.Outcome == rpc.OK {
			began, _ = r.Entries[0].Value.(*record.Term)
		}
		switch {
		case began != nil && began.Term >= term:
			if c.confirmedTerm < term {
				c.confirmedTerm, c.confirmedTermRevision = term, r.Entries[0].Rev
			}
		case r.Outcome == rpc.OK || r.Outcome == rpc.NotFound:
			c.highestTerm, c.knownLeader = c.confirmedTerm, ""
		default:
			c.After(c.Jitter(500*time.Millisecond), again)
		}
	})
}
