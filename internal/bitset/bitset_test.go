package bitset_test

import (
	"math/rand/v2"
	"testing"

	"yewpass/internal/bitset"
	"yewpass/internal/spec"
)

// TestChunks: progress is read back as written and stays small, however the
// finished tasks are scattered.
func TestChunks(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for _, tasks := range []int{1, 63, 64, 65, 1000, bitset.ChunkSize, bitset.ChunkSize + 1, spec.MaxTasks} {
		for _, part := range []float64{0, 0.001, 0.5, 1} {
			in, out := bitset.New(tasks), bitset.New(tasks)
			for i := range tasks {
				if rng.Float64() < part {
					in.Add(i)
				}
			}
			for from := 0; from < tasks; from += bitset.ChunkSize {
				s := in.EncodeChunk(from)
				if len(s) > 4000 {
					t.Errorf("%d tasks: a chunk takes %d bytes", tasks, len(s))
				}
				if !out.DecodeChunk(from, tasks, s) {
					t.Fatalf("%d tasks: %q is not read", tasks, s)
				}
			}
			for i := range tasks {
				if in.Has(i) != out.Has(i) {
					t.Fatalf("%d tasks, part %v: task %d differs", tasks, part, i)
				}
			}
		}
	}
	for _, bad := range []string{"x", "5-3", "9", "0-9", "=!!", "=AAA", "-1", "0,,1", "0-7,8", "0,1,2x"} {
		b := bitset.New(8)
		if b.DecodeChunk(0, 8, bad) {
			t.Errorf("%q is taken for progress", bad)
		}
		if b.First() >= 0 {
			t.Errorf("%q: task %d is called done by a damaged record", bad, b.First())
		}
	}
}

// FuzzChunk: a record of progress is read whole, within the job, or not at all.
func FuzzChunk(f *testing.F) {
	for _, s := range []string{"", "0-5,9", "=AAAAAAAAAAE", "0-16383", "5-3", "0-7,x", "-", "=", "99999999999999999999", "0-9223372036854775807"} {
		f.Add(0, 40, s)
		f.Add(bitset.ChunkSize, bitset.ChunkSize+70, s)
	}
	f.Fuzz(func(t *testing.T, from, tasks int, s string) {
		if tasks < 1 || tasks > spec.MaxTasks || from < 0 || from >= tasks || from%bitset.ChunkSize != 0 {
			return
		}
		b := bitset.New(tasks)
		if !b.DecodeChunk(from, tasks, s) {
			if b.First() >= 0 {
				t.Fatal("read in part")
			}
			return
		}
		for i := range len(b) * 64 {
			if b.Has(i) && (i < from || i >= from+bitset.ChunkSize || i >= tasks) {
				t.Fatal(i, "is not of this chunk")
			}
		}
		again := bitset.New(tasks)
		if text := b.EncodeChunk(from); !again.DecodeChunk(from, tasks, text) || again.EncodeChunk(from) != text {
			t.Fatalf("%q comes back as %q", s, text)
		}
	})
}
