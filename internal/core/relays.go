package core

import (
	"slices"

	"yewpass/internal/fleet"
	"yewpass/internal/forwarder"
	"yewpass/internal/heartbeat"
	"yewpass/internal/peermsg"
)

// forwarderController implements forwarder.Controller for Core.
type forwarderController struct{ c *Core }

// IsLeader implements forwarder.Controller.
func (v forwarderController) IsLeader() bool { return v.c.leadership != nil }

// Upstream implements forwarder.Controller.
func (v forwarderController) Upstream() forwarder.Upstream {
	c := v.c
	return forwarder.Upstream{Leader: c.election.Leader(), Linked: c.election.IsLinkedToLeader(), LinkLostAt: c.election.LinkLostAt(), Term: c.election.HighestTerm(), ConfirmedTerm: c.election.ConfirmedTerm()}
}

// relayLinksLeader implements relaylinks.Leader for a leadership.
type relayLinksLeader struct {
	core       *Core
	leadership *leadership
}

// IsLinked implements relaylinks.Leader.
func (v relayLinksLeader) IsLinked(name string) bool { return v.core.election.IsLinked(name) }

// MayRedirect implements relaylinks.Leader. Workers are redirected only once the failover is
// complete.
func (v relayLinksLeader) MayRedirect() bool {
	return v.core.hasAuthority() && v.leadership.allAccounted()
}

// FleetSize implements relaylinks.Leader.
func (v relayLinksLeader) FleetSize() int { return len(v.leadership.inventory.Machines()) }

// handleRelayedHeartbeats processes a relay's batch of heartbeats, probe replies and abandoned
// heartbeats.
func (c *Core) handleRelayedHeartbeats(from string, m peermsg.Message) {
	l := c.leadership
	if l == nil || m.Term != l.term {
		return // the relay learns of the newest term later
	}
	reports, sessionStarted, ok := l.relays.Decode(from, m.Heartbeats)
	if sessionStarted {
		c.dropRelayHeartbeats(from)
	}
	if !ok {
		return
	}
	via := heartbeat.RelaySession{Relay: from, Session: m.Heartbeats.Session}
	for i := range reports {
		if ref := m.Heartbeats.Reports[i].Ref; ref != 0 {
			c.handleHeartbeat(heartbeat.Received{Ref: ref, Via: via, Report: reports[i]})
		} else if l.loaded {
			l.prober.HandleRelayedReply(&reports[i])
		}
		if c.leadership != l {
			return
		}
	}
	for _, ref := range m.Heartbeats.Abandoned {
		c.abandonHeartbeat(fleet.HeartbeatKey{Via: via, Ref: ref})
	}
}

// dropRelayHeartbeats drops a relay's pending heartbeats, which it sends again in a new session.
func (c *Core) dropRelayHeartbeats(relay string) {
	l := c.leadership
	l.dispatcher.AbandonRelay(relay)
	l.pendingHeartbeats = slices.DeleteFunc(l.pendingHeartbeats, func(r heartbeat.Received) bool { return r.Via.Relay == relay })
}
