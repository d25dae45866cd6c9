package core

import (
	"yewpass/internal/jobstore"
	"yewpass/internal/peermsg"
	"yewpass/internal/request"
)

// answer sends an answer to where the request came from.
func (c *Core) answer(call request.Request, a request.Response) { c.Emit(peermsg.Reply(call, a)) }

// userCall serves a request of a user, or one that another controller has forwarded.
func (c *Core) userCall(call request.Request) {
	switch {
	case call.Op == request.ConfigHere:
		c.answer(call, request.Response{Status: 200, Doc: c.LocalConfig()})
	case c.canAct():
		c.serve(call)
	default:
		c.gateway.Serve(call)
	}
}

// serve answers as the leader.
func (c *Core) serve(call request.Request) {
	l := c.leadership
	if call.Schedule != nil {
		l.recurring.Serve(call)
		return
	}
	if call.Config != nil {
		c.serveConfig(call)
		return
	}
	if request.IsCluster(call.Op) {
		c.serveCluster(call)
		return
	}
	if l.unreadableJobs[call.ID] {
		c.rereadUnreadable(call)
		return
	}
	if j := l.jobs[call.ID]; j != nil {
		if call.Op == request.Cancel {
			c.leadership.lifecycle.Cancel(j, call)
			return
		}
		if j.Cancelled || !c.leadership.lifecycle.WaitForEnding(j, call) {
			c.answer(call, request.Response{Status: 200, View: j.View(), Reason: c.leadership.outages.WaitReason(j)})
		}
		return
	}
	if f, ok := c.jobs.Final(call.ID); ok {
		c.answer(call, request.Response{Status: 200, View: jobstore.FinalStatus(call.ID, f)})
		return
	}
	l.admitter.Serve(call)
}
