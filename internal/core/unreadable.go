package core

import (
	"log/slog"
	"strings"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
)

// rereadUnreadable serves a request about a job whose record could not be read, after
// another look at it: it may have been put right, or dropped.
func (c *Core) rereadUnreadable(r request.Request) {
	l, id := c.leadership, r.ID
	no := func() { c.answer(r, request.Unavailable("the job's record cannot be read")) }
	if !c.jobs.Allow(2) {
		no()
		return
	}
	c.storeWhileLeadingOr(kv.Request{Op: kv.Get, Key: record.JobPrefix + id}, no, func(reply kv.Response) {
		switch {
		case !l.unreadableJobs[id]: // another request has seen to it
			c.serve(r)
		case reply.Outcome == rpc.NotFound:
			delete(l.unreadableJobs, id)
			c.serve(r)
		case isRecordOf(id, reply):
			c.rereadProgress(r, reply.Entries[0], no)
		default:
			no()
		}
	})
}

// isRecordOf reports whether the response has the readable record of a job.
func isRecordOf(id string, reply kv.Response) bool {
	if reply.Outcome != rpc.OK {
		return false
	}
	job, _ := reply.Entries[0].Value.(*record.Job)
	return job != nil && job.Spec.ID == id
}

// rereadProgress takes on a job whose record is readable again, with its progress, and
// serves the request.
func (c *Core) rereadProgress(r request.Request, job kv.Entry, no func()) {
	l, id := c.leadership, r.ID
	list := kv.Request{Op: kv.List, Key: record.ProgressPrefix + id + "/", Limit: maxProgressRecords}
	c.storeWhileLeadingOr(list, no, func(progress kv.Response) {
		if progress.Outcome != rpc.OK || progress.More {
			no()
			return
		}
		if l.unreadableJobs[id] && !c.adoptReadable(job, progress.Entries) {
			no()
			return
		}
		c.serve(r)
	})
}

// maxProgressRecords is how many records of progress of one job are read at once, which is
// more than any job has.
const maxProgressRecords = 400

// adoptReadable takes on a job whose record could not be read before. Its tasks were stopped;
// those that may still be on machines are its own again until they are gone. A record that
// makes loadRecord panic stays set aside, as at a failover.
func (c *Core) adoptReadable(job kv.Entry, progress []kv.Entry) bool {
	l, id := c.leadership, strings.TrimPrefix(job.Key, record.JobPrefix)
	delete(l.unreadableJobs, id)
	c.loadRecord(job)
	j := l.jobs[id]
	if j == nil {
		return false
	}
	c.Log(slog.LevelInfo, "record readable again", "key", job.Key)
	c.replicate(job)
	for _, e := range progress {
		c.replicate(e)
		c.loadRecord(e)
	}
	for _, m := range l.inventory.Machines() {
		for _, a := range m.Attempts {
			if a.Orphaned && a.ID.Job == id {
				l.placement.Deallocate(a)
				if a.ID.Index < j.Spec.Tasks && j.Attempts[a.ID.Index] == nil {
					l.placement.Allocate(a, j)
				}
			}
		}
	}
	l.lifecycle.Queue(j)
	return true
}
