package core

import (
	"log/slog"
	"strings"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
)

// rereadUnreadable looks again at the record of a job that could not be read: it may have been put
// right, or dropped.
func (c *Core) rereadUnreadable(call request.Request) {
	l, id := c.leadership, call.ID
	no := func() { c.answer(call, request.Unavailable("the job's record cannot be read")) }
	if !c.jobs.Allow(2) {
		no()
		return
	}
	c.storeWhileLeadingOr(kv.Request{Op: kv.Get, Key: record.JobPrefix + id}, no, func(r kv.Response) {
		var rec *record.Job
		if r.Outcome == rpc.OK {
			rec, _ = r.Entries[0].Value.(*record.Job)
		}
		switch {
		case !l.unreadableJobs[id]: // somebody else's question has seen to it
			c.serve(call)
		case r.Outcome == rpc.NotFound:
			delete(l.unreadableJobs, id)
			c.serve(call)
		case rec == nil || rec.Spec.ID != id:
			no()
		default:
			c.storeWhileLeadingOr(kv.Request{Op: kv.List, Key: record.ProgressPrefix + id + "/", Limit: 400}, no, func(p kv.Response) {
				if p.Outcome != rpc.OK || p.More {
					no()
					return
				}
				if l.unreadableJobs[id] && !c.adoptReadable(r.Entries[0], p.Entries) {
					no()
					return
				}
				c.serve(call)
			})
		}
	})
}

// adoptReadable takes on a job whose record could not be read before. Its tasks were stopped; those
// that may still be on machines are its own again until they are gone. A record that a fault
// of ours cannot take in stays set aside, as at a take-over.
func (c *Core) adoptReadable(rec kv.Entry, progress []kv.Entry) bool {
	l, id := c.leadership, strings.TrimPrefix(rec.Key, record.JobPrefix)
	delete(l.unreadableJobs, id)
	c.loadRecord(rec)
	j := l.jobs[id]
	if j == nil {
		return false
	}
	c.Log(slog.LevelInfo, "record readable again", "key", rec.Key)
	c.replicate(rec)
	for _, e := range progress {
		c.replicate(e)
		c.loadRecord(e)
	}
	for _, m := range l.inventory.Machines() {
		for _, r := range m.Attempts {
			if r.Orphaned && r.ID.Job == id {
				c.leadership.placement.Vacate(r)
				if r.ID.Index < j.Spec.Tasks && j.Attempts[r.ID.Index] == nil {
					c.leadership.placement.Occupy(r, j)
				}
			}
		}
	}
	c.leadership.lifecycle.Queue(j)
	return true
}
