package api

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// connectionLimiter bounds the number of open connections of users and workers. At the limit it
// evicts an existing connection, because a new one may be a worker's. Connections on which a worker
// has sent a heartbeat or a request is being answered are never evicted.
type connectionLimiter struct {
	mu   sync.Mutex
	max  int
	open map[net.Conn]*connection
}

type connection struct {
	worker bool      // has carried a heartbeat
	busy   bool      // a complete request is being answered
	idle   bool      // between requests
	since  time.Time // of the last state change
}

type connectionKey struct{}

func newConnectionLimiter(limit int) *connectionLimiter {
	return &connectionLimiter{max: limit, open: map[net.Conn]*connection{}}
}

// attach installs the limiter in a server that has not started to serve.
func (l *connectionLimiter) attach(srv *http.Server) {
	srv.ConnState = l.stateChanged
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, l.add(c))
	}
}

// add registers a new connection. If the limit is reached and no connection can be evicted, it
// closes c and returns nil.
func (l *connectionLimiter) add(c net.Conn) *connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.max && !l.evict() {
		c.Close()
		return nil
	}
	x := &connection{since: time.Now()}
	l.open[c] = x
	return x
}

func (l *connectionLimiter) stateChanged(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive, http.StateIdle:
		if x := l.open[c]; x != nil {
			x.idle, x.busy, x.since = state == http.StateIdle, false, time.Now()
		}
	case http.StateClosed, http.StateHijacked:
		delete(l.open, c)
	}
}

// evict closes the connection that has been idle the longest or, if none is idle, the one that has
// been sending its request the longest. It returns false if every connection is in use. The caller
// must hold the lock.
func (l *connectionLimiter) evict() bool {
	var victim net.Conn
	for c, x := range l.open {
		if x.worker || x.busy {
			continue
		}
		if y := l.open[victim]; y == nil || x.idle && !y.idle || x.idle == y.idle && x.since.Before(y.since) {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	delete(l.open, victim)
	victim.Close()
	return true
}

// markBusy records that the connection of r has received a complete request, sent by a worker if
// worker is set.
func (l *connectionLimiter) markBusy(r *http.Request, worker bool) {
	if x, _ := r.Context().Value(connectionKey{}).(*connection); x != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		x.busy, x.worker = true, x.worker || worker
	}
}
