// Package forwarder is what a controller that does not lead does for workers: it
// forwards their heartbeats to the leader and the leader's replies back to them.
//
// To everybody else it is part of the way: a reply is the leader's word on one
// heartbeat, and is valid or not by the heartbeat's incarnation and counter and by the
// reply's term, however it has travelled.
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
	// flushInterval is the shortest time between two batches, and flushIntervalPerWorker
	// what is added to it for each worker: what comes in between goes in one batch. Each
	// message costs the leader a few system calls, whatever is in it.
	flushInterval          = 10 * time.Millisecond
	flushIntervalPerWorker = 25 * time.Microsecond
	maxFlushInterval       = 40 * time.Millisecond
	// KeepAliveInterval is how often a relay checks the heartbeats that wait, and after
	// which time it sends an empty batch to show that it is there.
	KeepAliveInterval = 400 * time.Millisecond
	// replyTimeout is how long a heartbeat waits for the leader's reply, or for a leader.
	// Workers give up after 4 s.
	replyTimeout = 3300 * time.Millisecond
	// LinkTimeout is how long a relay without a link to the leader keeps its workers: a
	// failover is over sooner.
	LinkTimeout = 2500 * time.Millisecond
)

// Upstream is what a controller knows about the leader.
type Upstream struct {
	Leader        string // "" while it is not known
	Linked        bool   // there is a link to it
	LinkLostAt    time.Time
	Term          uint64 // the highest term heard of
	ConfirmedTerm uint64 // the newest term that the key-value store has confirmed to this process; 0 for none
}

// usable reports whether heartbeats can be forwarded to the leader.
//
// A process that the key-value store has not answered yet is sure of no term. The process
// before it may have acknowledged a newer term than that of the leader that it hears, and
// a successor counts on that: it takes the leases to have expired that the older leader
// could have renewed through us.
func (u *Upstream) usable() bool { return u.Linked && u.ConfirmedTerm != 0 }

// unreachable reports whether the leader has been known, but without a link to us or not
// confirmed, for longer than a failover takes. Its workers are then better off with it.
func (u *Upstream) unreachable(now time.Time) bool {
	return u.Leader != "" && !u.usable() && now.Sub(u.LinkLostAt) > LinkTimeout
}

// Controller is what the forwarder needs of the controller that it is part of.
type Controller interface {
	// Leads reports whether the controller leads: nothing is forwarded then.
	Leads() bool
	// Upstream returns what is known about the leader.
	Upstream() Upstream
}

// Forwarder forwards heartbeats while its controller does not lead.
type Forwarder struct {
	engine          *engine.Engine
	controller      Controller
	cfg             *config.Config
	staleHeartbeats int64 // heartbeats refused

	heartbeats
	session
	prober
}

// heartbeats is the workers that report to this controller, and their heartbeats that
// wait for replies.
type heartbeats struct {
	byRef    map[uint64]*pendingHeartbeat // by our number
	byHost   map[string]*pendingHeartbeat
	workers  map[string]*Worker
	prunedAt time.Time
}

// session is the state of the link to the leader.
type session struct {
	encoder        *relay.Encoder // nil without a link
	leader         string
	term           uint64
	unsent         []relay.Delta
	unsentWeight   int // of unsent
	abandoned      []uint64
	flushedAt      time.Time
	flushScheduled bool // a timer is set
}

// pendingHeartbeat is a heartbeat that waits for its reply.
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

// New returns a forwarder that holds nothing.
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

// Workers returns how many workers report to this controller while it does not lead.
func (f *Forwarder) Workers() int { return len(f.workers) }

// StaleHeartbeats returns how many heartbeats were refused because a newer one was known.
func (f *Forwarder) StaleHeartbeats() int64 { return f.staleHeartbeats }

// SessionID returns the number of the session with the leader, 0 for none.
func (f *Forwarder) SessionID() uint64 {
	if f.encoder == nil {
		return 0
	}
	return f.encoder.Session()
}

// TakePending empties the forwarder for a controller that begins to lead. It returns the
// heartbeats that wait for replies, in the order in which they came, and the workers
// that have reported here, by host.
func (f *Forwarder) TakePending() ([]heartbeat.Received, map[string]*Worker) {
	var waiting []heartbeat.Received
	for _, ref := range f.waitingRefs() {
		waiting = append(waiting, heartbeat.Received{Ref: ref, Report: f.byRef[ref].report})
	}
	workers := f.workers
	f.reset()
	return waiting, workers
}

// Receive takes a worker's heartbeat for the leader, whoever that is or will be.
func (f *Forwarder) Receive(in heartbeat.Received) {
	report := &in.Report
	if in.Via.Relay != "" {
		return // meant for a leader: its relay will learn who that is
	}
	if p := f.byHost[report.Host]; p != nil {
		if !report.Newer(p.report.Incarnation, p.report.Counter) {
			f.staleHeartbeats++
			f.engine.Emit(heartbeat.Reply{Ref: in.Ref, Status: 503}) // delayed on the way
			return
		}
		f.drop(p) // the worker has given up on it
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

// Abandon drops a heartbeat whose worker no longer waits for the reply.
func (f *Forwarder) Abandon(ref uint64) {
	if p := f.byRef[ref]; p != nil {
		f.drop(p)
	}
}

func (f *Forwarder) workerLease() time.Duration { return f.cfg.Settings.Workers.Lease.Duration() }

// remove removes a heartbeat from those that wait.
func (h *heartbeats) remove(p *pendingHeartbeat) {
	delete(h.byRef, p.ref)
	if h.byHost[p.report.Host] == p {
		delete(h.byHost, p.report.Host)
	}
}

// waitingRefs returns the numbers of the waiting heartbeats, in the order in which they came.
func (h *heartbeats) waitingRefs() []uint64 { return slices.Sorted(maps.Keys(h.byRef)) }

// drop removes a heartbeat for whose reply nobody waits any more, and has the leader
// told so.
func (f *Forwarder) drop(p *pendingHeartbeat) {
	f.remove(p)
	if f.encoder != nil {
		f.abandoned = append(f.abandoned, p.ref)
	}
}

// Tick answers the heartbeats that have waited for too long, forgets workers that have
// gone, and keeps the session alive. It calls itself again while the process lasts.
func (f *Forwarder) Tick() {
	f.engine.After(KeepAliveInterval, f.Tick)
	if f.controller.Leads() {
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

// expire sends the workers elsewhere whose heartbeats cannot be answered in time.
func (f *Forwarder) expire() {
	upstream := f.controller.Upstream()
	outOfReach := upstream.unreachable(f.engine.Now)
	for _, ref := range f.waitingRefs() {
		p := f.byRef[ref]
		if !outOfReach && f.engine.Now.Sub(p.receivedAt) < replyTimeout {
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

// prune forgets the workers that have not reported for the length of a lease.
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
