package core

import (
	"errors"
	"log/slog"

	"yewpass/internal/request"
)

// serveCluster serves an operator's request on the leader: the cluster status, or a hand-over.
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
	c.handOver("handed over at an operator's request")
}

// Reasons for refusing to hand over the leadership.
var (
	errNotLeading      = errors.New("this node is not the leader or is still loading records")
	errFailoverPending = errors.New("the failover is not complete")
	errNoPeer          = errors.New("no other controller is reachable")
)

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

// handOver resigns in favor of another controller.
func (c *Core) handOver(reason string) {
	c.election.RecordHandOver()
	c.resign(reason)
}

// Shutdown is the input that announces an orderly end of the process. A leader then hands over.
type Shutdown struct{}

func (c *Core) handleShutdown() {
	if err := c.checkHandOver(); err != nil {
		c.Log(slog.LevelInfo, "leadership not handed over", "reason", err.Error())
		return
	}
	c.handOver("handed over before shutdown")
}
