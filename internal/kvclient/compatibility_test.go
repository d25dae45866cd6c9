package kvclient

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
)

// The files under testdata were written by version 5990396. They must not be regenerated: a version
// that reads or writes other bytes cannot run with that version or on its stored data.
const (
	goldenRequests = "testdata/requests-5990396.jsonl"
	goldenAnswers  = "testdata/answers-5990396.jsonl"
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

// minimalSpec returns a job with only the required fields.
func minimalSpec() spec.Job {
	return spec.Job{ID: "wk-7", Class: "build", Owner: "tools", Tasks: 1}
}

type goldenRequest struct {
	Name   string          `json:"name"`
	Method string          `json:"method"`
	Path   string          `json:"path"`
	Body   json.RawMessage `json:"body,omitempty"`
}

func goldenRequestCalls() map[string]kv.Request {
	return map[string]kv.Request{
		"get":               {Op: kv.Get, Key: "yewpass/term"},
		"list":              {Op: kv.List, Key: "yewpass/live/", Limit: 400},
		"list: a next page": {Op: kv.List, Key: "yewpass/live/", From: "yewpass/live/job/wk-7", Limit: 400},
		"follow":            {Op: kv.Watch, Key: "yewpass/alone/", FromRev: 77, WatchTimeout: 2500 * time.Millisecond},
		"grant":             {Op: kv.GrantLease, TTL: 3 * time.Second},
		"extend":            {Op: kv.KeepAlive, LeaseID: 5, TTL: 3 * time.Second},
		"drop grant":        {Op: kv.RevokeLease, LeaseID: 5},
		"transaction: no condition": {Op: kv.Txn, Writes: []kv.Write{
			{Key: "yewpass/final/wk-7", Value: &record.Final{State: spec.Done, Done: 1}},
		}},
		"transaction": {Op: kv.Txn,
			Conditions: []kv.Condition{{Key: "yewpass/leader", Rev: 40}, {Key: "yewpass/live/job/wk-7"}},
			Writes: []kv.Write{
				{Key: "yewpass/leader", Value: &record.Leader{Node: "n1", Term: 41, ProcessID: 6, Era: 8}, LeaseID: 5},
				{Key: "yewpass/live/job/wk-7", Value: &record.Job{Spec: minimalSpec(), Submitted: time.UnixMilli(1_801_386_061_234)}},
				{Key: "yewpass/live/job/wk-8"},
			}},
	}
}

// TestRequestsOf5990396 checks that requests are encoded to the same bytes as in version 5990396.
func TestRequestsOf5990396(t *testing.T) {
	calls := goldenRequestCalls()
	golden := readGolden[goldenRequest](t, goldenRequests)
	if len(golden) != len(calls) {
		t.Errorf("%d golden requests, want %d", len(golden), len(calls))
	}
	for _, g := range golden {
		t.Run(g.Name, func(t *testing.T) {
			method, path, body := EncodeRequest(calls[g.Name])
			if method != g.Method || path != g.Path {
				t.Errorf("%s %s, want %s %s", method, path, g.Method, g.Path)
			}
			if string(body) != string(g.Body) {
				t.Errorf("body\n%s, want\n%s", body, g.Body)
			}
		})
	}
}

type goldenAnswer struct {
	Name   string          `json:"name"`
	Status int             `json:"status"`
	Answer json.RawMessage `json:"answer"`
}

// goldenExchange is a request and the decoded golden response to it.
type goldenExchange struct {
	request  kv.Request
	response kv.Response
}

func goldenExchanges() map[string]goldenExchange {
	final := &record.Final{State: spec.Done, Done: 1}
	return map[string]goldenExchange{
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

// TestAnswersReadBy5990396 checks that responses are decoded as in version 5990396.
func TestAnswersReadBy5990396(t *testing.T) {
	calls := goldenExchanges()
	golden := readGolden[goldenAnswer](t, goldenAnswers)
	if len(golden) != len(calls) {
		t.Errorf("%d golden responses, want %d", len(golden), len(calls))
	}
	for _, g := range golden {
		t.Run(g.Name, func(t *testing.T) {
			want := calls[g.Name]
			if got := DecodeResponse(want.request, g.Status, g.Answer); !reflect.DeepEqual(got, want.response) {
				t.Errorf("decoded %+v, want %+v", got, want.response)
			}
		})
	}
}
