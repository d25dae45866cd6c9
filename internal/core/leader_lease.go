package core

import (
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/rpc"
)

// Times of the leader lease.
const (
	leaseTTL           = 2 * time.Second
	leaseRenewInterval = 400 * time.Millisecond
)

// renewal is one renewal of the leader lease. The lease alone does not show that the term
// is on record: a store that has lost data may know the one and not the other, and whoever
// looks finds nobody leading. So the term is confirmed along with it.
type renewal struct {
	c         *Core
	l         *leadership
	sentAt    time.Time // authority counts from here
	clockSkew time.Duration

	extended  bool // the lease has been extended
	confirmed bool // the term is on record
}

// renewLease keeps the leader lease. While the store is away the leader keeps trying: its
// lease has its full time again after an outage, and the same term then goes on.
func (c *Core) renewLease() {
	r := &renewal{c: c, l: c.leadership, sentAt: c.Now, clockSkew: c.ClockSkew(c.Now)}
	r.confirmTerm()
	r.extendLease()
}

// confirmTerm makes sure that the term is on record, and the configuration as known.
func (r *renewal) confirmTerm() {
	c := r.c
	head := r.l.config.HeadRevision()
	var conditions []kv.Condition
	if r.l.loaded {
		conditions = append(conditions, r.l.config.HeadCondition())
	}
	c.confirmTerm(conditions, func(res kv.Response) {
		r.confirmed = res.Outcome == rpc.OK
		r.extendAuthority()
		if res.Outcome == rpc.Conflict && c.leadership == r.l && slices.Contains(res.FailedKeys, record.ConfigHeadKey) {
			r.l.config.HandleConflict(head, r.confirmTerm)
		}
	})
}

// extendLease extends the lease, and has it renewed again.
func (r *renewal) extendLease() {
	c := r.c
	c.storeWhileLeading(kv.Request{Op: kv.KeepAlive, LeaseID: r.l.leaseID, TTL: leaseTTL, Timeout: leaseTTL / 2}, func(res kv.Response) {
		switch res.Outcome {
		case rpc.OK:
			r.extended = true
			r.extendAuthority()
			c.afterWhileLeading(max(0, leaseRenewInterval-c.Now.Sub(r.sentAt)), c.renewLease)
		case rpc.NotFound, rpc.Invalid:
			c.stepDown("the leader lease has ended")
		default:
			c.afterWhileLeading(c.Jitter(leaseRenewInterval/3), c.renewLease)
		}
	})
}

// extendAuthority extends the authority once both the lease and the term are in order.
func (r *renewal) extendAuthority() {
	if !r.extended || !r.confirmed {
		return
	}
	c, l := r.c, r.l
	if until := c.authorityUntil(r.sentAt); until.After(l.expiresAt) {
		l.expiresAt, l.clockSkew = until, r.clockSkew
	}
	if l.suspended && c.hasAuthority() {
		l.suspended, l.resumedAt = false, c.Now
		l.dispatcher.RequestAll()
		c.Log(slog.LevelInfo, "leader lease renewed, authority regained", "term", l.term)
	}
}
