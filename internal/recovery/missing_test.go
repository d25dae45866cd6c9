package recovery

import (
	"slices"
	"testing"

	"yewpass/internal/replica"
)

// TestMissingKeys checks that a key is reported only if the store had the record at the time of
// the request, the page covers the key, and no uncommitted change affects it.
func TestMissingKeys(t *testing.T) {
	c := replica.New(1, 1, "f/", 10)
	for key, rev := range map[string]uint64{"a/1": 5, "a/2": 6, "a/3": 0, "a/4": 20, "a/5": 7, "a/6": 8, "a/7": 9, "b/1": 3} {
		c.Put(key, nil, rev)
	}
	p := ListPage{Prefix: "a/", From: "a/1", To: "a/6", RequestRevision: 10, Listed: []replica.Record{{Key: "a/6", Rev: 4}}}
	uncommitted := func(key string) bool { return key == "a/5" }
	// a/1 and a/7 are outside the page, a/3 was never stored, a/4 is newer than the request,
	// a/5 has an uncommitted change, and a/6 is listed at an older revision.
	if got := MissingKeys(c, p, uncommitted); !slices.Equal(got, []string{"a/2", "a/6"}) {
		t.Errorf("missing keys %v, want a/2 and a/6", got)
	}
	p.Listed = []replica.Record{{Key: "a/2", Rev: 6}, {Key: "a/6", Rev: 9}}
	if got := MissingKeys(c, p, uncommitted); len(got) != 0 {
		t.Errorf("missing keys %v, want none", got)
	}
}
