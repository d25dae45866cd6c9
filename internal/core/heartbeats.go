package core

import (
	"log/slog"
	"maps"
	"slices"
	"time"
	"yewpass/internal/heartbeat"
)

// Reports of workers: which are believed, and what is learned from them.

func (c *Core) handleHeartbeat(in heartbeat.Received) {
	l := c.leadership
	rep := &in.Report
	refuse := func() { c.replyHeartbeat(in.Relay, heartbeat.Reply{Ref: in.Ref, Status: 503}) }
	if l != nil && rep.FencingToken > l.term && !c.hasAuthority() {
		c.stepDown("a worker has seen a newer epoch")
		l = nil
	}
	switch {
	case l == nil:
		c.relayHeartbeat(in)
		return
	case rep.FencingToken > l.term:
		refuse()
		c.handleNewerToken(rep.Host, rep.FencingToken, func() {
			c.release(c.ensureMachine(rep.Host, rep.InstanceType, rep.Zone, rep.Spot))
		})
		return
	case !c.hasAuthority() && (c.leaseTiming.GraceOver(c.Now.Sub(l.expiresAt), c.ClockSkew(c.Now)-l.clockSkew) || c.Now.Before(l.expiresAt)):
		// The hold is over by one of our clocks, or the steady one has stood still and
		// cannot say.
		refuse()
		return
	case l.released.has(rep.Host):
		// Released and proven gone: whatever arrives now was sent before.
		c.staleHeartbeats++
		refuse()
		return
	case !l.loaded:
		l.pendingHeartbeats = append(l.pendingHeartbeats, in)
		return
	}
	m := c.ensureMachine(rep.Host, rep.InstanceType, rep.Zone, rep.Spot)
	if m.record == unrecorded {
		m.address = rep.Address // a machine keeps it
	}
	if m.probed && rep.Incarnation == m.incarnation && rep.Counter <= m.counter && c.hasAuthority() {
		// Overtaken by its own answer to our probe: nothing new, but a worker
		// that waits for its reply.
		c.replyHeartbeat(in.Relay, heartbeat.Reply{Ref: in.Ref, Status: 200, FencingToken: l.term})
		m.lastReply = c.Now
		return
	}
	// A relay that has begun a new session tells again what waits there. What was
	// answered in the session before has not reached the worker, and will not.
	again := in.Relay.From != "" && m.reported && rep.Incarnation == m.incarnation && rep.Counter == m.counter
	// A worker never forgets an epoch it has seen, unless it has begun anew: then its
	// counters may begin anew too, and what is newer by them may have been sent before it
	// ended. Nothing of either is believed until the lease of what we know is over, which a
	// machine that is not answered does not outlast.
	forgets := m.reported && rep.FencingToken < m.fencingToken
	if !again && m.reported && !rep.Newer(m.incarnation, m.counter) || rep.Incarnation <= m.expiredIncarnation || forgets {
		// Delayed on the way: its task list is older than what we know.
		c.staleHeartbeats++
		refuse()
		return
	}
	if m.heldReply != nil {
		// The worker has given up on it; this is its next report.
		c.refuseHeldReply(m)
	}
	first := !m.reported && !l.unaccounted[m.host]
	if !again {
		m.probed = false
		c.reconcile(m, rep)
	}
	l.setReportsVia(m, in.Relay.From)
	if m.record == unrecorded && c.hasAuthority() && m.usable() {
		c.recordNewMachine(m)
	}
	if to := c.redirectTarget(m, in.Relay.From, first); to != "" {
		c.replyHeartbeat(in.Relay, heartbeat.Reply{Ref: in.Ref, Status: 421, Upstream: to})
		return
	}
	m.heldReply = &heldReply{heartbeatKey: heartbeatKey{in.Relay, in.Ref}, since: c.Now}
	if in.Relay.From == "" {
		m.heldReply.report = *rep
	}
	l.heldReplies[m.heldReply.heartbeatKey] = m
	c.reply(m, false)
}

// handleNewerToken: a worker says that it has seen a newer epoch than ours. If there was
// none, it drops all that we say to it, for ever: it is of no use, and its word must
// not end the term for all the others.
func (c *Core) handleNewerToken(host string, epoch uint64, useless func()) {
	c.verifyTerm("a worker has seen a newer epoch", func() {
		if c.termsBeganAgain(host, epoch) {
			return
		}
		c.Log(slog.LevelWarn, "worker has seen an epoch that never was", "machine", host, "claimed", epoch, "term", c.leadership.term)
		if c.leadership.loaded && !c.leadership.released.has(host) {
			useless()
		}
	})
}

// termsBeganAgain reports whether a worker's newer epoch may show that terms have begun again. When
// the state service and every controller's memory are lost together, nobody else is left to
// tell: the workers would drop all that we say, and the whole fleet be returned for it. As
// soon as several say so, the terms go on above theirs.
func (c *Core) termsBeganAgain(host string, epoch uint64) bool {
	l := c.leadership
	if !l.noEarlierTerm || epoch > maxFencingToken || c.Now.Sub(l.electedAt) > 2*c.workerLease {
		return false
	}
	l.newerTokens[host] = epoch
	if len(l.newerTokens) >= minNewerTokenWitnesses {
		c.observed.Term = slices.Max(slices.Collect(maps.Values(l.newerTokens))) + termGapAfterTotalLoss
		// Who knows of it stands at once: the others would go by what is on record.
		c.reportDataLossThen("workers have seen newer terms than were on record", func() { c.campaign(0) })
	}
	return true
}

// reconcile takes in what a report says.
func (c *Core) reconcile(m *machine, rep *heartbeat.Report) {
	l := c.leadership
	if !m.reported {
		c.Log(slog.LevelDebug, "machine reports", "machine", m.host, "type", rep.InstanceType, "zone", rep.Zone, "tasks", len(rep.Tasks))
		m.idleSince = c.Now
		delete(l.autoscaler.bootPatience, m.typeName)
	}
	if m.reported && rep.Incarnation > m.incarnation {
		// Its lease ran out: the worker has killed all that it had.
		for _, r := range slices.Clone(m.attempts) {
			c.dropAttempt(r)
		}
	}
	m.reported, m.incarnation, m.counter, m.fencingToken = true, rep.Incarnation, rep.Counter, rep.FencingToken
	m.lastHeartbeat, m.leaseExpired, m.unreachable = c.Now, false, false
	if rep.HasNotice {
		if m.interruptionAt.IsZero() {
			c.Log(slog.LevelInfo, "machine will be taken", "machine", m.host, "notice", rep.Notice)
		}
		m.interruptionAt = c.Now.Add(rep.Notice)
	}
	if rep.FencingToken == l.term {
		m.unacknowledgedSince = time.Time{}
	}
	l.heartbeatCount++
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		r := m.findAttempt(t.Task, t.Try, i)
		if r == nil {
			r = c.adoptAttempt(m, t)
		}
		r.lastListed = l.heartbeatCount
		c.updateAttempt(r, t)
	}
	// A start that went out with the reply to an earlier report and is not
	// listed now was never executed, and never will be: the worker takes
	// replies in turn and drops late ones.
	lost := false
	m.attempts = slices.DeleteFunc(m.attempts, func(r *attempt) bool {
		if r.lastListed == l.heartbeatCount || rep.Counter <= r.orderedCounter {
			return false
		}
		lost = lost || r.phase == Ordered && r.orderedCounter > 0
		c.releaseAttempt(r)
		return true
	})
	if lost {
		// Once may be chance or a relay that ended. A machine that does not hear us must
		// not be what a task is tried on again and again while there is room elsewhere.
		if m.unlistedStarts++; m.unlistedStarts > 1 {
			m.retryAt = c.Now.Add(min(time.Second<<min(m.unlistedStarts-1, 10), c.workerLease))
		}
	}
	if rep.FencingToken == l.term && l.unaccounted[m.host] {
		c.markAccounted(m.host)
	}
	c.extendOverruns(m)
}

// markAccounted: nothing of an earlier term can be on the machine unknown to us.
func (c *Core) markAccounted(host string) {
	l := c.leadership
	if !l.unaccounted[host] {
		return
	}
	delete(l.unaccounted, host)
	if l.allAccounted() {
		c.Log(slog.LevelInfo, "take-over complete", "term", l.term, "after", c.Now.Sub(l.electedAt))
		for _, j := range l.sortedJobs() {
			if j.cancelled {
				c.finishIfOver(j)
			}
		}
		l.dispatchAll = true
	}
}

// lastHeard is when the machine was last heard in a way that shows more than that it can speak.
// One that was answered long ago and whose reports still show no word of ours does not hear:
// everything that was accepted earlier would wait for it for as long as that lasts.
func (c *Core) lastHeard(m *machine) time.Time {
	if !m.unacknowledgedSince.IsZero() && c.Now.Sub(m.unacknowledgedSince) > c.heardAgainWithin() {
		return m.unacknowledgedSince
	}
	return m.lastHeartbeat
}

func (c *Core) dropHeartbeat(ref uint64) {
	if c.leadership != nil {
		c.abandonHeldReply(heartbeatKey{ref: ref})
	} else if p := c.relay.waiting[ref]; p != nil {
		c.dropRelayed(p)
	}
}

const (
	// minNewerTokenWitnesses is how many workers must have seen an epoch above ours for it to be our
	// terms that have begun again: one alone is rather faulty itself.
	minNewerTokenWitnesses = 2
	// maxFencingToken is the largest epoch that is believed. Terms are counted one by one, and far
	// above this there would soon be none left.
	maxFencingToken = 1 << 32
	// termGapAfterTotalLoss is how far above the newest epoch that was heard of the terms go on: those who
	// say so first need not have seen the last ones, and others may.
	termGapAfterTotalLoss = 1 << 10
)
