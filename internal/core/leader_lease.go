package core

import (
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/rpc"
)

const (
	leaseTTL           = 2 * time.Second
	leaseRenewInterval = 400 * time.Millisecond
)

// renewal is one renewal of the leader lease. It also confirms the term record, without which a
// store that has lost data would let another node be elected.
type renewal struct {
	c         *Core
	l         *leadership
	sentAt    time.Time     // start of the authority that this renewal gives
	clockSkew time.Duration // at sentAt

	extended  bool // the store has extended the lease
	confirmed bool // the term record was unchanged
}

// renewLease starts a renewal of the leader lease, which schedules the next one. It retries
// throughout an outage of the store: if the store then restores the lease with its full TTL, the
// term continues.
func (c *Core) renewLease() {
	r := &renewal{c: c, l: c.leadership, sentAt: c.Now, clockSkew: c.ClockSkew(c.Now)}
	r.confirmTerm()
	r.extendLease()
}

// confirmTerm checks that the term record is unchanged and, once the records are loaded, that the
// live configuration has not changed either. It reloads a changed configuration and retries.
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

// extendLease also schedules the next renewal.
func (r *renewal) extendLease() {
	c := r.c
	c.callStoreWhileLeading(kv.Request{Op: kv.KeepAlive, LeaseID: r.l.leaseID, TTL: leaseTTL, Timeout: leaseTTL / 2}, func(res kv.Response) {
		switch res.Outcome {
		case rpc.OK:
			r.extended = true
			r.extendAuthority()
			c.afterWhileLeading(max(0, leaseRenewInterval-c.Now.Sub(r.sentAt)), c.renewLease)
		case rpc.NotFound, rpc.Invalid:
			c.stepDown("the leader lease has expired or does not exist")
		default:
			c.afterWhileLeading(c.Jitter(leaseRenewInterval/3), c.renewLease)
		}
	})
}

// extendAuthority extends the authority once the lease is extended and the term is confirmed.
func (r *renewal) extendAuthority() {
	if !r.extended || !r.confirmed {
		return
	}
	c, l := r.c, r.l
	if until := c.authorityExpiry(r.sentAt); until.After(l.expiresAt) {
		l.expiresAt, l.clockSkew = until, r.clockSkew
	}
	if l.suspended && c.hasAuthority() {
		l.suspended, l.resumedAt = false, c.Now
		l.dispatcher.EnqueueAll()
		c.Log(slog.LevelInfo, "leader lease renewed after an outage, authority regained", "term", l.term)
	}
}
