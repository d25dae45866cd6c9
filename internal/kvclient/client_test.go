package kvclient

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/rpc"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
)

// TestDecode: what is malformed or unexpected is an unknown outcome, never a
// success.
func TestDecode(t *testing.T) {
	for _, c := range []struct {
		op     kv.Op
		status int
		body   string
		want   rpc.Outcome
	}{
		{kv.Txn, 200, `{"storeRev":432}`, rpc.OK},
		{kv.Txn, 200, `{}`, rpc.Unknown},
		{kv.Txn, 200, `not json`, rpc.Unknown},
		{kv.Txn, 409, `{"failed":["a"],"storeRev":3}`, rpc.Conflict},
		{kv.Txn, 409, `{}`, rpc.Unknown},
		{kv.Txn, 400, ``, rpc.Invalid},
		{kv.Txn, 429, ``, rpc.Refused},
		{kv.Txn, 503, ``, rpc.Refused},
		{kv.Txn, 500, ``, rpc.Unknown},
		{kv.Txn, 204, ``, rpc.Unknown},
		{kv.Get, 404, `{"storeRev":1}`, rpc.NotFound},
		{kv.Get, 200, `{"k":"a","v":{},"keyRev":4}`, rpc.OK},
		{kv.Get, 200, `{"storeRev":4}`, rpc.Unknown},
		{kv.List, 200, `{"entries":[],"truncated":false,"storeRev":1}`, rpc.OK},
		{kv.List, 200, `{}`, rpc.Unknown},
		{kv.GrantLease, 200, `{"grant":7}`, rpc.OK},
		{kv.GrantLease, 200, `{"grant":"7"}`, rpc.Unknown},
		{kv.KeepAlive, 404, ``, rpc.NotFound},
		{kv.KeepAlive, 200, `{"grant":7}`, rpc.OK},
		{kv.KeepAlive, 200, `{"grant":8}`, rpc.Unknown},
		{kv.KeepAlive, 200, ``, rpc.Unknown},
		{kv.RevokeLease, 200, ``, rpc.OK},
		{kv.Get, 404, `<html>`, rpc.Unknown},
		{kv.Get, 404, `{}`, rpc.Unknown},
		{kv.Get, 200, `{"k":"b","v":{},"keyRev":4}`, rpc.Unknown},
		{kv.List, 200, `{"entries":[{"k":"a/6","keyRev":1},{"k":"a/7","keyRev":1}],"truncated":true,"storeRev":1}`, rpc.OK},
		{kv.List, 200, `{"entries":[{"k":"a/5","keyRev":1}],"truncated":true,"storeRev":1}`, rpc.Unknown},
		{kv.List, 200, `{"entries":[{"k":"a/7","keyRev":1},{"k":"a/6","keyRev":1}],"storeRev":1}`, rpc.Unknown},
		{kv.List, 200, `{"entries":[{"k":"b/6","keyRev":1}],"storeRev":1}`, rpc.Unknown},
		{kv.List, 200, `{"entries":[],"truncated":true,"storeRev":1}`, rpc.Unknown},
		{kv.Watch, 410, ``, rpc.NotFound},
	} {
		if got := Decode(kv.Request{Op: c.op, Key: "a", From: "a/5", LeaseID: 7}, c.status, []byte(c.body)); got.Outcome != c.want {
			t.Errorf("%v %d %s: %v, want %v", c.op, c.status, c.body, got.Outcome, c.want)
		}
	}
}

// TestRecords: what is written is read back; what is not a record is none.
func TestRecords(t *testing.T) {
	in := &record.Job{Spec: spec.Job{ID: "wk-1", Class: "c", Owner: "o", Tasks: 5, CPUs: 1.5, Urgency: spec.Urgent, Image: "i",
		InstanceTypes: []string{"f"}, Runtime: 90 * time.Second, Deadline: time.Minute, HasDeadline: true}, Submitted: time.UnixMilli(1234567), Cancelled: true}
	data, err := json.Marshal(encodeValue(in))
	if err != nil {
		t.Fatal(err)
	}
	out, ok := decodeEntry(entryJSON{K: "live/job/wk-1", V: data, KeyRev: 3}).Value.(*record.Job)
	if !ok || out.Spec.Runtime != in.Spec.Runtime || out.Spec.InstanceTypes[0] != "f" || !out.Cancelled || !out.Submitted.Equal(in.Submitted) || !out.Spec.HasDeadline {
		t.Errorf("%+v", out)
	}
	rec := &schedule.Record{Number: 7, Seq: 3, Edition: 2, File: json.RawMessage(`{"name":"n"}`), Paused: true, Cursor: schedule.Cursor{Nominal: time.UnixMilli(60000).UTC(), Rule: time.UnixMilli(90000).UTC()}, LastJob: "wk-2"}
	rec.Add(schedule.Entry{Job: "wk-2", Planned: time.UnixMilli(5000).UTC(), State: schedule.StateMade})
	if data, err = json.Marshal(encodeValue(rec)); err != nil {
		t.Fatal(err)
	}
	for _, data := range [][]byte{data, bytes.Replace(data, []byte(`"schedule",`), []byte(`"schedule" ,`), 1)} { // written by us, and as a store may write it
		if got, _ := decodeEntry(entryJSON{K: "schedule/n", V: data, KeyRev: 3}).Value.(*schedule.Record); got == nil || !reflect.DeepEqual(got, rec) {
			t.Errorf("%+v became %+v", rec, got)
		}
	}
	for _, bad := range []string{`{}`, `{"type":"schedule"}`, `{"type":"schedule","number":1,"file":{},"past":"x"}`, `{"type":"schedule","number":0,"file":{}}`, `[]`, `{"type":"job"}`, `{"type":"job","spec":{"id":"wk-1","tasks":0}}`, `{"type":"job","spec":{"id":"wk-2","tasks":1}}`,
		`{"type":"final","state":"queued"}`, `{"type":"leader"}`} {
		if e := decodeEntry(entryJSON{K: "live/job/wk-1", V: []byte(bad)}); e.Value != nil {
			t.Errorf("%s is taken for a record", bad)
		}
	}
}
