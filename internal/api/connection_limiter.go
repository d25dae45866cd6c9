package api

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connectionLimiter bounds how many connections of users and workers are open. All of them
// come in by one port, and until it has sent a request nothing tells a worker whose
// lease runs out from a client that sends a byte a minute. So a new connection is
// always let in, and when there are too many the one goes that is worth the least:
// never one on which a worker has reported or a request is being answered.
type connectionLimiter struct {
	mu   sync.Mutex
	max  int
	open map[net.Conn]*connection
}

// connection is an open connection.
type connection struct {
	worker bool // a report has come on it
	busy   bool // a whole request of it is being answered
	idle   bool // between requests
	since  time.Time
}

type connectionKey struct{}

func newConnectionLimiter(most int) *connectionLimiter {
	return &connectionLimiter{max: most, open: map[net.Conn]*connection{}}
}

// watch has the server tell of its connections.
func (cs *connectionLimiter) watch(srv *http.Server) {
	srv.ConnState = cs.stateChanged
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, cs.accept(c))
	}
}

func (cs *connectionLimiter) accept(c net.Conn) *connection {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if len(cs.open) >= cs.max && !cs.evict() {
		c.Close() // all are in use by those who need them
		return nil
	}
	x := &connection{since: time.Now()}
	cs.open[c] = x
	return x
}

func (cs *connectionLimiter) stateChanged(c net.Conn, state http.ConnState) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	switch state {
	case http.StateActive, http.StateIdle:
		if x := cs.open[c]; x != nil {
			x.idle, x.busy, x.since = state == http.StateIdle, false, time.Now()
		}
	case http.StateClosed, http.StateHijacked:
		delete(cs.open, c)
	}
}

// evict closes the connection that has been between requests for longest, or else
// the one that has been sending its request for longest.
func (cs *connectionLimiter) evict() bool {
	var worst net.Conn
	for c, x := range cs.open {
		if x.worker || x.busy {
			continue
		}
		if y := cs.open[worst]; y == nil || x.idle && !y.idle || x.idle == y.idle && x.since.Before(y.since) {
			worst = c
		}
	}
	if worst == nil {
		return false
	}
	delete(cs.open, worst)
	worst.Close()
	return true
}

// hasRequest notes that a whole request has come on the connection that r came by.
func (cs *connectionLimiter) hasRequest(r *http.Request, worker bool) {
	if x, _ := r.Context().Value(connectionKey{}).(*connection); x != nil {
		cs.mu.Lock()
		defer cs.mu.Unlock()
		x.busy, x.worker = true, x.worker || worker
	}
}
