package core

import (
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/schedule"
)

// writeSchedule writes a record as apply changes it, with the job of an
// occurrence if there is one. taken is called when the job's id has a record
// already.
func (c *Core) writeSchedule(s *scheduled, ln writePriority, apply func(r *schedule.Record), job *JobRecord, done, taken func()) {
	s.busy = true
	s.gen++
	ch := &change{priority: ln}
	c.compose(s, ch, apply, job, done, taken)
	c.leadership.writes.add(ch)
}

// compose fills in a change of a schedule's record.
func (c *Core) compose(s *scheduled, ch *change, apply func(r *schedule.Record), job *JobRecord, done, taken func()) {
	key := scheduleKeys + s.name
	// Times are fixed here: what is applied to memory is what was written.
	rec := s.rec.Clone()
	apply(rec)
	rec.Seq++
	ch.size = rec.Size()
	ch.conditions = []Condition{{key, s.rev}}
	ch.writes = []Write{{Key: key, Value: rec}}
	if job != nil {
		id := job.Spec.ID
		ch.size += recordSize(&job.Spec)
		ch.conditions = append(ch.conditions, noRecordOf(id)...)
		ch.writes = append(ch.writes, Write{Key: jobKeys + id, Value: job})
	}
	ch.onCommit = func(rev uint64) {
		// News of jobs that came meanwhile are in memory only, and go next. The
		// record that was written stays as it is.
		rec := rec.Clone()
		rec.Follow(s.rec)
		s.rec, s.rev = rec, rev
		c.written(s, done)
	}
	ch.onConflict = func() {
		// A condition did not hold. Ours to write: either an earlier try of this
		// very change has been applied, or a job has the id.
		c.readSchedule(s, func(found *schedule.Record, rev uint64) {
			switch {
			case found == nil:
				s.reply(c, noSchedule(s.name))
				c.forgetSchedule(s)
			case found.Seq == rec.Seq:
				ch.onCommit(rev)
			case rev != s.rev:
				s.rev = rev
				ch.conditions[0].Rev = rev
				c.leadership.writes.add(ch)
			case taken != nil:
				c.written(s, taken)
			default:
				c.leadership.writes.add(ch)
			}
		})
	}
	ch.onReject = func() {
		s.def, s.problem = nil, "the state service rejects its record"
		s.reply(c, unavailable(s.problem))
		c.written(s, func() {})
	}
}

// readSchedule reads a record back; found is nil if there is none.
func (c *Core) readSchedule(s *scheduled, f func(found *schedule.Record, rev uint64)) {
	c.readBack(scheduleKeys+s.name, func(e Entry, found bool) {
		rec, _ := e.Value.(*schedule.Record)
		if found && rec == nil {
			c.note(slog.LevelError, "record is unreadable", "key", e.Key)
			c.afterWhileLeading(c.jitter(time.Second), func() { c.readSchedule(s, f) })
			return
		}
		f(rec, e.Rev)
	})
}

// written follows a write: what waited for it goes on.
func (c *Core) written(s *scheduled, then func()) {
	s.busy = false
	then()
	for !s.busy && len(s.waiting) > 0 {
		call := s.waiting[0]
		s.waiting = slices.Delete(s.waiting, 0, 1)
		c.serveSchedule(call)
	}
	if s.busy || s.gone {
		return
	}
	c.takeNotes(s)
	if s.dirty {
		c.flushSchedule(s)
	}
	c.plan(s)
}

func (c *Core) forgetSchedule(s *scheduled) {
	sch := &c.leadership.sched
	s.gone = true
	s.gen++
	if sch.byName[s.name] == s {
		delete(sch.byName, s.name)
		if i, found := slices.BinarySearch(sch.names, s.name); found {
			sch.names = slices.Delete(sch.names, i, i+1)
		}
	}
	c.written(s, func() {})
}
