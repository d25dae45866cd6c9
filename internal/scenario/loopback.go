package scenario

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/rpc"
)

// A loopback runs a world in real time. Its controllers are processes of the real program,
// connected over HTTP on the loopback interface to the simulated key-value store, cloud, workers
// and users.
type loopback struct {
	*world
	script    *script
	mu        sync.Mutex // guards the world
	listeners []net.Listener
	closed    chan struct{}
	dir       string // contains the settings files of the processes
	// errorf reports an error of the test driver.
	errorf func(format string, args ...any)
	// alterResponse, if not nil, replaces the responses of the simulated services.
	alterResponse func(host, path string, status int, data []byte) (int, []byte)
	address       string // on which the controllers listen, without a port
	processes     []*process

	linksMu sync.Mutex
	links   map[string]*workerLink
	traffic traffic
}

// loopbackCount counts the loopbacks of this process; each has its own IP address.
var loopbackCount atomic.Int64

// newLoopback sets up the world of a script whose settings are complete.
func newLoopback(s *script, dir string, errorf func(format string, args ...any)) *loopback {
	w := s.world
	w.applySettings(nil)
	w.store.refilled = time.Now()
	w.clock.start, w.clock.now = time.Now(), time.Now()
	l := &loopback{world: w, script: s, closed: make(chan struct{}), dir: dir, errorf: errorf, links: map[string]*workerLink{}}
	// A separate IP address avoids port conflicts with other processes.
	l.address = fmt.Sprintf("127.%d.%d.1", 20+os.Getpid()%200, 1+loopbackCount.Add(1)%250)
	workers := l.serve(l.serveProbe)
	w.address = func(host string) string { return workers + "/" + host }
	return l
}

// close stops the processes and closes the listeners.
func (l *loopback) close() {
	for _, p := range l.processes {
		p.stop()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.closed)
	for _, ln := range l.listeners {
		ln.Close()
	}
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	for _, link := range l.links {
		link.transport.CloseIdleConnections()
	}
}

// runClock advances the world to the current time, until the loopback is closed.
func (l *loopback) runClock() {
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-l.closed:
			return
		case <-tick.C:
		}
		l.mu.Lock()
		l.catchUp()
		l.mu.Unlock()
	}
}

func (l *loopback) catchUp() {
	now := time.Now()
	for l.step(now) {
	}
	l.clock.now = now
	l.check()
}

// with advances the world to the current time and calls do with the lock held.
func (l *loopback) with(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.catchUp()
	do()
}

func (l *loopback) listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		l.listeners = append(l.listeners, ln)
	}
	return ln, err
}

// serve serves HTTP on a free port and returns its address.
func (l *loopback) serve(h http.HandlerFunc) string {
	ln, err := l.listen()
	if err != nil {
		l.errorf("%v", err)
		return ""
	}
	go http.Serve(ln, h)
	return ln.Addr().String()
}

// serveExternal serves a simulated service to one node through the simulated network, where
// partitions can drop requests and responses.
func (l *loopback) serveExternal(node, host string, serve func(method, path string, body []byte, answer func(int, []byte))) string {
	return l.serve(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		type reply struct {
			status int
			data   []byte
		}
		replies := make(chan reply, 8)
		l.with(func() {
			l.net.send(host, node, host, func() {
				serve(r.Method, r.URL.RequestURI(), body, func(status int, data []byte) {
					if l.alterResponse != nil {
						status, data = l.alterResponse(host, r.URL.RequestURI(), status, data)
					}
					l.net.send(host+" answer", host, node, func() { replies <- reply{status, data} })
				})
			})
		})
		select {
		case a := <-replies:
			l.traffic.count(host, node, len(r.RequestURI)+len(body)+len(a.data)+2*httpHeaderBytes)
			rw.WriteHeader(a.status)
			rw.Write(a.data)
		case <-r.Context().Done():
		case <-l.closed:
		}
	})
}

// httpHeaderBytes estimates the size of an HTTP message's headers.
const httpHeaderBytes = 110

// unpartitionedHost is the name of a host that no partition affects.
const unpartitionedHost = "outsider"

// serveProbe handles probes of the worker that the path names. Their sender is unknown, so a
// partitioned worker receives none, not even from its own side.
func (l *loopback) serveProbe(rw http.ResponseWriter, r *http.Request) {
	var c struct{ Epoch, Tenure uint64 }
	json.NewDecoder(r.Body).Decode(&c)
	replies := make(chan heartbeat.ProbeReply, 1)
	l.with(func() {
		if m := l.workers[strings.Split(r.URL.Path, "/")[1]]; m != nil && l.net.reachable(m.host, unpartitionedHost) {
			m.whenRunning(func() {
				outcome, rep := m.handleProbe(c.Epoch, c.Tenure)
				replies <- heartbeat.ProbeReply{Outcome: outcome, Report: rep}
			})
		}
	})
	select {
	case a := <-replies:
		if a.Outcome != rpc.OK {
			rw.WriteHeader(http.StatusConflict)
		}
		rw.Write(heartbeatBody(a.Report))
	case <-r.Context().Done():
	case <-l.closed:
	}
}

// heartbeatBody encodes a heartbeat as workers send it.
func heartbeatBody(r heartbeat.Report) []byte {
	tasks := []object{}
	for _, t := range r.Tasks {
		tasks = append(tasks, object{"shard": t.ID.String(), "try": t.Attempt, "status": t.Phase, "cause": t.Cause})
	}
	o := object{"host": r.Host, "address": r.Address, "flavor": r.InstanceType, "hall": r.Zone, "reclaimable": r.Spot,
		"tenure": r.Incarnation, "counter": r.Counter, "epoch": r.FencingToken, "shards": tasks}
	if r.HasNotice {
		o["warningS"] = r.Notice.Seconds()
	}
	return encode(o)
}
