package core

import "testing"

// TestJoin: progress by either record counts, and the same progress is no loss, however it
// is written: a chunk's length decides how.
func TestJoin(t *testing.T) {
	short, long := newBitset(200), newBitset(chunkTasks)
	for i := 0; i < 200; i += 2 {
		short.set(i)
		long.set(i)
	}
	a, b := &ProgressRecord{short.encodeChunk(0)}, &ProgressRecord{long.encodeChunk(0)}
	if a.Ranges == b.Ranges {
		t.Fatal("both are written the same way")
	}
	if _, differ := joinRecords(a, b, true); differ {
		t.Error("the same progress counts as lost")
	}
	if v, differ := joinRecords(&ProgressRecord{"0-3"}, &ProgressRecord{"2-9"}, false); !differ || v.(*ProgressRecord).Ranges != "0-9" {
		t.Errorf("%+v, %v", v, differ)
	}
	if v, differ := joinRecords(&ProgressRecord{"0-9"}, &ProgressRecord{"2-3"}, true); differ || v.(*ProgressRecord).Ranges != "0-9" {
		t.Errorf("%+v, %v", v, differ)
	}
	live, over := &JobRecord{}, &JobRecord{Cancelled: true}
	if v, differ := joinRecords(live, over, false); !differ || !v.(*JobRecord).Cancelled {
		t.Error("a cancellation is taken back")
	}
	if _, differ := joinRecords(over, live, true); differ {
		t.Error("a cancellation on record is taken back")
	}
}
