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

type scheduleState struct {
	name           string
	record         *schedule.Record     // nil while it is being created
	revision       uint64               // of the record in the key-value store
	definition     *schedule.Definition // nil if it cannot be compiled, see disabledReason
	disabledReason string
	removed        bool

	writeInFlight   bool              // other changes wait until it is finished
	requester       *request.Request  // the request that caused the write, or nil
	waitingRequests []request.Request // served after the write

	generation       uint64    // of its current queue entry
	awaitingPrevious bool      // the next occurrence waits for the job of the previous one
	notBefore        time.Time // earliest next attempt after a refused admission

	pendingEntries []schedule.Entry // history entries that arrived during a write
	historyChanged bool             // since the last write
	flushScheduled bool
}

func (sched *scheduleState) key() string { return record.SchedulePrefix + sched.name }

// hasDefinition reports whether the stored definition is identical to file.
func (sched *scheduleState) hasDefinition(file *schedule.File) bool {
	data, err := json.Marshal(file)
	return err == nil && bytes.Equal(data, sched.record.File)
}

// nextOccurrence returns the next occurrence as shown to users, or nil if there is none.
func (sched *scheduleState) nextOccurrence() *schedule.Upcoming {
	if sched.definition == nil || sched.record.Paused {
		return nil
	}
	occurrence, ok := sched.definition.Next(sched.record.Cursor)
	if !ok {
		return nil
	}
	return sched.definition.Upcoming(sched.record.Number, occurrence)
}

// compile compiles the definition in a schedule's record. If that fails, for example
// because the operators' file lacks its calendar, it disables the schedule, since no job is
// safer than one on a holiday.
func (s *Scheduler) compile(sched *scheduleState) {
	sched.definition, sched.disabledReason = nil, ""
	definition, err := s.parse(sched.record.File)
	if err != nil {
		sched.disabledReason = err.Error()
		s.engine.Log(slog.LevelError, "schedule disabled", "schedule", sched.name, "reason", sched.disabledReason)
		return
	}
	sched.definition = definition
}

// parse compiles a stored definition. It converts a panic of the recurrence rule library to
// an error, so that one schedule does not stop the others.
func (s *Scheduler) parse(data []byte) (definition *schedule.Definition, err error) {
	file, err := schedule.ParseJSON(data)
	if err != nil {
		return nil, err
	}
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("compiling the definition: %v", p)
		}
	}()
	return file.Compile(s.settings.Calendars)
}
