package core

import (
	"errors"
	"log/slog"

	"yewpass/internal/request"
)

// serveCluster serves an operator's request about the controllers, as the leader.
func (c *Core) serveCluster(call request.Request) {
	if call.Op == request.Cluster {
		c.answer(call, request.Response{Status: 200, Document: c.clusterView()})
		return
	}
	if err := c.checkHandOver(); err != nil {
		c.answer(call, request.Response{Status: 409, Reason: err.Error()})
		return
	}
	c.answer(call, request.Response{Status: 200, Document: c.clusterView()})
	c.handOver("asked for by an operator")
}

// Reasons not to hand over the leadership.
var (
	errNotLeading      = errors.New("this node does not lead")
	errFailoverPending = errors.New("the take-over is not complete")
	errNoPeer          = errors.New("no other controller is in reach")
)

// checkHandOver returns why the leadership cannot be handed over, or nil.
func (c *Core) checkHandOver() error {
	switch l := c.leadership; {
	case l == nil || !l.loaded:
		return errNotLeading
	case !l.allAccounted():
		return errFailoverPending
	case len(l.relays.Nodes()) == 0:
		return errNoPeer
	}
	return nil
}

// handOver resigns, so that another controller is elected.
func (c *Core) handOver(why string) {
	c.election.NoteHandOver()
	c.resign(why)
}

// Leave has a leader hand over before its process ends on purpose.
type Leave struct{}

func (c *Core) leave() {
	if err := c.checkHandOver(); err != nil {
		c.Log(slog.LevelInfo, "leadership not handed over", "reason", err.Error())
		return
	}
	c.handOver("the process ends")
}
