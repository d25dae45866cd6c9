package recovery

import (
	"slices"
	"testing"

	"yewpass/internal/replica"
)

// TestMissingKeys: only what the service was known to have, in the part that was listed, and
// what nothing of ours may have changed, is missed.
func TestMissingKeys(t *testing.T) {
	c := replica.New(1, 1, "f/", 10)
	for key, rev := range map[string]uint64{"a/1": 5, "a/2": 6, "a/3": 0, "a/4": 20, "a/5": 7, "a/6": 8, "a/7": 9, "b/1": 3} {
		c.Put(key, nil, rev)
	}
	p := ListPage{Prefix: "a/", From: "a/1", To: "a/6", AskedRevision: 10, Listed: []replica.Record{{Key: "a/6", Rev: 4}}}
	busy := func(key string) bool { return key == "a/5" }
	// a/1 comes before the part and a/7 after it, a/3 was never there, a/4 came after the
	// call, a/5 may have been dropped, a/6 is there from before.
	if got := MissingKeys(c, p, busy); !slices.Equal(got, []string{"a/2", "a/6"}) {
		t.Errorf("missing: %v", got)
	}
	p.Listed = []replica.Record{{Key: "a/2", Rev: 6}, {Key: "a/6", Rev: 9}}
	if got := MissingKeys(c, p, busy); len(got) != 0 {
		t.Errorf("missing: %v", got)
	}
}
