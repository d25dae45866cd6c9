// Package lifecycle takes the leader's jobs from their acceptance to their final records:
// it queues them, counts and records the progress of their tasks, and records how they end.
package lifecycle

import (
	"log/slog"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/jobstore"
	"yewpass/internal/peermsg"
	"yewpass/internal/placement"
	"yewpass/internal/quota"
	"yewpass/internal/record"
	"yewpass/internal/replication"
	"yewpass/internal/request"
	"yewpass/internal/spec"
	"yewpass/internal/topology"
	"yewpass/internal/writebatch"
)

// Leader is what a Manager needs of the leader whose jobs it manages.
type Leader interface {
	// AllAccounted reports whether every machine that may hold a task of an earlier term
	// is accounted for.
	AllAccounted() bool
	// CancelSafeAt returns from when on the record of a cancellation that is decided now
	// may be read, although machines may still have tasks of the job.
	CancelSafeAt() time.Time
	// RequestDispatch has a reply that is held for a machine sent soon.
	RequestDispatch(m *fleet.Machine)
	// JobFinished is called when a job is over, on record and in memory.
	JobFinished(j *fleet.Job, state spec.JobState)
}

// State is the leader's state that a Manager works on.
type State struct {
	Jobs      map[string]*fleet.Job // that are not over
	Teams     quota.Accounts
	Placement *placement.Scheduler
	Writes    *writebatch.Batcher
	Replicas  *replication.Publisher
	Store     *jobstore.Reader
}

// Manager manages the jobs of one leadership.
type Manager struct {
	State
	engine *engine.Engine
	scope  *engine.Scope
	leader Leader
	maxOps int // writes of a transaction
}

// New returns a manager for the leadership that scope bounds.
func New(e *engine.Engine, scope *engine.Scope, limits config.State, state State, leader Leader) *Manager {
	return &Manager{State: state, engine: e, scope: scope, leader: leader, maxOps: limits.TxnOps}
}

func (m *Manager) answer(r request.Request, answer request.Response) {
	m.engine.Emit(peermsg.Reply(r, answer))
}

// Add takes a job into memory; earlier says that it was accepted in an earlier term. Its
// tasks do not wait for machines before Queue.
func (m *Manager) Add(rec *record.Job, earlier bool) *fleet.Job {
	s := rec.Spec
	now := m.engine.Now
	j := &fleet.Job{
		Spec:            s,
		Need:            s.Need(),
		Record:          rec,
		FromEarlierTerm: earlier,
		Submitted:       now.Add(rec.Submitted.Sub(now.Round(0))),
		Team:            m.Teams[s.Owner],
		StartsAtOnce:    m.Placement.MustStartAtOnce(s.Class),
		Placement:       placementRules(&s),
		Progress:        fleet.NewProgress(s.Tasks),
		FailureHistory:  fleet.FailureHistory{FailedOn: map[string]bool{}},
		Ending:          fleet.Ending{Cancelled: rec.Cancelled},
	}
	if j.Team == nil { // the team has left the settings: its jobs still run
		j.Team = &quota.Account{}
		m.Teams[s.Owner] = j.Team
	}
	m.Jobs[s.ID] = j
	j.Team.JobCount++
	return j
}

func placementRules(s *spec.Job) topology.Job {
	p := topology.Job{Key: s.ID, Tasks: s.Tasks}
	if s.SamePlace {
		p.Rules = append(p.Rules, topology.SamePlace)
	}
	if s.Apart {
		p.Rules = append(p.Rules, topology.Apart)
	}
	return p
}

// Queue makes a job's tasks wait for machines, once its progress is known.
func (m *Manager) Queue(j *fleet.Job) {
	for i := range j.Spec.Tasks {
		if j.Done.Has(i) {
			j.Remaining--
			j.HasRun = true
		} else if j.Attempts[i] == nil {
			j.Pending.Add(i)
			j.Waiting++
		}
	}
	if j.Cancelled || j.Remaining == 0 && !j.Spec.Service {
		m.FinishIfOver(j)
		return
	}
	m.Placement.ReserveSoon(j)
}

// Requeue makes a task wait for a machine again.
func (m *Manager) Requeue(j *fleet.Job, task int) {
	if j.Halted() || task >= j.Spec.Tasks || j.Done.Has(task) || j.Pending.Has(task) || j.Attempts[task] != nil {
		return
	}
	j.Pending.Add(task)
	j.Waiting++
	m.Placement.ReserveSoon(j)
}

// CompleteTask marks a task complete and has that recorded before long: progress is
// written in bulk.
func (m *Manager) CompleteTask(j *fleet.Job, task int) {
	if task >= j.Spec.Tasks || j.Spec.Service {
		return
	}
	if j.Done.Has(task) {
		m.RecordProgressSoon(j, task) // a worker still has it: write again, so that it may forget
		return
	}
	if j.Pending.Has(task) {
		j.Pending.Remove(task)
		j.Waiting--
		m.Placement.DropExcessReservation(j)
	}
	j.Done.Add(task)
	j.HasRun = true
	j.Remaining--
	j.AnyCompleted = true
	j.Failures = 0
	j.RetryAt = time.Time{}
	if j.Remaining == 0 {
		m.FinishIfOver(j)
		return
	}
	m.RecordProgressSoon(j, task)
}

// finished follows the commit of a final record.
func (m *Manager) finished(j *fleet.Job, final record.Final) {
	id := j.Spec.ID
	m.Store.Remember(id, final)
	m.Replicas.Drop(record.JobPrefix + id) // however we have learned that it is over
	delete(m.Jobs, id)
	j.Team.JobCount--
	m.Placement.DropReservations(j)
	for _, a := range j.Completed {
		a.Forgettable = true
	}
	j.Completed = nil
	m.AnswerWaiters(j, request.Response{Status: 200, Job: jobstore.FinalStatus(id, final)})
	m.leader.JobFinished(j, final.State)
	m.engine.Log(slog.LevelDebug, "job finished", "job", id, "state", final.State)
}
