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

// A loopback drives a world in real time: its clock goes with the time of day, its
// controllers are processes of the real program, and HTTP on the loopback interface
// connects them with the stand-ins of the state service, the cloud, workers and users.
// The stand-ins behave as in every scenario, and the same checker looks at every rule.
type loopback struct {
	*world
	script *script
	mu     sync.Mutex // held by whoever touches the world
	binds  []net.Listener
	over   chan struct{}
	dir    string // for the settings of the processes
	// complain is told of what goes wrong on this side of the sockets.
	complain func(format string, args ...any)
	// twist is what a faulty service answers in place of its answer.
	twist     func(host, path string, status int, data []byte) (int, []byte)
	address   string // on which the controllers listen, without a port
	processes []*process

	linksMu sync.Mutex
	links   map[string]*workerLink
	traffic traffic
}

// loopbacks counts the drivers of this process: each has addresses of its own.
var loopbacks atomic.Int64

// newLoopback begins the world of a script whose settings are complete.
func newLoopback(s *script, dir string, complain func(format string, args ...any)) *loopback {
	w := s.world
	w.applySettings(nil)
	w.store.refilled = time.Now()
	w.clock.start, w.clock.now = time.Now(), time.Now()
	l := &loopback{world: w, script: s, over: make(chan struct{}), dir: dir, complain: complain, links: map[string]*workerLink{}}
	// Whatever else opens ports at the same time does so on another address.
	l.address = fmt.Sprintf("127.%d.%d.1", 20+os.Getpid()%200, 1+loopbacks.Add(1)%250)
	workers := l.serve(l.worker)
	w.address = func(host string) string { return workers + "/" + host }
	return l
}

// close ends the processes and stops listening.
func (l *loopback) close() {
	for _, p := range l.processes {
		p.end()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.over)
	for _, ln := range l.binds {
		ln.Close()
	}
	l.linksMu.Lock()
	defer l.linksMu.Unlock()
	for _, link := range l.links {
		link.transport.CloseIdleConnections()
	}
}

// play lets the stand-ins' time go with time itself.
func (l *loopback) play() {
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-l.over:
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

// with has do called while nothing else touches the world.
func (l *loopback) with(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.catchUp()
	do()
}

// listen opens a port of the system's choice.
func (l *loopback) listen() (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		l.binds = append(l.binds, ln)
	}
	return ln, err
}

// serve answers HTTP on a port of its own and returns its address.
func (l *loopback) serve(h http.HandlerFunc) string {
	ln, err := l.listen()
	if err != nil {
		l.complain("%v", err)
		return ""
	}
	go http.Serve(ln, h)
	return ln.Addr().String()
}

// outside is a service of the stand-ins as one node sees it: over the world's
// network, with its cuts.
func (l *loopback) outside(node, host string, serve func(method, path string, body []byte, answer func(int, []byte))) string {
	return l.serve(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		type reply struct {
			status int
			data   []byte
		}
		got := make(chan reply, 8)
		l.with(func() {
			l.net.send(host, node, host, func() {
				serve(r.Method, r.URL.RequestURI(), body, func(status int, data []byte) {
					if l.twist != nil {
						status, data = l.twist(host, r.URL.RequestURI(), status, data)
					}
					l.net.send(host+" answer", host, node, func() { got <- reply{status, data} })
				})
			})
		})
		select {
		case a := <-got:
			l.traffic.count(host, node, len(r.RequestURI)+len(body)+len(a.data)+2*headBytes)
			rw.WriteHeader(a.status)
			rw.Write(a.data)
		case <-r.Context().Done():
		case <-l.over:
		}
	})
}

// headBytes is about what the headers of one HTTP message take, where they are not counted.
const headBytes = 110

// outsider is a host that is behind no cut.
const outsider = "outsider"

// worker takes direct commands for the machine that the path names. Whose command it is
// cannot be seen: one that comes across a cut is lost, and so is one from inside of it.
func (l *loopback) worker(rw http.ResponseWriter, r *http.Request) {
	var c struct{ Epoch, Tenure uint64 }
	json.NewDecoder(r.Body).Decode(&c)
	got := make(chan heartbeat.ProbeReply, 1)
	l.with(func() {
		if m := l.workers[strings.Split(r.URL.Path, "/")[1]]; m != nil && l.net.open(m.host, outsider) {
			m.do(func() {
				outcome, rep := m.command(c.Epoch, c.Tenure)
				got <- heartbeat.ProbeReply{Outcome: outcome, Report: rep}
			})
		}
	})
	select {
	case a := <-got:
		if a.Outcome != rpc.OK {
			rw.WriteHeader(http.StatusConflict)
		}
		rw.Write(reportBody(a.Report))
	case <-r.Context().Done():
	case <-l.over:
	}
}

// reportBody is a report as workers write it.
func reportBody(r heartbeat.Report) []byte {
	tasks := []object{}
	for _, t := range r.Tasks {
		tasks = append(tasks, object{"shard": t.Task.String(), "try": t.Try, "status": t.Phase, "cause": t.Cause})
	}
	o := object{"host": r.Host, "address": r.Address, "flavor": r.InstanceType, "hall": r.Zone, "reclaimable": r.Spot,
		"tenure": r.Incarnation, "counter": r.Counter, "epoch": r.FencingToken, "shards": tasks}
	if r.HasNotice {
		o["warningS"] = r.Notice.Seconds()
	}
	return encode(o)
}
