package failover

import (
	"testing"

	"yewpass/internal/bitset"
	"yewpass/internal/record"
)

// TestJoin: progress by either record counts, and the same progress is no loss, however it
// is written: a chunk's length decides how.
func TestJoin(t *testing.T) {
	short, long := bitset.New(200), bitset.New(bitset.ChunkSize)
	for i := 0; i < 200; i += 2 {
		short.Add(i)
		long.Add(i)
	}
	a, b := &record.Progress{Ranges: short.EncodeChunk(0)}, &record.Progress{Ranges: long.EncodeChunk(0)}
	if a.Ranges == b.Ranges {
		t.Fatal("both are written the same way")
	}
	if _, differ := Join(a, b, true); differ {
		t.Error("the same progress counts as lost")
	}
	if v, differ := Join(&record.Progress{Ranges: "0-3"}, &record.Progress{Ranges: "2-9"}, false); !differ || v.(*record.Progress).Ranges != "0-9" {
		t.Errorf("%+v, %v", v, differ)
	}
	if v, differ := Join(&record.Progress{Ranges: "0-9"}, &record.Progress{Ranges: "2-3"}, true); differ || v.(*record.Progress).Ranges != "0-9" {
		t.Errorf("%+v, %v", v, differ)
	}
	live, over := &record.Job{}, &record.Job{Cancelled: true}
	if v, differ := Join(live, over, false); !differ || !v.(*record.Job).Cancelled {
		t.Error("a cancellation is taken back")
	}
	if _, differ := Join(over, live, true); differ {
		t.Error("a cancellation on record is taken back")
	}
}
