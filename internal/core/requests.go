package core

import (
	"yewpass/internal/jobstore"
	"yewpass/internal/peermsg"
	"yewpass/internal/request"
)

// answer sends the response to the user or the controller from which the request came.
func (c *Core) answer(r request.Request, response request.Response) {
	c.Emit(peermsg.Reply(r, response))
}

// handleRequest serves a direct or forwarded user's request. Unless this node is an active leader,
// the gateway serves it.
func (c *Core) handleRequest(r request.Request) {
	switch {
	case r.Op == request.ConfigLocal:
		c.answer(r, request.Response{Status: 200, Document: c.LocalConfig()})
	case c.isActive():
		c.serveAsLeader(r)
	default:
		c.gateway.Serve(r)
	}
}

func (c *Core) serveAsLeader(r request.Request) {
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

func (c *Core) serveJob(r request.Request) {
	l := c.leadership
	if l.unreadableJobs[r.ID] {
		c.rereadUnreadableJob(r)
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
	if final, ok := c.jobReader.Final(r.ID); ok {
		c.answer(r, request.Response{Status: 200, Job: jobstore.FinalStatus(r.ID, final)})
		return
	}
	l.admitter.Serve(r)
}
