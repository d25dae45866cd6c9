package forwarder

import (
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/peermsg"
	"yewpass/internal/relay"
)

// Run opens a session when the leader or its term changes, closes it when the leader is not usable,
// and sends pending batches. Call it at the end of each step of a controller that is not the
// leader.
func (f *Forwarder) Run() {
	upstream := f.controller.Upstream()
	if !upstream.usable() {
		f.encoder, f.unsent, f.abandoned, f.unsentWeight = nil, nil, nil, 0
		return
	}
	if f.encoder == nil || f.leader != upstream.Leader || f.term != upstream.Term {
		f.openSession(upstream.Leader, upstream.Term)
	}
	if upstream.ConfirmedTerm == f.term && f.probedTerm != f.term {
		f.probeWorkers()
	}
	if len(f.unsent) == 0 && len(f.abandoned) == 0 {
		return
	}
	interval := min(flushInterval+time.Duration(len(f.workers))*flushIntervalPerWorker, maxFlushInterval)
	if wait := f.flushedAt.Add(interval).Sub(f.engine.Now); wait > 0 && f.unsentWeight < relay.MaxMessageWeight {
		if !f.flushScheduled {
			f.flushScheduled = true
			f.engine.After(wait, func() { f.flushScheduled = false }) // Run flushes later in this step
		}
		return
	}
	f.flush()
}

// openSession opens a session and sends all pending heartbeats.
func (f *Forwarder) openSession(leader string, term uint64) {
	f.leader, f.term = leader, term
	f.encoder = relay.NewEncoder(f.engine.Rand.Uint64() | 1) // never 0
	f.unsent, f.abandoned, f.unsentWeight = nil, nil, 0
	for _, ref := range f.waitingRefs() {
		f.enqueue(ref, &f.byRef[ref].report)
	}
	f.flush()
}

// enqueue encodes a report for the next batch.
func (s *session) enqueue(ref uint64, report *heartbeat.Report) {
	d := s.encoder.Encode(ref, report)
	s.unsent = append(s.unsent, d)
	s.unsentWeight += d.Weight()
}

// flush sends all unsent reports, or an empty batch if there are none.
func (f *Forwarder) flush() {
	for first := true; first || len(f.unsent) > 0; first = false {
		n := 0
		for weight := 0; n < len(f.unsent) && weight < relay.MaxMessageWeight; n++ {
			weight += f.unsent[n].Weight()
		}
		var abandoned []uint64
		if n == len(f.unsent) {
			abandoned, f.abandoned = f.abandoned, nil
		}
		batch := f.encoder.Batch(f.unsent[:n:n], abandoned)
		f.engine.Emit(peermsg.Outgoing{To: f.leader, Msg: peermsg.Message{Kind: peermsg.Heartbeats, Term: f.term, Heartbeats: batch}})
		f.unsent = f.unsent[n:]
	}
	f.unsent, f.unsentWeight, f.flushedAt = nil, 0, f.engine.Now
}

// HandleReplies forwards the leader's replies to the workers. It ignores replies of other terms
// than the newest known one, because a controller that has acknowledged a term must not deliver
// older replies, and of other sessions, whose refs may denote other heartbeats.
func (f *Forwarder) HandleReplies(from string, term uint64, replies *relay.Replies) {
	upstream := f.controller.Upstream()
	if f.controller.IsLeader() || f.encoder == nil || from != f.leader || from != upstream.Leader ||
		term != f.term || term != upstream.Term || replies.Session != f.encoder.Session() {
		return
	}
	if replies.Resync {
		f.openSession(upstream.Leader, upstream.Term)
		return
	}
	for i := range replies.List {
		f.handleReply(&replies.List[i])
	}
}

func (f *Forwarder) handleReply(r *relay.Reply) {
	p := f.byRef[r.Ref]
	if p == nil {
		return
	}
	f.remove(p)
	reply := heartbeat.Reply{Ref: r.Ref, Status: 200, FencingToken: f.term, Orders: r.Orders, Upstream: r.Upstream}
	if r.Status != 0 {
		reply.Status = r.Status
	}
	if reply.Status == 421 { // the worker is redirected to another controller
		delete(f.workers, p.report.Host)
		f.encoder.Forget(p.report.Host)
	}
	f.engine.Emit(reply)
}
