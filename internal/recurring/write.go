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

// unreadableRetryDelay is the delay before a record that cannot be decoded is read again.
const unreadableRetryDelay = time.Second

type recordChange struct {
	priority  writebatch.Priority
	apply     func(r *schedule.Record)
	job       *record.Job // job to create in the same transaction, or nil
	onCommit  func()
	onIDTaken func() // called if the job's ID is already in use; nil if job is nil
}

// write queues a modification of a schedule's record.
func (s *Scheduler) write(sched *scheduleState, rc recordChange) {
	sched.writeInFlight = true
	sched.generation++
	change := &writebatch.Change{Priority: rc.priority}
	s.prepare(sched, change, rc)
	s.leader.Write(change)
}

// prepare fills in a change with the modified record, which replaces the one in memory once
// the change is committed.
func (s *Scheduler) prepare(sched *scheduleState, change *writebatch.Change, rc recordChange) {
	rec := sched.record.Clone()
	rc.apply(rec)
	rec.Seq++
	change.Size = rec.Size()
	change.Conditions = []kv.Condition{{Key: sched.key(), Rev: sched.revision}}
	change.Writes = []kv.Write{{Key: sched.key(), Value: rec}}
	if rc.job != nil {
		id := rc.job.Spec.ID
		change.Size += record.JobSize(&rc.job.Spec)
		change.Conditions = append(change.Conditions, record.JobAbsent(id)...)
		change.Writes = append(change.Writes, kv.Write{Key: record.JobPrefix + id, Value: rc.job})
	}
	finish := func(revision uint64) {
		// History changes since the write was prepared exist only in memory; keep them for
		// the next write. The written value is shared and must not be modified.
		rec := rec.Clone()
		rec.MergeUpdates(sched.record)
		sched.record, sched.revision = rec, revision
		s.finishWrite(sched, rc.onCommit)
	}
	change.OnCommit = func(revision uint64) {
		if rc.job != nil && s.leader.Job(rc.job.Spec.ID) == nil { // otherwise a user's request has added it
			s.leader.AddJob(rc.job)
		}
		finish(revision)
	}
	// An earlier attempt of the write was applied, at a time that is not known. Its job may have
	// been adopted, and may even have ended, since then.
	applied := func(revision uint64) {
		if rc.job == nil {
			finish(revision)
			return
		}
		s.leader.AdoptJob(rc.job.Spec.ID, func() { finish(revision) })
	}
	change.OnConflict = func() { s.resolveConflict(sched, change, rec.Seq, applied, rc.onIDTaken) }
	change.OnReject = func() {
		sched.definition, sched.disabledReason = nil, "the state service rejected its record"
		s.reply(sched, request.Unavailable(sched.disabledReason))
		s.finishWrite(sched, func() {})
	}
}

// resolveConflict handles a failed condition. Only the leader writes the record, so either
// an earlier attempt of the same change was applied, or the job's ID is already in use, or
// the record was removed or restored. It calls applied in the first case and onIDTaken in the second.
func (s *Scheduler) resolveConflict(sched *scheduleState, change *writebatch.Change, seq uint64, applied func(revision uint64), onIDTaken func()) {
	s.readRecord(sched, func(found *schedule.Record, revision uint64) {
		switch {
		case found == nil:
			s.reply(sched, notFound(sched.name))
			s.removeFromMemory(sched)
		case found.Seq == seq:
			applied(revision)
		case revision != sched.revision:
			sched.revision = revision
			change.Conditions[0].Rev = revision
			s.leader.Write(change)
		case onIDTaken != nil:
			s.finishWrite(sched, onIDTaken)
		default:
			s.leader.Write(change)
		}
	})
}

// readRecord reads a schedule's record and passes it to f; found is nil if it does not exist.
func (s *Scheduler) readRecord(sched *scheduleState, f func(found *schedule.Record, revision uint64)) {
	s.leader.ReadBack(sched.key(), func(entry kv.Entry, found bool) {
		rec, _ := entry.Value.(*schedule.Record)
		if found && rec == nil {
			s.engine.Log(slog.LevelError, "record is unreadable", "key", entry.Key)
			s.scope.After(s.engine.Jitter(unreadableRetryDelay), func() { s.readRecord(sched, f) })
			return
		}
		f(rec, entry.Rev)
	})
}

// finishWrite ends a write: it calls then, serves the requests that waited for the write, and
// queues the next occurrence and history change.
func (s *Scheduler) finishWrite(sched *scheduleState, then func()) {
	sched.writeInFlight = false
	then()
	for !sched.writeInFlight && len(sched.waitingRequests) > 0 {
		call := sched.waitingRequests[0]
		sched.waitingRequests = slices.Delete(sched.waitingRequests, 0, 1)
		s.Serve(call)
	}
	if sched.writeInFlight || sched.removed {
		return
	}
	s.applyPendingEntries(sched)
	if sched.historyChanged {
		s.flushHistory(sched)
	}
	s.planNext(sched)
}
