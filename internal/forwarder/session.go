package forwarder

import (
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/peermsg"
	"yewpass/internal/relay"
)

// Run keeps the session with the leader and sends what is due. It is called at the end
// of each step in which the controller does not lead.
func (f *Forwarder) Run() {
	upstream := f.controller.Upstream()
	if !upstream.usable() {
		f.encoder, f.unsent, f.abandoned, f.weight = nil, nil, nil, 0
		return
	}
	if f.encoder == nil || f.leader != upstream.Leader || f.term != upstream.Term {
		f.open(upstream.Leader, upstream.Term)
	}
	if upstream.ConfirmedTerm == f.term && f.probedTerm != f.term {
		f.startProbes()
	}
	if len(f.unsent) == 0 && len(f.abandoned) == 0 {
		return
	}
	interval := min(flushInterval+time.Duration(len(f.workers))*flushIntervalPerWorker, maxFlushInterval)
	if wait := f.flushedAt.Add(interval).Sub(f.engine.Now); wait > 0 && f.weight < relay.MaxMessageWeight {
		if !f.flushing {
			f.flushing = true
			f.engine.After(wait, func() { f.flushing = false }) // Run follows in the same step
		}
		return
	}
	f.flush()
}

// open opens a session with a leader and sends it all heartbeats that wait here.
func (f *Forwarder) open(leader string, term uint64) {
	f.leader, f.term = leader, term
	f.encoder = relay.NewEncoder(f.engine.Rand.Uint64() | 1) // never 0
	f.unsent, f.abandoned, f.weight = nil, nil, 0
	for _, ref := range f.refs() {
		f.add(ref, &f.waiting[ref].report)
	}
	f.flush()
}

// add encodes a report to be sent with the next batch.
func (s *session) add(ref uint64, report *heartbeat.Report) {
	d := s.encoder.Encode(ref, report)
	s.unsent = append(s.unsent, d)
	s.weight += d.Weight()
}

// flush sends what has not been sent, or an empty batch.
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
	f.unsent, f.weight, f.flushedAt = nil, 0, f.engine.Now
}

// HandleReplies forwards the leader's replies to workers. Only those of the newest known
// term and of the current session count: once a controller has acknowledged a term it
// lets out no reply of an older one, and none meant for an earlier process of its name,
// whose numbers stood for other heartbeats.
func (f *Forwarder) HandleReplies(from string, term uint64, replies *relay.Replies) {
	upstream := f.controller.Upstream()
	if f.controller.Leads() || f.encoder == nil || from != f.leader || from != upstream.Leader ||
		term != f.term || term != upstream.Term || replies.Session != f.encoder.Session() {
		return
	}
	if replies.Resync {
		f.open(upstream.Leader, upstream.Term)
		return
	}
	for i := range replies.List {
		f.handleReply(&replies.List[i])
	}
}

func (f *Forwarder) handleReply(r *relay.Reply) {
	p := f.waiting[r.Ref]
	if p == nil {
		return
	}
	f.remove(p)
	reply := heartbeat.Reply{Ref: r.Ref, Status: 200, FencingToken: f.term, Orders: r.Orders, Upstream: r.Upstream}
	if r.Status != 0 {
		reply.Status = r.Status
	}
	if reply.Status == 421 { // the worker goes elsewhere
		delete(f.workers, p.report.Host)
		f.encoder.Forget(p.report.Host)
	}
	f.engine.Emit(reply)
}
