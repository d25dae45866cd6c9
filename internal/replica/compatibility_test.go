package replica

import "testing"

// TestDigestOf5990396 guards the digest of keys, by which controllers of two versions tell
// whether they have the same records.
func TestDigestOf5990396(t *testing.T) {
	var got Digest
	got.Add("yewpass/live/job/wk-7")
	got.Add("yewpass/live/job/wk-000412")
	if want := (Digest{Count: 2, Hash: 1589883300364363858}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}
