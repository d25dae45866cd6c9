package state

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"

	"yewpass/internal/core"
	"yewpass/internal/liveconfig"
	"yewpass/internal/schedule"
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
func wholeSpec() core.JobSpec {
	return core.JobSpec{
		ID:            "wk-000412",
		Class:         "train <a&b>",
		Owner:         "vision",
		Service:       true,
		Urgency:       core.Production,
		Tasks:         16,
		CPUs:          8.25,
		GPUs:          0.5,
		MemGB:         64.125,
		Image:         "img-07",
		ImageGB:       6.2,
		Flavors:       []string{"g8", "g4"},
		Zone:          "hall-a",
		SamePlace:     true,
		Apart:         true,
		Reclaimable:   true,
		Runtime:       240 * time.Second,
		SnapshotEvery: 30 * time.Second,
		Snapshot:      4 * time.Second,
		Due:           900 * time.Second,
		Dated:         true,
	}
}

// leastSpec is the shortest description of a job.
func leastSpec() core.JobSpec {
	return core.JobSpec{ID: "wk-7", Class: "build", Owner: "tools", Tasks: 1}
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
		"job: service, every field, cancelled": &core.JobRecord{Spec: wholeSpec(), Submitted: submitted, Cancelled: true},
		"job: array, every field":              &core.JobRecord{Spec: array, Submitted: submitted},
		"job: no optional field":               &core.JobRecord{Spec: leastSpec(), Submitted: submitted},
		"job: due at once":                     &core.JobRecord{Spec: core.JobSpec{ID: "wk-8", Urgency: core.Urgent, Tasks: 100_000, Dated: true}, Submitted: submitted},
		"final: done":                          &core.FinalRecord{State: core.Done, Done: 16},
		"final: cancelled":                     &core.FinalRecord{State: core.Cancelled},
		"progress: ranges":                     &core.ProgressRecord{Ranges: "0-5,9"},
		"progress: bitmap":                     &core.ProgressRecord{Ranges: "=VVVVVVVVVVU"},
		"progress: nothing":                    &core.ProgressRecord{},
		"machines": &core.MachineRecord{Machines: []core.RecordedMachine{
			{Host: "host-000231", Address: "10.1.0.232:9000", Flavor: "g8", Zone: "hall-a", Reclaimable: true},
			{Host: "host-000232", Flavor: "c4", Zone: "hall-b"},
		}},
		"leader": &core.LeaderRecord{Node: "n1", Term: 41, Life: 18_000_000_000_000_000_001, Era: 9_000_000_000_000_000_002},
		"leader: of a version without life and era": &core.LeaderRecord{Node: "n1", Term: 41},
		"note of a job accepted without a leader":   &core.LeaderRecord{Node: "n2", Term: 41},
		"term":                             &core.TermRecord{Term: core.MaxTerm, Era: 9_000_000_000_000_000_002},
		"term: of a version without era":   &core.TermRecord{Term: 41},
		"number":                           &core.NumberRecord{Number: 99},
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
	want := &core.MachineRecord{Machines: []core.RecordedMachine{{Host: "host-000231", Flavor: "g8", Zone: "hall-a", Reclaimable: true}}}
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
func requestCalls() map[string]core.StoreCall {
	return map[string]core.StoreCall{
		"get":               {Op: core.StoreGet, Key: "yewpass/term"},
		"list":              {Op: core.StoreList, Key: "yewpass/live/", Limit: 400},
		"list: a next page": {Op: core.StoreList, Key: "yewpass/live/", From: "yewpass/live/job/wk-7", Limit: 400},
		"follow":            {Op: core.StoreFollow, Key: "yewpass/alone/", FromRev: 77, Wait: 2500 * time.Millisecond},
		"grant":             {Op: core.StoreGrant, TTL: 3 * time.Second},
		"extend":            {Op: core.StoreExtend, Grant: 5, TTL: 3 * time.Second},
		"drop grant":        {Op: core.StoreDropGrant, Grant: 5},
		"transaction: no condition": {Op: core.StoreTxn, Then: []core.Write{
			{Key: "yewpass/final/wk-7", Value: &core.FinalRecord{State: core.Done, Done: 1}},
		}},
		"transaction": {Op: core.StoreTxn,
			When: []core.Cond{{Key: "yewpass/leader", Rev: 40}, {Key: "yewpass/live/job/wk-7"}},
			Then: []core.Write{
				{Key: "yewpass/leader", Value: &core.LeaderRecord{Node: "n1", Term: 41, Life: 6, Era: 8}, Grant: 5},
				{Key: "yewpass/live/job/wk-7", Value: &core.JobRecord{Spec: leastSpec(), Submitted: time.UnixMilli(1_801_386_061_234)}},
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
	call  core.StoreCall
	reply core.StoreReply
}

// answeredCalls are the calls of the golden answers, by name.
func answeredCalls() map[string]answeredCall {
	final := &core.FinalRecord{State: core.Done, Done: 1}
	return map[string]answeredCall{
		"get": {
			core.StoreCall{Op: core.StoreGet, Key: "yewpass/final/wk-7"},
			core.StoreReply{Rev: 90, Entries: []core.Entry{{Key: "yewpass/final/wk-7", Value: final, Rev: 88, Grant: 5}}},
		},
		"get: nothing there": {
			core.StoreCall{Op: core.StoreGet, Key: "yewpass/final/wk-7"},
			core.StoreReply{Outcome: core.Missing, Rev: 90},
		},
		"list": {
			core.StoreCall{Op: core.StoreList, Key: "yewpass/final/"},
			core.StoreReply{Rev: 90, More: true, Entries: []core.Entry{{Key: "yewpass/final/wk-7", Value: final, Rev: 88}}},
		},
		"follow":      {core.StoreCall{Op: core.StoreFollow}, core.StoreReply{Rev: 91}},
		"grant":       {core.StoreCall{Op: core.StoreGrant}, core.StoreReply{Grant: 5}},
		"extend":      {core.StoreCall{Op: core.StoreExtend, Grant: 5}, core.StoreReply{Grant: 5}},
		"drop grant":  {core.StoreCall{Op: core.StoreDropGrant, Grant: 5}, core.StoreReply{}},
		"transaction": {core.StoreCall{Op: core.StoreTxn}, core.StoreReply{Rev: 92}},
		"transaction: a condition failed": {
			core.StoreCall{Op: core.StoreTxn},
			core.StoreReply{Outcome: core.Conflict, Failed: []string{"yewpass/leader"}},
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
