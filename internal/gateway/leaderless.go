package gateway

import (
	"log/slog"
	"time"

	"golang.org/x/time/rate"

	"yewpass/internal/admission"
	"yewpass/internal/jobstore"
	"yewpass/internal/kv"
	"yewpass/internal/provider"
	"yewpass/internal/record"
	"yewpass/internal/replica"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
)

// Leaderless admission accepts submissions while no leader is known or the known one does not
// answer. The controller writes the job's record, on the condition that the job has neither a live
// nor a final record, and answers 201. The same transaction writes a note that tells the leader of
// the job.
//
// Without a leader no tasks are started, and no jobs are cancelled or refused because of their
// deadline. A leader elected before the record was written finds the job by the note; no earlier
// leader can have started its tasks, since its authority ended before that election. A leader
// elected later loads the record with all others.
const (
	leaderlessWriteShare = 0.1 // of the store's write rate, of which a leader uses up to nine tenths
	// leaderlessBurstShare is the share of one second's writes, over all controllers, which together
	// stay below the burst that the store allows.
	leaderlessBurstShare = 0.5
	// instanceTypesInterval is how often controllers other than the leader read the instance
	// types.
	instanceTypesInterval     = time.Minute
	instanceTypesRetryDelay   = 4 * time.Second
	instanceTypesInitialDelay = 400 * time.Millisecond // after the start of the process
)

func newWriteLimit(writes float64, controllers int) *rate.Limiter {
	n := float64(controllers)
	return rate.NewLimiter(rate.Limit(writes*leaderlessWriteShare/n), max(1, int(writes*leaderlessBurstShare/n)))
}

// Start starts reading the instance types periodically. The first read is delayed, so that a crash
// loop does not exhaust the cloud's rate limit, which all controllers share.
func (g *Gateway) Start() {
	g.engine.After(g.engine.Jitter(instanceTypesInitialDelay), g.refreshInstanceTypes)
}

// InstanceTypes returns the instance types as last read, or nil before the first read.
func (g *Gateway) InstanceTypes() []provider.InstanceType { return g.instanceTypes }

// SetInstanceTypes sets the instance types that this controller has read as the leader.
func (g *Gateway) SetInstanceTypes(types []provider.InstanceType) { g.instanceTypes = types }

// refreshInstanceTypes reads the instance types and schedules the next read. Leaderless admission
// needs them to refuse jobs that can never be scheduled.
func (g *Gateway) refreshInstanceTypes() {
	if g.controller.IsLeader() { // the autoscaler of the leader reads them
		g.engine.After(g.engine.Jitter(instanceTypesInterval), g.refreshInstanceTypes)
		return
	}
	g.engine.CallCloud(provider.Request{Op: provider.Catalog}, func(r provider.Response) {
		if r.Outcome != rpc.OK || len(r.InstanceTypes) == 0 {
			g.engine.After(g.engine.Jitter(instanceTypesRetryDelay), g.refreshInstanceTypes)
			return
		}
		g.instanceTypes = r.InstanceTypes
		g.engine.After(g.engine.Jitter(instanceTypesInterval), g.refreshInstanceTypes)
	})
}

// admitLeaderless records a submission, or refuses a job that can never be scheduled.
func (g *Gateway) admitLeaderless(r request.Request) {
	job, unavailable := r.Spec, request.Unavailable(noLeader)
	if !g.allowsLeaderlessAdmission(r) {
		g.respond(r, unavailable)
		return
	}
	if !jobstore.FitsValue(record.JobSize(job), g.cfg.Settings.State) {
		g.respond(r, admission.SpecTooLarge)
		return
	}
	// The store may have lost records, so the last leader's replica is checked as well.
	lastReplica := g.controller.LastLeaderReplica()
	if lastReplica == nil {
		g.respond(r, unavailable)
		return
	}
	if _, over := lastReplica.Get(record.FinalPrefix + job.ID); over {
		g.respond(r, unavailable)
		return
	}
	if refusal := admission.CheckSchedulable(job, g.controller.Team(lastReplica, job.Owner), g.instanceTypes); refusal != nil {
		g.refuseLeaderless(r, lastReplica, refusal.Response())
		return
	}
	if !g.writeLimit.AllowN(g.engine.Now, 2) || !g.jobs.Allow(1) {
		g.respond(r, unavailable)
		return
	}
	g.acceptLeaderless(r, lastReplica)
}

func (g *Gateway) allowsLeaderlessAdmission(r request.Request) bool {
	return !g.controller.IsLeader() && r.From == "" && len(g.cfg.Seeds) > 0 && len(g.instanceTypes) > 0 && g.policy.NeverRefuses()
}

// admissionConditions returns the conditions of a decision on a job without a leader. The job must
// have no record. The known term must still be recorded, since a store that has lost its data knows
// no jobs. The configuration must be that of the replica.
func (g *Gateway) admissionConditions(id string, lastReplica *replica.Replica) []kv.Condition {
	config, _ := lastReplica.Get(record.ConfigHeadKey)
	return append(record.JobAbsent(id),
		kv.Condition{Key: record.TermKey, Rev: g.controller.Upstream().TermRevision},
		kv.Condition{Key: record.ConfigHeadKey, Rev: config.Rev})
}

// acceptLeaderless writes the record of a job and the note for the leader in one transaction.
func (g *Gateway) acceptLeaderless(r request.Request, lastReplica *replica.Replica) {
	id, unavailable := r.Spec.ID, request.Unavailable(noLeader)
	job := &record.Job{Spec: *r.Spec, Submitted: g.engine.Now.Round(0)}
	note := &record.Leader{Node: g.cfg.HostName, Term: max(1, g.controller.Upstream().Term)}
	g.engine.CallStore(kv.Request{
		Op:         kv.Txn,
		Conditions: g.admissionConditions(id, lastReplica),
		Writes:     []kv.Write{{Key: record.JobPrefix + id, Value: job}, {Key: record.LeaderlessPrefix + id, Value: note}},
	}, func(reply kv.Response) {
		switch reply.Outcome {
		case rpc.OK:
			g.engine.Log(slog.LevelInfo, "job accepted without a leader", "job", id)
			g.replicas.SendLeaderlessJob(job, reply.Rev)
			g.respond(r, request.Response{Status: 201, Job: request.JobStatus{ID: id, State: spec.Queued}})
		case rpc.Conflict, rpc.Unknown:
			g.respondWithExisting(r)
		default:
			g.respond(r, unavailable)
		}
	})
}

// respondWithExisting answers a submission of a job that may already have a record, possibly its
// own.
func (g *Gateway) respondWithExisting(r request.Request) {
	g.jobs.Read(r.Spec.ID, func(status *request.JobStatus, known bool) {
		if known && status != nil {
			g.respond(r, request.Response{Status: 200, Job: *status})
		} else {
			g.respond(r, request.Unavailable(noLeader))
		}
	})
}

// refuseLeaderless refuses a submission permanently if the store and the last leader's replica
// confirm that the job was never accepted. Otherwise it answers 503.
func (g *Gateway) refuseLeaderless(r request.Request, lastReplica *replica.Replica, refusal request.Response) {
	id, unavailable := r.Spec.ID, request.Unavailable(noLeader)
	if _, live := lastReplica.Get(record.JobPrefix + id); live || !g.jobs.Allow(1) {
		g.respond(r, unavailable)
		return
	}
	g.engine.CallStore(kv.Request{Op: kv.Txn, Conditions: g.admissionConditions(id, lastReplica)}, func(reply kv.Response) {
		if reply.Outcome == rpc.OK {
			g.respond(r, refusal)
		} else {
			g.respond(r, unavailable)
		}
	})
}
