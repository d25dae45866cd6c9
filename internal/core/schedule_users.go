package core

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/schedule"
)

// reply answers whoever waits for the write on its way.
func (s *scheduled) reply(c *Core, a AnswerUser) {
	if s.asker != nil {
		c.answer(*s.asker, a)
		s.asker = nil
	}
}

// answerSchedules answers everybody who waits for a write of a schedule.
func (c *Core) answerSchedules(l *leadership, a AnswerUser) {
	for _, s := range l.sched.byName {
		s.reply(c, a)
		for _, call := range s.waiting {
			c.answer(call, a)
		}
		s.waiting = nil
	}
}

func noSchedule(name string) AnswerUser {
	return AnswerUser{Status: 404, Field: "name", Reason: "no schedule " + name}
}

// serveSchedule answers as the leader.
func (c *Core) serveSchedule(call UserCall) {
	sch, q := &c.leadership.sched, call.Schedule
	if !sch.loaded {
		c.answer(call, unavailable("the schedules are being read"))
		return
	}
	if call.Op == OpScheduleList {
		c.answer(call, AnswerUser{Status: 200, Doc: c.listSchedules(q)})
		return
	}
	if sch.unread[q.Name] {
		c.answer(call, unavailable("the schedule's record cannot be read"))
		return
	}
	s := sch.byName[q.Name]
	if s == nil {
		if call.Op == OpSchedulePut {
			c.putSchedule(nil, call)
		} else {
			c.answer(call, noSchedule(q.Name))
		}
		return
	}
	reads := call.Op == OpScheduleGet || call.Op == OpScheduleUpcoming || call.Op == OpScheduleHistory
	if call.Op == OpSchedulePut && !s.busy && s.def != nil && q.File != nil && s.says(q.File) {
		// Asked again, perhaps because the answer was lost: it is as it was asked for.
		c.answer(call, c.viewOf(s, 200))
		return
	}
	if s.busy && (!reads || s.rec == nil) {
		if len(s.waiting) >= waitingMost || s.rec == nil {
			c.answer(call, unavailable("the schedule is being changed"))
			return
		}
		s.waiting = append(s.waiting, call)
		return
	}
	if !reads && q.IfMatch != "" && q.IfMatch != s.rec.ETag() {
		reason := "the schedule has changed since it was read; its ETag is " + s.rec.ETag()
		if q.IfMatch == NewOnly {
			reason = "there is a schedule of this name"
		}
		c.answer(call, AnswerUser{Status: 412, Field: "name", Reason: reason})
		return
	}
	switch call.Op {
	case OpSchedulePut:
		c.putSchedule(s, call)
	case OpScheduleGet:
		c.answer(call, c.viewOf(s, 200))
	case OpScheduleUpcoming:
		doc := schedule.Coming{Upcoming: []schedule.Upcoming{}}
		for cursor := s.rec.Cursor; s.def != nil && !s.rec.Paused && len(doc.Upcoming) < q.Count; {
			o, ok := s.def.Next(cursor)
			if !ok {
				break
			}
			doc.Upcoming = append(doc.Upcoming, *s.def.Tell(s.rec.Number, o))
			cursor = cursor.Past(o)
		}
		c.answer(call, AnswerUser{Status: 200, Doc: doc})
	case OpScheduleHistory:
		zone := time.UTC
		if s.def != nil {
			zone = s.def.Timing.Zone()
		}
		c.answer(call, AnswerUser{Status: 200, Doc: s.rec.Told(zone)})
	case OpScheduleDelete:
		c.deleteSchedule(s, call)
	case OpSchedulePause, OpScheduleResume:
		c.pauseSchedule(s, call)
	case OpScheduleRun:
		if s.def == nil {
			c.answer(call, AnswerUser{Status: 422, Reason: s.problem})
			return
		}
		job := s.def.Template()
		job.ID = schedule.RequestID(s.rec.Number, q.Request)
		if by := s.def.Timing.DueAfter(c.timeOfDay()); !by.IsZero() {
			job.Deadline, job.HasDeadline = by.Sub(c.timeOfDay()), true
		}
		if len(c.leadership.sched.runs) >= runsMost { // refused ones, of which nobody has asked again
			clear(c.leadership.sched.runs)
		}
		c.leadership.sched.runs[job.ID] = s
		c.serve(UserCall{Ref: call.Ref, From: call.From, Op: OpSubmit, ID: job.ID, Spec: &job})
	}
}

// says reports whether the schedule has this definition already.
func (s *scheduled) says(f *schedule.File) bool {
	data, err := json.Marshal(f)
	return err == nil && bytes.Equal(data, s.rec.File)
}

// NewOnly as an ETag stands for a schedule that is not there yet.
const NewOnly = "new"

func (c *Core) viewOf(s *scheduled, status int) AnswerUser {
	v := schedule.View{Schedule: s.rec.File, Number: s.rec.Number, ETag: s.rec.ETag(), Paused: s.rec.Paused, Problem: s.problem,
		Next: s.comes(), Made: s.rec.Made, Missed: s.rec.Missed, Late: s.rec.Late}
	return AnswerUser{Status: status, Doc: v, ETag: v.ETag}
}

// comes returns the next occurrence as users see it, or nil.
func (s *scheduled) comes() *schedule.Upcoming {
	if s.def == nil || s.rec.Paused {
		return nil
	}
	o, ok := s.def.Next(s.rec.Cursor)
	if !ok {
		return nil
	}
	return s.def.Tell(s.rec.Number, o)
}

func (c *Core) listSchedules(q *ScheduleCall) schedule.Page {
	sch := &c.leadership.sched
	page := schedule.Page{Schedules: []schedule.Brief{}}
	i, found := slices.BinarySearch(sch.names, q.After)
	if found {
		i++
	}
	for size := 0; i < len(sch.names); i++ {
		s := sch.byName[sch.names[i]]
		var f schedule.File
		if s.rec == nil || json.Unmarshal(s.rec.File, &f) != nil {
			continue
		}
		size += 400 + 6*len(f.Rule) + len(f.Calendar) + len(f.Zone) + len(s.problem)
		if len(page.Schedules) == q.Count || size > pageBytes && len(page.Schedules) > 0 {
			page.Truncated = true
			break
		}
		page.Schedules = append(page.Schedules, schedule.Brief{Name: s.name, Zone: f.Zone, Rule: f.Rule, Calendar: f.Calendar, Paused: s.rec.Paused,
			Problem: s.problem, Next: s.comes(), Made: s.rec.Made, Missed: s.rec.Missed, Late: s.rec.Late})
	}
	return page
}

// putSchedule creates a schedule or replaces the definition of one.
func (c *Core) putSchedule(s *scheduled, call UserCall) {
	l, q := c.leadership, call.Schedule
	if q.File == nil { // from a peer of another version
		c.answer(call, AnswerUser{Status: 400, Field: "name", Reason: "no schedule in the request"})
		return
	}
	def, err := q.File.Compile(c.cal)
	if err == nil && !def.Timing.Occurs(calendar.Wall(c.timeOfDay(), def.Timing.Zone())) {
		err = &calendar.FieldError{Field: "rule", Reason: "never occurs from now on"}
	}
	if fe := (*calendar.FieldError)(nil); errors.As(err, &fe) {
		c.answer(call, AnswerUser{Status: 400, Field: fe.Field, Reason: fe.Error()})
		return
	}
	file, err := json.Marshal(q.File)
	rec := &schedule.Record{File: file, Edition: 1}
	if err != nil || !c.fitsValue(rec.Size()) {
		c.answer(call, AnswerUser{Status: 400, Field: "at", Reason: "at, rule or job: the description is too long"})
		return
	}
	if !l.autoscaler.catalogRead {
		c.answer(call, unavailable("the machine types are not known yet"))
		return
	}
	job := def.Template()
	if field, reason := c.unschedulable(&job); reason != "" {
		c.answer(call, AnswerUser{Status: 422, Field: "job." + field, Reason: "job." + field + ": " + reason})
		return
	}
	if !c.fitsValue(recordSize(&job)) {
		c.answer(call, AnswerUser{Status: 400, Field: "job.flavors", Reason: "job.flavors: the description is too long"})
		return
	}
	if s != nil {
		cursor, missed := def.Edited(s.def, s.rec.Cursor, c.timeOfDay())
		s.asker = &call
		c.writeSchedule(s, priorityUrgent, func(r *schedule.Record) {
			r.File = file
			r.Edition++
			r.Pass(cursor, missed)
		}, nil, func() {
			c.told(s, missed)
			s.def, s.problem, s.held = def, "", false
			c.note(slog.LevelInfo, "schedule edited", "schedule", s.name, "edition", s.rec.Edition)
			s.reply(c, c.viewOf(s, 200))
		}, nil)
		return
	}
	if q.IfMatch != "" && q.IfMatch != NewOnly {
		c.answer(call, AnswerUser{Status: 412, Field: "name", Reason: "there is no schedule of this name"})
		return
	}
	s = &scheduled{name: q.Name, busy: true, asker: &call}
	l.sched.byName[s.name] = s
	c.number(func(n uint64, ok bool) {
		if !ok {
			delete(l.sched.byName, s.name)
			s.reply(c, unavailable("the state service does not answer"))
			return
		}
		rec.Number, rec.Cursor = n, def.From(c.timeOfDay())
		c.createSchedule(s, rec)
	})
}

// createSchedule writes the first record of a schedule.
func (c *Core) createSchedule(s *scheduled, rec *schedule.Record) {
	key := scheduleKeys + s.name
	made := func(rec *schedule.Record, rev uint64) {
		s.rec, s.rev = rec, rev
		c.addSchedule(s)
		c.written(s, func() { s.reply(c, c.viewOf(s, 201)) })
	}
	ch := &change{size: rec.Size(), conditions: c.newSchedule(key), writes: []Write{{Key: key, Value: rec}}}
	ch.onCommit = func(rev uint64) {
		c.note(slog.LevelInfo, "schedule created", "schedule", s.name, "number", rec.Number)
		made(rec, rev)
	}
	ch.onConflict = func() { // a try of ours whose outcome was not known
		c.readSchedule(s, func(found *schedule.Record, rev uint64) {
			if found == nil { // another schedule was removed meanwhile
				c.readBack(numberKey, func(e Entry, _ bool) {
					c.leadership.sched.numberRev = e.Rev
					ch.conditions = c.newSchedule(key)
					c.leadership.writes.add(ch)
				})
				return
			}
			made(found, rev)
		})
	}
	ch.onReject = func() {
		delete(c.leadership.sched.byName, s.name)
		s.reply(c, AnswerUser{Status: 400, Field: "name", Reason: "the state service rejects the record"})
	}
	c.leadership.writes.add(ch)
}

// newSchedule is the condition on which the first record of a schedule is written. A try
// that got no answer may be carried out late, after the schedule was removed again: with
// every removal the numbers' record is written as well, so that such a try finds another
// revision of it.
func (c *Core) newSchedule(key string) []Condition {
	return []Condition{{key, 0}, {numberKey, c.leadership.sched.numberRev}}
}

// number has f called with a number that no schedule ever had. Numbers are taken
// from the state service in blocks; what is left of a block when a leader ends
// is not used.
func (c *Core) number(f func(n uint64, ok bool)) {
	sch := &c.leadership.sched
	sch.numbers = append(sch.numbers, f)
	c.handOutNumbers()
}

func (c *Core) handOutNumbers() {
	sch := &c.leadership.sched
	for len(sch.numbers) > 0 && sch.next < sch.last {
		f := sch.numbers[0]
		sch.numbers = slices.Delete(sch.numbers, 0, 1)
		sch.next++
		f(sch.next, true)
	}
	if len(sch.numbers) == 0 || sch.numbering {
		return
	}
	sch.numbering = true
	fail := func() {
		sch.numbering = false
		fs := sch.numbers
		sch.numbers = nil
		for _, f := range fs {
			f(0, false)
		}
	}
	c.storeWhileLeading(StoreCall{Op: StoreGet, Key: numberKey}, func(r StoreReply) {
		var from, rev uint64
		if r.Outcome == OK {
			rec, _ := r.Entries[0].Value.(*NumberRecord)
			if rec == nil || rec.Number+numberBlock > schedule.MaxNumber {
				c.note(slog.LevelError, "no numbers for schedules are left", "key", numberKey)
				fail()
				return
			}
			from, rev = rec.Number, r.Entries[0].Rev
		} else if r.Outcome != NotFound {
			fail()
			return
		}
		c.leadership.writes.add(&change{
			conditions: []Condition{{numberKey, rev}}, writes: []Write{{Key: numberKey, Value: &NumberRecord{from + numberBlock}}},
			onCommit: func(rev uint64) {
				sch.numberRev = rev
				sch.next, sch.last, sch.numbering = from, from+numberBlock, false
				c.handOutNumbers()
			},
			onConflict: func() { // a try of ours was applied: take the next block
				sch.numbering = false
				c.handOutNumbers()
			},
			onReject: fail,
		})
	})
}

func (c *Core) deleteSchedule(s *scheduled, call UserCall) {
	s.busy, s.asker = true, &call
	s.gen++
	key := scheduleKeys + s.name
	ch := &change{}
	done := func() {
		c.replicateDrop(key)
		c.note(slog.LevelInfo, "schedule removed", "schedule", s.name)
		s.reply(c, AnswerUser{Status: 200, Doc: map[string]string{"name": s.name, "status": "removed"}})
		c.forgetSchedule(s)
	}
	remove := func(rev uint64) {
		c.readBack(numberKey, func(e Entry, found bool) {
			ch.conditions = []Condition{{key, rev}, {numberKey, e.Rev}}
			ch.writes = []Write{{Key: key}}
			if found && e.Value != nil { // see newSchedule
				ch.writes = append(ch.writes, Write{Key: numberKey, Value: e.Value})
			}
			c.leadership.writes.add(ch)
		})
	}
	ch.onCommit = func(uint64) { done() }
	ch.onConflict = func() {
		c.readSchedule(s, func(found *schedule.Record, rev uint64) {
			if found == nil {
				done()
				return
			}
			remove(rev)
		})
	}
	remove(s.rev)
}

// pauseSchedule pauses a schedule, or resumes it: what would have run meanwhile
// does not run.
func (c *Core) pauseSchedule(s *scheduled, call UserCall) {
	pause := call.Op == OpSchedulePause
	if s.rec.Paused == pause {
		c.answer(call, c.viewOf(s, 200))
		return
	}
	cursor := s.rec.Cursor
	var missed []schedule.Passed
	if !pause && s.def != nil {
		cursor, missed = s.def.Resumed(cursor, c.timeOfDay())
	}
	s.asker = &call
	c.writeSchedule(s, priorityUrgent, func(r *schedule.Record) {
		r.Paused = pause
		r.Edition++
		r.Pass(cursor, missed)
	}, nil, func() {
		c.told(s, missed)
		s.held = false
		s.reply(c, c.viewOf(s, 200))
	}, nil)
}
