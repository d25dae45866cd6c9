// Package lifecycle manages the leader's jobs from acceptance to final record: it queues their
// tasks, stores their progress, and records completion and cancellation.
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

// Leader is the leader whose jobs a Manager manages.
type Leader interface {
	// AllAccounted reports whether no machine can have unknown tasks of an earlier term.
	AllAccounted() bool
	// CancelSafeAt returns the earliest time at which a cancellation requested now may be written
	// to the store while machines may still have tasks of the job.
	CancelSafeAt() time.Time
	// RequestDispatch schedules a check for orders to send to a machine.
	RequestDispatch(m *fleet.Machine)
	// JobFinished is called after the final record of a job has been committed and the job removed
	// from memory.
	JobFinished(j *fleet.Job, state spec.JobState)
}

// State holds the components of the leader that a Manager reads and updates.
type State struct {
	Jobs      map[string]*fleet.Job // live jobs by ID
	Teams     quota.Accounts
	Placement *placement.Scheduler
	Writes    *writebatch.Batcher
	Replicas  *replication.Publisher
	Store     *jobstore.Reader
}

// Manager manages the jobs of one leadership term.
type Manager struct {
	State
	engine    *engine.Engine
	scope     *engine.Scope
	leader    Leader
	maxTxnOps int
}

// New returns a manager for one term; its timers stop when scope is closed.
func New(e *engine.Engine, scope *engine.Scope, limits config.State, state State, leader Leader) *Manager {
	return &Manager{State: state, engine: e, scope: scope, leader: leader, maxTxnOps: limits.TxnOps}
}

func (m *Manager) answer(r request.Request, response request.Response) {
	m.engine.Emit(peermsg.Reply(r, response))
}

// Add adds a job to memory without scheduling its tasks. fromEarlierTerm reports that it was
// accepted in an earlier term.
func (m *Manager) Add(rec *record.Job, fromEarlierTerm bool) *fleet.Job {
	s := rec.Spec
	now := m.engine.Now
	j := &fleet.Job{
		Spec:             s,
		Need:             s.TaskResources(),
		Record:           rec,
		FromEarlierTerm:  fromEarlierTerm,
		Submitted:        now.Add(rec.Submitted.Sub(now.Round(0))),
		Team:             m.Teams[s.Owner],
		LatencySensitive: m.Placement.IsLatencySensitive(s.Class),
		Placement:        placementRules(&s),
		Progress:         fleet.NewProgress(s.Tasks),
		FailureHistory:   fleet.NewFailureHistory(),
		Finalization:     fleet.Finalization{Cancelled: rec.Cancelled},
	}
	if j.Team == nil { // the team was removed from the configuration
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

// Queue marks the remaining tasks of a job as pending and schedules them. Call it once the progress
// of the job has been loaded.
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
		m.FinishIfEnded(j)
		return
	}
	m.Placement.ReserveSoon(j)
}

// Requeue marks a task as pending again, unless it is completed, pending or on a machine, or its
// job is ending.
func (m *Manager) Requeue(j *fleet.Job, task int) {
	if j.Halted() || task >= j.Spec.Tasks || j.Done.Has(task) || j.Pending.Has(task) || j.Attempts[task] != nil {
		return
	}
	j.Pending.Add(task)
	j.Waiting++
	m.Placement.ReserveSoon(j)
}

// CompleteTask marks a task as completed and schedules a write of the job's progress, or of its
// final record after the last task.
func (m *Manager) CompleteTask(j *fleet.Job, task int) {
	if task >= j.Spec.Tasks || j.Spec.Service {
		return
	}
	if j.Done.Has(task) {
		m.ScheduleProgressWrite(j, task) // a worker still lists it, and may forget it after the next write
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
		m.FinishIfEnded(j)
		return
	}
	m.ScheduleProgressWrite(j, task)
}

// onFinalCommitted removes a job whose final record has been committed.
func (m *Manager) onFinalCommitted(j *fleet.Job, final record.Final) {
	id := j.Spec.ID
	m.Store.CacheFinal(id, final)
	// Another leader may have written the final record.
	m.Writes.MarkWritten(record.JobPrefix + id)
	m.Replicas.PublishDelete(record.JobPrefix + id)
	delete(m.Jobs, id)
	j.Team.JobCount--
	m.Placement.DropReservations(j)
	for _, a := range j.UnrecordedCompletions {
		a.Forgettable = true
	}
	j.UnrecordedCompletions = nil
	m.AnswerWaiting(j, request.Response{Status: 200, Job: jobstore.FinalStatus(id, final)})
	m.leader.JobFinished(j, final.State)
	m.engine.Log(slog.LevelDebug, "job finished", "job", id, "state", final.State)
}
