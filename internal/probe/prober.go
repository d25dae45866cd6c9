package probe

import (
	"time"

	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/inventory"
	"yewpass/internal/rpc"
)

// MaxAttempts is after how many probes in vain a machine counts as out of reach.
const MaxAttempts = 2

// relayDelay is how long relays are left to forward the heartbeats of their workers, and
// to probe those that have none to forward, before the leader probes the rest.
const relayDelay = 700 * time.Millisecond

// Leader is what the prober needs of the leadership that it is part of.
type Leader interface {
	// CanAct reports whether the leader has authority and knows the records.
	CanAct() bool
	// Linked reports whether there is a link to any other controller.
	Linked() bool
	// Reconcile takes in a report that is believed.
	Reconcile(m *fleet.Machine, report *heartbeat.Report)
	// HandleNewerToken follows up the claim of a machine's worker that it has seen a newer
	// fencing token than the leader's.
	HandleNewerToken(m *fleet.Machine, token uint64)
}

// Prober is the leader's prober: it probes the machines that may hold unknown tasks of an
// earlier term.
type Prober struct {
	engine    *engine.Engine
	scope     *engine.Scope
	leader    Leader
	inventory *inventory.Inventory
	term      uint64
	queue     []*fleet.Machine
	inFlight  int
}

// NewProber returns the prober of the term that begins now.
func NewProber(e *engine.Engine, scope *engine.Scope, leader Leader, v *inventory.Inventory, term uint64) *Prober {
	return &Prober{engine: e, scope: scope, leader: leader, inventory: v, term: term}
}

// Start probes the machines that are not accounted for: at once those whose workers
// reported to this controller before it led, and the rest once the relays have had time
// to. Without a link to a relay all are probed at once.
func (p *Prober) Start(reportedHere func(host string) bool) {
	if !p.leader.Linked() {
		p.enqueue(func(string) bool { return true })
		return
	}
	p.enqueue(reportedHere)
	p.scope.After(relayDelay, func() {
		p.enqueue(func(host string) bool { return !reportedHere(host) })
	})
}

// enqueue has those of the unaccounted machines probed that match.
func (p *Prober) enqueue(match func(host string) bool) {
	for _, m := range p.inventory.Machines() {
		if p.inventory.Unaccounted(m.Host) && m.Address != "" && match(m.Host) {
			p.queue = append(p.queue, m)
		}
	}
	p.sendNext()
}

func (p *Prober) sendNext() {
	for p.inFlight < MaxInFlight && len(p.queue) > 0 && p.leader.CanAct() {
		m := p.queue[0]
		p.queue = p.queue[1:]
		p.sendProbe(m, 1) // most machines are in their first incarnation
	}
}

// acceptsReplyFrom reports whether a machine's answer to a probe acceptsReplyFrom: not once it has reported
// by itself. Then starts may be on their way to it, of which the answer need not know.
func (p *Prober) acceptsReplyFrom(m *fleet.Machine) bool {
	return p.inventory.Unaccounted(m.Host) && !m.Reported && !m.Releasing
}

// HandleRelayedReply takes in a report that a relay was given in answer to a probe of its own.
func (p *Prober) HandleRelayedReply(report *heartbeat.Report) {
	m := p.inventory.Find(report.Host)
	if m != nil && p.acceptsReplyFrom(m) && report.FencingToken == p.term {
		p.reconcile(m, report)
	}
}

// reconcile takes in an answer that counts, of a worker that has accepted our token.
func (p *Prober) reconcile(m *fleet.Machine, report *heartbeat.Report) {
	m.Probed = true
	p.leader.Reconcile(m, report)
}

// sendProbe probes a machine if its answer would count.
func (p *Prober) sendProbe(m *fleet.Machine, incarnation uint64) {
	if !p.acceptsReplyFrom(m) {
		return
	}
	p.inFlight++
	Send(p.engine, m.Address, p.term, incarnation, func(r heartbeat.ProbeReply) {
		if p.scope.Closed() {
			return
		}
		p.inFlight--
		p.handleReply(m, incarnation, &r)
		p.sendNext()
	})
}

func (p *Prober) handleReply(m *fleet.Machine, incarnation uint64, r *heartbeat.ProbeReply) {
	report := &r.Report
	switch {
	case !p.acceptsReplyFrom(m):
	case r.Outcome != rpc.Unknown && report.FencingToken > p.term:
		p.leader.HandleNewerToken(m, report.FencingToken)
	case r.Outcome != rpc.Unknown && report.Host != m.Host:
		// Another machine has the address now.
	case r.Outcome == rpc.OK && report.FencingToken == p.term:
		p.reconcile(m, report)
	case r.Outcome == rpc.Conflict && report.Incarnation != incarnation:
		p.sendProbe(m, report.Incarnation)
	default:
		if m.FailedProbes++; m.FailedProbes < MaxAttempts {
			p.queue = append(p.queue, m)
		}
	}
}
