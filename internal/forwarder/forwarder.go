// Package forwarder relays heartbeats at controllers that are not the leader: it forwards workers'
// heartbeats to the leader and the leader's replies to the workers.
//
// A reply is the leader's answer to one heartbeat. Its validity depends only on the heartbeat's
// incarnation and counter and on the reply's term, not on the path that it has taken.
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
	// flushIntervalPerWorker for each worker. Batching reduces the number of messages, each of
	// which costs the leader several system calls.
	flushInterval          = 10 * time.Millisecond
	flushIntervalPerWorker = 25 * time.Microsecond
	maxFlushInterval       = 40 * time.Millisecond
	// KeepAliveInterval is the interval at which a relay checks the waiting heartbeats, and the
	// idle time after which it sends an empty batch as a keep-alive.
	KeepAliveInterval = 400 * time.Millisecond
	// replyTimeout is how long a heartbeat waits for the leader's reply, or for a leader to be
	// elected. It is shorter than the 4 s after which workers give up.
	replyTimeout = 3300 * time.Millisecond
	// LinkTimeout is how long a relay keeps its workers without a link to the leader. It is
	// longer than a failover.
	LinkTimeout = 2500 * time.Millisecond
)

// Upstream is what this controller knows about the leader.
type Upstream struct {
	Leader        string // "" if not known
	Linked        bool   // this controller is connected to the leader
	LinkLostAt    time.Time
	Term          uint64 // highest known term
	ConfirmedTerm uint64 // newest term that the key-value store has confirmed to this process, or 0
}

// usable reports whether heartbeats can be forwarded to the leader.
//
// It requires a confirmed term. A controller that has restarted does not know which term its
// previous process acknowledged. That term may be newer than the leader's. A newer leader assumes
// that, since the acknowledgment, the older leader cannot renew leases through this controller.
func (u *Upstream) usable() bool { return u.Linked && u.ConfirmedTerm != 0 }

// unreachable reports whether the leader is known, but has not been usable for longer than a
// failover takes. Workers should then send their heartbeats to the leader directly.
func (u *Upstream) unreachable(now time.Time) bool {
	return u.Leader != "" && !u.usable() && now.Sub(u.LinkLostAt) > LinkTimeout
}

// Controller provides the functions of the controller that a Forwarder uses.
type Controller interface {
	// IsLeader reports whether the controller is the leader, which forwards nothing.
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

// heartbeats holds the workers that report to this controller, and their heartbeats that await a
// reply.
type heartbeats struct {
	byRef    map[uint64]*pendingHeartbeat
	byHost   map[string]*pendingHeartbeat
	workers  map[string]*Worker
	prunedAt time.Time
}

// session holds the state of the session with the leader.
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
// heartbeats that await a reply, in order of arrival, and the workers that have reported to this
// controller, by host.
func (f *Forwarder) ReleasePending() ([]heartbeat.Received, map[string]*Worker) {
	var waiting []heartbeat.Received
	for _, ref := range f.waitingRefs() {
		waiting = append(waiting, heartbeat.Received{Ref: ref, Report: f.byRef[ref].report})
	}
	workers := f.workers
	f.reset()
	return waiting, workers
}

// Receive accepts a worker's heartbeat to be forwarded to the leader. If no leader is known yet,
// the heartbeat waits for one until replyTimeout. If the leader is unreachable, the worker is
// redirected to it.
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

// remove deletes a heartbeat from the pending ones.
func (h *heartbeats) remove(p *pendingHeartbeat) {
	delete(h.byRef, p.ref)
	if h.byHost[p.report.Host] == p {
		delete(h.byHost, p.report.Host)
	}
}

// waitingRefs returns the refs of the pending heartbeats in order of arrival.
func (h *heartbeats) waitingRefs() []uint64 { return slices.Sorted(maps.Keys(h.byRef)) }

// drop removes a heartbeat that no worker waits for, and informs the leader with the next batch.
func (f *Forwarder) drop(p *pendingHeartbeat) {
	f.remove(p)
	if f.encoder != nil {
		f.abandoned = append(f.abandoned, p.ref)
	}
}

// Tick redirects workers whose heartbeats have waited too long, removes silent workers, and sends
// keep-alives. It reschedules itself every KeepAliveInterval.
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

// expire redirects workers whose heartbeats cannot be answered in time.
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
