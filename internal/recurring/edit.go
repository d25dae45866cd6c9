package recurring

import (
	"encoding/json"
	"errors"
	"log/slog"

	"yewpass/internal/calendar"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/schedule"
	"yewpass/internal/writebatch"
)

// definition is a submitted schedule definition, compiled and as stored.
type definition struct {
	compiled *schedule.Definition
	file     json.RawMessage
}

// put creates a schedule, or replaces the definition of sched if that is not nil.
func (s *Scheduler) put(sched *scheduleState, call request.Request) {
	params := call.Schedule
	def, refusal := s.validate(params.File)
	switch {
	case refusal != nil:
		s.leader.Answer(call, *refusal)
	case sched != nil:
		s.replace(sched, def, call)
	case params.IfMatch != "" && params.IfMatch != request.IfAbsent:
		s.leader.Answer(call, request.Response{Status: 412, Field: "name", Reason: "no schedule with this name exists"})
	default:
		s.createSchedule(def, call)
	}
}

// validate compiles a definition. refusal is the error response, or nil if it is accepted.
func (s *Scheduler) validate(file *schedule.File) (def definition, refusal *request.Response) {
	if file == nil { // sent by a controller of another version
		return definition{}, &request.Response{Status: 400, Field: "name", Reason: "the request contains no schedule definition"}
	}
	compiled, err := file.Compile(s.settings.Calendars)
	if err == nil && !compiled.Timing.OccursAfter(calendar.WallClock(s.engine.WallClock(), compiled.Timing.Zone())) {
		err = &calendar.FieldError{Field: "rule", Reason: "has no future occurrence"}
	}
	if fe := (*calendar.FieldError)(nil); errors.As(err, &fe) {
		return definition{}, &request.Response{Status: 400, Field: fe.Field, Reason: fe.Error()}
	}
	data, err := json.Marshal(file)
	if err != nil || !s.leader.FitsValue(initialRecord(data).Size()) {
		return definition{}, &request.Response{Status: 400, Field: "at", Reason: "at, rule or job: the definition is too long"}
	}
	if refusal := s.validateJob(compiled); refusal != nil {
		return definition{}, refusal
	}
	return definition{compiled: compiled, file: data}, nil
}

// validateJob checks that the cluster can run the jobs of a schedule.
func (s *Scheduler) validateJob(compiled *schedule.Definition) (refusal *request.Response) {
	if !s.leader.CatalogLoaded() {
		response := request.Unavailable("the machine types are not known yet")
		return &response
	}
	jobSpec := compiled.Template()
	if field, reason := s.leader.Unschedulable(&jobSpec); reason != "" {
		return &request.Response{Status: 422, Field: "job." + field, Reason: "job." + field + ": " + reason}
	}
	if !s.leader.FitsValue(record.JobSize(&jobSpec)) {
		return &request.Response{Status: 400, Field: "job.flavors", Reason: "job.flavors: the description is too long"}
	}
	return nil
}

func (s *Scheduler) replace(sched *scheduleState, def definition, call request.Request) {
	cursor, missed := def.compiled.CursorAfterEdit(sched.definition, sched.record.Cursor, s.engine.WallClock())
	sched.requester = &call
	s.write(sched, recordChange{
		priority: writebatch.Urgent,
		apply: func(r *schedule.Record) {
			r.File = def.file
			r.Edition++
			r.AddMissed(cursor, missed)
		},
		onCommit: func() {
			s.reportMissed(sched, missed)
			sched.definition, sched.disabledReason, sched.awaitingPrevious = def.compiled, "", false
			s.engine.Log(slog.LevelInfo, "schedule edited", "schedule", sched.name, "edition", sched.record.Edition)
			s.reply(sched, scheduleResponse(sched, 200))
		},
	})
}

// initialRecord returns the first record of a schedule, without its number and cursor.
func initialRecord(file json.RawMessage) *schedule.Record {
	return &schedule.Record{File: file, Edition: 1}
}

// createSchedule allocates a number for a new schedule and writes its first record.
func (s *Scheduler) createSchedule(def definition, call request.Request) {
	sched := &scheduleState{name: call.Schedule.Name, writeInFlight: true, requester: &call}
	s.byName[sched.name] = sched
	s.numbers.allocate(func(number uint64, ok bool) {
		if !ok {
			delete(s.byName, sched.name)
			s.reply(sched, request.Unavailable("no schedule number could be reserved in the state service"))
			return
		}
		rec := initialRecord(def.file)
		rec.Number, rec.Cursor = number, def.compiled.CursorAt(s.engine.WallClock())
		s.writeInitialRecord(sched, rec)
	})
}

func (s *Scheduler) writeInitialRecord(sched *scheduleState, rec *schedule.Record) {
	change := &writebatch.Change{
		Size:       rec.Size(),
		Conditions: s.creationConditions(sched),
		Writes:     []kv.Write{{Key: sched.key(), Value: rec}},
	}
	change.OnCommit = func(revision uint64) {
		s.engine.Log(slog.LevelInfo, "schedule created", "schedule", sched.name, "number", rec.Number)
		s.finishCreation(sched, rec, revision)
	}
	change.OnConflict = func() { // an earlier attempt with an unknown outcome may have been applied
		s.readRecord(sched, func(found *schedule.Record, revision uint64) {
			if found != nil {
				s.finishCreation(sched, found, revision)
				return
			}
			// Another schedule has been removed in the meantime.
			s.leader.ReadBack(record.ScheduleNumberKey, func(numbers kv.Entry, _ bool) {
				s.numbers.revision = numbers.Rev
				change.Conditions = s.creationConditions(sched)
				s.leader.Write(change)
			})
		})
	}
	change.OnReject = func() {
		delete(s.byName, sched.name)
		s.reply(sched, request.Response{Status: 400, Field: "name", Reason: "the state service rejected the record"})
	}
	s.leader.Write(change)
}

// finishCreation adds a schedule whose first record has been committed and answers the
// requester.
func (s *Scheduler) finishCreation(sched *scheduleState, rec *schedule.Record, revision uint64) {
	sched.record, sched.revision = rec, revision
	s.addToMemory(sched)
	s.finishWrite(sched, func() { s.reply(sched, scheduleResponse(sched, 201)) })
}

// creationConditions returns the conditions on the write of a schedule's first record. Every
// removal also writes the record of schedule numbers and so changes its revision. Therefore
// a creation that is applied late, after the schedule was removed again, fails.
func (s *Scheduler) creationConditions(sched *scheduleState) []kv.Condition {
	return []kv.Condition{{Key: sched.key(), Rev: 0}, {Key: record.ScheduleNumberKey, Rev: s.numbers.revision}}
}

// remove deletes a schedule's record and, once that is committed, the schedule itself.
func (s *Scheduler) remove(sched *scheduleState, call request.Request) {
	sched.writeInFlight, sched.requester = true, &call
	sched.generation++
	change := &writebatch.Change{}
	change.OnCommit = func(uint64) { s.finishRemoval(sched) }
	change.OnConflict = func() {
		s.readRecord(sched, func(found *schedule.Record, revision uint64) {
			if found == nil {
				s.finishRemoval(sched)
				return
			}
			s.writeRemoval(sched, change, revision)
		})
	}
	s.writeRemoval(sched, change, sched.revision)
}

// writeRemoval queues the deletion of a schedule's record at the given revision. The transaction
// also writes the schedule's tombstone and rewrites the record of schedule numbers, see
// creationConditions.
func (s *Scheduler) writeRemoval(sched *scheduleState, change *writebatch.Change, revision uint64) {
	s.leader.ReadBack(record.ScheduleNumberKey, func(numbers kv.Entry, found bool) {
		change.Conditions = []kv.Condition{{Key: sched.key(), Rev: revision}, {Key: record.ScheduleNumberKey, Rev: numbers.Rev}}
		change.Writes = []kv.Write{
			{Key: sched.key()},
			{Key: record.RemovedScheduleKey(sched.name), Value: &record.RemovedSchedule{Number: sched.record.Number}},
		}
		if found && numbers.Value != nil {
			change.Writes = append(change.Writes, kv.Write{Key: record.ScheduleNumberKey, Value: numbers.Value})
		}
		s.leader.Write(change)
	})
}

// finishRemoval removes a schedule whose record has been deleted and answers the requester.
func (s *Scheduler) finishRemoval(sched *scheduleState) {
	s.leader.ReplicateDelete(sched.key())
	s.engine.Log(slog.LevelInfo, "schedule removed", "schedule", sched.name)
	s.reply(sched, request.Response{Status: 200, Document: map[string]string{"name": sched.name, "status": "removed"}})
	s.removeFromMemory(sched)
}

// pause pauses or resumes a schedule, depending on the operation of the request. Occurrences
// during a pause are skipped.
func (s *Scheduler) pause(sched *scheduleState, call request.Request) {
	paused := call.Op == request.SchedulePause
	if sched.record.Paused == paused {
		s.leader.Answer(call, scheduleResponse(sched, 200))
		return
	}
	cursor := sched.record.Cursor
	var missed []schedule.MissedOccurrence
	if !paused && sched.definition != nil {
		cursor, missed = sched.definition.CursorAfterPause(cursor, s.engine.WallClock())
	}
	sched.requester = &call
	s.write(sched, recordChange{
		priority: writebatch.Urgent,
		apply: func(r *schedule.Record) {
			r.Paused = paused
			r.Edition++
			r.AddMissed(cursor, missed)
		},
		onCommit: func() {
			s.reportMissed(sched, missed)
			sched.awaitingPrevious = false
			s.reply(sched, scheduleResponse(sched, 200))
		},
	})
}
