// Package gateway serves users' requests at a controller that does not lead: it forwards
// them to the leader, and without one serves what the key-value store alone can answer.
package gateway

import (
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/jobstore"
	"yewpass/internal/peermsg"
	"yewpass/internal/policy"
	"yewpass/internal/provider"
	"yewpass/internal/quota"
	"yewpass/internal/record"
	"yewpass/internal/replica"
	"yewpass/internal/replication"
	"yewpass/internal/request"
	"yewpass/internal/spec"
	"yewpass/internal/view"
)

// How long the leader has to answer a forwarded request.
const (
	forwardTimeout       = 2500 * time.Millisecond
	forwardGetTimeout    = 800 * time.Millisecond // a poll is given up after 2 s
	forwardSubmitTimeout = 700 * time.Millisecond
)

// Reasons of answers with status 503.
const (
	notLeader = "not the leader" // to a controller that took this one for the leader
	noLeader  = "no leader at present"
)

// Upstream is what a controller knows about the leader.
type Upstream struct {
	Leader       string // "" while it is not known
	Linked       bool   // there is a link to it
	KnowsConfig  bool   // it has said that it knows live configuration
	Term         uint64 // the highest term heard of
	TermRevision uint64 // at which the newest term that the key-value store has confirmed is on record
}

// Controller is what the gateway needs of the controller that it is part of.
type Controller interface {
	// Leads reports whether the controller leads, with or without authority.
	Leads() bool
	// Upstream returns what is known about the leader.
	Upstream() Upstream
	// AskLeaderVersion asks the leader for the version that it speaks.
	AskLeaderVersion()
	// Cluster returns what this controller knows of the cluster.
	Cluster() *view.Cluster
	// LastLeaderReplica returns the replica of the last leader's records, or nil if there
	// is none that can be relied on.
	LastLeaderReplica() *replica.Replica
	// Team returns a team by a replica or the settings, or nil. The decisions that are
	// taken by it have to be conditional on the replica's configuration.
	Team(k *replica.Replica, name string) *quota.Account
}

// Gateway serves users' requests while its controller does not lead.
type Gateway struct {
	engine        *engine.Engine
	controller    Controller
	cfg           *config.Config
	policy        *policy.Policy
	jobs          *jobstore.Reader
	replicas      *replication.Replicas
	forwarded     map[uint64]*forwardedRequest // by our number
	writeLimit    *rate.Limiter                // of leaderless admission
	instanceTypes []provider.InstanceType      // as last read
}

// forwardedRequest is a request that waits for the leader's answer.
type forwardedRequest struct {
	request request.Request
	leader  string
}

// New returns a gateway with no requests.
func New(e *engine.Engine, controller Controller, cfg *config.Config, p *policy.Policy, jobs *jobstore.Reader, replicas *replication.Replicas) *Gateway {
	return &Gateway{
		engine:     e,
		controller: controller,
		cfg:        cfg,
		policy:     p,
		jobs:       jobs,
		replicas:   replicas,
		forwarded:  map[uint64]*forwardedRequest{},
		writeLimit: newWriteLimit(cfg.Settings.State.WriteRPS, 1+len(cfg.Seeds)),
	}
}

func (g *Gateway) answer(r request.Request, answer request.Response) {
	g.engine.Emit(peermsg.Reply(r, answer))
}

// Serve serves a request that the controller cannot serve as the leader.
func (g *Gateway) Serve(r request.Request) {
	if r.From != "" {
		g.answer(r, request.Unavailable(notLeader))
		return
	}
	if final, ok := g.jobs.Final(r.ID); ok {
		g.answer(r, request.Response{Status: 200, Job: jobstore.FinalStatus(r.ID, final)})
		return
	}
	upstream := g.controller.Upstream()
	if g.controller.Leads() || !upstream.Linked {
		g.serveWithoutLeader(r)
		return
	}
	if r.Config != nil && !upstream.KnowsConfig {
		g.controller.AskLeaderVersion()
		g.answer(r, request.Unavailable("the leader has not said that it knows live configuration"))
		return
	}
	g.forward(r, upstream.Leader)
}

// forward passes a request on to the leader.
func (g *Gateway) forward(r request.Request, leader string) {
	ref := g.engine.NextRef()
	g.forwarded[ref] = &forwardedRequest{r, leader}
	g.engine.Emit(peermsg.Outgoing{To: leader, Msg: peermsg.Message{
		Kind:     peermsg.Request,
		Ref:      ref,
		Op:       r.Op,
		ID:       r.ID,
		Spec:     r.Spec,
		Schedule: r.Schedule,
		Config:   r.Config,
	}})
	timeout := forwardTimeout
	switch r.Op {
	case request.Get:
		timeout = forwardGetTimeout
	case request.Submit:
		timeout = forwardSubmitTimeout
	}
	g.engine.After(timeout, func() {
		if g.forwarded[ref] != nil {
			delete(g.forwarded, ref)
			g.serveWithoutLeader(r)
		}
	})
}

// HandleResponse takes in the leader's answer to a forwarded request.
func (g *Gateway) HandleResponse(from string, m peermsg.Message) {
	f := g.forwarded[m.Ref]
	if f == nil || f.leader != from || m.Response == nil {
		return
	}
	answer, op := m.Response, f.request.Op
	if id := answer.Job.ID; id != "" && id != f.request.ID && f.request.IsJob() {
		return // about another job: meant for somebody else
	}
	delete(g.forwarded, m.Ref)
	if answer.Status == 503 && (op == request.Get || op == request.Submit && answer.Reason == notLeader) {
		g.serveWithoutLeader(f.request)
		return
	}
	if answer.Status == 200 && op == request.Get && answer.Job.State.Final() {
		// Only a final answer to a poll: the answer to a cancellation may tell of a job
		// that is cancelled and still on record, with tasks that are not yet stopped.
		g.jobs.Remember(f.request.ID, record.Final{State: answer.Job.State, Done: answer.Job.Done})
	}
	g.answer(f.request, *answer)
}

// HandleLinkLost serves what was forwarded over a link that is lost.
func (g *Gateway) HandleLinkLost(name string) {
	for _, ref := range slices.Sorted(maps.Keys(g.forwarded)) {
		if f := g.forwarded[ref]; f.leader == name {
			delete(g.forwarded, ref)
			g.serveWithoutLeader(f.request)
		}
	}
}

// serveWithoutLeader serves what the key-value store alone can answer.
func (g *Gateway) serveWithoutLeader(r request.Request) {
	switch r.Op {
	case request.Get:
		g.get(r)
	case request.Submit:
		g.submit(r)
	case request.Cluster:
		g.answer(r, request.Response{Status: 200, Document: g.controller.Cluster()})
	default:
		g.answer(r, request.Unavailable(noLeader))
	}
}

// get answers a poll by the records, corrected by the last leader's replica.
func (g *Gateway) get(r request.Request) {
	g.jobs.Read(r.ID, func(status *request.JobStatus, known bool) {
		k := g.controller.LastLeaderReplica()
		if !known || k == nil {
			g.answer(r, request.Unavailable("the state service does not answer"))
			return
		}
		status = correctByReplica(k, r.ID, status)
		if status == nil {
			// Only a leader, who knows what was lost, can say that there is no such job.
			g.answer(r, request.Unavailable(noLeader))
			return
		}
		g.answer(r, request.Response{Status: 200, Job: *status})
	})
}

// correctByReplica corrects the status of a job that was read from the key-value store, nil
// for none, by the last leader's replica: the store may have lost data since, or have been
// restored from an older copy.
func correctByReplica(k *replica.Replica, id string, status *request.JobStatus) *request.JobStatus {
	if r, ok := k.Get(record.FinalPrefix + id); ok {
		if final, _ := r.Value.(*record.Final); final != nil {
			corrected := jobstore.FinalStatus(id, *final)
			return &corrected
		}
	}
	if status != nil && status.State != spec.Queued {
		return status
	}
	if r, ok := k.Get(record.JobPrefix + id); ok {
		if job, _ := r.Value.(*record.Job); job != nil {
			return jobstore.LiveStatus(id, job)
		}
	}
	return status
}
