// Package recordcodec has the form in which records are stored in the key-value store and
// copied between controllers: JSON objects that carry their type. The names in the JSON
// tags are those of stored data and must stay; versions read each other's records.
package recordcodec

import (
	"bytes"
	"encoding/json"

	"yewpass/internal/liveconfig"
	"yewpass/internal/record"
	"yewpass/internal/schedule"
)

// The types of stored records, by which a reader knows a record without its key.
const (
	typeJob            = "job"
	typeFinal          = "final"
	typeProgress       = "progress"
	typeMachine        = "machine" // one machine named by its key, as the first version wrote it
	typeMachines       = "machines"
	typeLeader         = "leader"
	typeTerm           = "term"
	typeSchedule       = "schedule"
	typeScheduleNumber = "number"
	typeConfigHead     = "configHead"
	typeConfigTeam     = "configTeam"
)

// decoders read records by their type. Each returns nil for what cannot be a record of
// that type under that key.
var decoders = map[string]func(key string, data []byte) any{
	typeJob:            decodeJob,
	typeFinal:          decodeFinal,
	typeProgress:       decodeProgress,
	typeMachine:        decodeMachine,
	typeMachines:       decodeMachines,
	typeLeader:         decodeLeader,
	typeTerm:           decodeTerm,
	typeSchedule:       decodeSchedule,
	typeScheduleNumber: decodeScheduleNumber,
	typeConfigHead:     decodeConfigHead,
	typeConfigTeam:     decodeConfigTeam,
}

// Encode returns the stored form of a record.
func Encode(value any) json.RawMessage {
	data, _ := json.Marshal(StoredForm(value)) // plain structs of this package: cannot fail
	return data
}

// StoredForm returns the value whose JSON is the stored form of a record, or nil for a value
// that is no record.
func StoredForm(value any) any {
	switch v := value.(type) {
	case *record.Job:
		return encodeJob(v)
	case *record.Final:
		return finalJSON{typeFinal, v.State, v.Done}
	case *record.Progress:
		return progressJSON{typeProgress, v.Ranges}
	case *record.Machines:
		return encodeMachines(v)
	case *record.Leader:
		return leaderJSON{typeLeader, v.Node, v.Term, v.ProcessID, v.Era}
	case *record.Term:
		return leaderJSON{Type: typeTerm, Term: v.Term, Era: v.Era}
	case *record.ScheduleNumber:
		return scheduleNumberJSON{typeScheduleNumber, v.Number}
	case *schedule.Record:
		return encodeSchedule(v)
	case *liveconfig.HeadRecord:
		return configHeadJSON{typeConfigHead, v.Revision}
	case *liveconfig.TeamRecord:
		return encodeConfigTeam(v)
	}
	return nil
}

// Decode returns the record that is stored under a key, or nil if it cannot be read.
func Decode(key string, data json.RawMessage) any {
	decode := decoders[typeOf(data)]
	if decode == nil {
		return nil
	}
	return decode(key, data)
}

// schedulePrefix is how the stored form of a schedule begins as this package writes it.
var schedulePrefix = []byte(`{"type":"schedule",`)

// typeOf returns the type that a stored record carries, or "".
func typeOf(data []byte) string {
	// There may be thousands of schedules, which are large: they are not parsed twice.
	if bytes.HasPrefix(data, schedulePrefix) {
		return typeSchedule
	}
	var tag struct {
		Type string `json:"type"`
	}
	if json.Unmarshal(data, &tag) != nil {
		return ""
	}
	return tag.Type
}
