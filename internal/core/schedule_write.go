package core

import (
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/schedule"
	"yewpass/internal/writebatch"
)

// writeSchedule writes a record as apply changes it, with the job of an
// occurrence if there is one. taken is called when the job's id has a record
// already.
func (c *Core) writeSchedule(s *recurringJob, ln writebatch.Priority, apply func(r *schedule.Record), job *record.Job, done, taken func()) {
	s.writing = true
	s.generation++
	ch := &writebatch.Change{Priority: ln}
	c.prepareWrite(s, ch, apply, job, done, taken)
	c.leadership.writes.Add(ch)
}

// prepareWrite fills in a change of a schedule's record.
func (c *Core) prepareWrite(s *recurringJob, ch *writebatch.Change, apply func(r *schedule.Record), job *record.Job, done, taken func()) {
	key := record.SchedulePrefix + s.name
	// Times are fixed here: what is applied to memory is what was written.
	rec := s.record.Clone()
	apply(rec)
	rec.Seq++
	ch.Size = rec.Size()
	ch.Conditions = []kv.Condition{{Key: key, Rev: s.revision}}
	ch.Writes = []kv.Write{{Key: key, Value: rec}}
	if job != nil {
		id := job.Spec.ID
		ch.Size += record.JobSize(&job.Spec)
		ch.Conditions = append(ch.Conditions, noRecordOf(id)...)
		ch.Writes = append(ch.Writes, kv.Write{Key: record.JobPrefix + id, Value: job})
	}
	ch.OnCommit = func(rev uint64) {
		// News of jobs that came meanwhile are in memory only, and go next. The
		// record that was written stays as it is.
		rec := rec.Clone()
		rec.Follow(s.record)
		s.record, s.revision = rec, rev
		c.writeFinished(s, done)
	}
	ch.OnConflict = func() {
		// A condition did not hold. Ours to write: either an earlier try of this
		// very change has been applied, or a job has the id.
		c.readSchedule(s, func(found *schedule.Record, rev uint64) {
			switch {
			case found == nil:
				s.reply(c, noSchedule(s.name))
				c.forgetSchedule(s)
			case found.Seq == rec.Seq:
				ch.OnCommit(rev)
			case rev != s.revision:
				s.revision = rev
				ch.Conditions[0].Rev = rev
				c.leadership.writes.Add(ch)
			case taken != nil:
				c.writeFinished(s, taken)
			default:
				c.leadership.writes.Add(ch)
			}
		})
	}
	ch.OnReject = func() {
		s.definition, s.problem = nil, "the state service rejects its record"
		s.reply(c, unavailable(s.problem))
		c.writeFinished(s, func() {})
	}
}

// readSchedule reads a record back; found is nil if there is none.
func (c *Core) readSchedule(s *recurringJob, f func(found *schedule.Record, rev uint64)) {
	c.readBack(record.SchedulePrefix+s.name, func(e kv.Entry, found bool) {
		rec, _ := e.Value.(*schedule.Record)
		if found && rec == nil {
			c.Log(slog.LevelError, "record is unreadable", "key", e.Key)
			c.afterWhileLeading(c.Jitter(time.Second), func() { c.readSchedule(s, f) })
			return
		}
		f(rec, e.Rev)
	})
}

// writeFinished follows a write: what waited for it goes on.
func (c *Core) writeFinished(s *recurringJob, then func()) {
	s.writing = false
	then()
	for !s.writing && len(s.waiting) > 0 {
		call := s.waiting[0]
		s.waiting = slices.Delete(s.waiting, 0, 1)
		c.serveSchedule(call)
	}
	if s.writing || s.removed {
		return
	}
	c.applyPendingEntries(s)
	if s.historyDirty {
		c.flushSchedule(s)
	}
	c.planNext(s)
}

func (c *Core) forgetSchedule(s *recurringJob) {
	sch := &c.leadership.schedules
	s.removed = true
	s.generation++
	if sch.byName[s.name] == s {
		delete(sch.byName, s.name)
		if i, found := slices.BinarySearch(sch.names, s.name); found {
			sch.names = slices.Delete(sch.names, i, i+1)
		}
	}
	c.writeFinished(s, func() {})
}
