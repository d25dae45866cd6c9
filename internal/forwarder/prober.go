package forwarder

import (
	"maps"
	"slices"

	"yewpass/internal/heartbeat"
	"yewpass/internal/probe"
	"yewpass/internal/rpc"
)

type prober struct {
	probedTerm     uint64   // newest term whose fencing token was sent to the workers
	queue          []string // hosts to probe
	probesInFlight int
}

// probeWorkers sends the new leader's fencing token to this relay's workers. Probing from all
// relays allows more concurrent probes. The term must be confirmed by the key-value store: a worker
// that has seen the token of an unrecorded term would reject valid leaders.
func (f *Forwarder) probeWorkers() {
	f.prober = prober{probedTerm: f.term}
	recently := 2 * f.cfg.Settings.Workers.Report.Duration()
	for _, host := range slices.Sorted(maps.Keys(f.workers)) {
		if w := f.workers[host]; w.fencingToken < f.term && w.address != "" && f.engine.Now.Sub(w.lastHeartbeat) < recently {
			f.queue = append(f.queue, host)
		}
	}
	// Probe workers with the latest heartbeats first: probes of machines that no longer exist
	// block others until they time out.
	slices.SortStableFunc(f.queue, func(a, b string) int { return f.workers[b].lastHeartbeat.Compare(f.workers[a].lastHeartbeat) })
	f.probeNext()
}

func (f *Forwarder) probeNext() {
	for f.probesInFlight < probe.MaxInFlight && len(f.queue) > 0 && !f.controller.IsLeader() {
		host := f.queue[0]
		f.queue = f.queue[1:]
		if w := f.workers[host]; w != nil && w.fencingToken < f.probedTerm && f.byHost[host] == nil {
			f.probeWorker(host, w, w.incarnation)
		}
	}
}

// probeWorker probes one worker. If it reports another incarnation, it is probed once more with
// that.
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
		case f.controller.IsLeader() || p.Outcome == rpc.Unknown || report.Host != host:
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
