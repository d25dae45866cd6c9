package replica

import "testing"

// TestDigestOf5990396 checks that the digest equals that of version 5990396, with which controllers
// compare digests during an upgrade.
func TestDigestOf5990396(t *testing.T) {
	var got Digest
	got.Add("yewpass/live/job/wk-7")
	got.Add("yewpass/live/job/wk-000412")
	if want := (Digest{Count: 2, Hash: 1589883300364363858}); got != want {
		t.Errorf("digest is %+v, want %+v", got, want)
	}
}
