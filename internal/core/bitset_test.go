package core

import (
	"math/rand/v2"
	"testing"
	"yewpass/internal/spec"
)

// TestChunks: progress is read back as written and stays small, however the
// finished tasks are scattered.
func TestChunks(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for _, tasks := range []int{1, 63, 64, 65, 1000, chunkTasks, chunkTasks + 1, spec.MaxTasks} {
		for _, part := range []float64{0, 0.001, 0.5, 1} {
			in, out := newBitset(tasks), newBitset(tasks)
			for i := range tasks {
				if rng.Float64() < part {
					in.set(i)
				}
			}
			for from := 0; from < tasks; from += chunkTasks {
				s := in.encodeChunk(from)
				if len(s) > 4000 {
					t.Errorf("%d tasks: a chunk takes %d bytes", tasks, len(s))
				}
				if !out.decodeChunk(from, tasks, s) {
					t.Fatalf("%d tasks: %q is not read", tasks, s)
				}
			}
			for i := range tasks {
				if in.has(i) != out.has(i) {
					t.Fatalf("%d tasks, part %v: task %d differs", tasks, part, i)
				}
			}
		}
	}
	for _, bad := range []string{"x", "5-3", "9", "0-9", "=!!", "=AAA", "-1", "0,,1", "0-7,8", "0,1,2x"} {
		b := newBitset(8)
		if b.decodeChunk(0, 8, bad) {
			t.Errorf("%q is taken for progress", bad)
		}
		if b.first() >= 0 {
			t.Errorf("%q: task %d is called done by a damaged record", bad, b.first())
		}
	}
}

// FuzzChunk: a record of progress is read whole, within the job, or not at all.
func FuzzChunk(f *testing.F) {
	for _, s := range []string{"", "0-5,9", "=AAAAAAAAAAE", "0-16383", "5-3", "0-7,x", "-", "=", "99999999999999999999", "0-9223372036854775807"} {
		f.Add(0, 40, s)
		f.Add(chunkTasks, chunkTasks+70, s)
	}
	f.Fuzz(func(t *testing.T, from, tasks int, s string) {
		if tasks < 1 || tasks > spec.MaxTasks || from < 0 || from >= tasks || from%chunkTasks != 0 {
			return
		}
		b := newBitset(tasks)
		if !b.decodeChunk(from, tasks, s) {
			if b.first() >= 0 {
				t.Fatal("read in part")
			}
			return
		}
		for i := range len(b) * 64 {
			if b.has(i) && (i < from || i >= from+chunkTasks || i >= tasks) {
				t.Fatal(i, "is not of this chunk")
			}
		}
		again := newBitset(tasks)
		if text := b.encodeChunk(from); !again.decodeChunk(from, tasks, text) || again.encodeChunk(from) != text {
			t.Fatalf("%q comes back as %q", s, text)
		}
	})
}
