package admission

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"yewpass/internal/autoscaler"
	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/jobstore"
	"yewpass/internal/kv"
	"yewpass/internal/lifecycle"
	"yewpass/internal/peermsg"
	"yewpass/internal/policy"
	"yewpass/internal/record"
	"yewpass/internal/replication"
	"yewpass/internal/request"
	"yewpass/internal/spec"
	"yewpass/internal/writebatch"
)

// Reasons sent to clients with status 503.
const (
	storeUnavailable     = "the state service does not answer"
	instanceTypesUnknown = "the machine types are not known yet"
)

const (
	conflictRetryDelay = time.Second
	maxRetryAfter      = 30 * time.Second // bounds Retry-After for a rejected job
)

// Leader is the leader on whose behalf an Admitter accepts jobs.
type Leader interface {
	// IsActive reports whether the leader has authority and has loaded the records.
	IsActive() bool
	// Serve handles a client request of any kind.
	Serve(r request.Request)
	// Lateness returns by how much a job with a deadline is expected to miss it.
	Lateness(job *spec.Job) time.Duration
	// PolicyEnv returns the cluster state that policy expressions are evaluated on.
	PolicyEnv() policy.Env
	// MayHaveLostJobs reports whether the store may have lost job records, so that an unknown job
	// ID may belong to an accepted job.
	MayHaveLostJobs() bool
	// Unreadable reports whether the job's record exists but cannot be decoded.
	Unreadable(id string) bool
	// ConfirmTerm checks in one transaction that the store still has this leader's term and that
	// the given conditions hold, and calls f with the response.
	ConfirmTerm(more []kv.Condition, f func(kv.Response))
	// JobAdded is called for a job accepted in this term, before it is queued.
	JobAdded(j *fleet.Job)
}

// State holds the components of the leader that an Admitter reads and updates.
type State struct {
	Lifecycle  *lifecycle.Manager
	Writes     *writebatch.Batcher
	Replicas   *replication.Publisher
	Autoscaler *autoscaler.Autoscaler
	Policy     *policy.Policy
}

// Admitter accepts or rejects submitted jobs during one leadership term.
type Admitter struct {
	State
	engine  *engine.Engine
	scope   *engine.Scope
	limits  config.State
	leader  Leader
	pending map[string]*submission // submissions being written, by job ID
}

// submission is a job whose record is being written.
type submission struct {
	job     *spec.Job
	waiters []request.Request // submissions of the same job, answered together
}

// New returns an admitter for one term; its callbacks stop when scope is closed.
func New(e *engine.Engine, scope *engine.Scope, limits config.State, state State, leader Leader) *Admitter {
	return &Admitter{State: state, engine: e, scope: scope, limits: limits, leader: leader, pending: map[string]*submission{}}
}

func (a *Admitter) answer(r request.Request, response request.Response) {
	a.engine.Emit(peermsg.Reply(r, response))
}

func (a *Admitter) answerSubmission(s *submission, response request.Response) {
	for _, r := range s.waiters {
		a.answer(r, response)
	}
	s.waiters = nil
}

// AnswerWaiting sends the response to every client whose submission is still being written, in
// order of job ID.
func (a *Admitter) AnswerWaiting(response request.Response) {
	for _, id := range slices.Sorted(maps.Keys(a.pending)) {
		a.answerSubmission(a.pending[id], response)
	}
}

// Serve handles a request about a job that is neither in memory nor known to have ended.
func (a *Admitter) Serve(r request.Request) {
	s := a.pending[r.ID]
	switch {
	case s != nil && r.Op == request.Submit:
		s.waiters = append(s.waiters, r)
	case s != nil:
		a.answer(r, request.Unavailable("the submission is being recorded"))
	case r.Op == request.Submit:
		a.submit(r)
	default:
		a.serveFromStore(r, request.Response{Status: 404, Reason: "no such job"})
	}
}

// submit validates a new job, and responds to an accepted one once its record is committed.
func (a *Admitter) submit(r request.Request) {
	if len(a.Autoscaler.InstanceTypes) == 0 {
		a.answer(r, request.Unavailable(instanceTypesUnknown))
		return
	}
	job := r.Spec
	if !jobstore.FitsValue(record.JobSize(job), a.limits) {
		a.answer(r, SpecTooLarge)
		return
	}
	// A resubmitted job that was accepted before must not be rejected, so the stored records are
	// checked before a rejection is sent.
	if refusal := a.CheckSchedulable(job); refusal != nil {
		if !a.Autoscaler.CatalogLoaded {
			a.answer(r, request.Unavailable(instanceTypesUnknown))
			return
		}
		a.serveFromStore(r, refusal.Response())
		return
	}
	if late, refused := a.CheckDeadline(job); refused {
		a.answerFromStore(r, func() {
			a.engine.Log(slog.LevelInfo, "job rejected: deadline cannot be met", "job", job.ID, "class", job.Class, "late", late)
			wait := min(max(late, time.Second), maxRetryAfter)
			a.answer(r, request.Response{Status: 429, RetryAfter: wait, Reason: "the job cannot be completed by its deadline at present"})
		})
		return
	}
	a.writeRecord(r)
}

func (a *Admitter) writeRecord(r request.Request) {
	job := r.Spec
	s := &submission{job: job, waiters: []request.Request{r}}
	a.pending[job.ID] = s
	rec := &record.Job{Spec: *job, Submitted: a.engine.Now.Round(0)}
	a.Writes.Add(&writebatch.Change{
		Size:       record.JobSize(job),
		Conditions: record.JobAbsent(job.ID),
		Writes:     []kv.Write{{Key: record.JobPrefix + job.ID, Value: rec}},
		OnCommit: func(uint64) {
			delete(a.pending, job.ID)
			j := a.AddCommitted(rec)
			a.answerSubmission(s, request.Response{Status: 201, Job: j.View()})
		},
		OnConflict: func() { a.resolveConflict(s) },
		OnReject: func() {
			delete(a.pending, job.ID)
			a.answerSubmission(s, request.Unavailable("the state service rejected the record"))
		},
	})
}

// AddCommitted adds a job whose record has just been committed and queues its tasks.
func (a *Admitter) AddCommitted(rec *record.Job) *fleet.Job {
	j := a.Lifecycle.Add(rec, false)
	a.leader.JobAdded(j)
	a.Autoscaler.RecordArrival(j)
	a.Lifecycle.Placement.PreferImageLocality(j)
	a.Lifecycle.Queue(j)
	return j
}

// resolveConflict handles a submission whose write found a record of the job, possibly written by
// an earlier attempt whose outcome was unknown.
func (a *Admitter) resolveConflict(s *submission) {
	id := s.job.ID
	retry := func() {
		a.answerSubmission(s, request.Unavailable(storeUnavailable))
		a.scope.After(conflictRetryDelay, func() { a.resolveConflict(s) })
	}
	a.Lifecycle.Store.Read(id, func(status *request.JobStatus, known bool) {
		switch {
		case a.scope.Closed() || a.pending[id] != s:
		case !known || status == nil:
			retry()
		case status.State.Final():
			delete(a.pending, id)
			a.answerSubmission(s, request.Response{Status: 200, Job: *status})
		default:
			a.adopt(id, func() {
				delete(a.pending, id)
				if j := a.Lifecycle.Jobs[id]; j != nil {
					a.answerSubmission(s, request.Response{Status: 200, Job: j.View()})
				}
			}, retry)
		}
	})
}

// CheckSchedulable returns why a job can never be scheduled with the current teams and instance
// types, or nil.
func (a *Admitter) CheckSchedulable(job *spec.Job) *Refusal {
	return CheckSchedulable(job, a.Lifecycle.Teams[job.Owner], a.Autoscaler.InstanceTypes)
}

// CheckDeadline estimates by how much a job would miss its deadline on the machines of the fleet
// and those that can be added, and evaluates the admission policy. Jobs without a deadline are
// never rejected.
func (a *Admitter) CheckDeadline(job *spec.Job) (late time.Duration, refused bool) {
	if !job.HasDeadline || a.Policy.NeverRefuses() {
		return 0, false // skip the search of the whole fleet
	}
	late = a.leader.Lateness(job)
	env := a.leader.PolicyEnv()
	env.Class, env.Owner, env.Urgency, env.HasDeadline, env.LateSeconds = job.Class, job.Owner, job.Urgency.String(), true, late.Seconds()
	return late, a.Policy.Refuse(env)
}
