package writebatch

import (
	"testing"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/rpc"
)

// TestReadOlderThanCommit guards against decisions on a record as it was before a commit that the
// leader knows of.
func TestReadOlderThanCommit(t *testing.T) {
	for _, test := range []struct {
		name      string
		committed string // key that is written while the read is in flight
		rereads   bool
	}{
		{"same key", "a", true},
		{"other key", "b", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b, eng := newBatcher(t)
			var got []kv.Response
			b.Read("a", func(r kv.Response) { got = append(got, r) })
			late := lastCall(t, b)
			b.Add(&Change{Writes: []kv.Write{{Key: test.committed, Value: &record.Term{Term: 1}}}})
			b.Flush()
			eng.HandleStore(kv.Response{Ref: lastCall(t, b).Ref, Outcome: rpc.OK, Rev: 9})
			eng.HandleStore(kv.Response{Ref: late.Ref, Outcome: rpc.OK, Rev: 8, Entries: []kv.Entry{{Key: "a", Rev: 8}}})
			if test.rereads != (len(got) == 0) {
				t.Fatalf("responses %+v, want none before the key has been read again: %v", got, test.rereads)
			}
			if test.rereads {
				eng.HandleStore(kv.Response{Ref: lastCall(t, b).Ref, Outcome: rpc.NotFound})
			}
			if len(got) != 1 || len(b.readsInFlight) != 0 {
				t.Errorf("responses %+v and %d reads in flight, want one response and no read", got, len(b.readsInFlight))
			}
		})
	}
}

// TestUnansweredReadOlderThanCommit checks that a read without a response is not sent again, as its
// caller retries.
func TestUnansweredReadOlderThanCommit(t *testing.T) {
	b, eng := newBatcher(t)
	responses := 0
	b.Read("a", func(r kv.Response) { responses++ })
	call := lastCall(t, b)
	b.MarkWritten("a")
	eng.HandleStore(kv.Response{Ref: call.Ref, Outcome: rpc.Unknown})
	if responses != 1 {
		t.Errorf("%d responses, want 1", responses)
	}
}

// lastCall returns the last request to the store.
func lastCall(t *testing.T, b *Batcher) kv.Request {
	t.Helper()
	for i := len(b.engine.Outputs) - 1; i >= 0; i-- {
		if call, ok := b.engine.Outputs[i].(kv.Request); ok {
			return call
		}
	}
	t.Fatal("no request to the store")
	return kv.Request{}
}
