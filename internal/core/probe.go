package core

import (
	"time"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/probe"
	"yewpass/internal/rpc"
)

// maxProbeAttempts is after how many probes in vain a machine counts as out of reach.
const maxProbeAttempts = 2

// leaderProbeDelay is how long the relays are left to tell of their workers, and to probe
// those that have nothing to tell, before the leader probes the rest.
const leaderProbeDelay = 700 * time.Millisecond

// probeUnaccounted begins to probe the machines that are owed: at once those that reported to
// this node before it led.
func (c *Core) probeUnaccounted() {
	own := c.leadership.knownReporters
	if !c.election.IsLinkedToAny() {
		c.probeMatching(func(*fleet.Machine) bool { return true })
		return
	}
	c.probeMatching(func(m *fleet.Machine) bool { return own[m.Host] != nil })
	c.afterWhileLeading(leaderProbeDelay, func() {
		c.probeMatching(func(m *fleet.Machine) bool { return own[m.Host] == nil })
	})
}

func (c *Core) probeMatching(which func(*fleet.Machine) bool) {
	l := c.leadership
	for _, m := range l.inventory.Machines() {
		if l.inventory.Unaccounted(m.Host) && m.Address != "" && which(m) {
			l.probeQueue = append(l.probeQueue, m)
		}
	}
	c.probeNext()
}

func (c *Core) probeNext() {
	l := c.leadership
	for l.probesInFlight < probe.MaxInFlight && len(l.probeQueue) > 0 && c.canAct() {
		m := l.probeQueue[0]
		l.probeQueue = l.probeQueue[1:]
		c.probe(m, 1) // most machines are in their first session
	}
}

// probeCounts reports whether a machine's answer to a probe counts: not once it has
// reported by itself. Then starts may be on their way to it, of which the answer need
// not know.
func (l *leadership) probeCounts(m *fleet.Machine) bool {
	return l.inventory.Unaccounted(m.Host) && !m.Reported && !m.Releasing
}

// reconcileProbe takes in an answer that counts, of a worker that has seen our term.
func (c *Core) reconcileProbe(m *fleet.Machine, rep *heartbeat.Report) {
	m.Probed = true
	c.leadership.reconciler.Reconcile(m, rep)
}

// probe probes a machine whose answer would count.
func (c *Core) probe(m *fleet.Machine, tenure uint64) {
	l := c.leadership
	if !l.probeCounts(m) {
		return
	}
	l.probesInFlight++
	probe.Send(c.Engine, m.Address, l.term, tenure, func(r heartbeat.ProbeReply) {
		if c.leadership != l {
			return
		}
		l.probesInFlight--
		rep := &r.Report
		switch {
		case !l.probeCounts(m):
		case r.Outcome != rpc.Unknown && rep.FencingToken > l.term:
			c.handleNewerToken(m.Host, rep.FencingToken, func() { c.leadership.autoscaler.Release(m) })
		case r.Outcome != rpc.Unknown && rep.Host != m.Host:
			// Another machine has the address now.
		case r.Outcome == rpc.OK && rep.FencingToken == l.term:
			c.reconcileProbe(m, rep)
		case r.Outcome == rpc.Conflict && rep.Incarnation != tenure:
			c.probe(m, rep.Incarnation)
		default:
			if m.FailedProbes++; m.FailedProbes < maxProbeAttempts {
				l.probeQueue = append(l.probeQueue, m)
			}
		}
		c.probeNext()
	})
}
