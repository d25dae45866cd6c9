package probe

import (
	"time"

	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/inventory"
	"yewpass/internal/rpc"
)

// MaxAttempts is the number of failed probes after which a machine is not probed again.
const MaxAttempts = 2

// relayDelay gives relays time to forward heartbeats and to probe their workers before the leader
// probes the remaining machines.
const relayDelay = 700 * time.Millisecond

// Leader is the leader that a Prober works for.
type Leader interface {
	// IsActive reports whether the leader has authority and has loaded the records.
	IsActive() bool
	// IsLinkedToAny reports whether this controller is connected to any other controller.
	IsLinkedToAny() bool
	// Reconcile updates the state of a machine from a valid report.
	Reconcile(m *fleet.Machine, report *heartbeat.Report)
	// HandleNewerToken is called when a worker claims to have seen a newer fencing token.
	HandleNewerToken(m *fleet.Machine, token uint64)
}

// Prober probes the machines that may hold unknown tasks of an earlier term.
type Prober struct {
	engine    *engine.Engine
	scope     *engine.Scope
	leader    Leader
	inventory *inventory.Inventory
	term      uint64
	queue     []*fleet.Machine
	inFlight  int
}

// NewProber returns the Prober of a new term. It sends no probes until Start is called.
func NewProber(e *engine.Engine, scope *engine.Scope, leader Leader, v *inventory.Inventory, term uint64) *Prober {
	return &Prober{engine: e, scope: scope, leader: leader, inventory: v, term: term}
}

// Start probes the unaccounted machines. Those that reported to this controller before its election
// are probed at once, the others after relayDelay, or at once without a link to any relay.
func (p *Prober) Start(reportedHere func(host string) bool) {
	if !p.leader.IsLinkedToAny() {
		p.enqueue(func(string) bool { return true })
		return
	}
	p.enqueue(reportedHere)
	p.scope.After(relayDelay, func() {
		p.enqueue(func(host string) bool { return !reportedHere(host) })
	})
}

func (p *Prober) enqueue(match func(host string) bool) {
	for _, m := range p.inventory.Machines() {
		if p.inventory.IsUnaccounted(m.Host) && m.Address != "" && match(m.Host) {
			p.queue = append(p.queue, m)
		}
	}
	p.sendNext()
}

func (p *Prober) sendNext() {
	for p.inFlight < MaxInFlight && len(p.queue) > 0 && p.leader.IsActive() {
		m := p.queue[0]
		p.queue = p.queue[1:]
		p.sendProbe(m, 1) // most machines are in their first incarnation
	}
}

// acceptsReplyFrom reports whether a machine's probe reply is usable. After a heartbeat it is not,
// since it may predate tasks sent to the machine.
func (p *Prober) acceptsReplyFrom(m *fleet.Machine) bool {
	return p.inventory.IsUnaccounted(m.Host) && !m.Reported && !m.Releasing
}

// HandleRelayedReply processes a worker's reply to a relay's probe, unless it has another fencing
// token than the leader's.
func (p *Prober) HandleRelayedReply(report *heartbeat.Report) {
	m := p.inventory.Find(report.Host)
	if m != nil && p.acceptsReplyFrom(m) && report.FencingToken == p.term {
		p.reconcile(m, report)
	}
}

func (p *Prober) reconcile(m *fleet.Machine, report *heartbeat.Report) {
	m.Probed = true
	p.leader.Reconcile(m, report)
}

// sendProbe probes a machine unless its reply would be ignored.
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
		// The address now belongs to another machine.
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
