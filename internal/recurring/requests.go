package recurring

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
func (rj *recurringJob) reply(s *Scheduler, a request.Response) {
	if rj.requester != nil {
		s.leader.Answer(*rj.requester, a)
		rj.requester = nil
	}
}

// AnswerWaiting answers everybody who waits for a write of a schedule.
func (s *Scheduler) AnswerWaiting(a request.Response) {
	for _, rj := range s.byName {
		rj.reply(s, a)
		for _, call := range rj.waiting {
			s.leader.Answer(call, a)
		}
		rj.waiting = nil
	}
}

func noSchedule(name string) request.Response {
	return request.Response{Status: 404, Field: "name", Reason: "no schedule " + name}
}

// Serve serves a user's request about schedules.
func (s *Scheduler) Serve(call request.Request) {
	q := call.Schedule
	if !s.loaded {
		s.leader.Answer(call, request.Unavailable("the schedules are being read"))
		return
	}
	if call.Op == request.ScheduleList {
		s.leader.Answer(call, request.Response{Status: 200, Doc: s.listSchedules(q)})
		return
	}
	if s.unreadable[q.Name] {
		s.leader.Answer(call, request.Unavailable("the schedule's record cannot be read"))
		return
	}
	rj := s.byName[q.Name]
	if rj == nil {
		if call.Op == request.SchedulePut {
			s.putSchedule(nil, call)
		} else {
			s.leader.Answer(call, noSchedule(q.Name))
		}
		return
	}
	reads := call.Op == request.ScheduleGet || call.Op == request.ScheduleUpcoming || call.Op == request.ScheduleHistory
	if call.Op == request.SchedulePut && !rj.writing && rj.definition != nil && q.File != nil && rj.hasDefinition(q.File) {
		// Asked again, perhaps because the answer was lost: it is as it was asked for.
		s.leader.Answer(call, s.scheduleView(rj, 200))
		return
	}
	if rj.writing && (!reads || rj.record == nil) {
		if len(rj.waiting) >= maxWaiting || rj.record == nil {
			s.leader.Answer(call, request.Unavailable("the schedule is being changed"))
			return
		}
		rj.waiting = append(rj.waiting, call)
		return
	}
	if !reads && q.IfMatch != "" && q.IfMatch != rj.record.ETag() {
		reason := "the schedule has changed since it was read; its ETag is " + rj.record.ETag()
		if q.IfMatch == request.NewOnly {
			reason = "there is a schedule of this name"
		}
		s.leader.Answer(call, request.Response{Status: 412, Field: "name", Reason: reason})
		return
	}
	switch call.Op {
	case request.SchedulePut:
		s.putSchedule(rj, call)
	case request.ScheduleGet:
		s.leader.Answer(call, s.scheduleView(rj, 200))
	case request.ScheduleUpcoming:
		doc := schedule.Coming{Upcoming: []schedule.Upcoming{}}
		for cursor := rj.record.Cursor; rj.definition != nil && !rj.record.Paused && len(doc.Upcoming) < q.Count; {
			o, ok := rj.definition.Next(cursor)
			if !ok {
				break
			}
			doc.Upcoming = append(doc.Upcoming, *rj.definition.Tell(rj.record.Number, o))
			cursor = cursor.Past(o)
		}
		s.leader.Answer(call, request.Response{Status: 200, Doc: doc})
	case request.ScheduleHistory:
		zone := time.UTC
		if rj.definition != nil {
			zone = rj.definition.Timing.Zone()
		}
		s.leader.Answer(call, request.Response{Status: 200, Doc: rj.record.Told(zone)})
	case request.ScheduleDelete:
		s.deleteSchedule(rj, call)
	case request.SchedulePause, request.ScheduleResume:
		s.pauseSchedule(rj, call)
	case request.ScheduleRun:
		if rj.definition == nil {
			s.leader.Answer(call, request.Response{Status: 422, Reason: rj.problem})
			return
		}
		job := rj.definition.Template()
		job.ID = schedule.RequestID(rj.record.Number, q.Request)
		if by := rj.definition.Timing.DueAfter(s.engine.TimeOfDay()); !by.IsZero() {
			job.Deadline, job.HasDeadline = by.Sub(s.engine.TimeOfDay()), true
		}
		if len(s.manualRuns) >= maxManualRuns { // refused ones, of which nobody has asked again
			clear(s.manualRuns)
		}
		s.manualRuns[job.ID] = rj
		s.leader.Serve(request.Request{Ref: call.Ref, From: call.From, Op: request.Submit, ID: job.ID, Spec: &job})
	}
}

// hasDefinition reports whether the schedule has this definition already.
func (rj *recurringJob) hasDefinition(f *schedule.File) bool {
	data, err := json.Marshal(f)
	return err == nil && bytes.Equal(data, rj.record.File)
}

func (s *Scheduler) scheduleView(rj *recurringJob, status int) request.Response {
	v := schedule.View{Schedule: rj.record.File, Number: rj.record.Number, ETag: rj.record.ETag(), Paused: rj.record.Paused, Problem: rj.problem,
		Next: rj.nextOccurrence(), Made: rj.record.Made, Missed: rj.record.Missed, Late: rj.record.Late}
	return request.Response{Status: status, Doc: v, ETag: v.ETag}
}

// nextOccurrence returns the next occurrence as users see it, or nil.
func (rj *recurringJob) nextOccurrence() *schedule.Upcoming {
	if rj.definition == nil || rj.record.Paused {
		return nil
	}
	o, ok := rj.definition.Next(rj.record.Cursor)
	if !ok {
		return nil
	}
	return rj.definition.Tell(rj.record.Number, o)
}

func (s *Scheduler) listSchedules(q *request.ScheduleParams) schedule.Page {
	page := schedule.Page{Schedules: []schedule.Brief{}}
	i, found := slices.BinarySearch(s.names, q.After)
	if found {
		i++
	}
	for size := 0; i < len(s.names); i++ {
		rj := s.byName[s.names[i]]
		var f schedule.File
		if rj.record == nil || json.Unmarshal(rj.record.File, &f) != nil {
			continue
		}
		size += 400 + 6*len(f.Rule) + len(f.Calendar) + len(f.Zone) + len(rj.problem)
		if len(page.Schedules) == q.Count || size > pageBytes && len(page.Schedules) > 0 {
			page.Truncated = true
			break
		}
		page.Schedules = append(page.Schedules, schedule.Brief{Name: rj.name, Zone: f.Zone, Rule: f.Rule, Calendar: f.Calendar, Paused: rj.record.Paused,
			Problem: rj.problem, Next: rj.nextOccurrence(), Made: rj.record.Made, Missed: rj.record.Missed, Late: rj.record.Late})
	}
	return page
}

// putSchedule creates a schedule or replaces the definition of one.
func (s *Scheduler) putSchedule(rj *recurringJob, call request.Request) {
	q := call.Schedule
	if q.File == nil { // from a peer of another version
		s.leader.Answer(call, request.Response{Status: 400, Field: "name", Reason: "no schedule in the request"})
		return
	}
	def, err := q.File.Compile(s.calendars)
	if err == nil && !def.Timing.Occurs(calendar.Wall(s.engine.TimeOfDay(), def.Timing.Zone())) {
		err = &calendar.FieldError{Field: "rule", Reason: "never occurs from now on"}
	}
	if fe := (*calendar.FieldError)(nil); errors.As(err, &fe) {
		s.leader.Answer(call, request.Response{Status: 400, Field: fe.Field, Reason: fe.Error()})
		return
	}
	file, err := json.Marshal(q.File)
	rec := &schedule.Record{File: file, Edition: 1}
	if err != nil || !s.leader.FitsValue(rec.Size()) {
		s.leader.Answer(call, request.Response{Status: 400, Field: "at", Reason: "at, rule or job: the description is too long"})
		return
	}
	if !s.leader.CatalogRead() {
		s.leader.Answer(call, request.Unavailable("the machine types are not known yet"))
		return
	}
	job := def.Template()
	if field, reason := s.leader.Unschedulable(&job); reason != "" {
		s.leader.Answer(call, request.Response{Status: 422, Field: "job." + field, Reason: "job." + field + ": " + reason})
		return
	}
	if !s.leader.FitsValue(record.JobSize(&job)) {
		s.leader.Answer(call, request.Response{Status: 400, Field: "job.flavors", Reason: "job.flavors: the description is too long"})
		return
	}
	if rj != nil {
		cursor, missed := def.Edited(rj.definition, rj.record.Cursor, s.engine.TimeOfDay())
		rj.requester = &call
		s.writeSchedule(rj, writebatch.Urgent, func(r *schedule.Record) {
			r.File = file
			r.Edition++
			r.Pass(cursor, missed)
		}, nil, func() {
			s.reportMissed(rj, missed)
			rj.definition, rj.problem, rj.awaitingPrevious = def, "", false
			s.engine.Log(slog.LevelInfo, "schedule edited", "schedule", rj.name, "edition", rj.record.Edition)
			rj.reply(s, s.scheduleView(rj, 200))
		}, nil)
		return
	}
	if q.IfMatch != "" && q.IfMatch != request.NewOnly {
		s.leader.Answer(call, request.Response{Status: 412, Field: "name", Reason: "there is no schedule of this name"})
		return
	}
	rj = &recurringJob{name: q.Name, writing: true, requester: &call}
	s.byName[rj.name] = rj
	s.nextNumber(func(n uint64, ok bool) {
		if !ok {
			delete(s.byName, rj.name)
			rj.reply(s, request.Unavailable("the state service does not answer"))
			return
		}
		rec.Number, rec.Cursor = n, def.From(s.engine.TimeOfDay())
		s.createSchedule(rj, rec)
	})
}

// createSchedule writes the first record of a schedule.
func (s *Scheduler) createSchedule(rj *recurringJob, rec *schedule.Record) {
	key := record.SchedulePrefix + rj.name
	made := func(rec *schedule.Record, rev uint64) {
		rj.record, rj.revision = rec, rev
		s.addSchedule(rj)
		s.writeFinished(rj, func() { rj.reply(s, s.scheduleView(rj, 201)) })
	}
	ch := &writebatch.Change{Size: rec.Size(), Conditions: s.newSchedule(key), Writes: []kv.Write{{Key: key, Value: rec}}}
	ch.OnCommit = func(rev uint64) {
		s.engine.Log(slog.LevelInfo, "schedule created", "schedule", rj.name, "number", rec.Number)
		made(rec, rev)
	}
	ch.OnConflict = func() { // a try of ours whose outcome was not known
		s.readSchedule(rj, func(found *schedule.Record, rev uint64) {
			if found == nil { // another schedule was removed meanwhile
				s.leader.ReadBack(record.ScheduleNumberKey, func(e kv.Entry, _ bool) {
					s.numberRev = e.Rev
					ch.Conditions = s.newSchedule(key)
					s.leader.Write(ch)
				})
				return
			}
			made(found, rev)
		})
	}
	ch.OnReject = func() {
		delete(s.byName, rj.name)
		rj.reply(s, request.Response{Status: 400, Field: "name", Reason: "the state service rejects the record"})
	}
	s.leader.Write(ch)
}

// newSchedule is the condition on which the first record of a schedule is written. A try
// that got no answer may be carried out late, after the schedule was removed again: with
// every removal the numbers' record is written as well, so that such a try finds another
// revision of it.
func (s *Scheduler) newSchedule(key string) []kv.Condition {
	return []kv.Condition{{Key: key, Rev: 0}, {Key: record.ScheduleNumberKey, Rev: s.numberRev}}
}

// nextNumber has f called with a number that no schedule ever had. Numbers are taken
// from the state service in blocks; what is left of a block when a leader ends
// is not used.
func (s *Scheduler) nextNumber(f func(n uint64, ok bool)) {
	s.numberWaiters = append(s.numberWaiters, f)
	s.handOutNumbers()
}

func (s *Scheduler) handOutNumbers() {
	for len(s.numberWaiters) > 0 && s.next < s.last {
		f := s.numberWaiters[0]
		s.numberWaiters = slices.Delete(s.numberWaiters, 0, 1)
		s.next++
		f(s.next, true)
	}
	if len(s.numberWaiters) == 0 || s.takingNumbers {
		return
	}
	s.takingNumbers = true
	fail := func() {
		s.takingNumbers = false
		fs := s.numberWaiters
		s.numberWaiters = nil
		for _, f := range fs {
			f(0, false)
		}
	}
	s.scope.CallStore(kv.Request{Op: kv.Get, Key: record.ScheduleNumberKey}, func(r kv.Response) {
		var from, rev uint64
		if r.Outcome == rpc.OK {
			rec, _ := r.Entries[0].Value.(*record.ScheduleNumber)
			if rec == nil || rec.Number+numberBlock > schedule.MaxNumber {
				s.engine.Log(slog.LevelError, "schedule numbers exhausted", "key", record.ScheduleNumberKey)
				fail()
				return
			}
			from, rev = rec.Number, r.Entries[0].Rev
		} else if r.Outcome != rpc.NotFound {
			fail()
			return
		}
		s.leader.Write(&writebatch.Change{
			Conditions: []kv.Condition{{Key: record.ScheduleNumberKey, Rev: rev}}, Writes: []kv.Write{{Key: record.ScheduleNumberKey, Value: &record.ScheduleNumber{Number: from + numberBlock}}},
			OnCommit: func(rev uint64) {
				s.numberRev = rev
				s.next, s.last, s.takingNumbers = from, from+numberBlock, false
				s.handOutNumbers()
			},
			OnConflict: func() { // a try of ours was applied: take the next block
				s.takingNumbers = false
				s.handOutNumbers()
			},
			OnReject: fail,
		})
	})
}

func (s *Scheduler) deleteSchedule(rj *recurringJob, call request.Request) {
	rj.writing, rj.requester = true, &call
	rj.generation++
	key := record.SchedulePrefix + rj.name
	ch := &writebatch.Change{}
	done := func() {
		s.leader.DropReplica(key)
		s.engine.Log(slog.LevelInfo, "schedule removed", "schedule", rj.name)
		rj.reply(s, request.Response{Status: 200, Doc: map[string]string{"name": rj.name, "status": "removed"}})
		s.forgetSchedule(rj)
	}
	remove := func(rev uint64) {
		s.leader.ReadBack(record.ScheduleNumberKey, func(e kv.Entry, found bool) {
			ch.Conditions = []kv.Condition{{Key: key, Rev: rev}, {Key: record.ScheduleNumberKey, Rev: e.Rev}}
			ch.Writes = []kv.Write{{Key: key}}
			if found && e.Value != nil { // see newSchedule
				ch.Writes = append(ch.Writes, kv.Write{Key: record.ScheduleNumberKey, Value: e.Value})
			}
			s.leader.Write(ch)
		})
	}
	ch.OnCommit = func(uint64) { done() }
	ch.OnConflict = func() {
		s.readSchedule(rj, func(found *schedule.Record, rev uint64) {
			if found == nil {
				done()
				return
			}
			remove(rev)
		})
	}
	remove(rj.revision)
}

// pauseSchedule pauses a schedule, or resumes it: what would have run meanwhile
// does not run.
func (s *Scheduler) pauseSchedule(rj *recurringJob, call request.Request) {
	pause := call.Op == request.SchedulePause
	if rj.record.Paused == pause {
		s.leader.Answer(call, s.scheduleView(rj, 200))
		return
	}
	cursor := rj.record.Cursor
	var missed []schedule.Passed
	if !pause && rj.definition != nil {
		cursor, missed = rj.definition.Resumed(cursor, s.engine.TimeOfDay())
	}
	rj.requester = &call
	s.writeSchedule(rj, writebatch.Urgent, func(r *schedule.Record) {
		r.Paused = pause
		r.Edition++
		r.Pass(cursor, missed)
	}, nil, func() {
		s.reportMissed(rj, missed)
		rj.awaitingPrevious = false
		rj.reply(s, s.scheduleView(rj, 200))
	}, nil)
}
