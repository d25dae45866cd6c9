// Package forwarder forwards workers' heartbeats to the leader, and its replies to the workers, at
// controllers that are not the leader.
//
// A reply's validity depends only on its heartbeat's incarnation and counter and on its term, not
// on its path.
package forwarder

import (
	"maps"
	"slices"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/heartbeat"
	"yewpass/internal/relay"
)

const (
	// flushInterval is the minimum time between two batches, increased by
	// flushIntervalPerWorker for each worker. Batching saves the leader system calls.
	flushInterval          = 10 * time.Millisecond
	flushIntervalPerWorker = 25 * time.Microsecond
	maxFlushInterval       = 40 * time.Millisecond
	// KeepAliveInterval is the interval of Tick, and the idle time after which a relay sends an
	// empty batch as a keep-alive.
	KeepAliveInterval = 400 * time.Millisecond
	// replyTimeout is how long a heartbeat waits for the leader's reply or an election. It is
	// shorter than the 4 s after which workers give up.
	replyTimeout = 3300 * time.Millisecond
	// LinkTimeout is how long a relay keeps its workers without a link to the leader. It is
	// longer than a failover.
	LinkTimeout = 2500 * time.Millisecond
)

// Upstream is what a controller knows about the leader.
type Upstream struct {
	Leader        string // "" if not known
	Linked        bool   // this controller is connected to the leader
	LinkLostAt    time.Time
	Term          uint64 // highest known term
	ConfirmedTerm uint64 // newest term that the key-value store has confirmed to this process, or 0
}

// usable reports whether heartbeats can be forwarded to the leader.
//
// It requires a confirmed term: before a restart this controller may have acknowledged a newer
// leader, which assumes that an older one can no longer renew leases through it.
func (u *Upstream) usable() bool { return u.Linked && u.ConfirmedTerm != 0 }

// unreachable reports whether the known leader has not been usable for longer than a failover
// takes. Workers should then report to it directly.
func (u *Upstream) unreachable(now time.Time) bool {
	return u.Leader != "" && !u.usable() && now.Sub(u.LinkLostAt) > LinkTimeout
}

// Controller is the controller that a Forwarder runs in.
type Controller interface {
	// IsLeader reports whether the controller is the leader, which does not forward.
	IsLeader() bool
	// Upstream returns what is known about the leader.
	Upstream() Upstream
}

// Forwarder forwards heartbeats while its controller is not the leader.
type Forwarder struct {
	engine          *engine.Engine
	controller      Controller
	cfg             *config.Config
	staleHeartbeats int64 // number of heartbeats refused as stale

	heartbeats
	session
	prober
}

// heartbeats holds this controller's workers and their heartbeats that await a reply.
type heartbeats struct {
	byRef    map[uint64]*pendingHeartbeat
	byHost   map[string]*pendingHeartbeat
	workers  map[string]*Worker
	prunedAt time.Time
}

// session is the session with the leader.
type session struct {
	encoder        *relay.Encoder // nil without a link
	leader         string
	term           uint64
	unsent         []relay.Delta
	unsentWeight   int // total weight of unsent
	abandoned      []uint64
	flushedAt      time.Time
	flushScheduled bool // a timer for the next flush is running
}

// pendingHeartbeat is a heartbeat that awaits a reply.
type pendingHeartbeat struct {
	ref        uint64
	report     heartbeat.Report
	receivedAt time.Time
}

// Worker is a worker that reports to this controller.
type Worker struct {
	address                   string
	incarnation, fencingToken uint64
	lastHeartbeat             time.Time
}

// New returns a Forwarder without workers or a session. Call Tick once to start its timers.
func New(e *engine.Engine, controller Controller, cfg *config.Config) *Forwarder {
	f := &Forwarder{engine: e, controller: controller, cfg: cfg}
	f.reset()
	return f
}

func (f *Forwarder) reset() {
	f.heartbeats = heartbeats{byRef: map[uint64]*pendingHeartbeat{}, byHost: map[string]*pendingHeartbeat{}, workers: map[string]*Worker{}}
	f.session = session{}
	f.prober = prober{}
}

// Workers returns the number of workers that report to this controller. It is 0 while the
// controller is the leader.
func (f *Forwarder) Workers() int { return len(f.workers) }

// StaleHeartbeats returns the number of heartbeats refused because a newer one was pending.
func (f *Forwarder) StaleHeartbeats() int64 { return f.staleHeartbeats }

// SessionID returns the ID of the session with the leader, or 0 if there is none.
func (f *Forwarder) SessionID() uint64 {
	if f.encoder == nil {
		return 0
	}
	return f.encoder.Session()
}

// ReleasePending resets the forwarder when its controller becomes the leader. It returns the
// pending heartbeats, in order of arrival, and the workers by host.
func (f *Forwarder) ReleasePending() ([]heartbeat.Received, map[string]*Worker) {
	var waiting []heartbeat.Received
	for _, ref := range f.waitingRefs() {
		waiting = append(waiting, heartbeat.Received{Ref: ref, Report: f.byRef[ref].report})
	}
	workers := f.workers
	f.reset()
	return waiting, workers
}

// Receive queues a worker's heartbeat for the leader. Without a known leader the heartbeat waits
// until replyTimeout. If the leader is unreachable, the worker is redirected to it.
func (f *Forwarder) Receive(in heartbeat.Received) {
	report := &in.Report
	if in.Via.Relay != "" {
		return // relayed to this controller as the leader; the relay will find the new one
	}
	if p := f.byHost[report.Host]; p != nil {
		if !report.Newer(p.report.Incarnation, p.report.Counter) {
			f.staleHeartbeats++
			f.engine.Emit(heartbeat.Reply{Ref: in.Ref, Status: 503}) // delayed in the network
			return
		}
		f.drop(p) // the worker has abandoned this request
		f.engine.Emit(heartbeat.Reply{Ref: p.ref, Status: 503})
	}
	upstream := f.controller.Upstream()
	if len(f.cfg.Seeds) == 0 || upstream.unreachable(f.engine.Now) {
		f.engine.Emit(heartbeat.Reply{Ref: in.Ref, Status: 421, Upstream: upstream.Leader})
		return
	}
	w := f.workers[report.Host]
	if w == nil {
		w = &Worker{}
		f.workers[report.Host] = w
	}
	*w = Worker{address: report.Address, incarnation: report.Incarnation, fencingToken: report.FencingToken, lastHeartbeat: f.engine.Now}
	p := &pendingHeartbeat{ref: in.Ref, report: *report, receivedAt: f.engine.Now}
	f.byRef[p.ref], f.byHost[report.Host] = p, p
	if f.encoder != nil {
		f.enqueue(p.ref, &p.report)
	}
}

// Abandon drops a heartbeat whose worker has closed its request.
func (f *Forwarder) Abandon(ref uint64) {
	if p := f.byRef[ref]; p != nil {
		f.drop(p)
	}
}

func (f *Forwarder) workerLease() time.Duration { return f.cfg.Settings.Workers.Lease.Duration() }

func (h *heartbeats) remove(p *pendingHeartbeat) {
	delete(h.byRef, p.ref)
	if h.byHost[p.report.Host] == p {
		delete(h.byHost, p.report.Host)
	}
}

// waitingRefs returns the refs in order of arrival.
func (h *heartbeats) waitingRefs() []uint64 { return slices.Sorted(maps.Keys(h.byRef)) }

// drop removes a heartbeat that no worker waits for, and tells the leader in the next batch.
func (f *Forwarder) drop(p *pendingHeartbeat) {
	f.remove(p)
	if f.encoder != nil {
		f.abandoned = append(f.abandoned, p.ref)
	}
}

// Tick redirects workers whose heartbeats have waited too long, removes silent workers, and sends
// keep-alives, every KeepAliveInterval.
func (f *Forwarder) Tick() {
	f.engine.After(KeepAliveInterval, f.Tick)
	if f.controller.IsLeader() {
		return
	}
	f.expire()
	if f.engine.Now.Sub(f.prunedAt) > f.workerLease() {
		f.prune()
	}
	if f.encoder != nil && f.engine.Now.Sub(f.flushedAt) > KeepAliveInterval {
		f.flush()
	}
}

func (f *Forwarder) expire() {
	upstream := f.controller.Upstream()
	unreachable := upstream.unreachable(f.engine.Now)
	for _, ref := range f.waitingRefs() {
		p := f.byRef[ref]
		if !unreachable && f.engine.Now.Sub(p.receivedAt) < replyTimeout {
			continue
		}
		reply := heartbeat.Reply{Ref: ref, Status: 421}
		if !upstream.usable() {
			reply.Upstream = upstream.Leader
		}
		f.drop(p)
		f.engine.Emit(reply)
	}
}

// prune removes workers that have not sent a heartbeat for the duration of a lease.
func (f *Forwarder) prune() {
	lease := f.workerLease()
	f.prunedAt = f.engine.Now
	for _, host := range slices.Sorted(maps.Keys(f.workers)) {
		if f.engine.Now.Sub(f.workers[host].lastHeartbeat) > lease {
			delete(f.workers, host)
			if f.encoder != nil {
				f.encoder.Forget(host)
			}
		}
	}
}
