package core

import (
	"yewpass/internal/jobstore"
	"yewpass/internal/peermsg"
	"yewpass/internal/request"
)

// answer sends an answer to where the request came from.
func (c *Core) answer(r request.Request, answer request.Response) { c.Emit(peermsg.Reply(r, answer)) }

// handleRequest serves a request of a user, or one that another controller has forwarded.
func (c *Core) handleRequest(r request.Request) {
	switch {
	case r.Op == request.ConfigLocal:
		c.answer(r, request.Response{Status: 200, Document: c.LocalConfig()})
	case c.canAct():
		c.serve(r)
	default:
		c.gateway.Serve(r)
	}
}

// serve serves a request as the leader.
func (c *Core) serve(r request.Request) {
	switch {
	case r.Schedule != nil:
		c.leadership.recurring.Serve(r)
	case r.Config != nil:
		c.leadership.config.Serve(r)
	case request.IsCluster(r.Op):
		c.serveCluster(r)
	default:
		c.serveJob(r)
	}
}

// serveJob serves a request about one job as the leader.
func (c *Core) serveJob(r request.Request) {
	l := c.leadership
	if l.unreadableJobs[r.ID] {
		c.rereadUnreadable(r)
		return
	}
	if j := l.jobs[r.ID]; j != nil {
		if r.Op == request.Cancel {
			l.lifecycle.Cancel(j, r)
		} else if j.Cancelled || !l.lifecycle.WaitForEnding(j, r) {
			c.answer(r, request.Response{Status: 200, Job: j.View(), Reason: l.outages.WaitReason(j)})
		}
		return
	}
	if final, ok := c.jobs.Final(r.ID); ok {
		c.answer(r, request.Response{Status: 200, Job: jobstore.FinalStatus(r.ID, final)})
		return
	}
	l.admitter.Serve(r)
}
