package failover

import (
	"testing"

	"yewpass/internal/bitset"
	"yewpass/internal/record"
)

// TestMergeValues checks that progress and cancellation of either record are kept, and that equal
// progress in a different encoding does not count as a difference.
func TestMergeValues(t *testing.T) {
	short, long := bitset.New(200), bitset.New(bitset.ChunkSize)
	for i := 0; i < 200; i += 2 {
		short.Add(i)
		long.Add(i)
	}
	a, b := &record.Progress{Ranges: short.EncodeChunk(0)}, &record.Progress{Ranges: long.EncodeChunk(0)}
	if a.Ranges == b.Ranges {
		t.Fatal("both chunks have the same encoding, want different ones")
	}
	if _, differ := MergeValues(a, b, true); differ {
		t.Error("equal progress in another encoding is reported as different")
	}
	if v, differ := MergeValues(&record.Progress{Ranges: "0-3"}, &record.Progress{Ranges: "2-9"}, false); !differ || v.(*record.Progress).Ranges != "0-9" {
		t.Errorf("merged value %+v, differs %v, want the range 0-9 and true", v, differ)
	}
	if v, differ := MergeValues(&record.Progress{Ranges: "0-9"}, &record.Progress{Ranges: "2-3"}, true); differ || v.(*record.Progress).Ranges != "0-9" {
		t.Errorf("merged value %+v, differs %v, want the range 0-9 and false", v, differ)
	}
	live, cancelled := &record.Job{}, &record.Job{Cancelled: true}
	if v, differ := MergeValues(live, cancelled, false); !differ || !v.(*record.Job).Cancelled {
		t.Error("cancellation in the replica is not kept")
	}
	if _, differ := MergeValues(cancelled, live, true); differ {
		t.Error("cancellation in the store is not kept")
	}
}
