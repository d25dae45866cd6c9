// Package relaylinks is the leader's end of its links to relays: the controllers that do
// not lead and forward their workers' heartbeats. It decodes what relays send, collects
// the replies to it, decides which controller a worker should report to, and tells how
// long a worker may be silent after its relay has failed.
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

// Leader is what the links need of the leadership that they are part of.
type Leader interface {
	// Linked reports whether there is a link to another controller.
	Linked(name string) bool
	// MayRedirect reports whether workers may be redirected at all: the leader has
	// authority and failover is complete.
	MayRedirect() bool
	// FleetSize returns the number of machines.
	FleetSize() int
}

// Links is the links of one leadership, and its own socket under the name "".
type Links struct {
	engine *engine.Engine
	cfg    *config.Config
	leader Leader
	term   uint64

	byName         map[string]*fleet.RelayLink
	nodes          []relay.Node // scratch space
	nextRedirectAt time.Time    // of a worker that need not be redirected at once
}

// New returns the links of a leadership that has begun.
func New(e *engine.Engine, cfg *config.Config, leader Leader, term uint64) *Links {
	return &Links{engine: e, cfg: cfg, leader: leader, term: term, byName: map[string]*fleet.RelayLink{}}
}

// Link returns the link to a relay, or "" for our own socket; a new one if there was none.
func (l *Links) Link(name string) *fleet.RelayLink {
	p := l.byName[name]
	if p == nil {
		p = &fleet.RelayLink{}
		l.byName[name] = p
	}
	return p
}

// Lookup returns the link to a relay, or nil if there was none in this leadership.
func (l *Links) Lookup(name string) *fleet.RelayLink { return l.byName[name] }

// Direct returns the number of workers that report to the leader itself.
func (l *Links) Direct() int { return l.Link("").Workers }

// Decode decodes a batch from a relay. begun says that the batch opens a session: the
// heartbeats that waited in the previous one are all sent again, and replies to those
// mean nothing any more. Unless ok, the batch holds nothing that counts.
func (l *Links) Decode(from string, batch *relay.Batch) (reports []heartbeat.Report, begun, ok bool) {
	link := l.Link(from)
	former := link.Decoder.Session()
	reports, begun, err := link.Decoder.Decode(batch)
	if begun {
		if former != 0 {
			// Maybe another process, back so soon that its end went unnoticed. Those who
			// reported to the one before look for another controller first.
			link.LastSilent = l.engine.Now
		}
		link.Replies, link.Weight = nil, 0
	}
	switch {
	case err == nil:
		link.LastBatch = l.engine.Now
		return reports, begun, true
	case errors.Is(err, relay.ErrStaleSession):
		return nil, begun, false
	case !errors.Is(err, relay.ErrSequenceGap):
		l.engine.Log(slog.LevelWarn, "malformed heartbeats from relay", "relay", from, "reason", err)
	}
	l.send(from, &relay.Replies{Session: batch.Session, Resync: true})
	return nil, begun, false
}

// Reply answers a heartbeat the way it came. Replies through relays go out with Flush.
func (l *Links) Reply(via heartbeat.RelaySession, reply heartbeat.Reply) {
	if via.Relay == "" {
		l.engine.Emit(reply)
		return
	}
	link := l.Link(via.Relay)
	if via.Session != link.Decoder.Session() {
		return // nobody waits for it there
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

// Flush sends the replies that have been given in this step to the relays.
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

// Attach counts a machine among the workers of the relay that it reports through.
func (l *Links) Attach(m *fleet.Machine, name string) {
	if link := l.Link(name); m.ReportsVia != link {
		Detach(m)
		m.ReportsVia = link
		link.Workers++
	}
}

// Detach counts a machine among the workers of no relay any more.
func Detach(m *fleet.Machine) {
	if m.ReportsVia != nil {
		m.ReportsVia.Workers--
		m.ReportsVia = nil
	}
}
