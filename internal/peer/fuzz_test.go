package peer

import (
	"testing"

	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/request"
)

// FuzzLine checks that decodeMessage accepts only messages that the core can process.
func FuzzLine(f *testing.F) {
	for _, s := range []string{
		`{"from":"a","kind":"ping"}`, `{"from":"a","kind":"leader","term":18446744073709551615}`, `{"from":"a","kind":"ack","term":7}`,
		`{"from":"a","kind":"call","ref":1,"op":"submit","id":"wk-1"}`, `{"from":"a","kind":"call","op":"submit","id":"wk-1","spec":{"id":"wk-1","tasks":3,"cpus":1e300}}`,
		`{"from":"a","kind":"call","op":"submit","id":"wk-1","spec":{"id":"wk-1","tasks":3,"cpus":1,"runtimeMs":9223372036854775807}}`,
		`{"from":"a","kind":"call","op":"schedule upcoming","schedule":{"name":"x","count":9}}`, `{"from":"a","kind":"call","op":"schedule put","schedule":{"name":"x","file":{}}}`,
		`{"from":"a","kind":"answer","ref":1,"answer":{"status":0}}`, `{"from":"a","kind":"answer","ref":1,"answer":{"status":200,"state":"done","retryMs":-1}}`,
		`{"from":"b"}`, `null`, `[[[[`, "\xff",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		in, err := decodeMessage(line, map[string]bool{"a": true})
		if err != nil {
			return
		}
		m := in.Msg
		switch m.Kind {
		case peermsg.Leader, peermsg.Ack:
			if m.Term == 0 || m.Term > record.MaxTerm {
				t.Fatalf("accepted term %d", m.Term)
			}
		case peermsg.Request:
			if !m.Valid() || m.Op == request.Submit && !m.Spec.Valid() {
				t.Fatalf("accepted request %+v", m)
			}
		case peermsg.Response:
			if m.Response.Status < 200 || m.Response.RetryAfter < 0 || !m.Response.Job.State.Known() {
				t.Fatalf("accepted response %+v", m.Response)
			}
		default:
			t.Fatalf("accepted kind %q", m.Kind)
		}
	})
}
