package core

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/schedule"
	"yewpass/internal/writebatch"
)

// reply answers whoever waits for the write on its way.
func (s *recurringJob) reply(c *Core, a request.Response) {
	if s.requester != nil {
		c.answer(*s.requester, a)
		s.requester = nil
	}
}

// answerSchedules answers everybody who waits for a write of a schedule.
func (c *Core) answerSchedules(l *leadership, a request.Response) {
	for _, s := range l.schedules.byName {
		s.reply(c, a)
		for _, call := range s.waiting {
			c.answer(call, a)
		}
		s.waiting = nil
	}
}

func noSchedule(name string) request.Response {
	return request.Response{Status: 404, Field: "name", Reason: "no schedule " + name}
}

// serveSchedule answers as the leader.
func (c *Core) serveSchedule(call request.Request) {
	sch, q := &c.leadership.schedules, call.Schedule
	if !sch.loaded {
		c.answer(call, unavailable("the schedules are being read"))
		return
	}
	if call.Op == request.ScheduleList {
		c.answer(call, request.Response{Status: 200, Doc: c.listSchedules(q)})
		return
	}
	if sch.unreadable[q.Name] {
		c.answer(call, unavailable("the schedule's record cannot be read"))
		return
	}
	s := sch.byName[q.Name]
	if s == nil {
		if call.Op == request.SchedulePut {
			c.putSchedule(nil, call)
		} else {
			c.answer(call, noSchedule(q.Name))
		}
		return
	}
	reads := call.Op == request.ScheduleGet || call.Op == request.ScheduleUpcoming || call.Op == request.ScheduleHistory
	if call.Op == request.SchedulePut && !s.writing && s.definition != nil && q.File != nil && s.hasDefinition(q.File) {
		// Asked again, perhaps because the answer was lost: it is as it was asked for.
		c.answer(call, c.scheduleView(s, 200))
		return
	}
	if s.writing && (!reads || s.record == nil) {
		if len(s.waiting) >= maxWaiting || s.record == nil {
			c.answer(call, unavailable("the schedule is being changed"))
			return
		}
		s.waiting = append(s.waiting, call)
		return
	}
	if !reads && q.IfMatch != "" && q.IfMatch != s.record.ETag() {
		reason := "the schedule has changed since it was read; its ETag is " + s.record.ETag()
		if q.IfMatch == request.NewOnly {
			reason = "there is a schedule of this name"
		}
		c.answer(call, request.Response{Status: 412, Field: "name", Reason: reason})
		return
	}
	switch call.Op {
	case request.SchedulePut:
		c.putSchedule(s, call)
	case request.ScheduleGet:
		c.answer(call, c.scheduleView(s, 200))
	case request.ScheduleUpcoming:
		doc := schedule.Coming{Upcoming: []schedule.Upcoming{}}
		for cursor := s.record.Cursor; s.definition != nil && !s.record.Paused && len(doc.Upcoming) < q.Count; {
			o, ok := s.definition.Next(cursor)
			if !ok {
				break
			}
			doc.Upcoming = append(doc.Upcoming, *s.definition.Tell(s.record.Number, o))
			cursor = cursor.Past(o)
		}
		c.answer(call, request.Response{Status: 200, Doc: doc})
	case request.ScheduleHistory:
		zone := time.UTC
		if s.definition != nil {
			zone = s.definition.Timing.Zone()
		}
		c.answer(call, request.Response{Status: 200, Doc: s.record.Told(zone)})
	case request.ScheduleDelete:
		c.deleteSchedule(s, call)
	case request.SchedulePause, request.ScheduleResume:
		c.pauseSchedule(s, call)
	case request.ScheduleRun:
		if s.definition == nil {
			c.answer(call, request.Response{Status: 422, Reason: s.problem})
			return
		}
		job := s.definition.Template()
		job.ID = schedule.RequestID(s.record.Number, q.Request)
		if by := s.definition.Timing.DueAfter(c.TimeOfDay()); !by.IsZero() {
			job.Deadline, job.HasDeadline = by.Sub(c.TimeOfDay()), true
		}
		if len(c.leadership.schedules.manualRuns) >= maxManualRuns { // refused ones, of which nobody has asked again
			clear(c.leadership.schedules.manualRuns)
		}
		c.leadership.schedules.manualRuns[job.ID] = s
		c.serve(request.Request{Ref: call.Ref, From: call.From, Op: request.Submit, ID: job.ID, Spec: &job})
	}
}

// hasDefinition reports whether the schedule has this definition already.
func (s *recurringJob) hasDefinition(f *schedule.File) bool {
	data, err := json.Marshal(f)
	return err == nil && bytes.Equal(data, s.record.File)
}

func (c *Core) scheduleView(s *recurringJob, status int) request.Response {
	v := schedule.View{Schedule: s.record.File, Number: s.record.Number, ETag: s.record.ETag(), Paused: s.record.Paused, Problem: s.problem,
		Next: s.nextOccurrence(), Made: s.record.Made, Missed: s.record.Missed, Late: s.record.Late}
	return request.Response{Status: status, Doc: v, ETag: v.ETag}
}

// nextOccurrence returns the next occurrence as users see it, or nil.
func (s *recurringJob) nextOccurrence() *schedule.Upcoming {
	if s.definition == nil || s.record.Paused {
		return nil
	}
	o, ok := s.definition.Next(s.record.Cursor)
	if !ok {
		return nil
	}
	return s.definition.Tell(s.record.Number, o)
}

func (c *Core) listSchedules(q *request.ScheduleParams) schedule.Page {
	sch := &c.leadership.schedules
	page := schedule.Page{Schedules: []schedule.Brief{}}
	i, found := slices.BinarySearch(sch.names, q.After)
	if found {
		i++
	}
	for size := 0; i < len(sch.names); i++ {
		s := sch.byName[sch.names[i]]
		var f schedule.File
		if s.record == nil || json.Unmarshal(s.record.File, &f) != nil {
			continue
		}
		size += 400 + 6*len(f.Rule) + len(f.Calendar) + len(f.Zone) + len(s.problem)
		if len(page.Schedules) == q.Count || size > pageBytes && len(page.Schedules) > 0 {
			page.Truncated = true
			break
		}
		page.Schedules = append(page.Schedules, schedule.Brief{Name: s.name, Zone: f.Zone, Rule: f.Rule, Calendar: f.Calendar, Paused: s.record.Paused,
			Problem: s.problem, Next: s.nextOccurrence(), Made: s.record.Made, Missed: s.record.Missed, Late: s.record.Late})
	}
	return page
}

// putSchedule creates a schedule or replaces the definition of one.
func (c *Core) putSchedule(s *recurringJob, call request.Request) {
	l, q := c.leadership, call.Schedule
	if q.File == nil { // from a peer of another version
		c.answer(call, request.Response{Status: 400, Field: "name", Reason: "no schedule in the request"})
		return
	}
	def, err := q.File.Compile(c.cal)
	if err == nil && !def.Timing.Occurs(calendar.Wall(c.TimeOfDay(), def.Timing.Zone())) {
		err = &calendar.FieldError{Field: "rule", Reason: "never occurs from now on"}
	}
	if fe := (*calendar.FieldError)(nil); errors.As(err, &fe) {
		c.answer(call, request.Response{Status: 400, Field: fe.Field, Reason: fe.Error()})
		return
	}
	file, err := json.Marshal(q.File)
	rec := &schedule.Record{File: file, Edition: 1}
	if err != nil || !c.fitsValue(rec.Size()) {
		c.answer(call, request.Response{Status: 400, Field: "at", Reason: "at, rule or job: the description is too long"})
		return
	}
	if !l.autoscaler.Loaded {
		c.answer(call, unavailable("the machine types are not known yet"))
		return
	}
	job := def.Template()
	if field, reason := c.unschedulable(&job); reason != "" {
		c.answer(call, request.Response{Status: 422, Field: "job." + field, Reason: "job." + field + ": " + reason})
		return
	}
	if !c.fitsValue(record.JobSize(&job)) {
		c.answer(call, request.Response{Status: 400, Field: "job.flavors", Reason: "job.flavors: the description is too long"})
		return
	}
	if s != nil {
		cursor, missed := def.Edited(s.definition, s.record.Cursor, c.TimeOfDay())
		s.requester = &call
		c.writeSchedule(s, writebatch.Urgent, func(r *schedule.Record) {
			r.File = file
			r.Edition++
			r.Pass(cursor, missed)
		}, nil, func() {
			c.reportMissed(s, missed)
			s.definition, s.problem, s.awaitingPrevious = def, "", false
			c.Log(slog.LevelInfo, "schedule edited", "schedule", s.name, "edition", s.record.Edition)
			s.reply(c, c.scheduleView(s, 200))
		}, nil)
		return
	}
	if q.IfMatch != "" && q.IfMatch != request.NewOnly {
		c.answer(call, request.Response{Status: 412, Field: "name", Reason: "there is no schedule of this name"})
		return
	}
	s = &recurringJob{name: q.Name, writing: true, requester: &call}
	l.schedules.byName[s.name] = s
	c.nextNumber(func(n uint64, ok bool) {
		if !ok {
			delete(l.schedules.byName, s.name)
			s.reply(c, unavailable("the state service does not answer"))
			return
		}
		rec.Number, rec.Cursor = n, def.From(c.TimeOfDay())
		c.createSchedule(s, rec)
	})
}

// createSchedule writes the first record of a schedule.
func (c *Core) createSchedule(s *recurringJob, rec *schedule.Record) {
	key := record.SchedulePrefix + s.name
	made := func(rec *schedule.Record, rev uint64) {
		s.record, s.revision = rec, rev
		c.addSchedule(s)
		c.writeFinished(s, func() { s.reply(c, c.scheduleView(s, 201)) })
	}
	ch := &writebatch.Change{Size: rec.Size(), Conditions: c.newSchedule(key), Writes: []kv.Write{{Key: key, Value: rec}}}
	ch.OnCommit = func(rev uint64) {
		c.Log(slog.LevelInfo, "schedule created", "schedule", s.name, "number", rec.Number)
		made(rec, rev)
	}
	ch.OnConflict = func() { // a try of ours whose outcome was not known
		c.readSchedule(s, func(found *schedule.Record, rev uint64) {
			if found == nil { // another schedule was removed meanwhile
				c.readBack(record.ScheduleNumberKey, func(e kv.Entry, _ bool) {
					c.leadership.schedules.numberRev = e.Rev
					ch.Conditions = c.newSchedule(key)
					c.leadership.writes.Add(ch)
				})
				return
			}
			made(found, rev)
		})
	}
	ch.OnReject = func() {
		delete(c.leadership.schedules.byName, s.name)
		s.reply(c, request.Response{Status: 400, Field: "name", Reason: "the state service rejects the record"})
	}
	c.leadership.writes.Add(ch)
}

// newSchedule is the condition on which the first record of a schedule is written. A try
// that got no answer may be carried out late, after the schedule was removed again: with
// every removal the numbers' record is written as well, so that such a try finds another
// revision of it.
func (c *Core) newSchedule(key string) []kv.Condition {
	return []kv.Condition{{Key: key, Rev: 0}, {Key: record.ScheduleNumberKey, Rev: c.leadership.schedules.numberRev}}
}

// nextNumber has f called with a number that no schedule ever had. Numbers are taken
// from the state service in blocks; what is left of a block when a leader ends
// is not used.
func (c *Core) nextNumber(f func(n uint64, ok bool)) {
	sch := &c.leadership.schedules
	sch.numberWaiters = append(sch.numberWaiters, f)
	c.handOutNumbers()
}

func (c *Core) handOutNumbers() {
	sch := &c.leadership.schedules
	for len(sch.numberWaiters) > 0 && sch.next < sch.last {
		f := sch.numberWaiters[0]
		sch.numberWaiters = slices.Delete(sch.numberWaiters, 0, 1)
		sch.next++
		f(sch.next, true)
	}
	if len(sch.numberWaiters) == 0 || sch.takingNumbers {
		return
	}
	sch.takingNumbers = true
	fail := func() {
		sch.takingNumbers = false
		fs := sch.numberWaiters
		sch.numberWaiters = nil
		for _, f := range fs {
			f(0, false)
		}
	}
	c.storeWhileLeading(kv.Request{Op: kv.Get, Key: record.ScheduleNumberKey}, func(r kv.Response) {
		var from, rev uint64
		if r.Outcome == rpc.OK {
			rec, _ := r.Entries[0].Value.(*record.ScheduleNumber)
			if rec == nil || rec.Number+numberBlock > schedule.MaxNumber {
				c.Log(slog.LevelError, "schedule numbers exhausted", "key", record.ScheduleNumberKey)
				fail()
				return
			}
			from, rev = rec.Number, r.Entries[0].Rev
		} else if r.Outcome != rpc.NotFound {
			fail()
			return
		}
		c.leadership.writes.Add(&writebatch.Change{
			Conditions: []kv.Condition{{Key: record.ScheduleNumberKey, Rev: rev}}, Writes: []kv.Write{{Key: record.ScheduleNumberKey, Value: &record.ScheduleNumber{Number: from + numberBlock}}},
			OnCommit: func(rev uint64) {
				sch.numberRev = rev
				sch.next, sch.last, sch.takingNumbers = from, from+numberBlock, false
				c.handOutNumbers()
			},
			OnConflict: func() { // a try of ours was applied: take the next block
				sch.takingNumbers = false
				c.handOutNumbers()
			},
			OnReject: fail,
		})
	})
}

func (c *Core) deleteSchedule(s *recurringJob, call request.Request) {
	s.writing, s.requester = true, &call
	s.generation++
	key := record.SchedulePrefix + s.name
	ch := &writebatch.Change{}
	done := func() {
		c.replicateDrop(key)
		c.Log(slog.LevelInfo, "schedule removed", "schedule", s.name)
		s.reply(c, request.Response{Status: 200, Doc: map[string]string{"name": s.name, "status": "removed"}})
		c.forgetSchedule(s)
	}
	remove := func(rev uint64) {
		c.readBack(record.ScheduleNumberKey, func(e kv.Entry, found bool) {
			ch.Conditions = []kv.Condition{{Key: key, Rev: rev}, {Key: record.ScheduleNumberKey, Rev: e.Rev}}
			ch.Writes = []kv.Write{{Key: key}}
			if found && e.Value != nil { // see newSchedule
				ch.Writes = append(ch.Writes, kv.Write{Key: record.ScheduleNumberKey, Value: e.Value})
			}
			c.leadership.writes.Add(ch)
		})
	}
	ch.OnCommit = func(uint64) { done() }
	ch.OnConflict = func() {
		c.readSchedule(s, func(found *schedule.Record, rev uint64) {
			if found == nil {
				done()
				return
			}
			remove(rev)
		})
	}
	remove(s.revision)
}

// pauseSchedule pauses a schedule, or resumes it: what would have run meanwhile
// does not run.
func (c *Core) pauseSchedule(s *recurringJob, call request.Request) {
	pause := call.Op == request.SchedulePause
	if s.record.Paused == pause {
		c.answer(call, c.scheduleView(s, 200))
		return
	}
	cursor := s.record.Cursor
	var missed []schedule.Passed
	if !pause && s.definition != nil {
		cursor, missed = s.definition.Resumed(cursor, c.TimeOfDay())
	}
	s.requester = &call
	c.writeSchedule(s, writebatch.Urgent, func(r *schedule.Record) {
		r.Paused = pause
		r.Edition++
		r.Pass(cursor, missed)
	}, nil, func() {
		c.reportMissed(s, missed)
		s.awaitingPrevious = false
		s.reply(c, c.scheduleView(s, 200))
	}, nil)
}
