package core

import (
	"slices"
	"strings"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/recovery"
	"yewpass/internal/replica"
	"yewpass/internal/rpc"
)

// A service that loses single records under a living leader says nothing, and the term
// stands. So the leader reads what it has of them over and over, a little at a time, and
// compares it with its own copy: what is missing there is a loss like any other, which the
// next leader mends by the copies. Of the records of jobs that have ended, of which there
// may be any number, one that the copy has is asked for each time.
const (
	scrubInterval = 2 * time.Second
	scrubPageSize = 100 // records
)

// scrubber is how far the leader has come.
type scrubber struct {
	place int    // of the prefix
	from  string // the key before
	final int    // of those that have ended
}

var scrubbedPrefixes = []string{record.LivePrefix, record.SchedulePrefix}

// scrubRecords reads on, now and every while.
func (c *Core) scrubRecords() {
	l := c.leadership
	c.afterWhileLeading(scrubInterval, c.scrubRecords)
	own := c.ownReplica()
	if own == nil || !c.canAct() || len(l.restoring) > 0 || l.loss != nil && l.loss.pending > 0 || !c.readLimit.AllowN(c.Now, 2) {
		return
	}
	s := &l.scrub
	prefix, asked := scrubbedPrefixes[s.place], c.observed.Revision
	c.storeWhileLeading(kv.Request{Op: kv.List, Key: prefix, From: s.from, Limit: scrubPageSize}, func(r kv.Response) {
		if r.Outcome != rpc.OK || c.ownReplica() != own {
			return
		}
		p := recovery.ListPage{Prefix: prefix, From: s.from, AskedRevision: asked}
		for _, e := range r.Entries {
			p.Listed = append(p.Listed, replica.Record{Key: e.Key, Rev: e.Rev})
		}
		if n := len(r.Entries); r.More && n > 0 {
			p.To = r.Entries[n-1].Key
		} else {
			s.place = (s.place + 1) % len(scrubbedPrefixes)
		}
		s.from = p.To
		if keys := recovery.MissingKeys(own, p, c.hasUncommittedChange); len(keys) > 0 {
			c.verifyMissing(own, keys[0])
		}
	})
	if keys := own.BoundedKeys(); len(keys) > 0 {
		s.final = (s.final + 1) % len(keys)
		c.verifyMissing(own, keys[s.final])
	}
}

// hasUncommittedChange reports whether a change of the key is on its way, or has been sent without
// our knowing what became of it.
func (c *Core) hasUncommittedChange(key string) bool {
	p := &c.leadership.writes
	if p.KeysInFlight[key] {
		return true
	}
	for _, list := range p.Queued {
		for _, ch := range list {
			if ch.Sent && slices.ContainsFunc(ch.Writes, func(w kv.Write) bool { return w.Key == key }) {
				return true
			}
		}
	}
	return false
}

// verifyMissing asks for a record that seems to be missing or old. That it is shows that data was
// lost, if nothing of ours has changed it since.
func (c *Core) verifyMissing(own *replica.Replica, key string) {
	was, ok := own.Get(key)
	if !ok || was.Rev == 0 || c.hasUncommittedChange(key) {
		return
	}
	c.storeWhileLeading(kv.Request{Op: kv.Get, Key: key}, func(r kv.Response) {
		now, still := own.Get(key)
		gone := r.Outcome == rpc.NotFound || r.Outcome == rpc.OK && r.Entries[0].Rev < was.Rev
		if gone && still && now.Rev == was.Rev && c.ownReplica() == own && !c.hasUncommittedChange(key) {
			c.reportDataLoss("a record is missing or old that a copy has: " + strings.TrimPrefix(key, record.Root))
		}
	})
}
