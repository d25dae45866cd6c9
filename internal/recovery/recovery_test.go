package recovery

import (
	"slices"
	"strings"
	"testing"

	"yewpass/internal/replica"
)

// TestLossReason checks that exactly the reads that prove a data loss are detected.
func TestLossReason(t *testing.T) {
	k := Observed{Era: 5, Term: 7, Revision: 100}
	for _, x := range []struct {
		found TermRead
		lost  bool
	}{
		{TermRead{Era: 5, Term: 7, StoreRevision: 100}, false},
		{TermRead{Era: 5, Term: 9, StoreRevision: 140}, false},
		{TermRead{Era: 6, Term: 8, StoreRevision: 101}, false}, // a newer leader has already recovered from a loss
		{TermRead{Missing: true, StoreRevision: 100}, true},
		{TermRead{Era: 5, Term: 6, StoreRevision: 100}, true},
		{TermRead{Era: 5, Term: 7, StoreRevision: 99}, true},
		{TermRead{Era: 4, Term: 7, StoreRevision: 100}, true},
		{TermRead{}, false}, // unreadable
	} {
		if reason := k.LossReason(x.found); (reason != "") != x.lost {
			t.Errorf("read %+v: unexpected loss reason %q", x.found, reason)
		}
	}
	if reason := (Observed{}).LossReason(TermRead{Missing: true}); reason != "" {
		t.Errorf("first start of a cluster: loss reason %q, want none", reason)
	}
	next := k.AdvanceTo(6, 3, 1)
	if next.Revision != 0 || next.HighestPastTerm != 7 || !next.HasHigherTerm(6, 3, 1) || k.AdvanceTo(5, 8, 1).HasHigherTerm(5, 8, 1) || !k.AdvanceTo(5, 8, 1).HasHigherTerm(5, 8, 2) {
		t.Errorf("unexpected state after a change of era or term: %+v", next)
	}
}

// TestMerge checks that a job finished on either side stays finished, and that other records are
// taken from the newer side.
func TestMerge(t *testing.T) {
	schema := Schema{
		Job:         func(k string) (string, bool) { return strings.CutPrefix(k, "j/") },
		Final:       func(k string) (string, bool) { return strings.CutPrefix(k, "f/") },
		Progress:    func(k string) (string, bool) { return strings.CutPrefix(k, "p/") },
		Machines:    func(k string) bool { return strings.HasPrefix(k, "m/") },
		MergeValues: func(s, c any, older bool) (any, bool) { return c, older && s != c },
	}
	c := replica.New(1, 2, "f/", 9)
	for k, v := range map[string]string{"j/live": "new", "j/lost": "new", "f/over": "done", "p/lost": "new", "m/1": "b"} {
		c.Put(k, v, 50)
	}
	stored := []replica.Record{{Key: "j/live", Value: "old", Rev: 3}, {Key: "j/over", Value: "old", Rev: 4}, {Key: "p/over", Value: "old", Rev: 4},
		{Key: "m/1", Value: "a", Rev: 5}, {Key: "j/alone", Value: "new", Rev: 6}}
	for _, older := range []bool{false, true} {
		res := Merge(stored, c, older, schema)
		got := map[string]string{}
		for _, r := range res.Records {
			got[r.Key] = r.Value.(string)
		}
		live := "old"
		if older {
			live = "new"
		}
		if got["j/live"] != live || got["j/lost"] != "new" || got["p/lost"] != "new" || got["j/alone"] != "new" || got["j/over"] != "" || got["p/over"] != "" {
			t.Errorf("store older %v: unexpected records %v", older, got)
		}
		if older != (got["m/1~"] == "b") || got["m/1"] != "a" {
			t.Errorf("store older %v: unexpected machine records in %v", older, got)
		}
		if !slices.Equal(res.Deletes, []string{"j/over", "p/over"}) {
			t.Errorf("store older %v: deletes %v, want j/over and p/over", older, res.Deletes)
		}
		for _, w := range res.Writes {
			if s := slices.IndexFunc(stored, func(r replica.Record) bool { return r.Key == w.Key }); (s < 0) != (w.Rev == 0) {
				t.Errorf("store older %v: write of %s requires revision %d, want 0 only for absent records", older, w.Key, w.Rev)
			}
		}
	}
}
