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

// Reasons of answers with status 503.
const (
	unanswered   = "the state service does not answer"
	typesUnknown = "the machine types are not known yet"
)

const (
	resolveRetry  = time.Second
	maxRetryAfter = 30 * time.Second // of a job that is refused for now
)

// Leader is what an Admitter needs of the leader that it admits jobs for.
type Leader interface {
	// CanAct reports whether the leader has authority and knows the records.
	CanAct() bool
	// Serve serves a request of any kind.
	Serve(r request.Request)
	// Lateness returns by how much a job with a deadline would miss it.
	Lateness(job *spec.Job) time.Duration
	// PolicyEnv returns what policies are given of the cluster's state.
	PolicyEnv() policy.Env
	// MayHaveLostJobs reports whether a job that nobody knows may be one that was lost.
	MayHaveLostJobs() bool
	// Unreadable reports whether the record of a job is known to be unreadable.
	Unreadable(id string) bool
	// ConfirmTerm asks the store whether the leader's term is on record and whether more
	// holds at the same time.
	ConfirmTerm(more []kv.Condition, f func(kv.Response))
	// JobAdded is called when a job of this term is in memory, before it is queued.
	JobAdded(j *fleet.Job)
}

// State is the leader's state that an Admitter works on.
type State struct {
	Lifecycle  *lifecycle.Manager
	Writes     *writebatch.Batcher
	Replicas   *replication.Publisher
	Autoscaler *autoscaler.Autoscaler
	Policy     *policy.Policy
}

// Admitter admits jobs for one leadership.
type Admitter struct {
	State
	engine  *engine.Engine
	scope   *engine.Scope
	limits  config.State
	leader  Leader
	pending map[string]*submission // by the job's ID
}

// submission is a submitted job whose record is on its way to the store.
type submission struct {
	job     *spec.Job
	waiters []request.Request
}

// New returns an admitter for the leadership that scope bounds.
func New(e *engine.Engine, scope *engine.Scope, limits config.State, state State, leader Leader) *Admitter {
	return &Admitter{State: state, engine: e, scope: scope, limits: limits, leader: leader, pending: map[string]*submission{}}
}

func (a *Admitter) answer(r request.Request, answer request.Response) {
	a.engine.Emit(peermsg.Reply(r, answer))
}

func (a *Admitter) answerWaiters(s *submission, answer request.Response) {
	for _, r := range s.waiters {
		a.answer(r, answer)
	}
	s.waiters = nil
}

// AnswerWaiting answers everybody who waits for a job to be recorded.
func (a *Admitter) AnswerWaiting(answer request.Response) {
	for _, id := range slices.Sorted(maps.Keys(a.pending)) {
		a.answerWaiters(a.pending[id], answer)
	}
}

// Serve serves a request about a job that is not in memory and not known to be over.
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
		a.serveFromRecords(r, request.Response{Status: 404, Reason: "no such job"})
	}
}

// submit decides on a new job and answers once its record is committed.
func (a *Admitter) submit(r request.Request) {
	if len(a.Autoscaler.InstanceTypes) == 0 {
		a.answer(r, request.Unavailable(typesUnknown))
		return
	}
	job := r.Spec
	if !jobstore.FitsValue(record.JobSize(job), a.limits) {
		a.answer(r, TooLong)
		return
	}
	// A refusal must never meet a job that was accepted once, so the records have the last
	// word before it.
	if refusal := a.CheckSchedulable(job); refusal != nil {
		if !a.Autoscaler.Loaded {
			a.answer(r, request.Unavailable(typesUnknown))
			return
		}
		a.serveFromRecords(r, refusal.Response())
		return
	}
	if late, refused := a.RefusedForNow(job); refused {
		a.answerFromRecords(r, func() {
			a.engine.Log(slog.LevelInfo, "admission refused", "job", job.ID, "class", job.Class, "late", late)
			wait := min(max(late, time.Second), maxRetryAfter)
			a.answer(r, request.Response{Status: 429, RetryAfter: wait, Reason: "no timeline can complete the job in time at present"})
		})
		return
	}
	a.accept(r)
}

// accept has the record of a job written.
func (a *Admitter) accept(r request.Request) {
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
			a.answerWaiters(s, request.Response{Status: 201, Job: j.View()})
		},
		OnConflict: func() { a.resolveConflict(s) },
		OnReject: func() {
			delete(a.pending, job.ID)
			a.answerWaiters(s, request.Unavailable("the state service rejects the record"))
		},
	})
}

// AddCommitted takes on a job whose record has just been committed.
func (a *Admitter) AddCommitted(rec *record.Job) *fleet.Job {
	j := a.Lifecycle.Add(rec, false)
	a.leader.JobAdded(j)
	a.Autoscaler.RecordArrival(j)
	a.Lifecycle.Placement.PreferImageLocality(j)
	a.Lifecycle.Queue(j)
	return j
}

// resolveConflict deals with a submitted job that has a record already, maybe from a try of
// ours whose outcome was not known.
func (a *Admitter) resolveConflict(s *submission) {
	id := s.job.ID
	retry := func() {
		a.answerWaiters(s, request.Unavailable(unanswered))
		a.scope.After(resolveRetry, func() { a.resolveConflict(s) })
	}
	a.Lifecycle.Store.Read(id, func(status *request.JobStatus, known bool) {
		switch {
		case a.scope.Closed() || a.pending[id] != s:
		case !known || status == nil:
			retry()
		case status.State.Final():
			delete(a.pending, id)
			a.answerWaiters(s, request.Response{Status: 200, Job: *status})
		default:
			a.adopt(id, func() {
				delete(a.pending, id)
				if j := a.Lifecycle.Jobs[id]; j != nil {
					a.answerWaiters(s, request.Response{Status: 200, Job: j.View()})
				}
			}, retry)
		}
	})
}

// CheckSchedulable returns why a job can never be scheduled, or nil.
func (a *Admitter) CheckSchedulable(job *spec.Job) *Refusal {
	return CheckSchedulable(job, a.Lifecycle.Teams[job.Owner], a.Autoscaler.InstanceTypes)
}

// RefusedForNow judges a job with a deadline by the timelines of the machines at hand and of
// the types that can be rented, and asks the policy. It returns by how much the job would
// miss its deadline, and whether it is refused.
func (a *Admitter) RefusedForNow(job *spec.Job) (late time.Duration, refused bool) {
	if !job.HasDeadline || a.Policy.NeverRefuses() {
		return 0, false // what the timelines say is a search over the whole fleet
	}
	late = a.leader.Lateness(job)
	env := a.leader.PolicyEnv()
	env.Class, env.Owner, env.Urgency, env.HasDeadline, env.LateSeconds = job.Class, job.Owner, job.Urgency.String(), true, late.Seconds()
	return late, a.Policy.Refuse(env)
}
