package core

import (
	"math/rand/v2"
	"testing"
)

// TestChunks: progress is read back as written and stays small, however the
// finished tasks are scattered.
func TestChunks(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for _, tasks := range []int{1, 63, 64, 65, 1000, chunkTasks, chunkTasks + 1, MaxTasks} {
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
