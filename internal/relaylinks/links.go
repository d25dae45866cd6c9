// Package relaylinks manages the leader's links to relays. A relay is a controller that is not the
// leader and forwards heartbeats of its workers to the leader. The package decodes relayed
// heartbeats, batches replies, redirects workers to other controllers, and extends a worker's
// silence limit after its relay has failed.
package relaylinks

import (
	"errors"
	"log/slog"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/peermsg"
	"yewpass/internal/relay"
)

// Leader is the leader that a Links works for.
type Leader interface {
	// IsLinked reports whether the link to a controller is up.
	IsLinked(name string) bool
	// MayRedirect reports whether workers may be redirected. The leader must have authority and
	// the failover be complete.
	MayRedirect() bool
	// FleetSize returns the number of machines in the inventory.
	FleetSize() int
}

// Links holds the links to relays for one term. The name "" stands for the leader's own socket.
type Links struct {
	engine *engine.Engine
	cfg    *config.Config
	leader Leader
	term   uint64

	byName         map[string]*fleet.RelayLink
	nodes          []relay.Node // buffer reused by Nodes
	nextRedirectAt time.Time    // earliest time of the next rate-limited redirect
}

// New returns a Links without any link, for the leadership of a term.
func New(e *engine.Engine, cfg *config.Config, leader Leader, term uint64) *Links {
	return &Links{engine: e, cfg: cfg, leader: leader, term: term, byName: map[string]*fleet.RelayLink{}}
}

// Link returns the link to a relay, and creates it if it does not exist.
func (l *Links) Link(name string) *fleet.RelayLink {
	link := l.byName[name]
	if link == nil {
		link = &fleet.RelayLink{}
		l.byName[name] = link
	}
	return link
}

// Lookup returns the link to a relay, or nil if there has been none in this term.
func (l *Links) Lookup(name string) *fleet.RelayLink { return l.byName[name] }

// DirectWorkers returns the number of workers that report to the leader directly.
func (l *Links) DirectWorkers() int { return l.Link("").Workers }

// Decode decodes a batch from a relay. If sessionStarted, the batch starts a new session: the relay
// sends all pending heartbeats again, and replies to those of the previous session must be
// discarded. If ok is false, the batch must be ignored; Decode has asked for a new session unless
// the batch belongs to a closed one.
func (l *Links) Decode(from string, batch *relay.Batch) (reports []heartbeat.Report, sessionStarted, ok bool) {
	link := l.Link(from)
	previousSession := link.Decoder.Session()
	reports, sessionStarted, err := link.Decoder.Decode(batch)
	if sessionStarted {
		if previousSession != 0 {
			// The relay may have restarted undetected, and its workers may try another
			// controller before they report here again.
			link.LastSilent = l.engine.Now
		}
		link.Replies, link.Weight = nil, 0
	}
	switch {
	case err == nil:
		link.LastBatch = l.engine.Now
		return reports, sessionStarted, true
	case errors.Is(err, relay.ErrStaleSession):
		return nil, sessionStarted, false
	case !errors.Is(err, relay.ErrSequenceGap):
		l.engine.Log(slog.LevelWarn, "malformed heartbeat batch from relay, requesting a new session", "relay", from, "reason", err)
	}
	l.send(from, &relay.Replies{Session: batch.Session, Resync: true})
	return nil, sessionStarted, false
}

// Reply sends a reply along the path of its heartbeat. Replies through relays are buffered until
// Flush or a full message. Replies to an earlier session of the relay are dropped.
func (l *Links) Reply(via heartbeat.RelaySession, reply heartbeat.Reply) {
	if via.Relay == "" {
		l.engine.Emit(reply)
		return
	}
	link := l.Link(via.Relay)
	if via.Session != link.Decoder.Session() {
		return // the session of the heartbeat is closed
	}
	r := relay.Reply{Ref: reply.Ref, Upstream: reply.Upstream, Orders: reply.Orders}
	if reply.Status != 200 {
		r.Status = reply.Status
	}
	link.Replies = append(link.Replies, r)
	link.Weight += r.Weight()
	if link.Weight > relay.MaxMessageWeight {
		l.flush(via.Relay, link)
	}
}

// Flush sends the buffered replies to the relays. It is called at the end of each step.
func (l *Links) Flush() {
	if len(l.byName) == 0 {
		return
	}
	for _, s := range l.cfg.Seeds {
		if link := l.byName[s.HostName]; link != nil {
			l.flush(s.HostName, link)
		}
	}
}

func (l *Links) flush(name string, link *fleet.RelayLink) {
	if len(link.Replies) == 0 {
		return
	}
	l.send(name, &relay.Replies{Session: link.Decoder.Session(), List: link.Replies})
	link.Replies, link.Weight = nil, 0
}

func (l *Links) send(name string, replies *relay.Replies) {
	l.engine.Emit(peermsg.Outgoing{To: name, Msg: peermsg.Message{Kind: peermsg.HeartbeatReplies, Term: l.term, HeartbeatReplies: replies}})
}

// Attach records that a machine reports through a relay, and updates the relays' worker counts.
func (l *Links) Attach(m *fleet.Machine, name string) {
	if link := l.Link(name); m.Relay != link {
		Detach(m)
		m.Relay = link
		link.Workers++
	}
}

// Detach records that a machine reports through no relay, and updates the relay's worker count.
func Detach(m *fleet.Machine) {
	if m.Relay != nil {
		m.Relay.Workers--
		m.Relay = nil
	}
}
