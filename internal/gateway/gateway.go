// Package gateway serves users' requests at controllers that are not the leader. It forwards
// requests to the leader, or without one serves those that need only the key-value store.
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

// Timeouts for the leader's answer to a forwarded request.
const (
	defaultForwardTimeout = 2500 * time.Millisecond
	forwardGetTimeout     = 800 * time.Millisecond // shorter than the 2 s after which clients give up
	forwardSubmitTimeout  = 700 * time.Millisecond
)

// Reasons in responses with status 503.
const (
	notLeader = "not the leader" // sent to a controller that took this one for the leader
	noLeader  = "no leader at present"
)

// Upstream is what a controller knows about the leader.
type Upstream struct {
	Leader       string // "" if not known
	Linked       bool   // this controller is connected to the leader
	KnowsConfig  bool   // the leader has announced support for live configuration
	Term         uint64 // highest known term
	TermRevision uint64 // store revision of the newest confirmed term record
}

// Controller provides the functions of the controller that a Gateway uses.
type Controller interface {
	// IsLeader reports whether the controller is the leader, even if its authority has expired.
	IsLeader() bool
	// Upstream returns what is known about the leader.
	Upstream() Upstream
	// RequestLeaderVersion asks the leader for its protocol version.
	RequestLeaderVersion()
	// Cluster returns the state of the cluster as this controller knows it.
	Cluster() *view.Cluster
	// LastLeaderReplica returns the replica of the last leader's records, or nil without a reliable
	// one.
	LastLeaderReplica() *replica.Replica
	// Team returns a team as configured in the replica or the settings, or nil. Writes based on
	// it must be conditional on the configuration's revision.
	Team(lastReplica *replica.Replica, name string) *quota.Account
}

// Gateway serves users' requests while its controller is not the leader.
type Gateway struct {
	engine        *engine.Engine
	controller    Controller
	cfg           *config.Config
	policy        *policy.Policy
	jobs          *jobstore.Reader
	replicas      *replication.Replicas
	forwarded     map[uint64]*forwardedRequest // by the ref sent to the leader
	writeLimit    *rate.Limiter                // for leaderless admission
	instanceTypes []provider.InstanceType      // as last read from the cloud
}

// forwardedRequest is a request that awaits the leader's answer.
type forwardedRequest struct {
	request request.Request
	leader  string
}

// New returns a Gateway. Call Start before it serves requests.
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

func (g *Gateway) respond(r request.Request, response request.Response) {
	g.engine.Emit(peermsg.Reply(r, response))
}

// Serve serves a request at a controller that is not the leader or has no authority.
func (g *Gateway) Serve(r request.Request) {
	if r.From != "" {
		g.respond(r, request.Unavailable(notLeader))
		return
	}
	if final, ok := g.jobs.Final(r.ID); ok {
		g.respond(r, request.Response{Status: 200, Job: jobstore.FinalStatus(r.ID, final)})
		return
	}
	upstream := g.controller.Upstream()
	if g.controller.IsLeader() || !upstream.Linked {
		g.serveWithoutLeader(r)
		return
	}
	if r.Config != nil && !upstream.KnowsConfig {
		g.controller.RequestLeaderVersion()
		g.respond(r, request.Unavailable("the leader is not known to support live configuration"))
		return
	}
	g.forward(r, upstream.Leader)
}

// forward sends a request to the leader. After the timeout it serves the request without the
// leader.
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
	timeout := defaultForwardTimeout
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

// HandleResponse processes the leader's answer to a forwarded request. It ignores answers from
// other controllers and to requests that are not pending.
func (g *Gateway) HandleResponse(from string, m peermsg.Message) {
	f := g.forwarded[m.Ref]
	if f == nil || f.leader != from || m.Response == nil {
		return
	}
	answer, op := m.Response, f.request.Op
	if id := answer.Job.ID; id != "" && id != f.request.ID && f.request.IsJob() {
		return // concerns another job, so it answers another request
	}
	delete(g.forwarded, m.Ref)
	if answer.Status == 503 && (op == request.Get || op == request.Submit && answer.Reason == notLeader) {
		g.serveWithoutLeader(f.request)
		return
	}
	if answer.Status == 200 && op == request.Get && answer.Job.State.Final() {
		// Cache only answers to polls: a cancellation may be answered before the tasks have
		// stopped.
		g.jobs.CacheFinal(f.request.ID, record.Final{State: answer.Job.State, Done: answer.Job.Done})
	}
	g.respond(f.request, *answer)
}

// HandleLinkLost handles a lost link: it serves the requests forwarded to that controller without
// it.
func (g *Gateway) HandleLinkLost(name string) {
	for _, ref := range slices.Sorted(maps.Keys(g.forwarded)) {
		if f := g.forwarded[ref]; f.leader == name {
			delete(g.forwarded, ref)
			g.serveWithoutLeader(f.request)
		}
	}
}

// serveWithoutLeader serves requests that need only the key-value store, and answers others with
// status 503.
func (g *Gateway) serveWithoutLeader(r request.Request) {
	switch r.Op {
	case request.Get:
		g.serveGet(r)
	case request.Submit:
		g.admitLeaderless(r)
	case request.Cluster:
		g.respond(r, request.Response{Status: 200, Document: g.controller.Cluster()})
	default:
		g.respond(r, request.Unavailable(noLeader))
	}
}

// serveGet answers a poll from the store, corrected by the last leader's replica.
func (g *Gateway) serveGet(r request.Request) {
	g.jobs.Read(r.ID, func(status *request.JobStatus, known bool) {
		lastReplica := g.controller.LastLeaderReplica()
		if !known || lastReplica == nil {
			g.respond(r, request.Unavailable("the state service does not answer"))
			return
		}
		status = correctByReplica(lastReplica, r.ID, status)
		if status == nil {
			// The store may have lost the record: only a leader can say that the job
			// does not exist.
			g.respond(r, request.Unavailable(noLeader))
			return
		}
		g.respond(r, request.Response{Status: 200, Job: *status})
	})
}

// correctByReplica corrects a job status read from the key-value store, which may have lost data,
// by the last leader's replica. The status is nil if the store has no record of the job.
func correctByReplica(lastReplica *replica.Replica, id string, status *request.JobStatus) *request.JobStatus {
	if r, ok := lastReplica.Get(record.FinalPrefix + id); ok {
		if final, _ := r.Value.(*record.Final); final != nil {
			corrected := jobstore.FinalStatus(id, *final)
			return &corrected
		}
	}
	if status != nil && status.State != spec.Queued {
		return status
	}
	if r, ok := lastReplica.Get(record.JobPrefix + id); ok {
		if job, _ := r.Value.(*record.Job); job != nil {
			return jobstore.LiveStatus(id, job)
		}
	}
	return status
}
