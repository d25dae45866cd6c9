package core

import (
	"log/slog"
	"time"
)

// What controllers say to each other about who leads.

func (c *Core) announce() {
	for _, p := range c.cfg.Seeds {
		if !c.lead.acknowledged[p.HostName] {
			c.emit(PeerSend{p.HostName, PeerMsg{Kind: PeerLeader, Term: c.lead.term, Speaks: peerVersion}})
		}
	}
}

func (c *Core) peerLink(p PeerLink) {
	if p.Name == c.hint && c.links[p.Name] {
		c.apart = c.now
	}
	c.links[p.Name] = p.Up
	if c.lead != nil && p.Up {
		// Also to one that has taken note of the term: it may be a new process.
		c.emit(PeerSend{p.Name, PeerMsg{Kind: PeerLeader, Term: c.lead.term, Speaks: peerVersion}})
		if c.lead.fresh {
			c.emit(PeerSend{p.Name, PeerMsg{Kind: PeerAsk, Term: c.lead.term}})
		}
	}
	if !p.Up && c.lead != nil {
		delete(c.lead.holders, p.Name) // it begins anew with the next link
	}
	if !p.Up {
		c.linkLost(p.Name)
	}
}

func (c *Core) peerIn(p PeerIn) {
	switch p.Msg.Kind {
	case PeerLeader:
		c.claimed(p.From, p.Msg.Term, p.Msg.Speaks)
	case PeerConfig:
		c.peerConfig(p.From, p.Msg)
	case PeerAck:
		l := c.lead
		if l == nil || p.Msg.Term != l.term {
			return
		}
		c.peerSpeaks(p.From, p.Msg.Speaks)
		if p.Msg.Ref == tellVersion {
			c.emit(PeerSend{p.From, PeerMsg{Kind: PeerLeader, Term: l.term, Speaks: peerVersion}})
		}
		if l.acknowledged[p.From] {
			return
		}
		l.acknowledged[p.From] = true
		if len(l.acknowledged) == len(c.cfg.Seeds) {
			l.allAcknowledgedAt = c.now
		}
	case PeerCall:
		c.userCall(UserCall{Ref: p.Msg.Ref, From: p.From, Op: p.Msg.Op, ID: p.Msg.ID, Spec: p.Msg.Spec, Schedule: p.Msg.Schedule, Config: p.Msg.Config})
	case PeerAnswer:
		c.peerAnswer(p.From, p.Msg)
	case PeerCopy:
		c.peerCopy(p.From, p.Msg.Copy)
	case PeerAlone:
		c.peerAlone(p.Msg.Copy)
	case PeerAgain:
		c.copyAgain(p.From, p.Msg.Ref)
	case PeerAsk:
		if c.lead == nil {
			c.emit(PeerSend{p.From, PeerMsg{Kind: PeerTell, Term: p.Msg.Term, Know: c.knowledge()}})
		}
	case PeerTell:
		if l := c.lead; l != nil && p.Msg.Term == l.term {
			c.tells(p.From, p.Msg.Know)
		}
	case PeerWant:
		if c.lead == nil {
			c.lend(p.From)
		}
	case PeerReports:
		c.relayReports(p.From, p.Msg)
	case PeerReplies:
		c.relayReplies(p.From, p.Msg)
	}
}

// claimed: a peer says that it leads a term. A line that anybody might have written
// must neither end a leadership that is in order nor keep the nodes from the leader
// that there is.
func (c *Core) claimed(from string, term, speaks uint64) {
	accept := func() {
		c.heard(from, term)
		c.leaderSpeaks = speaks
		c.emit(PeerSend{from, PeerMsg{Kind: PeerAck, Term: term, Speaks: peerVersion}})
	}
	switch l := c.lead; {
	case term < c.termMax:
	case l != nil && term == l.term:
		c.note(slog.LevelError, "a peer claims the term that this node leads", "peer", from, "term", term)
	case l != nil && c.hasAuthority():
		// In authority our grant lives, and nobody else can have begun a term, as
		// far as our clock goes; the state service knows.
		c.doubt("a newer term is known", func() {
			c.note(slog.LevelWarn, "a term that was claimed never was", "peer", from, "claimed", term, "term", l.term)
		})
	case l != nil:
		c.stepDown("a newer term is known")
		accept()
		c.confirm(term)
	case term == c.confirmed && (c.hint == from || c.hint == ""):
		accept()
	default:
		accept()
		c.confirm(term)
	}
}

// doubt asks the state service whether our term is still the newest, because
// something says that it is not. If it is, unfounded is called.
func (c *Core) doubt(because string, unfounded func()) {
	l := c.lead
	if l.verifying || !c.reads.AllowN(c.now, 1) {
		return // whoever insists will say so again
	}
	l.verifying = true
	c.leaderStore(StoreCall{Op: StoreGet, Key: termKey}, func(r StoreReply) {
		l.verifying = false
		switch {
		case r.Outcome == OK && r.Entries[0].Rev == l.termRev:
			unfounded()
		case r.Outcome == OK || r.Outcome == NotFound:
			c.stepDown(because)
		}
	})
}

// confirm asks the state service about a term that a peer has claimed to lead. It
// was believed at once, because workers are led to a new leader by that; what is not
// on record is forgotten again.
func (c *Core) confirm(term uint64) {
	again := func() {
		if c.lead == nil && c.termMax == term && c.confirmed != term {
			c.confirm(term)
		}
	}
	asked := c.ref
	c.store(StoreCall{Op: StoreGet, Key: leaderKey}, func(r StoreReply) {
		if c.lead != nil || c.termMax != term {
			return
		}
		var rec *LeaderRecord
		if r.Outcome == OK {
			rec, _ = r.Entries[0].Value.(*LeaderRecord)
		}
		switch {
		case rec != nil:
			c.recordedLeader(rec, r.Entries[0].Rev, asked)
		case r.Outcome == OK || r.Outcome == NotFound:
			c.confirmOver(term, again)
		default:
			c.after(c.jitter(500*time.Millisecond), again)
		}
	})
}

// confirmOver is confirm where nobody leads: the term may have been, and be over. Then no
// older one must be listened to either.
func (c *Core) confirmOver(term uint64, again func()) {
	c.store(StoreCall{Op: StoreGet, Key: termKey}, func(r StoreReply) {
		if c.lead != nil || c.termMax != term {
			return
		}
		var began *TermRecord
		if r.Outcome == OK {
			began, _ = r.Entries[0].Value.(*TermRecord)
		}
		switch {
		case began != nil && began.Term >= term:
			if c.confirmed < term {
				c.confirmed, c.confirmedRev = term, r.Entries[0].Rev
			}
		case r.Outcome == OK || r.Outcome == NotFound:
			c.termMax, c.hint = c.confirmed, ""
		default:
			c.after(c.jitter(500*time.Millisecond), again)
		}
	})
}
