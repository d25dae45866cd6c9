package recordcodec

import (
	"encoding/json"
	"time"

	"yewpass/internal/record"
	"yewpass/internal/schedule"
)

// scheduleJSON is an encoded schedule.Record. Times are Unix milliseconds, 0 if unknown.
type scheduleJSON struct {
	Type    string          `json:"type"` // typeSchedule
	Number  uint64          `json:"number"`
	Seq     uint64          `json:"seq"`
	Edition uint64          `json:"edition"`
	File    json.RawMessage `json:"file"`
	Paused  bool            `json:"paused,omitempty"`
	Cursor  int64           `json:"cursorMs"`
	Rule    int64           `json:"ruleMs,omitempty"`
	LastJob string          `json:"lastJob,omitempty"`
	Made    int64           `json:"made,omitempty"`
	Missed  int64           `json:"missed,omitempty"`
	Late    int64           `json:"late,omitempty"`
	Past    string          `json:"past,omitempty"`
}

// scheduleNumberJSON is an encoded record.ScheduleNumber or record.RemovedSchedule.
type scheduleNumberJSON struct {
	Type   string `json:"type"` // typeScheduleNumber or typeRemoved
	Number uint64 `json:"number"`
}

// maxTimeMS bounds the valid times of a schedule, in Unix milliseconds (the year 2500).
const maxTimeMS = 16_725_225_600_000

func toMS(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMS(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms).UTC()
}

func encodeSchedule(r *schedule.Record) scheduleJSON {
	return scheduleJSON{
		Type:    typeSchedule,
		Number:  r.Number,
		Seq:     r.Seq,
		Edition: r.Edition,
		File:    r.File,
		Paused:  r.Paused,
		Cursor:  toMS(r.Cursor.Nominal),
		Rule:    toMS(r.Cursor.Rule),
		LastJob: r.LastJob,
		Made:    r.Made,
		Missed:  r.Missed,
		Late:    r.Late,
		Past:    r.EncodedHistory,
	}
}

func decodeSchedule(_ string, data []byte) any {
	var j scheduleJSON
	if json.Unmarshal(data, &j) != nil {
		return nil
	}
	r := &schedule.Record{
		Number:         j.Number,
		Seq:            j.Seq,
		Edition:        j.Edition,
		File:           j.File,
		Paused:         j.Paused,
		Cursor:         schedule.Cursor{Nominal: fromMS(j.Cursor), Rule: fromMS(j.Rule)},
		LastJob:        j.LastJob,
		Made:           j.Made,
		Missed:         j.Missed,
		Late:           j.Late,
		EncodedHistory: j.Past,
	}
	if !j.valid() {
		return nil
	}
	if _, ok := r.Entries(); !ok {
		return nil
	}
	return r
}

// valid does not check the history, which Record.Entries decodes.
func (j *scheduleJSON) valid() bool {
	validTime := func(ms int64) bool { return ms >= 0 && ms < maxTimeMS }
	return validTime(j.Cursor) && validTime(j.Rule) && j.Number > 0 && j.Number <= schedule.MaxNumber && len(j.File) > 0
}

func decodeScheduleNumber(_ string, data []byte) any {
	var n scheduleNumberJSON
	if json.Unmarshal(data, &n) != nil {
		return nil
	}
	return &record.ScheduleNumber{Number: n.Number}
}

func decodeRemovedSchedule(_ string, data []byte) any {
	var n scheduleNumberJSON
	if json.Unmarshal(data, &n) != nil || n.Number == 0 || n.Number > schedule.MaxNumber {
		return nil
	}
	return &record.RemovedSchedule{Number: n.Number}
}
