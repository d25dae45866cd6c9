package lifecycle

import (
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/writebatch"
)

const (
	// endingWaitTimeout is how long a request about a job waits for its cancellation or final
	// record to be committed. It is shorter than the timeout of a forwarded request.
	endingWaitTimeout = 600 * time.Millisecond
	// cancelRetryInterval is the longest time between checks whether a cancellation may be written.
	cancelRetryInterval = 500 * time.Millisecond
)

// Cancel orders the tasks of a job to stop, writes its cancellation to the store and responds once
// that is committed.
func (m *Manager) Cancel(j *fleet.Job, r request.Request) {
	if j.Cancelled {
		m.answer(r, request.Response{Status: 200, Job: j.View()})
		return
	}
	j.FinalWaiters = append(j.FinalWaiters, r)
	if j.Cancelling || j.Finishing {
		return
	}
	j.Cancelling = true
	// Stop the tasks before the commit is known: other controllers may already read the record and
	// report the job as cancelled, and every lease renewed from now on has to carry the stop
	// orders.
	for _, a := range j.Attempts {
		m.leader.RequestDispatch(a.Machine)
	}
	m.writeCancellation(j, m.leader.CancelSafeAt())
}

// writeCancellation writes the cancellation of a job. While any machine may still have one of its
// tasks it waits until safeAt, because a worker's lease may outlast the time within which the tasks
// of a cancelled job have to stop.
func (m *Manager) writeCancellation(j *fleet.Job, safeAt time.Time) {
	if wait := safeAt.Sub(m.engine.Now); wait > 0 && m.mayHaveAttempts(j) {
		stopping := request.Unavailable("the tasks are being stopped")
		stopping.RetryAfter = wait
		m.AnswerWaiting(j, stopping) // each client is answered once and may retry
		m.scope.After(min(wait, cancelRetryInterval), func() { m.writeCancellation(j, safeAt) })
		return
	}
	cancelled := *j.Record
	cancelled.Cancelled = true
	change := &writebatch.Change{
		Size: record.JobSize(&cancelled.Spec),
		// A delayed attempt of this write must not recreate the record of an ended job.
		Conditions: []kv.Condition{{Key: record.FinalPrefix + j.Spec.ID, Rev: 0}},
		Writes:     []kv.Write{{Key: record.JobPrefix + j.Spec.ID, Value: &cancelled}},
		OnConflict: func() { m.readBackFinal(j) },
		OnCommit:   func(uint64) { m.onCancelCommitted(j, &cancelled) },
	}
	j.FinalChange = change
	m.Writes.Add(change)
}

func (m *Manager) onCancelCommitted(j *fleet.Job, rec *record.Job) {
	j.Cancelling, j.Cancelled, j.Record, j.FinalChange = false, true, rec, nil
	m.Placement.DropReservations(j)
	m.engine.Log(slog.LevelDebug, "job cancelled", "job", j.Spec.ID)
	m.AnswerWaiting(j, request.Response{Status: 200, Job: j.View()})
	m.FinishIfEnded(j)
}

// readBackFinal finishes a job whose cancellation was rejected because the job already has a final
// record.
func (m *Manager) readBackFinal(j *fleet.Job) {
	m.AnswerWaiting(j, request.Unavailable("the job has just ended, try again"))
	m.Writes.ReadBack(record.FinalPrefix+j.Spec.ID, func(e kv.Entry, _ bool) {
		if final, _ := e.Value.(*record.Final); final != nil && m.Jobs[j.Spec.ID] == j {
			m.onFinalCommitted(j, *final)
		}
	})
}

// AnswerWaiting responds to every request that waits for the job's cancellation or final record,
// and clears the list.
func (m *Manager) AnswerWaiting(j *fleet.Job, response request.Response) {
	for _, r := range j.FinalWaiters {
		m.answer(r, response)
	}
	j.FinalWaiters = nil
}

// WaitForEnding holds a request about a job whose cancellation or final record may already be
// committed, and reports whether it does. Another controller may have reported the new state to the
// client, which must not see an older one afterwards.
func (m *Manager) WaitForEnding(j *fleet.Job, r request.Request) bool {
	if j.FinalChange == nil || !j.FinalChange.Sent {
		return false
	}
	j.FinalWaiters = append(j.FinalWaiters, r)
	m.scope.After(endingWaitTimeout, func() {
		i := slices.IndexFunc(j.FinalWaiters, func(w request.Request) bool { return w.From == r.From && w.Ref == r.Ref })
		if i >= 0 {
			j.FinalWaiters = slices.Delete(j.FinalWaiters, i, i+1)
			m.answer(r, request.Unavailable("its end is being recorded"))
		}
	})
	return true
}
