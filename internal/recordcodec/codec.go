// Package recordcodec encodes and decodes records as they are stored in the key-value store
// and replicated between controllers: JSON objects with a type field. The names in JSON tags
// must not change, because different versions read each other's records.
package recordcodec

import (
	"bytes"
	"encoding/json"

	"yewpass/internal/liveconfig"
	"yewpass/internal/record"
	"yewpass/internal/schedule"
)

// Values of the type field of stored records.
const (
	typeJob            = "job"
	typeFinal          = "final"
	typeProgress       = "progress"
	typeMachine        = "machine" // format of the first version, see machinesJSON
	typeMachines       = "machines"
	typeLeader         = "leader"
	typeTerm           = "term"
	typeSchedule       = "schedule"
	typeScheduleNumber = "number"
	typeRemoved        = "removedSchedule"
	typeConfigHead     = "configHead"
	typeConfigTeam     = "configTeam"
)

// decoders maps record types to decoders. A decoder returns nil if the data is not a valid
// record of its type for the given key.
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
	typeRemoved:        decodeRemovedSchedule,
	typeConfigHead:     decodeConfigHead,
	typeConfigTeam:     decodeConfigTeam,
}

// Encode returns the JSON of a record, or null if value is not a record.
func Encode(value any) json.RawMessage {
	data, _ := json.Marshal(StoredForm(value)) // cannot fail
	return data
}

// StoredForm returns a struct that encodes to the JSON of a record, or nil if value is not a
// record.
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
	case *record.RemovedSchedule:
		return scheduleNumberJSON{typeRemoved, v.Number}
	case *schedule.Record:
		return encodeSchedule(v)
	case *liveconfig.HeadRecord:
		return configHeadJSON{typeConfigHead, v.Revision}
	case *liveconfig.TeamRecord:
		return encodeConfigTeam(v)
	}
	return nil
}

// Decode returns the record stored under key, or nil if data is not a valid record.
func Decode(key string, data json.RawMessage) any {
	decode := decoders[typeOf(data)]
	if decode == nil {
		return nil
	}
	return decode(key, data)
}

// schedulePrefix is the beginning of a schedule record that this package has encoded.
var schedulePrefix = []byte(`{"type":"schedule",`)

// typeOf returns the type of a stored record, or "" if it has none.
func typeOf(data []byte) string {
	// Schedules are large and may number in the thousands; avoid parsing them twice.
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
