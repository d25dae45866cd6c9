package forwarder

import (
	"maps"
	"slices"

	"yewpass/internal/heartbeat"
	"yewpass/internal/probe"
	"yewpass/internal/rpc"
)

// prober is the state of the probes of our own workers.
type prober struct {
	probedTerm     uint64   // the newest term whose fencing token we have shown to our workers
	queue          []string // hosts
	probesInFlight int
}

// probeWorkers shows the new leader's fencing token to our workers, as the leader itself
// does with its own: all relays together probe many more at a time. Only once the
// key-value store has confirmed the term: a worker that has seen a fencing token that
// never was is of no use any more.
func (f *Forwarder) probeWorkers() {
	f.prober = prober{probedTerm: f.term}
	recently := 2 * f.cfg.Settings.Workers.Report.Duration()
	for _, host := range slices.Sorted(maps.Keys(f.workers)) {
		if w := f.workers[host]; w.fencingToken < f.term && w.address != "" && f.engine.Now.Sub(w.lastHeartbeat) < recently {
			f.queue = append(f.queue, host)
		}
	}
	// Those heard of last are the likeliest to be there still. A machine that was returned
	// answers nothing, and each such probe keeps others waiting.
	slices.SortStableFunc(f.queue, func(a, b string) int { return f.workers[b].lastHeartbeat.Compare(f.workers[a].lastHeartbeat) })
	f.probeNext()
}

func (f *Forwarder) probeNext() {
	for f.probesInFlight < probe.MaxInFlight && len(f.queue) > 0 && !f.controller.Leads() {
		host := f.queue[0]
		f.queue = f.queue[1:]
		if w := f.workers[host]; w != nil && w.fencingToken < f.probedTerm && f.byHost[host] == nil {
			f.probeWorker(host, w, w.incarnation)
		}
	}
}

// probeWorker probes one worker, and once more if its incarnation turns out to be another.
func (f *Forwarder) probeWorker(host string, w *Worker, incarnation uint64) {
	term := f.probedTerm
	f.probesInFlight++
	probe.Send(f.engine, w.address, term, incarnation, func(p heartbeat.ProbeReply) {
		if f.probedTerm != term {
			return
		}
		f.probesInFlight--
		report := &p.Report
		switch {
		case f.controller.Leads() || p.Outcome == rpc.Unknown || report.Host != host:
		case p.Outcome == rpc.Conflict && report.Incarnation != incarnation && report.Incarnation != w.incarnation:
			w.incarnation = report.Incarnation
			f.probeWorker(host, w, report.Incarnation)
		case p.Outcome == rpc.OK && report.FencingToken == term && f.encoder != nil && f.term == term:
			w.fencingToken = term
			f.enqueue(0, report)
		}
		f.probeNext()
	})
}
