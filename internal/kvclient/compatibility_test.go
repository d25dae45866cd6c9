package kvclient

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/liveconfig"
	"yewpass/internal/record"
	"yewpass/internal/rpc"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
)

// The files under testdata were written by version 5990396. They are never written anew:
// a version that cannot read them, or writes other bytes, cannot run beside that version
// or on the data that it left.
const (
	goldenRecords  = "testdata/records-5990396.jsonl"
	goldenRequests = "testdata/requests-5990396.jsonl"
	goldenAnswers  = "testdata/answers-5990396.jsonl"
)

// readGolden reads a file of JSON lines.
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

// goldenRecord is a record as the state service has it.
type goldenRecord struct {
	Name  string          `json:"name"`
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// wholeSpec is a job's description in which every field is set.
func wholeSpec() spec.Job {
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

// leastSpec is the shortest description of a job.
func leastSpec() spec.Job {
	return spec.Job{ID: "wk-7", Class: "build", Owner: "tools", Tasks: 1}
}

// wholeSchedule is a schedule in which every field is set, with a history of every state.
func wholeSchedule() *schedule.Record {
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
	r.Add(schedule.Entry{Job: "wk-1", Planned: at(3), Due: at(4), Made: at(5), Started: at(6), Ended: at(7), State: schedule.StateDone, Late: true})
	r.Add(schedule.Entry{Job: "wk-2", Planned: at(8), State: schedule.StateMissed, Reason: "late, by 5;00 & more"})
	r.Add(schedule.Entry{Job: "wk-3", Made: at(9), State: schedule.StateMade})
	r.Add(schedule.Entry{Job: "wk-4", State: schedule.StateCancelled})
	r.Add(schedule.Entry{Job: "wk-5", State: schedule.StateFailed, Reason: "taken"})
	return r
}

// recordValues are the values of the golden records, by name.
func recordValues() map[string]any {
	submitted := time.UnixMilli(1_801_386_061_234)
	array := wholeSpec()
	array.Service = false
	return map[string]any{
		"job: service, every field, cancelled": &record.Job{Spec: wholeSpec(), Submitted: submitted, Cancelled: true},
		"job: array, every field":              &record.Job{Spec: array, Submitted: submitted},
		"job: no optional field":               &record.Job{Spec: leastSpec(), Submitted: submitted},
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
		"leader": &record.Leader{Node: "n1", Term: 41, Life: 18_000_000_000_000_000_001, Era: 9_000_000_000_000_000_002},
		"leader: of a version without life and era": &record.Leader{Node: "n1", Term: 41},
		"note of a job accepted without a leader":   &record.Leader{Node: "n2", Term: 41},
		"term":                             &record.Term{Term: record.MaxTerm, Era: 9_000_000_000_000_000_002},
		"term: of a version without era":   &record.Term{Term: 41},
		"number":                           &record.ScheduleNumber{Number: 99},
		"schedule: every field":            wholeSchedule(),
		"schedule: no optional field":      &schedule.Record{Number: 1, Seq: 1, Edition: 1, File: json.RawMessage(`{"name":"n"}`), Cursor: schedule.Cursor{Nominal: time.UnixMilli(60_000).UTC()}},
		"configuration: head":              &liveconfig.HeadRecord{Revision: 12},
		"configuration: team, every field": &liveconfig.TeamRecord{Team: liveconfig.Team{Name: "vision", CPUs: 10.5, CPUsMax: 20, GPUs: 4, GPUsMax: 8.25, Retired: true}, Revision: 12},
		"configuration: team without optional settings": &liveconfig.TeamRecord{Team: liveconfig.Team{Name: "tools"}, Revision: 3},
	}
}

// TestRecordsOf5990396 guards the records in the state service: those written by version
// 5990396 must stay readable, and the reverse.
func TestRecordsOf5990396(t *testing.T) {
	values := recordValues()
	golden := readGolden[goldenRecord](t, goldenRecords)
	if len(golden) != len(values) {
		t.Errorf("%d golden records, %d values", len(golden), len(values))
	}
	for _, g := range golden {
		t.Run(g.Name, func(t *testing.T) {
			want := values[g.Name]
			got := DecodeRecord(g.Key, g.Value)
			if got == nil || !reflect.DeepEqual(got, want) {
				t.Errorf("read\n%+v, want\n%+v", got, want)
			}
			if data := EncodeRecord(got); string(data) != string(g.Value) {
				t.Errorf("written again\n%s, want\n%s", data, g.Value)
			}
			if data := EncodeRecord(want); string(data) != string(g.Value) {
				t.Errorf("written\n%s, want\n%s", data, g.Value)
			}
		})
	}
}

// TestMachineRecordOfFirstVersion: the first version named one machine in a record, by its
// key. Such a record must stay readable; it is written as a list of one.
func TestMachineRecordOfFirstVersion(t *testing.T) {
	got := DecodeRecord("yewpass/live/machine/host-000231", json.RawMessage(`{"type":"machine","flavor":"g8","zone":"hall-a","reclaimable":true}`))
	want := &record.Machines{Machines: []record.Machine{{Host: "host-000231", InstanceType: "g8", Zone: "hall-a", Spot: true}}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
}

// goldenRequest is a request to the state service.
type goldenRequest struct {
	Name   string          `json:"name"`
	Method string          `json:"method"`
	Path   string          `json:"path"`
	Body   json.RawMessage `json:"body,omitempty"`
}

// requestCalls are the calls of the golden requests, by name.
func requestCalls() map[string]kv.Request {
	return map[string]kv.Request{
		"get":               {Op: kv.Get, Key: "yewpass/term"},
		"list":              {Op: kv.List, Key: "yewpass/live/", Limit: 400},
		"list: a next page": {Op: kv.List, Key: "yewpass/live/", From: "yewpass/live/job/wk-7", Limit: 400},
		"follow":            {Op: kv.Watch, Key: "yewpass/alone/", FromRev: 77, Block: 2500 * time.Millisecond},
		"grant":             {Op: kv.GrantLease, TTL: 3 * time.Second},
		"extend":            {Op: kv.KeepAlive, LeaseID: 5, TTL: 3 * time.Second},
		"drop grant":        {Op: kv.RevokeLease, LeaseID: 5},
		"transaction: no condition": {Op: kv.Txn, Writes: []kv.Write{
			{Key: "yewpass/final/wk-7", Value: &record.Final{State: spec.Done, Done: 1}},
		}},
		"transaction": {Op: kv.Txn,
			Conditions: []kv.Condition{{Key: "yewpass/leader", Rev: 40}, {Key: "yewpass/live/job/wk-7"}},
			Writes: []kv.Write{
				{Key: "yewpass/leader", Value: &record.Leader{Node: "n1", Term: 41, Life: 6, Era: 8}, LeaseID: 5},
				{Key: "yewpass/live/job/wk-7", Value: &record.Job{Spec: leastSpec(), Submitted: time.UnixMilli(1_801_386_061_234)}},
				{Key: "yewpass/live/job/wk-8"},
			}},
	}
}

// TestRequestsOf5990396 guards the requests to the state service, which speaks to version
// 5990396 and to this one alike.
func TestRequestsOf5990396(t *testing.T) {
	calls := requestCalls()
	golden := readGolden[goldenRequest](t, goldenRequests)
	if len(golden) != len(calls) {
		t.Errorf("%d golden requests, %d calls", len(golden), len(calls))
	}
	for _, g := range golden {
		t.Run(g.Name, func(t *testing.T) {
			method, path, body := Request(calls[g.Name])
			if method != g.Method || path != g.Path {
				t.Errorf("%s %s, want %s %s", method, path, g.Method, g.Path)
			}
			if string(body) != string(g.Body) {
				t.Errorf("body\n%s, want\n%s", body, g.Body)
			}
		})
	}
}

// goldenAnswer is an answer of the state service.
type goldenAnswer struct {
	Name   string          `json:"name"`
	Status int             `json:"status"`
	Answer json.RawMessage `json:"answer"`
}

// answeredCall is what was asked, and what the golden answer to it says.
type answeredCall struct {
	call  kv.Request
	reply kv.Response
}

// answeredCalls are the calls of the golden answers, by name.
func answeredCalls() map[string]answeredCall {
	final := &record.Final{State: spec.Done, Done: 1}
	return map[string]answeredCall{
		"get": {
			kv.Request{Op: kv.Get, Key: "yewpass/final/wk-7"},
			kv.Response{Rev: 90, Entries: []kv.Entry{{Key: "yewpass/final/wk-7", Value: final, Rev: 88, LeaseID: 5}}},
		},
		"get: nothing there": {
			kv.Request{Op: kv.Get, Key: "yewpass/final/wk-7"},
			kv.Response{Outcome: rpc.NotFound, Rev: 90},
		},
		"list": {
			kv.Request{Op: kv.List, Key: "yewpass/final/"},
			kv.Response{Rev: 90, More: true, Entries: []kv.Entry{{Key: "yewpass/final/wk-7", Value: final, Rev: 88}}},
		},
		"follow":      {kv.Request{Op: kv.Watch}, kv.Response{Rev: 91}},
		"grant":       {kv.Request{Op: kv.GrantLease}, kv.Response{LeaseID: 5}},
		"extend":      {kv.Request{Op: kv.KeepAlive, LeaseID: 5}, kv.Response{LeaseID: 5}},
		"drop grant":  {kv.Request{Op: kv.RevokeLease, LeaseID: 5}, kv.Response{}},
		"transaction": {kv.Request{Op: kv.Txn}, kv.Response{Rev: 92}},
		"transaction: a condition failed": {
			kv.Request{Op: kv.Txn},
			kv.Response{Outcome: rpc.Conflict, FailedKeys: []string{"yewpass/leader"}},
		},
	}
}

// TestAnswersReadBy5990396 guards the reading of the state service's answers, which are
// the same to version 5990396 and to this one.
func TestAnswersReadBy5990396(t *testing.T) {
	calls := answeredCalls()
	golden := readGolden[goldenAnswer](t, goldenAnswers)
	if len(golden) != len(calls) {
		t.Errorf("%d golden answers, %d calls", len(golden), len(calls))
	}
	for _, g := range golden {
		t.Run(g.Name, func(t *testing.T) {
			want := calls[g.Name]
			if got := Decode(want.call, g.Status, g.Answer); !reflect.DeepEqual(got, want.reply) {
				t.Errorf("read %+v, want %+v", got, want.reply)
			}
		})
	}
}
