package lifecycle

import (
	"maps"
	"slices"
	"time"

	"yewpass/internal/bitset"
	"yewpass/internal/fleet"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/spec"
	"yewpass/internal/writebatch"
)

// progressInterval delays progress writes, so that several completions share one.
const progressInterval = time.Second

// ScheduleProgressWrite schedules a write of the progress of the task's chunk. At most one write
// per chunk is queued; its value is determined when it is sent and includes all completions up to
// then, so slow writes do not pile up. The final record makes most progress writes unnecessary.
func (m *Manager) ScheduleProgressWrite(j *fleet.Job, task int) {
	chunk := task / bitset.ChunkSize
	if j.DirtyChunks[chunk] {
		return
	}
	j.DirtyChunks[chunk] = true
	m.scope.After(progressInterval, func() { m.writeProgress(j, chunk) })
}

func (m *Manager) writeProgress(j *fleet.Job, chunk int) {
	key := record.ProgressKey(j.Spec.ID, chunk)
	var written bitset.Set
	change := &writebatch.Change{
		Priority: writebatch.Bulk,
		Size:     300 + 4*min(j.Spec.Tasks, bitset.ChunkSize)/3/8,
		Writes:   []kv.Write{{Key: key}},
		OnCommit: func(revision uint64) {
			j.ChunkRevisions[chunk] = revision
			markForgettable(j, chunk, written)
		},
		OnConflict: func() {
			// An earlier attempt of this write has been applied although its outcome was unknown.
			m.Writes.ReadBack(key, func(e kv.Entry, _ bool) {
				j.ChunkRevisions[chunk] = e.Rev // 0 if the record does not exist
				if m.Jobs[j.Spec.ID] == j && !j.Halted() {
					m.writeProgress(j, chunk)
				}
			})
		},
	}
	change.Prepare = func() bool {
		if j.Halted() || j.Remaining == 0 {
			return false
		}
		delete(j.DirtyChunks, chunk)
		written = j.Done.CloneChunk(chunk)
		change.Conditions = []kv.Condition{{Key: key, Rev: j.ChunkRevisions[chunk]}}
		change.Writes[0].Value = &record.Progress{Ranges: j.Done.EncodeChunk(chunk * bitset.ChunkSize)}
		return true
	}
	m.Writes.Add(change)
}

// markForgettable lets workers forget the attempts whose completion has been stored. Until then
// they report them in every heartbeat, from which a new leader learns of the completion.
func markForgettable(j *fleet.Job, chunk int, recorded bitset.Set) {
	j.UnrecordedCompletions = slices.DeleteFunc(j.UnrecordedCompletions, func(a *fleet.Attempt) bool {
		if a.ID.Index/bitset.ChunkSize == chunk && recorded.Has(a.ID.Index%bitset.ChunkSize) {
			a.Forgettable = true
		}
		return a.Forgettable
	})
}

// FinishIfEnded writes the final record of a job whose tasks have all completed, or that is
// cancelled and has no task left on any machine.
func (m *Manager) FinishIfEnded(j *fleet.Job) {
	if j.Finishing || j.Cancelling {
		return
	}
	final, ended := m.outcome(j)
	if !ended {
		return
	}
	j.Finishing = true
	change := &writebatch.Change{
		Writes:   []kv.Write{{Key: record.FinalPrefix + j.Spec.ID, Value: &final}, {Key: record.JobPrefix + j.Spec.ID}},
		OnCommit: func(uint64) { m.onFinalCommitted(j, final) },
	}
	j.FinalChange = change
	// The same transaction deletes the progress records, up to its limit of operations.
	deletes := make([]*writebatch.Change, 0, 1)
	for _, chunk := range slices.Sorted(maps.Keys(j.ChunkRevisions)) {
		if j.ChunkRevisions[chunk] == 0 {
			continue
		}
		w := kv.Write{Key: record.ProgressKey(j.Spec.ID, chunk)}
		if len(change.Writes) < m.maxTxnOps {
			change.Writes = append(change.Writes, w)
		} else {
			deletes = append(deletes, &writebatch.Change{Writes: []kv.Write{w}, Priority: writebatch.Bulk})
		}
	}
	m.Writes.Add(change)
	for _, change := range deletes {
		m.Writes.Add(change)
	}
}

// outcome returns the final record of a job and whether the job has ended. A cancelled job ends
// only when no machine can have its tasks, which count against its team's quota until then.
func (m *Manager) outcome(j *fleet.Job) (final record.Final, ended bool) {
	if j.Cancelled {
		return record.Final{State: spec.Cancelled, Done: j.Spec.Tasks - j.Remaining}, !m.mayHaveAttempts(j)
	}
	return record.Final{State: spec.Done, Done: j.Spec.Tasks}, !j.Spec.Service && j.Remaining <= 0
}

// mayHaveAttempts reports whether any machine may still have a task of the job.
func (m *Manager) mayHaveAttempts(j *fleet.Job) bool {
	return len(j.Attempts) > 0 || j.FromEarlierTerm && !m.leader.AllAccounted()
}
