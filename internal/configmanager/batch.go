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
	// maxWaitingChanges bounds the changes that wait to be written.
	maxWaitingChanges = 2000
	// batchInterval is how long after the one before a batch may wait to become larger.
	// It does not count from when the changes came: once those are old, each batch would
	// go with as little as there is room for, spend half of it on the head record, and
	// never catch up.
	batchInterval = 700 * time.Millisecond
)

// changeQueue holds the changes that users wait for.
type changeQueue struct {
	waiting   []*change // in no batch yet
	batch     *batch    // being written
	batchedAt time.Time // when the last batch was decided
	committed int64     // changes committed by this leader
}

// change is a change with the request that asks for it.
type change struct {
	liveconfig.Change
	request request.Request
}

// batch is a transaction of changes until its outcome is known.
type batch struct {
	*liveconfig.Batch // nil until it is decided
	changes           []*change
	over              bool
}

// queueBatch has the waiting changes written, with as many others as come until then.
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
		return !b.over
	}
	w.OnCommit = func(headRevision uint64) { m.batchCommitted(b, headRevision) }
	w.OnConflict = func() { m.batchConflict(b, w) }
	w.OnReject = func() {
		m.failBatch(b, request.Response{Status: 400, Field: "teams", Reason: "teams: the state service rejects the records"})
	}
	m.writes.Add(w)
}

// BatchDue reports whether the waiting batch may be written: with all changes that wait
// now, or after a while with as many as the limits leave room for. Small batches would
// spend the allowance on head records.
func (m *Manager) BatchDue() bool {
	b := m.batch
	if b == nil || b.Batch != nil || len(m.waiting) == 0 {
		return true
	}
	room := m.roomForBatch()
	least := len(m.waiting[0].Teams) + 1 // with the head record; a change is not divided
	if room < least {
		return false
	}
	return room >= min(m.cfg.Settings.State.TxnOps, max(least, len(m.waiting)+1)) || m.engine.Now.Sub(m.batchedAt) >= batchInterval
}

// roomForBatch returns how many writes a batch may have now.
func (m *Manager) roomForBatch() int {
	return m.writes.AvailableWrites(writebatch.Config, m.engine.Now, m.cfg.Settings.State.TxnOps)
}

// prepareBatch decides which changes the batch holds, as it is about to be written.
func (m *Manager) prepareBatch(b *batch, w *writebatch.Change) {
	m.batchedAt = m.engine.Now
	waiting := make([]*liveconfig.Change, len(m.waiting))
	for i, c := range m.waiting {
		waiting[i] = &c.Change
	}
	b.Batch = liveconfig.NewBatch(m.state, waiting, m.roomForBatch())
	b.changes = slices.Clone(m.waiting[:b.Taken])
	m.waiting = slices.Delete(m.waiting, 0, b.Taken)
	records := b.Records()
	if len(records) == 0 { // each change was rejected, or is in force already
		m.answerBatch(b)
		return
	}
	w.Size = 0
	for _, r := range records {
		w.Writes = append(w.Writes, kv.Write{Key: record.ConfigTeamPrefix + r.Team.Name, Value: &r})
		w.Size += 200 + 2*len(r.Team.Name)
	}
	w.Writes = append(w.Writes, kv.Write{Key: record.ConfigHeadKey, Value: &liveconfig.HeadRecord{Revision: b.After.Revision}})
	w.Conditions = []kv.Condition{m.Condition()}
	w.Size += 200
}

// batchCommitted puts a batch into force that is on record, and then answers its users.
func (m *Manager) batchCommitted(b *batch, headRevision uint64) {
	if b.over {
		return
	}
	m.state, m.headRevision, m.inForceAt = b.After, headRevision, m.engine.Now
	m.committed += int64(len(b.Each))
	m.replicateBatch(b, headRevision)
	m.measuring = len(m.cfg.Seeds) > 0
	names := b.Names()
	m.leader.ApplyTeams(m.state.Teams(names))
	for _, name := range names {
		delete(m.damaged, objectOf(record.ConfigTeamPrefix+name))
	}
	delete(m.damaged, objectOf(record.ConfigHeadKey))
	m.engine.Log(slog.LevelInfo, "configuration changed", "revision", m.state.Revision, "teams", strings.Join(names, ","), "changes", len(b.changes))
	m.sendRevision()
	m.answerBatch(b)
}

// replicateBatch adds the records of a batch to the leader's replica, unless the
// response to the transaction has already.
func (m *Manager) replicateBatch(b *batch, headRevision uint64) {
	m.leader.Replicate(kv.Entry{Key: record.ConfigHeadKey, Value: &liveconfig.HeadRecord{Revision: b.After.Revision}, Rev: headRevision})
	for _, r := range b.Records() {
		m.leader.Replicate(kv.Entry{Key: record.ConfigTeamPrefix + r.Team.Name, Value: &r, Rev: headRevision})
	}
}

// batchConflict handles a batch for which the head record is not as expected. Either an
// earlier attempt of this very batch was committed, or the record was written back after
// a data loss.
func (m *Manager) batchConflict(b *batch, w *writebatch.Change) {
	m.writes.ReadBack(record.ConfigHeadKey, func(head kv.Entry, _ bool) {
		if b.over {
			return
		}
		switch revision := revisionIn(head.Value); revision {
		case b.After.Revision:
			m.batchCommitted(b, head.Rev)
		case m.state.Revision:
			m.headRevision = head.Rev
			w.Conditions[0].Rev = head.Rev
			m.writes.Add(w)
		default:
			m.failBatch(b, request.Unavailable("the configuration on record is being read"))
			m.reconcile(revision, head.Rev)
		}
	})
}

// answerBatch ends a batch that is decided.
func (m *Manager) answerBatch(b *batch) {
	m.endBatch(b, func(i int) request.Response {
		result := b.Each[i]
		if result.Err != nil {
			return rejection(result.Err)
		}
		return request.Response{Status: 200, Document: view.ConfigChanged{Revision: result.Revision}}
	})
}

// failBatch ends a batch whose changes are not made.
func (m *Manager) failBatch(b *batch, response request.Response) {
	m.endBatch(b, func(int) request.Response { return response })
}

// endBatch ends a batch and answers the users of its changes, by their index.
func (m *Manager) endBatch(b *batch, response func(i int) request.Response) {
	b.over = true
	if m.batch == b {
		m.batch = nil
	}
	for i, c := range b.changes {
		m.leader.Answer(c.request, response(i))
	}
	b.changes = nil
	// Not at once: the batcher may be going through its queues.
	m.scope.After(0, m.queueBatch)
}

// AnswerWaiting answers all users who wait for a change. A batch that is being written
// is followed up nevertheless: it may be committed.
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
