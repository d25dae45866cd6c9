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

// writeSchedule writes a record as apply changes it, with the job of an
// occurrence if there is one. taken is called when the job's id has a record
// already.
func (s *Scheduler) writeSchedule(rj *recurringJob, ln writebatch.Priority, apply func(r *schedule.Record), job *record.Job, done, taken func()) {
	rj.writing = true
	rj.generation++
	ch := &writebatch.Change{Priority: ln}
	s.prepareWrite(rj, ch, apply, job, done, taken)
	s.leader.Write(ch)
}

// prepareWrite fills in a change of a schedule's record.
func (s *Scheduler) prepareWrite(rj *recurringJob, ch *writebatch.Change, apply func(r *schedule.Record), job *record.Job, done, taken func()) {
	key := record.SchedulePrefix + rj.name
	// Times are fixed here: what is applied to memory is what was written.
	rec := rj.record.Clone()
	apply(rec)
	rec.Seq++
	ch.Size = rec.Size()
	ch.Conditions = []kv.Condition{{Key: key, Rev: rj.revision}}
	ch.Writes = []kv.Write{{Key: key, Value: rec}}
	if job != nil {
		id := job.Spec.ID
		ch.Size += record.JobSize(&job.Spec)
		ch.Conditions = append(ch.Conditions, record.NoJob(id)...)
		ch.Writes = append(ch.Writes, kv.Write{Key: record.JobPrefix + id, Value: job})
	}
	ch.OnCommit = func(rev uint64) {
		// News of jobs that came meanwhile are in memory only, and go next. The
		// record that was written stays as it is.
		rec := rec.Clone()
		rec.Follow(rj.record)
		rj.record, rj.revision = rec, rev
		s.writeFinished(rj, done)
	}
	ch.OnConflict = func() {
		// A condition did not hold. Ours to write: either an earlier try of this
		// very change has been applied, or a job has the id.
		s.readSchedule(rj, func(found *schedule.Record, rev uint64) {
			switch {
			case found == nil:
				rj.reply(s, noSchedule(rj.name))
				s.forgetSchedule(rj)
			case found.Seq == rec.Seq:
				ch.OnCommit(rev)
			case rev != rj.revision:
				rj.revision = rev
				ch.Conditions[0].Rev = rev
				s.leader.Write(ch)
			case taken != nil:
				s.writeFinished(rj, taken)
			default:
				s.leader.Write(ch)
			}
		})
	}
	ch.OnReject = func() {
		rj.definition, rj.problem = nil, "the state service rejects its record"
		rj.reply(s, request.Unavailable(rj.problem))
		s.writeFinished(rj, func() {})
	}
}

// readSchedule reads a record back; found is nil if there is none.
func (s *Scheduler) readSchedule(rj *recurringJob, f func(found *schedule.Record, rev uint64)) {
	s.leader.ReadBack(record.SchedulePrefix+rj.name, func(e kv.Entry, found bool) {
		rec, _ := e.Value.(*schedule.Record)
		if found && rec == nil {
			s.engine.Log(slog.LevelError, "record is unreadable", "key", e.Key)
			s.scope.After(s.engine.Jitter(time.Second), func() { s.readSchedule(rj, f) })
			return
		}
		f(rec, e.Rev)
	})
}

// writeFinished follows a write: what waited for it goes on.
func (s *Scheduler) writeFinished(rj *recurringJob, then func()) {
	rj.writing = false
	then()
	for !rj.writing && len(rj.waiting) > 0 {
		call := rj.waiting[0]
		rj.waiting = slices.Delete(rj.waiting, 0, 1)
		s.Serve(call)
	}
	if rj.writing || rj.removed {
		return
	}
	s.applyPendingEntries(rj)
	if rj.historyDirty {
		s.flushSchedule(rj)
	}
	s.planNext(rj)
}

func (s *Scheduler) forgetSchedule(rj *recurringJob) {
	rj.removed = true
	rj.generation++
	if s.byName[rj.name] == rj {
		delete(s.byName, rj.name)
		if i, found := slices.BinarySearch(s.names, rj.name); found {
			s.names = slices.Delete(s.names, i, i+1)
		}
	}
	s.writeFinished(rj, func() {})
}
