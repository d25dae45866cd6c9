package configmanager

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/liveconfig"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/view"
	"yewpass/internal/writebatch"
)

const (
	// maxWaitingChanges bounds the queue of changes that are not in a batch yet.
	maxWaitingChanges = 2000
	// batchInterval is how long a batch may wait for more changes, counted from the
	// previous batch. If it were counted from the arrival of the changes, the batches of
	// a backlog would be too small for the backlog to shrink.
	batchInterval = 700 * time.Millisecond
)

// changeQueue holds the changes whose requesters wait for a response.
type changeQueue struct {
	waiting     []*change // not in a batch yet
	batch       *batch    // in flight; nil if none
	lastBatchAt time.Time // when the last batch was prepared
	committed   int64     // changes committed by this leader
}

type change struct {
	liveconfig.Change
	request request.Request
}

// batch is a transaction of changes whose outcome is not known yet.
type batch struct {
	*liveconfig.Batch // nil until prepareBatch
	changes           []*change
	finished          bool // the requesters have been answered
}

// queueBatch queues a write for the waiting changes, unless one is in flight. The batch is
// filled when the write is sent, so that it includes later changes.
func (m *Manager) queueBatch() {
	if m.batch != nil || len(m.waiting) == 0 {
		return
	}
	b := &batch{}
	m.batch = b
	w := &writebatch.Change{Priority: writebatch.Config, Size: 1}
	w.Prepare = func() bool {
		if b.Batch == nil {
			m.prepareBatch(b, w)
		}
		return !b.finished
	}
	w.OnCommit = func(headRevision uint64) { m.handleBatchCommit(b, headRevision) }
	w.OnConflict = func() { m.handleBatchConflict(b, w) }
	w.OnReject = func() {
		m.failBatch(b, request.Response{Status: 400, Field: "teams", Reason: "teams: the state service rejected the records"})
	}
	m.writes.Add(w)
}

// BatchDue reports whether the queued batch may be sent: as soon as the write limits leave
// room for all waiting changes, or after batchInterval with as many as fit. Smaller batches
// would spend too much of the write limit on head records.
func (m *Manager) BatchDue() bool {
	b := m.batch
	if b == nil || b.Batch != nil || len(m.waiting) == 0 {
		return true
	}
	room := m.roomForBatch()
	minWrites := len(m.waiting[0].Teams) + 1 // with the head record; a change is never split
	if room < minWrites {
		return false
	}
	return room >= min(m.cfg.Settings.State.TxnOps, max(minWrites, len(m.waiting)+1)) || m.engine.Now.Sub(m.lastBatchAt) >= batchInterval
}

// roomForBatch returns how many writes a batch may contain now.
func (m *Manager) roomForBatch() int {
	return m.writes.AvailableWrites(writebatch.Config, m.engine.Now, m.cfg.Settings.State.TxnOps)
}

// prepareBatch selects the changes of a batch and fills in the transaction, right before
// it is sent.
func (m *Manager) prepareBatch(b *batch, w *writebatch.Change) {
	m.lastBatchAt = m.engine.Now
	waiting := make([]*liveconfig.Change, len(m.waiting))
	for i, c := range m.waiting {
		waiting[i] = &c.Change
	}
	b.Batch = liveconfig.NewBatch(m.state, waiting, m.roomForBatch())
	b.changes = slices.Clone(m.waiting[:b.Processed])
	m.waiting = slices.Delete(m.waiting, 0, b.Processed)
	records := b.Records()
	if len(records) == 0 { // every change was rejected or is already in effect
		m.answerBatch(b)
		return
	}
	w.Size = 0
	for _, r := range records {
		w.Writes = append(w.Writes, kv.Write{Key: record.ConfigTeamPrefix + r.Team.Name, Value: &r})
		w.Size += 200 + 2*len(r.Team.Name)
	}
	w.Writes = append(w.Writes, kv.Write{Key: record.ConfigHeadKey, Value: &liveconfig.HeadRecord{Revision: b.After.Revision}})
	w.Conditions = []kv.Condition{m.HeadCondition()}
	w.Size += 200
}

// handleBatchCommit applies a committed batch and then answers its requesters.
func (m *Manager) handleBatchCommit(b *batch, headRevision uint64) {
	if b.finished {
		return
	}
	m.state, m.headRevision, m.inForceAt = b.After, headRevision, m.engine.Now
	m.committed += int64(len(b.Results))
	m.replicateBatch(b, headRevision)
	m.measuring = len(m.cfg.Seeds) > 0
	names := b.Names()
	m.leader.ApplyTeams(m.state.Teams(names))
	for _, name := range names {
		delete(m.damaged, objectName(record.ConfigTeamPrefix+name))
	}
	delete(m.damaged, objectName(record.ConfigHeadKey))
	m.engine.Log(slog.LevelInfo, "configuration changed", "revision", m.state.Revision, "teams", strings.Join(names, ","), "changes", len(b.changes))
	m.sendRevision()
	m.answerBatch(b)
}

// replicateBatch adds the records of a batch to the leader's replica, in case the response
// to the transaction was lost.
func (m *Manager) replicateBatch(b *batch, headRevision uint64) {
	m.leader.Replicate(kv.Entry{Key: record.ConfigHeadKey, Value: &liveconfig.HeadRecord{Revision: b.After.Revision}, Rev: headRevision})
	for _, r := range b.Records() {
		m.leader.Replicate(kv.Entry{Key: record.ConfigTeamPrefix + r.Team.Name, Value: &r, Rev: headRevision})
	}
}

// handleBatchConflict handles a batch whose condition on the head record failed. Either an
// earlier attempt of the same batch was committed, or the record was restored after a
// data loss. In any other case the configuration is reloaded.
func (m *Manager) handleBatchConflict(b *batch, w *writebatch.Change) {
	m.writes.ReadBack(record.ConfigHeadKey, func(head kv.Entry, _ bool) {
		if b.finished {
			return
		}
		switch revision := revisionIn(head.Value); revision {
		case b.After.Revision:
			m.handleBatchCommit(b, head.Rev)
		case m.state.Revision:
			m.headRevision = head.Rev
			w.Conditions[0].Rev = head.Rev
			m.writes.Add(w)
		default:
			m.failBatch(b, request.Unavailable("the stored configuration is being reloaded"))
			m.reconcile(revision, head.Rev)
		}
	})
}

// answerBatch finishes a batch and sends each requester the result of its change.
func (m *Manager) answerBatch(b *batch) {
	m.endBatch(b, func(i int) request.Response {
		result := b.Results[i]
		if result.Err != nil {
			return rejectionResponse(result.Err)
		}
		return request.Response{Status: 200, Document: view.ConfigChanged{Revision: result.Revision}}
	})
}

// failBatch finishes a batch that was not written and sends all requesters response.
func (m *Manager) failBatch(b *batch, response request.Response) {
	m.endBatch(b, func(int) request.Response { return response })
}

// endBatch finishes a batch, answers the requester of each change with the response for
// its index, and queues the next batch.
func (m *Manager) endBatch(b *batch, response func(i int) request.Response) {
	b.finished = true
	if m.batch == b {
		m.batch = nil
	}
	for i, c := range b.changes {
		m.leader.Answer(c.request, response(i))
	}
	b.changes = nil
	// Deferred, because the batcher may be iterating over its queues.
	m.scope.After(0, m.queueBatch)
}

// AnswerWaiting sends response to every requester that waits for a change and clears the
// queue. A batch in flight is still tracked, because it may be committed.
func (m *Manager) AnswerWaiting(response request.Response) {
	if b := m.batch; b != nil {
		for _, c := range b.changes {
			m.leader.Answer(c.request, response)
		}
		b.changes = nil
	}
	for _, c := range m.waiting {
		m.leader.Answer(c.request, response)
	}
	m.waiting = nil
}
