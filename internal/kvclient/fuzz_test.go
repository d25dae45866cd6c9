package kvclient

import (
	"strings"
	"testing"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/rpc"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
)

// FuzzDecode checks that a response is either decoded as the protocol allows for the request or has
// an unknown outcome, and that each decoded record is valid.
func FuzzDecode(f *testing.F) {
	for _, s := range []string{
		`{"k":"a/wk-1","v":{"type":"job","spec":{"id":"wk-1","tasks":2,"cpus":1},"submittedMs":5},"keyRev":4,"grant":7}`,
		`{"k":"a/wk-1","v":{"type":"job","spec":{"id":"wk-1","tasks":2,"cpus":-1e300,"dueMs":9223372036854775807}},"keyRev":4}`,
		`{"k":"a/wk-1","v":{"type":"final","state":"done","done":-3},"keyRev":4}`, `{"k":"a/wk-1","v":{"type":"term","term":18446744073709551615},"keyRev":4}`,
		`{"entries":[{"k":"a/wk-1","v":{"type":"progress","ranges":"0-9"},"keyRev":1},{"k":"a/wk-2","v":{"type":"machines","machines":[{"host":""}]},"keyRev":2}],"truncated":true,"storeRev":9}`,
		`{"k":"a/wk-1","v":{"type":"schedule","number":1,"file":{},"cursorMs":-9223372036854775808,"past":"x"},"keyRev":4}`,
		`{"failed":["a"]}`, `{"storeRev":3}`, `{"grant":7}`, `<html>`, ``, "\xff", `null`, strings.Repeat("[", 20000),
	} {
		for op := kv.Get; op <= kv.Watch; op++ {
			f.Add(int(op), 200, []byte(s))
		}
		f.Add(int(kv.Get), 404, []byte(s))
		f.Add(int(kv.Txn), 409, []byte(s))
	}
	f.Fuzz(func(t *testing.T, op, status int, data []byte) {
		call := kv.Request{Op: kv.Op(op), Key: "a/", LeaseID: 7}
		if call.Op == kv.Get {
			call.Key = "a/wk-1"
		}
		r := DecodeResponse(call, status, data)
		if r.Outcome == rpc.OK && status != 200 || r.Outcome == rpc.NotFound && status != 404 && status != 410 {
			t.Fatalf("outcome %v for status %d", r.Outcome, status)
		}
		last := ""
		for _, e := range r.Entries {
			if !strings.HasPrefix(e.Key, call.Key) || e.Key <= last {
				t.Fatalf("accepted key %q after %q", e.Key, last)
			}
			last = e.Key
			switch v := e.Value.(type) {
			case *record.Job:
				if !v.Spec.Valid() || !strings.HasSuffix(e.Key, v.Spec.ID) {
					t.Fatalf("accepted record %+v", v)
				}
			case *record.Final:
				if v.Done < 0 || v.State != spec.Done && v.State != spec.Cancelled {
					t.Fatalf("accepted record %+v", v)
				}
			case *record.Term:
				if v.Term == 0 || v.Term > record.MaxTerm {
					t.Fatalf("accepted record %+v", v)
				}
			case *record.Machines:
				if len(v.Machines) == 0 {
					t.Fatal("accepted a record without machines")
				}
			case *schedule.Record:
				if _, ok := v.Entries(); !ok {
					t.Fatalf("accepted record %+v", v)
				}
			}
		}
	})
}
