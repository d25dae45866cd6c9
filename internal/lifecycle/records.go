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

// progressInterval is how long news of a chunk's tasks wait for more.
const progressInterval = time.Second

// RecordProgressSoon has the progress around a task written. One change a chunk waits at a
// time and is filled in when it is sent: however slow the writes, the news of many seconds
// go in one. The final record makes most of them needless.
func (m *Manager) RecordProgressSoon(j *fleet.Job, task int) {
	chunk := task / bitset.ChunkSize
	if j.DirtyChunks[chunk] {
		return
	}
	j.DirtyChunks[chunk] = true
	m.scope.After(progressInterval, func() { m.recordProgress(j, chunk) })
}

// recordProgress writes the progress of one chunk of a job.
func (m *Manager) recordProgress(j *fleet.Job, chunk int) {
	key := record.ProgressKey(j.Spec.ID, chunk)
	var written bitset.Set
	change := &writebatch.Change{
		Priority: writebatch.Bulk,
		Size:     300 + 4*min(j.Spec.Tasks, bitset.ChunkSize)/3/8,
		Writes:   []kv.Write{{Key: key}},
		OnCommit: func(revision uint64) {
			j.ChunkRevisions[chunk] = revision
			forgetRecorded(j, chunk, written)
		},
		OnConflict: func() {
			// A write of ours whose outcome was not known has been applied.
			m.Writes.ReadBack(key, func(e kv.Entry, _ bool) {
				j.ChunkRevisions[chunk] = e.Rev // 0 if there is none
				if m.Jobs[j.Spec.ID] == j && !j.Halted() {
					m.recordProgress(j, chunk)
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

// forgetRecorded lets workers forget the tasks of a chunk that the key-value store now
// knows to be done. Until then their heartbeats repeat it to any successor.
func forgetRecorded(j *fleet.Job, chunk int, recorded bitset.Set) {
	j.UnrecordedCompletions = slices.DeleteFunc(j.UnrecordedCompletions, func(a *fleet.Attempt) bool {
		if a.ID.Index/bitset.ChunkSize == chunk && recorded.Has(a.ID.Index%bitset.ChunkSize) {
			a.Forgettable = true
		}
		return a.Forgettable
	})
}

// FinishIfOver writes the final record of a job that is over.
func (m *Manager) FinishIfOver(j *fleet.Job) {
	if j.Finishing || j.Cancelling {
		return
	}
	final, over := m.outcome(j)
	if !over {
		return
	}
	j.Finishing = true
	change := &writebatch.Change{
		Writes:   []kv.Write{{Key: record.FinalPrefix + j.Spec.ID, Value: &final}, {Key: record.JobPrefix + j.Spec.ID}},
		OnCommit: func(uint64) { m.finished(j, final) },
	}
	j.FinalChange = change
	// The records of progress go in the same transaction, as many as it has room for.
	drops := make([]*writebatch.Change, 0, 1)
	for _, chunk := range slices.Sorted(maps.Keys(j.ChunkRevisions)) {
		if j.ChunkRevisions[chunk] == 0 {
			continue
		}
		w := kv.Write{Key: record.ProgressKey(j.Spec.ID, chunk)}
		if len(change.Writes) < m.maxOps {
			change.Writes = append(change.Writes, w)
		} else {
			drops = append(drops, &writebatch.Change{Writes: []kv.Write{w}, Priority: writebatch.Bulk})
		}
	}
	m.Writes.Add(change)
	for _, drop := range drops {
		m.Writes.Add(drop)
	}
}

// outcome returns how a job has ended, if it is over. A cancelled job stays on record until
// none of its tasks can be on any machine, because its tasks still count for its team.
func (m *Manager) outcome(j *fleet.Job) (final record.Final, over bool) {
	if j.Cancelled {
		return record.Final{State: spec.Cancelled, Done: j.Spec.Tasks - j.Remaining}, !m.mayHaveAttempts(j)
	}
	return record.Final{State: spec.Done, Done: j.Spec.Tasks}, !j.Spec.Service && j.Remaining <= 0
}

// mayHaveAttempts reports whether any machine may have a task of the job.
func (m *Manager) mayHaveAttempts(j *fleet.Job) bool {
	return len(j.Attempts) > 0 || j.FromEarlierTerm && !m.leader.AllAccounted()
}
