package kvclient

import (
	"testing"

	"yewpass/internal/kv"
	"yewpass/internal/rpc"
)

// TestDecode checks that a malformed or unexpected response has an unknown outcome.
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
		if got := DecodeResponse(kv.Request{Op: c.op, Key: "a", From: "a/5", LeaseID: 7}, c.status, []byte(c.body)); got.Outcome != c.want {
			t.Errorf("%v %d %s: %v, want %v", c.op, c.status, c.body, got.Outcome, c.want)
		}
	}
}
