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

// Leaderless admission: a submission needs a durable record, not a leader. While a
// controller knows of no leader, or the one it knows does not answer, it writes the record
// itself, on the condition that the job has neither a live nor a final one, and answers
// 201. To the leader, the next or the same, that record is like one of its own whose
// transaction was applied after it had been given up: whoever asks for the job has the
// leader take it on. So that it need not wait for somebody to ask, a note goes along in the
// same transaction, and the leader follows the notes.
//
// Nothing is started, cancelled or refused for want of time without a leader. Tasks of the
// job start once a leader has taken it on. A leader whose term began before the record was
// written has it from the note, and no earlier leader can have started anything of it,
// since its authority ended before that term began; one whose term began later reads it
// with all others, as a job accepted earlier.
const (
	leaderlessWriteShare = 0.1 // of the changes that the key-value store allows: a leader uses up to nine tenths
	leaderlessBurst      = 0.5 // of one second's changes: all controllers together stay below what the store takes at once
	// instanceTypesInterval is how often a controller that does not lead reads the
	// instance types.
	instanceTypesInterval  = time.Minute
	instanceTypesRetry     = 4 * time.Second
	instanceTypesFirstRead = 400 * time.Millisecond // after the start of the process
)

func newWriteLimit(writes float64, controllers int) *rate.Limiter {
	n := float64(controllers)
	return rate.NewLimiter(rate.Limit(writes*leaderlessWriteShare/n), max(1, int(writes*leaderlessBurst/n)))
}

// Start begins to read the instance types. It does not read them at once: a process that
// ends again and again would use up what calls the cloud allows to all of them.
func (g *Gateway) Start() {
	g.engine.After(g.engine.Jitter(instanceTypesFirstRead), g.refreshInstanceTypes)
}

// InstanceTypes returns the instance types as they were last read.
func (g *Gateway) InstanceTypes() []provider.InstanceType { return g.instanceTypes }

// SetInstanceTypes tells the instance types as the controller read them while it led.
func (g *Gateway) SetInstanceTypes(types []provider.InstanceType) { g.instanceTypes = types }

// refreshInstanceTypes reads the instance types now and then: a job that can never be
// scheduled is refused, and without them it can be neither refused nor accepted.
func (g *Gateway) refreshInstanceTypes() {
	if g.controller.Leads() { // the leader reads them by itself
		g.engine.After(g.engine.Jitter(instanceTypesInterval), g.refreshInstanceTypes)
		return
	}
	g.engine.CallCloud(provider.Request{Op: provider.Catalog}, func(r provider.Response) {
		if r.Outcome != rpc.OK || len(r.InstanceTypes) == 0 {
			g.engine.After(g.engine.Jitter(instanceTypesRetry), g.refreshInstanceTypes)
			return
		}
		g.instanceTypes = r.InstanceTypes
		g.engine.After(g.engine.Jitter(instanceTypesInterval), g.refreshInstanceTypes)
	})
}

// submit records a submission without a leader, or refuses one that can never be scheduled.
func (g *Gateway) submit(r request.Request) {
	job, no := r.Spec, request.Unavailable(noLeader)
	if !g.admitsLeaderless(r) {
		g.answer(r, no)
		return
	}
	if !jobstore.FitsValue(record.JobSize(job), g.cfg.Settings.State) {
		g.answer(r, admission.TooLong)
		return
	}
	// The store may have lost data and not know of all jobs. Whoever has the last leader's
	// replica knows.
	k := g.controller.LastLeaderReplica()
	if k == nil {
		g.answer(r, no)
		return
	}
	if _, over := k.Get(record.FinalPrefix + job.ID); over {
		g.answer(r, no)
		return
	}
	if refusal := admission.CheckSchedulable(job, g.controller.Team(k, job.Owner), g.instanceTypes); refusal != nil {
		g.refuse(r, k, refusal.Response())
		return
	}
	if !g.writeLimit.AllowN(g.engine.Now, 2) || !g.jobs.Allow(1) {
		g.answer(r, no)
		return
	}
	g.accept(r, k)
}

// admitsLeaderless reports whether this controller may accept a submission by itself.
func (g *Gateway) admitsLeaderless(r request.Request) bool {
	return !g.controller.Leads() && r.From == "" && len(g.cfg.Seeds) > 0 && len(g.instanceTypes) > 0 && g.policy.NeverRefuses()
}

// conditions returns the conditions of what is decided on a job without a leader: it has no
// record, and the term that is known here is on record, because a store that has lost its
// data knows of no job, not even of those that are over. Nor may the configuration have
// changed since the replica.
func (g *Gateway) conditions(id string, k *replica.Replica) []kv.Condition {
	config, _ := k.Get(record.ConfigHeadKey)
	return append(record.JobAbsent(id),
		kv.Condition{Key: record.TermKey, Rev: g.controller.Upstream().TermRevision},
		kv.Condition{Key: record.ConfigHeadKey, Rev: config.Rev})
}

// accept writes the record of a job, and the note for the leader.
func (g *Gateway) accept(r request.Request, k *replica.Replica) {
	id, no := r.Spec.ID, request.Unavailable(noLeader)
	job := &record.Job{Spec: *r.Spec, Submitted: g.engine.Now.Round(0)}
	note := &record.Leader{Node: g.cfg.HostName, Term: max(1, g.controller.Upstream().Term)}
	g.engine.CallStore(kv.Request{
		Op:         kv.Txn,
		Conditions: g.conditions(id, k),
		Writes:     []kv.Write{{Key: record.JobPrefix + id, Value: job}, {Key: record.LeaderlessPrefix + id, Value: note}},
	}, func(reply kv.Response) {
		switch reply.Outcome {
		case rpc.OK:
			g.engine.Log(slog.LevelInfo, "job accepted without a leader", "job", id)
			g.replicas.SendLeaderlessJob(job, reply.Rev)
			g.answer(r, request.Response{Status: 201, Job: request.JobStatus{ID: id, State: spec.Queued}})
		case rpc.Conflict, rpc.Unknown:
			g.answerExisting(r)
		default:
			g.answer(r, no)
		}
	})
}

// answerExisting answers a submission of a job that has a record, maybe of this very
// submission.
func (g *Gateway) answerExisting(r request.Request) {
	g.jobs.Read(r.Spec.ID, func(status *request.JobStatus, known bool) {
		if known && status != nil {
			g.answer(r, request.Response{Status: 200, Job: *status})
		} else {
			g.answer(r, request.Unavailable(noLeader))
		}
	})
}

// refuse refuses a submission for good, but only if the store confirms that nobody ever
// accepted it and the last leader's replica says the same.
func (g *Gateway) refuse(r request.Request, k *replica.Replica, refusal request.Response) {
	id, no := r.Spec.ID, request.Unavailable(noLeader)
	if _, live := k.Get(record.JobPrefix + id); live || !g.jobs.Allow(1) {
		g.answer(r, no)
		return
	}
	g.engine.CallStore(kv.Request{Op: kv.Txn, Conditions: g.conditions(id, k)}, func(reply kv.Response) {
		if reply.Outcome == rpc.OK {
			g.answer(r, refusal)
		} else {
			g.answer(r, no)
		}
	})
}
