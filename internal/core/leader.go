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

// canAct reports whether we lead, in authority, and know the records.
func (c *Core) canAct() bool { return c.hasAuthority() && c.leadership.loaded }

func (c *Core) authorityUntil(sent time.Time) time.Time { return sent.Add(c.leaseTiming.Authority()) }

// becomeLeader begins a term.
func (c *Core) becomeLeader(term, rev, leaseID uint64, sent time.Time, ahead time.Duration) {
	c.election.NoteOwnTerm(term)
	c.jobs.ShareAmong(1)
	c.leadership = newLeadership(c.cfg)
	c.leadership.scope = c.NewScope()
	c.leadership.writes = c.newBatcher(c.leadership.scope, rev)
	c.leadership.relays = relaylinks.New(c.Engine, c.cfg, linksLeader{c, c.leadership}, term)
	c.leadership.authority.start(term, rev, leaseID, c.authorityUntil(sent), c.Now, ahead)
	c.startReplication(c.leadership)
	c.leadership.autoscaler = c.newAutoscaler()
	c.leadership.outages = c.newOutageMonitor()
	c.leadership.startParts(c)
	for _, t := range liveconfig.BaseTeams(c.cfg.Settings.Teams) {
		c.leadership.teams.Configure(t)
		c.leadership.placement.Guarantees = c.leadership.placement.Guarantees || t.CPUs > 0 || t.GPUs > 0
	}
	c.Log(slog.LevelInfo, "elected leader", "term", term)
	c.announceTerm()
	if len(c.cfg.Seeds) == 0 {
		c.leadership.allAcknowledgedAt = c.Now
	}
	// What waited here for a leader waits for us now.
	c.leadership.pendingHeartbeats, c.leadership.knownReporters = c.forwarder.TakeOver()
	c.renewLease()
	c.leadership.autoscaler.RefreshCatalog()
}

// afterWhileLeading runs f after d if this very leadership still holds.
func (c *Core) afterWhileLeading(d time.Duration, f func()) {
	l := c.leadership
	c.After(d, func() {
		if c.leadership == l {
			f()
		}
	})
}

// storeWhileLeading makes a call whose answer only this leadership wants.
func (c *Core) storeWhileLeading(call kv.Request, f func(kv.Response)) {
	l := c.leadership
	c.CallStore(call, func(r kv.Response) {
		if c.leadership == l {
			f(r)
		}
	})
}

// storeWhileLeadingOr is storeWhileLeading where somebody must hear if this leadership ends meanwhile.
func (c *Core) storeWhileLeadingOr(call kv.Request, otherwise func(), f func(kv.Response)) {
	l := c.leadership
	c.CallStore(call, func(r kv.Response) {
		if c.leadership == l && c.canAct() {
			f(r)
		} else {
			otherwise()
		}
	})
}

// stepDown ends the leadership: nothing of it is used again.
func (c *Core) stepDown(why string) {
	l := c.leadership
	if l == nil {
		return
	}
	c.Log(slog.LevelWarn, "leadership lost", "term", l.term, "reason", why)
	c.leadership = nil
	l.scope.Close()
	c.jobs.ShareAmong(1 + len(c.cfg.Seeds))
	if len(l.autoscaler.InstanceTypes) > 0 {
		c.gateway.SetInstanceTypes(l.autoscaler.InstanceTypes)
	}
	// Workers that wait here need not look for the next leader: we pass on what they
	// have said. Other relays do the same with theirs.
	for _, m := range l.inventory.Machines() {
		if m.HeldReply != nil && m.HeldReply.Via.Relay == "" {
			c.forwarder.Receive(heartbeat.Received{Ref: m.HeldReply.Ref, Report: m.HeldReply.Report})
		}
	}
	for _, r := range l.pendingHeartbeats {
		c.forwarder.Receive(r)
	}
	c.answerWaiting(l, request.Unavailable("leadership was lost, try again"))
	c.election.WatchAfter(100 * time.Millisecond)
}

// answerWaiting answers everybody who waits for a write.
func (c *Core) answerWaiting(l *leadership, a request.Response) {
	l.admitter.AnswerWaiting(a)
	for _, j := range l.sortedJobs() {
		l.lifecycle.AnswerWaiters(j, a)
	}
	l.recurring.AnswerWaiting(a)
	l.config.AnswerWaiting(a)
}

// tickEvery is how often the leader does its regular work.
const tickEvery = 500 * time.Millisecond

// tickLeader does the leader's regular work.
func (c *Core) tickLeader() {
	if c.leadership.placement.Attempts > placement.MaxAttempts-spareAttempts {
		// Beyond that an attempt would look like one of the next term's.
		c.resign("the attempts of the term are used up")
		return
	}
	c.tickFleet()
	c.leadership.publisher.StartStreams()
	c.leadership.recurring.Tick()
	c.afterWhileLeading(tickEvery, c.tickLeader)
}

// resign ends a term that is in order: the lease is revoked, so that the next begins
// at once.
func (c *Core) resign(why string) { c.resignThen(why, func() {}) }

// resignThen is resign, with what this node does once the lease has been given back.
func (c *Core) resignThen(why string, then func()) {
	leaseID := c.leadership.leaseID
	c.stepDown(why)
	c.CallStore(kv.Request{Op: kv.RevokeLease, LeaseID: leaseID}, func(kv.Response) { then() })
}

// runLeader runs after each input while we lead.
func (c *Core) runLeader() {
	l := c.leadership
	if !c.hasAuthority() {
		if !l.suspended {
			l.suspended = true
			c.Log(slog.LevelWarn, "leader lease expired, holding workers through the grace period", "term", l.term, "hold", c.leaseTiming.GracePeriod())
			// Whoever waits for a write hears at once that it is not known.
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

// allAccounted reports whether every machine that may hold a task of an earlier term
// is accounted for.
func (l *leadership) allAccounted() bool { return l.inventory.AllAccounted() }

// spareAttempts is how many attempt numbers a term ends with: more than tasks can start
// between two ticks.
const spareAttempts = 1 << 20
