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

// definition is what a user has sent for a schedule, compiled and in its stored form.
type definition struct {
	compiled *schedule.Definition
	file     json.RawMessage
}

// put creates a schedule, or replaces the definition of job if that is not nil.
func (s *Scheduler) put(job *recurringJob, call request.Request) {
	params := call.Schedule
	def, refusal := s.check(params.File)
	switch {
	case refusal != nil:
		s.leader.Answer(call, *refusal)
	case job != nil:
		s.replace(job, def, call)
	case params.IfMatch != "" && params.IfMatch != request.IfAbsent:
		s.leader.Answer(call, request.Response{Status: 412, Field: "name", Reason: "there is no schedule of this name"})
	default:
		s.createSchedule(def, call)
	}
}

// check compiles a definition; refusal is the response to one that is not accepted, or nil.
func (s *Scheduler) check(file *schedule.File) (def definition, refusal *request.Response) {
	if file == nil { // from a controller of another version
		return definition{}, &request.Response{Status: 400, Field: "name", Reason: "no schedule in the request"}
	}
	compiled, err := file.Compile(s.settings.Calendars)
	if err == nil && !compiled.Timing.OccursAfter(calendar.WallClock(s.engine.WallClock(), compiled.Timing.Zone())) {
		err = &calendar.FieldError{Field: "rule", Reason: "never occurs from now on"}
	}
	if fe := (*calendar.FieldError)(nil); errors.As(err, &fe) {
		return definition{}, &request.Response{Status: 400, Field: fe.Field, Reason: fe.Error()}
	}
	data, err := json.Marshal(file)
	if err != nil || !s.leader.FitsValue(firstRecord(data).Size()) {
		return definition{}, &request.Response{Status: 400, Field: "at", Reason: "at, rule or job: the description is too long"}
	}
	if refusal := s.checkJob(compiled); refusal != nil {
		return definition{}, refusal
	}
	return definition{compiled: compiled, file: data}, nil
}

// checkJob checks whether the jobs of a schedule can run at all.
func (s *Scheduler) checkJob(compiled *schedule.Definition) (refusal *request.Response) {
	if !s.leader.CatalogRead() {
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

// replace writes a new definition of a schedule.
func (s *Scheduler) replace(job *recurringJob, def definition, call request.Request) {
	cursor, missed := def.compiled.CursorAfterEdit(job.definition, job.record.Cursor, s.engine.WallClock())
	job.requester = &call
	s.write(job, recordChange{
		priority: writebatch.Urgent,
		apply: func(r *schedule.Record) {
			r.File = def.file
			r.Edition++
			r.AddMissed(cursor, missed)
		},
		done: func() {
			s.reportMissed(job, missed)
			job.definition, job.problem, job.awaitingPrevious = def.compiled, "", false
			s.engine.Log(slog.LevelInfo, "schedule edited", "schedule", job.name, "edition", job.record.Edition)
			s.reply(job, describe(job, 200))
		},
	})
}

// firstRecord returns the first record of a schedule, without number and cursor.
func firstRecord(file json.RawMessage) *schedule.Record {
	return &schedule.Record{File: file, Edition: 1}
}

// createSchedule gives a new schedule its number and writes its first record.
func (s *Scheduler) createSchedule(def definition, call request.Request) {
	job := &recurringJob{name: call.Schedule.Name, writing: true, requester: &call}
	s.byName[job.name] = job
	s.numbers.allocate(func(number uint64, ok bool) {
		if !ok {
			delete(s.byName, job.name)
			s.reply(job, request.Unavailable("the state service does not answer"))
			return
		}
		rec := firstRecord(def.file)
		rec.Number, rec.Cursor = number, def.compiled.CursorAt(s.engine.WallClock())
		s.writeFirst(job, rec)
	})
}

// writeFirst writes the first record of a schedule.
func (s *Scheduler) writeFirst(job *recurringJob, rec *schedule.Record) {
	change := &writebatch.Change{
		Size:       rec.Size(),
		Conditions: s.isNew(job),
		Writes:     []kv.Write{{Key: job.key(), Value: rec}},
	}
	change.OnCommit = func(revision uint64) {
		s.engine.Log(slog.LevelInfo, "schedule created", "schedule", job.name, "number", rec.Number)
		s.finishCreation(job, rec, revision)
	}
	change.OnConflict = func() { // an earlier try whose outcome was not known may have been applied
		s.readRecord(job, func(found *schedule.Record, revision uint64) {
			if found != nil {
				s.finishCreation(job, found, revision)
				return
			}
			// Another schedule was removed meanwhile.
			s.leader.ReadBack(record.ScheduleNumberKey, func(numbers kv.Entry, _ bool) {
				s.numbers.revision = numbers.Rev
				change.Conditions = s.isNew(job)
				s.leader.Write(change)
			})
		})
	}
	change.OnReject = func() {
		delete(s.byName, job.name)
		s.reply(job, request.Response{Status: 400, Field: "name", Reason: "the state service rejects the record"})
	}
	s.leader.Write(change)
}

// finishCreation takes a schedule whose first record is written into use.
func (s *Scheduler) finishCreation(job *recurringJob, rec *schedule.Record, revision uint64) {
	job.record, job.revision = rec, revision
	s.add(job)
	s.finishWrite(job, func() { s.reply(job, describe(job, 201)) })
}

// isNew returns the conditions on which the first record of a schedule is written. A try
// that was not answered may be carried out late, after the schedule was removed again: with
// every removal the record of the numbers is written as well, so that such a try finds
// another revision of it.
func (s *Scheduler) isNew(job *recurringJob) []kv.Condition {
	return []kv.Condition{{Key: job.key(), Rev: 0}, {Key: record.ScheduleNumberKey, Rev: s.numbers.revision}}
}

// remove removes a schedule.
func (s *Scheduler) remove(job *recurringJob, call request.Request) {
	job.writing, job.requester = true, &call
	job.generation++
	change := &writebatch.Change{}
	change.OnCommit = func(uint64) { s.finishRemoval(job) }
	change.OnConflict = func() {
		s.readRecord(job, func(found *schedule.Record, revision uint64) {
			if found == nil {
				s.finishRemoval(job)
				return
			}
			s.writeRemoval(job, change, revision)
		})
	}
	s.writeRemoval(job, change, job.revision)
}

// writeRemoval queues the change that removes a record of the given revision, and writes
// the record of the numbers with it, see isNew.
func (s *Scheduler) writeRemoval(job *recurringJob, change *writebatch.Change, revision uint64) {
	s.leader.ReadBack(record.ScheduleNumberKey, func(numbers kv.Entry, found bool) {
		change.Conditions = []kv.Condition{{Key: job.key(), Rev: revision}, {Key: record.ScheduleNumberKey, Rev: numbers.Rev}}
		change.Writes = []kv.Write{{Key: job.key()}}
		if found && numbers.Value != nil {
			change.Writes = append(change.Writes, kv.Write{Key: record.ScheduleNumberKey, Value: numbers.Value})
		}
		s.leader.Write(change)
	})
}

// finishRemoval drops a schedule whose record is gone.
func (s *Scheduler) finishRemoval(job *recurringJob) {
	s.leader.DropReplica(job.key())
	s.engine.Log(slog.LevelInfo, "schedule removed", "schedule", job.name)
	s.reply(job, request.Response{Status: 200, Document: map[string]string{"name": job.name, "status": "removed"}})
	s.forget(job)
}

// pause pauses a schedule or resumes it. Occurrences that would have run in between do
// not run.
func (s *Scheduler) pause(job *recurringJob, call request.Request) {
	paused := call.Op == request.SchedulePause
	if job.record.Paused == paused {
		s.leader.Answer(call, describe(job, 200))
		return
	}
	cursor := job.record.Cursor
	var missed []schedule.MissedOccurrence
	if !paused && job.definition != nil {
		cursor, missed = job.definition.CursorAfterPause(cursor, s.engine.WallClock())
	}
	job.requester = &call
	s.write(job, recordChange{
		priority: writebatch.Urgent,
		apply: func(r *schedule.Record) {
			r.Paused = paused
			r.Edition++
			r.AddMissed(cursor, missed)
		},
		done: func() {
			s.reportMissed(job, missed)
			job.awaitingPrevious = false
			s.reply(job, describe(job, 200))
		},
	})
}
