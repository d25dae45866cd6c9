package bitset_test

import (
	"math/rand/v2"
	"testing"

	"yewpass/internal/bitset"
	"yewpass/internal/spec"
)

// TestChunks checks that encoded chunks are short and decode to the same set for any density,
// and that malformed chunks add no members.
func TestChunks(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for _, tasks := range []int{1, 63, 64, 65, 1000, bitset.ChunkSize, bitset.ChunkSize + 1, spec.MaxTasks} {
		for _, density := range []float64{0, 0.001, 0.5, 1} {
			in, out := bitset.New(tasks), bitset.New(tasks)
			for i := range tasks {
				if rng.Float64() < density {
					in.Add(i)
				}
			}
			for from := 0; from < tasks; from += bitset.ChunkSize {
				s := in.EncodeChunk(from)
				if len(s) > 4000 {
					t.Errorf("%d tasks: encoded chunk has %d bytes, want at most 4000", tasks, len(s))
				}
				if !out.DecodeChunk(from, tasks, s) {
					t.Fatalf("%d tasks: DecodeChunk rejected %q", tasks, s)
				}
			}
			for i := range tasks {
				if in.Has(i) != out.Has(i) {
					t.Fatalf("%d tasks, density %v: task %d differs after decoding", tasks, density, i)
				}
			}
		}
	}
	for _, bad := range []string{"x", "5-3", "9", "0-9", "=!!", "=AAA", "-1", "0,,1", "0-7,8", "0,1,2x"} {
		b := bitset.New(8)
		if b.DecodeChunk(0, 8, bad) {
			t.Errorf("DecodeChunk accepted %q", bad)
		}
		if b.First() >= 0 {
			t.Errorf("DecodeChunk of %q added task %d, want none", bad, b.First())
		}
	}
}

// FuzzChunk checks that DecodeChunk adds all members of a valid chunk, none outside the chunk or
// the job, and none of a malformed chunk.
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
				t.Fatal("DecodeChunk returned false but added members")
			}
			return
		}
		for i := range len(b) * 64 {
			if b.Has(i) && (i < from || i >= from+bitset.ChunkSize || i >= tasks) {
				t.Fatal(i, "is outside the chunk or the job")
			}
		}
		again := bitset.New(tasks)
		if text := b.EncodeChunk(from); !again.DecodeChunk(from, tasks, text) || again.EncodeChunk(from) != text {
			t.Fatalf("chunk %q does not round-trip, encoded as %q", s, text)
		}
	})
}
