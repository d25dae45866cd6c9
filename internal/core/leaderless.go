package core

import (
	"strings"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
	"yewpass/internal/writebatch"
)

// watchLeaderlessNotes takes on what nodes have accepted without a leader.
func (c *Core) watchLeaderlessNotes() {
	c.storeWhileLeading(kv.Request{Op: kv.List, Key: record.LeaderlessPrefix, Limit: 200}, func(r kv.Response) {
		switch {
		case r.Outcome != rpc.OK:
			c.afterWhileLeading(c.Jitter(time.Second), c.watchLeaderlessNotes)
		case len(r.Entries) > 0:
			for _, e := range r.Entries {
				c.adoptLeaderless(e.Key)
			}
			c.afterWhileLeading(c.Jitter(time.Second), c.watchLeaderlessNotes)
		default:
			c.storeWhileLeading(watchCall(record.LeaderlessPrefix, r.Rev), func(f kv.Response) {
				if f.Outcome == rpc.OK {
					c.watchLeaderlessNotes()
				} else {
					c.afterWhileLeading(c.Jitter(time.Second), c.watchLeaderlessNotes)
				}
			})
		}
	})
}

// adoptLeaderless takes on the job that a note names, and drops the note.
func (c *Core) adoptLeaderless(key string) {
	l := c.leadership
	id := strings.TrimPrefix(key, record.LeaderlessPrefix)
	drop := func() { l.writes.Add(&writebatch.Change{Priority: writebatch.Bulk, Writes: []kv.Write{{Key: key}}}) }
	if l.jobs[id] != nil || l.unreadableJobs[id] {
		drop()
		return
	}
	c.adopt(id, drop, func() {
		c.jobs.Read(id, func(v *request.JobStatus, known bool) {
			if c.leadership == l && known && (v == nil || v.State == spec.Done || v.State == spec.Cancelled) {
				drop() // it is over already
			}
		})
	})
}
