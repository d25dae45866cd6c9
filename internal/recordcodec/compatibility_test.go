package recordcodec

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"

	"yewpass/internal/liveconfig"
	"yewpass/internal/record"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
)

// The files under testdata were written by version 5990396 and must not be regenerated. A
// version that cannot decode them or encodes different bytes is incompatible with it.
const (
	goldenRecords = "testdata/records-5990396.jsonl"
)

// readGolden decodes a file of JSON lines.
func readGolden[T any](t *testing.T, path string) []T {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var all []T
	for line := range bytes.Lines(data) {
		var one T
		if err := json.Unmarshal(line, &one); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		all = append(all, one)
	}
	return all
}

// goldenRecord is a record as stored in the key-value store.
type goldenRecord struct {
	Name  string          `json:"name"`
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// fullSpec returns a job specification with every field set.
func fullSpec() spec.Job {
	return spec.Job{
		ID:                 "wk-000412",
		Class:              "train <a&b>",
		Owner:              "vision",
		Service:            true,
		Urgency:            spec.Production,
		Tasks:              16,
		CPUs:               8.25,
		GPUs:               0.5,
		MemGB:              64.125,
		Image:              "img-07",
		ImageGB:            6.2,
		InstanceTypes:      []string{"g8", "g4"},
		Zone:               "hall-a",
		SamePlace:          true,
		Apart:              true,
		AllowSpot:          true,
		Runtime:            240 * time.Second,
		CheckpointInterval: 30 * time.Second,
		CheckpointTime:     4 * time.Second,
		Deadline:           900 * time.Second,
		HasDeadline:        true,
	}
}

// minimalSpec returns a job specification with only the required fields.
func minimalSpec() spec.Job {
	return spec.Job{ID: "wk-7", Class: "build", Owner: "tools", Tasks: 1}
}

// fullSchedule returns a schedule with every field set and an entry of each state.
func fullSchedule() *schedule.Record {
	at := func(minute int) time.Time {
		return time.Date(2027, time.January, 31, 9, minute, 0, 0, time.UTC)
	}
	r := &schedule.Record{
		Number:  7,
		Seq:     31,
		Edition: 4,
		File:    json.RawMessage(`{"name":"nightly","zone":"Europe/Berlin","rule":"FREQ=DAILY","at":["01:00"],"job":{"shards":2}}`),
		Paused:  true,
		Cursor:  schedule.Cursor{Nominal: at(1), Rule: at(2)},
		LastJob: "wk-00000007202701310901",
		Late:    2,
	}
	r.AddOccurrence(schedule.Entry{Job: "wk-1", Planned: at(3), Deadline: at(4), Made: at(5), Started: at(6), Ended: at(7), State: schedule.StateDone, Late: true})
	r.AddOccurrence(schedule.Entry{Job: "wk-2", Planned: at(8), State: schedule.StateMissed, Reason: "late, by 5;00 & more"})
	r.AddOccurrence(schedule.Entry{Job: "wk-3", Made: at(9), State: schedule.StateMade})
	r.AddOccurrence(schedule.Entry{Job: "wk-4", State: schedule.StateCancelled})
	r.AddOccurrence(schedule.Entry{Job: "wk-5", State: schedule.StateFailed, Reason: "taken"})
	return r
}

// recordValues returns the values of the golden records by name.
func recordValues() map[string]any {
	submitted := time.UnixMilli(1_801_386_061_234)
	array := fullSpec()
	array.Service = false
	return map[string]any{
		"job: service, every field, cancelled": &record.Job{Spec: fullSpec(), Submitted: submitted, Cancelled: true},
		"job: array, every field":              &record.Job{Spec: array, Submitted: submitted},
		"job: no optional field":               &record.Job{Spec: minimalSpec(), Submitted: submitted},
		"job: due at once":                     &record.Job{Spec: spec.Job{ID: "wk-8", Urgency: spec.Urgent, Tasks: 100_000, HasDeadline: true}, Submitted: submitted},
		"final: done":                          &record.Final{State: spec.Done, Done: 16},
		"final: cancelled":                     &record.Final{State: spec.Cancelled},
		"progress: ranges":                     &record.Progress{Ranges: "0-5,9"},
		"progress: bitmap":                     &record.Progress{Ranges: "=VVVVVVVVVVU"},
		"progress: nothing":                    &record.Progress{},
		"machines": &record.Machines{Machines: []record.Machine{
			{Host: "host-000231", Address: "10.1.0.232:9000", InstanceType: "g8", Zone: "hall-a", Spot: true},
			{Host: "host-000232", InstanceType: "c4", Zone: "hall-b"},
		}},
		"leader": &record.Leader{Node: "n1", Term: 41, ProcessID: 18_000_000_000_000_000_001, Era: 9_000_000_000_000_000_002},
		"leader: of a version without life and era": &record.Leader{Node: "n1", Term: 41},
		"note of a job accepted without a leader":   &record.Leader{Node: "n2", Term: 41},
		"term":                             &record.Term{Term: record.MaxTerm, Era: 9_000_000_000_000_000_002},
		"term: of a version without era":   &record.Term{Term: 41},
		"number":                           &record.ScheduleNumber{Number: 99},
		"schedule: every field":            fullSchedule(),
		"schedule: no optional field":      &schedule.Record{Number: 1, Seq: 1, Edition: 1, File: json.RawMessage(`{"name":"n"}`), Cursor: schedule.Cursor{Nominal: time.UnixMilli(60_000).UTC()}},
		"configuration: head":              &liveconfig.HeadRecord{Revision: 12},
		"configuration: team, every field": &liveconfig.TeamRecord{Team: liveconfig.Team{Name: "vision", CPUs: 10.5, CPUsMax: 20, GPUs: 4, GPUsMax: 8.25, Retired: true}, Revision: 12},
		"configuration: team without optional settings": &liveconfig.TeamRecord{Team: liveconfig.Team{Name: "tools"}, Revision: 3},
	}
}

// TestRecordsOf5990396 checks that records of version 5990396 can be decoded and are encoded
// to the same bytes.
func TestRecordsOf5990396(t *testing.T) {
	values := recordValues()
	golden := readGolden[goldenRecord](t, goldenRecords)
	if len(golden) != len(values) {
		t.Errorf("%d golden records, %d values", len(golden), len(values))
	}
	for _, g := range golden {
		t.Run(g.Name, func(t *testing.T) {
			want := values[g.Name]
			got := Decode(g.Key, g.Value)
			if got == nil || !reflect.DeepEqual(got, want) {
				t.Errorf("decoded\n%+v, want\n%+v", got, want)
			}
			if data := Encode(got); string(data) != string(g.Value) {
				t.Errorf("decoded record encodes to\n%s, want\n%s", data, g.Value)
			}
			if data := Encode(want); string(data) != string(g.Value) {
				t.Errorf("encoded\n%s, want\n%s", data, g.Value)
			}
		})
	}
}

// TestMachineRecordOfFirstVersion checks that a record of the first version, which has the
// host name in the key, decodes to a list of one machine.
func TestMachineRecordOfFirstVersion(t *testing.T) {
	got := Decode("yewpass/live/machine/host-000231", json.RawMessage(`{"type":"machine","flavor":"g8","zone":"hall-a","reclaimable":true}`))
	want := &record.Machines{Machines: []record.Machine{{Host: "host-000231", InstanceType: "g8", Zone: "hall-a", Spot: true}}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, want %+v", got, want)
	}
}
