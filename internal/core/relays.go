package core

import (
	"slices"

	"yewpass/internal/fleet"
	"yewpass/internal/forwarder"
	"yewpass/internal/heartbeat"
	"yewpass/internal/peermsg"
)

// forwarderView is the controller as its forwarder sees it.
type forwarderView struct{ c *Core }

// Leads implements forwarder.Controller.
func (v forwarderView) Leads() bool { return v.c.leadership != nil }

// Upstream implements forwarder.Controller.
func (v forwarderView) Upstream() forwarder.Upstream {
	c := v.c
	return forwarder.Upstream{Leader: c.election.Leader(), Linked: c.election.IsLinkedToLeader(), LinkLostAt: c.election.LinkLostAt(), Term: c.election.HighestTerm(), ConfirmedTerm: c.election.ConfirmedTerm()}
}

// linksLeader is a leadership as its links to relays see it.
type linksLeader struct {
	core       *Core
	leadership *leadership
}

// Linked implements relaylinks.Leader.
func (v linksLeader) Linked(name string) bool { return v.core.election.IsLinked(name) }

// MayRedirect implements relaylinks.Leader.
func (v linksLeader) MayRedirect() bool { return v.core.hasAuthority() && v.leadership.allAccounted() }

// FleetSize implements relaylinks.Leader.
func (v linksLeader) FleetSize() int { return len(v.leadership.inventory.Machines()) }

// handleRelayedHeartbeats takes in what a relay forwards.
func (c *Core) handleRelayedHeartbeats(from string, m peermsg.Message) {
	l := c.leadership
	if l == nil || m.Term != l.term {
		return // the relay will hear of the newest term, and forward to its leader
	}
	reports, begun, ok := l.relays.Decode(from, m.Heartbeats)
	if begun {
		c.forgetHeldFrom(from)
	}
	if !ok {
		return
	}
	via := heartbeat.RelaySession{Relay: from, Session: m.Heartbeats.Session}
	for i := range reports {
		if ref := m.Heartbeats.Reports[i].Ref; ref != 0 {
			c.handleHeartbeat(heartbeat.Received{Ref: ref, Via: via, Report: reports[i]})
		} else if l.loaded {
			l.prober.HandleAnswer(&reports[i])
		}
		if c.leadership != l {
			return
		}
	}
	for _, ref := range m.Heartbeats.Abandoned {
		c.abandonHeartbeat(fleet.HeartbeatKey{Via: via, Ref: ref})
	}
}

// forgetHeldFrom forgets the heartbeats of a relay that wait for replies.
func (c *Core) forgetHeldFrom(relay string) {
	l := c.leadership
	l.dispatcher.AbandonRelay(relay)
	l.pendingHeartbeats = slices.DeleteFunc(l.pendingHeartbeats, func(r heartbeat.Received) bool { return r.Via.Relay == relay })
}
