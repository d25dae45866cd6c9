package core

import (
	"testing"

	"yewpass/internal/bitset"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
)

// TestKeysOf5990396 checks that records are stored under the keys of version 5990396.
func TestKeysOf5990396(t *testing.T) {
	for _, c := range []struct{ name, got, want string }{
		{"leader", record.LeaderKey, "yewpass/leader"},
		{"term", record.TermKey, "yewpass/term"},
		{"live records", record.LivePrefix, "yewpass/live/"},
		{"jobs", record.JobPrefix, "yewpass/live/job/"},
		{"machines", record.MachinePrefix, "yewpass/live/machine/"},
		{"progress", record.ProgressPrefix, "yewpass/live/progress/"},
		{"progress chunk", record.ProgressKey("wk-7", 1), "yewpass/live/progress/wk-7/1"},
		{"final records", record.FinalPrefix, "yewpass/final/"},
		{"markers of jobs accepted without a leader", record.LeaderlessPrefix, "yewpass/alone/"},
		{"schedules", record.SchedulePrefix, "yewpass/schedule/"},
		{"schedule number counter", record.ScheduleNumberKey, "yewpass/schedules"},
		{"configuration", record.ConfigPrefix, "yewpass/live/config/"},
		{"configuration head", record.ConfigHeadKey, "yewpass/live/config/head"},
		{"teams", record.ConfigTeamPrefix, "yewpass/live/config/team/"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.got != c.want {
				t.Errorf("got %q, want %q", c.got, c.want)
			}
		})
	}
}

// TestProgressOf5990396 checks that finished tasks are encoded in progress records as in version
// 5990396.
func TestProgressOf5990396(t *testing.T) {
	const from, tasks = 16384, 16384 + 130 // the second chunk of a job
	for _, c := range []struct {
		name, text string
		done       func(i int) bool
	}{
		{"no finished task", "", func(int) bool { return false }},
		{"ranges", "0-5,9,129", func(i int) bool { return i <= 5 || i == 9 || i == 129 }},
		{"bitmap", "=VVVVVVVVVVVVVVVVVVVVVQEAAAAAAAAA", func(i int) bool { return i%2 == 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			written, read := bitset.New(tasks), bitset.New(tasks)
			for i := range tasks - from {
				if c.done(i) {
					written.Add(from + i)
				}
			}
			if got := written.EncodeChunk(from); got != c.text {
				t.Errorf("encoded as %q, want %q", got, c.text)
			}
			if !read.DecodeChunk(from, tasks, c.text) {
				t.Fatalf("cannot decode %q", c.text)
			}
			for i := range tasks {
				if read.Has(i) != written.Has(i) {
					t.Errorf("task %d: decoded as finished: %v, want the opposite", i, read.Has(i))
				}
			}
		})
	}
}

// TestNumbersOf5990396 checks the constants on which both versions must agree.
func TestNumbersOf5990396(t *testing.T) {
	for _, c := range []struct {
		name      string
		got, want uint64
	}{
		{"tasks per progress record", bitset.ChunkSize, 16384},
		{"bits of an attempt number below the term", record.AttemptCounterBits, 28},
		{"highest term", record.MaxTerm, 1<<36 - 1},
		{"peer protocol version", peermsg.Version, 1},
		{"reference that requests the leader's version", peermsg.VersionRequest, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.got != c.want {
				t.Errorf("got %d, want %d", c.got, c.want)
			}
		})
	}
}
