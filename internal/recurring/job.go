package recurring

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/schedule"
)

// recurringJob is one schedule.
type recurringJob struct {
	name       string
	record     *schedule.Record // nil while it is being created
	revision   uint64
	definition *schedule.Definition // nil if this leader cannot use it, see problem
	problem    string
	removed    bool

	writing   bool              // a write is in flight: other changes wait for it
	requester *request.Request  // the user who waits for that write, or nil
	waiting   []request.Request // requests to be served after it

	generation       uint64    // of its entry in a queue
	awaitingPrevious bool      // the job of the previous occurrence has to end first
	notBefore        time.Time // admission was refused until then

	pendingEntries []schedule.Entry // history entries that came up while a write was in flight
	historyDirty   bool             // the history has changed since it was written
	flushScheduled bool
}

func (job *recurringJob) key() string { return record.SchedulePrefix + job.name }

// hasDefinition reports whether the schedule has this definition already.
func (job *recurringJob) hasDefinition(file *schedule.File) bool {
	data, err := json.Marshal(file)
	return err == nil && bytes.Equal(data, job.record.File)
}

// nextOccurrence returns the next occurrence as users see it, or nil.
func (job *recurringJob) nextOccurrence() *schedule.Upcoming {
	if job.definition == nil || job.record.Paused {
		return nil
	}
	occurrence, ok := job.definition.Next(job.record.Cursor)
	if !ok {
		return nil
	}
	return job.definition.Upcoming(job.record.Number, occurrence)
}

// compile reads the definition in a schedule's record. One that this leader cannot read,
// perhaps because its operators' file lacks the calendar, creates no jobs: none is better
// than one on a holiday.
func (s *Scheduler) compile(job *recurringJob) {
	job.definition, job.problem = nil, ""
	definition, err := s.parse(job.record.File)
	if err != nil {
		job.problem = err.Error()
		s.engine.Log(slog.LevelError, "schedule disabled", "schedule", job.name, "reason", job.problem)
		return
	}
	job.definition = definition
}

// parse compiles a stored definition. A panic of the library that reads the rule becomes
// an error, so that one schedule cannot stop all of them.
func (s *Scheduler) parse(data []byte) (definition *schedule.Definition, err error) {
	file, err := schedule.ParseJSON(data)
	if err != nil {
		return nil, err
	}
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("cannot be read: %v", p)
		}
	}()
	return file.Compile(s.settings.Calendars)
}
