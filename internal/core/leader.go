package core

import (
	"log/slog"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/kv"
	"yewpass/internal/liveconfig"
	"yewpass/internal/placement"
	"yewpass/internal/relaylinks"
	"yewpass/internal/request"
)

func (c *Core) hasAuthority() bool { return c.HasAuthority(c.Now) }

// isActive reports whether this node is the leader, has authority and has loaded the records.
func (c *Core) isActive() bool { return c.hasAuthority() && c.leadership.loaded }

// authorityExpiry returns until when a lease renewal sent at sentAt extends the authority.
func (c *Core) authorityExpiry(sentAt time.Time) time.Time {
	return sentAt.Add(c.leaseTiming.Authority())
}

// becomeLeader sets up the leadership of a term. sentAt is when the lease was requested, and
// clockSkew the skew of the wall clock then.
func (c *Core) becomeLeader(term, termRevision, leaseID uint64, sentAt time.Time, clockSkew time.Duration) {
	c.election.SetOwnTerm(term)
	c.jobReader.ShareAmong(1)
	c.leadership = newLeadership(c.cfg)
	c.leadership.scope = c.NewScope()
	c.leadership.writes = c.newWriteBatcher(c.leadership.scope, termRevision)
	c.leadership.relays = relaylinks.New(c.Engine, c.cfg, relayLinksLeader{c, c.leadership}, term)
	c.leadership.authority.start(term, termRevision, leaseID, c.authorityExpiry(sentAt), c.Now, clockSkew)
	c.startReplication(c.leadership)
	c.leadership.autoscaler = c.newAutoscaler()
	c.leadership.outages = c.newOutageMonitor()
	c.leadership.startComponents(c)
	for _, t := range liveconfig.BaseTeams(c.cfg.Settings.Teams) {
		c.leadership.teams.Configure(t)
		c.leadership.placement.AnyGuarantee = c.leadership.placement.AnyGuarantee || t.CPUs > 0 || t.GPUs > 0
	}
	c.Log(slog.LevelInfo, "elected leader", "term", term)
	c.announceTerm()
	if len(c.cfg.Seeds) == 0 {
		c.leadership.allAcknowledgedAt = c.Now
	}
	// This node now answers the heartbeats that the forwarder holds.
	c.leadership.pendingHeartbeats, c.leadership.knownReporters = c.forwarder.ReleasePending()
	c.renewLease()
	c.leadership.autoscaler.RefreshCatalog()
}

// afterWhileLeading runs f after d unless the current leadership has ended by then.
func (c *Core) afterWhileLeading(d time.Duration, f func()) {
	l := c.leadership
	c.After(d, func() {
		if c.leadership == l {
			f()
		}
	})
}

// callStoreWhileLeading calls the key-value store. It drops the response if the leadership has
// ended.
func (c *Core) callStoreWhileLeading(call kv.Request, f func(kv.Response)) {
	l := c.leadership
	c.CallStore(call, func(r kv.Response) {
		if c.leadership == l {
			f(r)
		}
	})
}

// callStoreWhileLeadingOr calls the key-value store. It calls otherwise instead of f if the
// leadership has ended or is not active when the response arrives.
func (c *Core) callStoreWhileLeadingOr(call kv.Request, otherwise func(), f func(kv.Response)) {
	l := c.leadership
	c.CallStore(call, func(r kv.Response) {
		if c.leadership == l && c.isActive() {
			f(r)
		} else {
			otherwise()
		}
	})
}

// stepDown ends the leadership without revoking the lease. Heartbeats that wait for a reply go to
// the forwarder, and pending requests are answered as unavailable.
func (c *Core) stepDown(reason string) {
	l := c.leadership
	if l == nil {
		return
	}
	c.Log(slog.LevelWarn, "leadership lost", "term", l.term, "reason", reason)
	c.leadership = nil
	l.scope.Close()
	c.jobReader.ShareAmong(1 + len(c.cfg.Seeds))
	if len(l.autoscaler.InstanceTypes) > 0 {
		c.gateway.SetInstanceTypes(l.autoscaler.InstanceTypes)
	}
	// Forward the held heartbeats of local workers. Other relays still have their own.
	for _, m := range l.inventory.Machines() {
		if m.HeldReply != nil && m.HeldReply.Via.Relay == "" {
			c.forwarder.Receive(heartbeat.Received{Ref: m.HeldReply.Ref, Report: m.HeldReply.Report})
		}
	}
	for _, r := range l.pendingHeartbeats {
		c.forwarder.Receive(r)
	}
	c.answerWaiting(l, request.Unavailable("the controller lost its leadership, try again"))
	c.election.WatchAfter(100 * time.Millisecond)
}

// answerWaiting answers every request that waits for a write.
func (c *Core) answerWaiting(l *leadership, response request.Response) {
	l.admitter.AnswerWaiting(response)
	for _, j := range l.sortedJobs() {
		l.lifecycle.AnswerWaiting(j, response)
	}
	l.recurring.AnswerWaiting(response)
	l.config.AnswerWaiting(response)
}

const tickInterval = 500 * time.Millisecond

// tickLeader runs the leader's periodic work every tickInterval.
func (c *Core) tickLeader() {
	if c.leadership.placement.AttemptCount > placement.MaxAttempts-reservedAttempts {
		// Attempt numbers beyond the limit would overlap with those of the next term.
		c.resign("the attempt numbers of the term are used up")
		return
	}
	c.tickFleet()
	c.leadership.publisher.StartStreams()
	c.leadership.recurring.Tick()
	c.afterWhileLeading(tickInterval, c.tickLeader)
}

// resign steps down and revokes the leader lease, so that the next election need not wait for its
// expiry.
func (c *Core) resign(reason string) { c.resignThen(reason, func() {}) }

// resignThen resigns and calls then once the store has responded to the revocation.
func (c *Core) resignThen(reason string, then func()) {
	leaseID := c.leadership.leaseID
	c.stepDown(reason)
	c.CallStore(kv.Request{Op: kv.RevokeLease, LeaseID: leaseID}, func(kv.Response) { then() })
}

// runLeader runs after each input on the leader. It suspends a leader whose authority has expired;
// otherwise it sends writes and dispatches tasks.
func (c *Core) runLeader() {
	l := c.leadership
	if !c.hasAuthority() {
		if !l.suspended {
			l.suspended = true
			c.Log(slog.LevelWarn, "leader authority expired, answering workers during the grace period", "term", l.term, "grace", c.leaseTiming.GracePeriod())
			// The outcome of pending writes may remain unknown for long.
			c.answerWaiting(l, request.Unavailable("the state service does not answer"))
			l.dispatcher.Flush()
		}
		return
	}
	if !l.loaded {
		return
	}
	l.writes.Flush()
	c.leadership.placement.ReservePending()
	if l.dispatcher.Pending() {
		l.dispatcher.Run()
		c.leadership.placement.ReservePending()
		l.writes.Flush()
	}
}

// allAccounted reports whether the failover is complete: every machine that may run a task of an
// earlier term is accounted for.
func (l *leadership) allAccounted() bool { return l.inventory.AllAccounted() }

// reservedAttempts is how many attempt numbers are left when a leader resigns, more than one tick
// can use.
const reservedAttempts = 1 << 20
