package recurring

import (
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/schedule"
	"yewpass/internal/writebatch"
)

// unreadableRetryDelay is how long a record that cannot be read is left alone.
const unreadableRetryDelay = time.Second

// recordChange is a change of a schedule's record.
type recordChange struct {
	priority writebatch.Priority
	apply    func(r *schedule.Record)
	job      *record.Job // written with it, or nil
	done     func()      // called once it is committed
	idTaken  func()      // called if the ID of job has a record already; nil without a job
}

// write queues a change of a schedule's record.
func (s *Scheduler) write(job *recurringJob, rc recordChange) {
	job.writing = true
	job.generation++
	change := &writebatch.Change{Priority: rc.priority}
	s.prepare(job, change, rc)
	s.leader.Write(change)
}

// prepare fills in a change. The record is built here, so that memory takes on what was
// written, times included.
func (s *Scheduler) prepare(job *recurringJob, change *writebatch.Change, rc recordChange) {
	rec := job.record.Clone()
	rc.apply(rec)
	rec.Seq++
	change.Size = rec.Size()
	change.Conditions = []kv.Condition{{Key: job.key(), Rev: job.revision}}
	change.Writes = []kv.Write{{Key: job.key(), Value: rec}}
	if rc.job != nil {
		id := rc.job.Spec.ID
		change.Size += record.JobSize(&rc.job.Spec)
		change.Conditions = append(change.Conditions, record.JobAbsent(id)...)
		change.Writes = append(change.Writes, kv.Write{Key: record.JobPrefix + id, Value: rc.job})
	}
	change.OnCommit = func(revision uint64) {
		// News of jobs that came meanwhile are in memory only and go with the next write.
		// The value that was written must not change.
		rec := rec.Clone()
		rec.MergeUpdates(job.record)
		job.record, job.revision = rec, revision
		s.finishWrite(job, rc.done)
	}
	change.OnConflict = func() { s.resolveConflict(job, change, rec.Seq, rc.idTaken) }
	change.OnReject = func() {
		job.definition, job.problem = nil, "the state service rejects its record"
		s.reply(job, request.Unavailable(job.problem))
		s.finishWrite(job, func() {})
	}
}

// resolveConflict follows a condition that did not hold. The leader alone writes the
// record: either an earlier try of this change has been applied, or the job's ID is taken.
func (s *Scheduler) resolveConflict(job *recurringJob, change *writebatch.Change, seq uint64, idTaken func()) {
	s.readRecord(job, func(found *schedule.Record, revision uint64) {
		switch {
		case found == nil:
			s.reply(job, noSchedule(job.name))
			s.forget(job)
		case found.Seq == seq:
			change.OnCommit(revision)
		case revision != job.revision:
			job.revision = revision
			change.Conditions[0].Rev = revision
			s.leader.Write(change)
		case idTaken != nil:
			s.finishWrite(job, idTaken)
		default:
			s.leader.Write(change)
		}
	})
}

// readRecord reads a schedule's record back; found is nil if there is none.
func (s *Scheduler) readRecord(job *recurringJob, f func(found *schedule.Record, revision uint64)) {
	s.leader.ReadBack(job.key(), func(entry kv.Entry, found bool) {
		rec, _ := entry.Value.(*schedule.Record)
		if found && rec == nil {
			s.engine.Log(slog.LevelError, "record is unreadable", "key", entry.Key)
			s.scope.After(s.engine.Jitter(unreadableRetryDelay), func() { s.readRecord(job, f) })
			return
		}
		f(rec, entry.Rev)
	})
}

// finishWrite follows a write: what waited for it goes on.
func (s *Scheduler) finishWrite(job *recurringJob, then func()) {
	job.writing = false
	then()
	for !job.writing && len(job.waiting) > 0 {
		call := job.waiting[0]
		job.waiting = slices.Delete(job.waiting, 0, 1)
		s.Serve(call)
	}
	if job.writing || job.removed {
		return
	}
	s.applyPendingEntries(job)
	if job.historyDirty {
		s.flushHistory(job)
	}
	s.planNext(job)
}
