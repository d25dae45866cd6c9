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
	// endingTimeout is how long a request about a job waits for the record of its end:
	// shorter than a forwarded request waits for the leader.
	endingTimeout = 600 * time.Millisecond
	// cancelRetryInterval is how often it is looked at again whether a cancellation may be
	// recorded.
	cancelRetryInterval = 500 * time.Millisecond
)

// Cancel records a cancellation and answers once it is committed.
func (m *Manager) Cancel(j *fleet.Job, r request.Request) {
	if j.Cancelled {
		m.answer(r, request.Response{Status: 200, Job: j.View()})
		return
	}
	j.EndingWaiters = append(j.EndingWaiters, r)
	if j.Cancelling || j.Finishing {
		return
	}
	j.Cancelling = true
	// Whatever becomes of the record, its user wants nothing of it any more. Others may read
	// it and tell before we know that it is committed: whatever renews leases meanwhile, with
	// authority or without, has to carry the stops.
	for _, a := range j.Attempts {
		m.leader.RequestDispatch(a.Machine)
	}
	m.recordCancelled(j, m.leader.CancelSafeAt())
}

// recordCancelled writes a cancellation, not before a time unless nothing of the job can be
// on any machine: where the settings leave no room a lease may last longer than tasks of a
// cancelled job may.
func (m *Manager) recordCancelled(j *fleet.Job, safeAt time.Time) {
	if wait := safeAt.Sub(m.engine.Now); wait > 0 && m.mayHaveAttempts(j) {
		stopping := request.Unavailable("the tasks are being stopped")
		stopping.RetryAfter = wait
		m.AnswerWaiters(j, stopping) // once for each: who asks again is told again
		m.scope.After(min(wait, cancelRetryInterval), func() { m.recordCancelled(j, safeAt) })
		return
	}
	cancelled := *j.Record
	cancelled.Cancelled = true
	change := &writebatch.Change{
		Size: record.JobSize(&cancelled.Spec),
		// A try that is applied late must not bring back a job that is over.
		Conditions: []kv.Condition{{Key: record.FinalPrefix + j.Spec.ID, Rev: 0}},
		Writes:     []kv.Write{{Key: record.JobPrefix + j.Spec.ID, Value: &cancelled}},
		OnConflict: func() { m.finishRecorded(j) },
		OnCommit:   func(uint64) { m.cancelled(j, &cancelled) },
	}
	j.EndingChange = change
	m.Writes.Add(change)
}

// cancelled follows the commit of a cancellation.
func (m *Manager) cancelled(j *fleet.Job, rec *record.Job) {
	j.Cancelling, j.Cancelled, j.Record, j.EndingChange = false, true, rec, nil
	m.Placement.DropReservations(j)
	m.engine.Log(slog.LevelDebug, "job cancelled", "job", j.Spec.ID)
	m.AnswerWaiters(j, request.Response{Status: 200, Job: j.View()})
	m.FinishIfOver(j)
}

// finishRecorded finishes a job that turned out to have a final record when it was to be
// cancelled.
func (m *Manager) finishRecorded(j *fleet.Job) {
	m.AnswerWaiters(j, request.Unavailable("the job has just ended, try again"))
	m.Writes.ReadBack(record.FinalPrefix+j.Spec.ID, func(e kv.Entry, _ bool) {
		if final, _ := e.Value.(*record.Final); final != nil && m.Jobs[j.Spec.ID] == j {
			m.finished(j, *final)
		}
	})
}

// AnswerWaiters answers everybody who waits for the end of a job to be recorded.
func (m *Manager) AnswerWaiters(j *fleet.Job, answer request.Response) {
	for _, r := range j.EndingWaiters {
		m.answer(r, answer)
	}
	j.EndingWaiters = nil
}

// WaitForEnding has a request about a job wait if the job's end may be on record without
// our knowing, and reports whether it does. Whoever reads the record may have told the user,
// who must hear nothing older from us.
func (m *Manager) WaitForEnding(j *fleet.Job, r request.Request) bool {
	if j.EndingChange == nil || !j.EndingChange.Sent {
		return false
	}
	j.EndingWaiters = append(j.EndingWaiters, r)
	m.scope.After(endingTimeout, func() {
		i := slices.IndexFunc(j.EndingWaiters, func(w request.Request) bool { return w.From == r.From && w.Ref == r.Ref })
		if i >= 0 {
			j.EndingWaiters = slices.Delete(j.EndingWaiters, i, i+1)
			m.answer(r, request.Unavailable("its end is being recorded"))
		}
	})
	return true
}
