package core

import (
	"log/slog"
	"strings"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
)

// rereadUnreadableJob serves a request about a job whose record was unreadable. It first reads the
// record again, because an operator may have repaired or deleted it.
func (c *Core) rereadUnreadableJob(r request.Request) {
	l, id := c.leadership, r.ID
	unavailable := func() { c.answer(r, request.Unavailable("the job's record cannot be read")) }
	if !c.jobReader.Allow(2) {
		unavailable()
		return
	}
	c.callStoreWhileLeadingOr(kv.Request{Op: kv.Get, Key: record.JobPrefix + id}, unavailable, func(reply kv.Response) {
		switch {
		case !l.unreadableJobs[id]: // loaded meanwhile for another request
			c.serveAsLeader(r)
		case reply.Outcome == rpc.NotFound:
			delete(l.unreadableJobs, id)
			c.serveAsLeader(r)
		case isRecordOf(id, reply):
			c.rereadProgress(r, reply.Entries[0], unavailable)
		default:
			unavailable()
		}
	})
}

// isRecordOf reports whether the response contains a readable record of the job.
func isRecordOf(id string, reply kv.Response) bool {
	if reply.Outcome != rpc.OK {
		return false
	}
	job, _ := reply.Entries[0].Value.(*record.Job)
	return job != nil && job.Spec.ID == id
}

// rereadProgress reads the progress of a job, loads both and serves the request. It calls
// unavailable if that fails.
func (c *Core) rereadProgress(r request.Request, job kv.Entry, unavailable func()) {
	l, id := c.leadership, r.ID
	list := kv.Request{Op: kv.List, Key: record.ProgressPrefix + id + "/", Limit: maxProgressRecords}
	c.callStoreWhileLeadingOr(list, unavailable, func(progress kv.Response) {
		if progress.Outcome != rpc.OK || progress.More {
			unavailable()
			return
		}
		if l.unreadableJobs[id] && !c.loadRereadJob(job, progress.Entries) {
			unavailable()
			return
		}
		c.serveAsLeader(r)
	})
}

// maxProgressRecords limits the list of progress records of one job; no job has that many.
const maxProgressRecords = 400

// loadRereadJob loads a job whose record was unreadable, and reports whether it succeeded. Its
// tasks were ordered to stop; those that may still run are assigned to it until they end. A record
// that makes loadRecord panic stays unreadable.
func (c *Core) loadRereadJob(job kv.Entry, progress []kv.Entry) bool {
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
