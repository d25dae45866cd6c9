package schedule

import (
	"testing"
	"time"
)

// TestIDsOf5990396 checks that job IDs are the same as in version 5990396. Otherwise jobs that
// it created would run again after an upgrade.
func TestIDsOf5990396(t *testing.T) {
	nominal := time.Date(2027, time.January, 31, 9, 5, 0, 0, time.UTC)
	if got, want := JobID(42, nominal), "wk-00000042202701310905"; got != want {
		t.Errorf("occurrence: got ID %s, want %s", got, want)
	}
	if got, want := RequestJobID(42, "r-1"), "wk-000000429430033520091707"; got != want {
		t.Errorf("request: got ID %s, want %s", got, want)
	}
}
