package schedule

import (
	"testing"
	"time"
)

// TestIDsOf5990396 guards the ids of a schedule's jobs: an occurrence or a request for
// which version 5990396 has made a job must not become another job.
func TestIDsOf5990396(t *testing.T) {
	nominal := time.Date(2027, time.January, 31, 9, 5, 0, 0, time.UTC)
	if got, want := JobID(42, nominal), "wk-00000042202701310905"; got != want {
		t.Errorf("occurrence: %s, want %s", got, want)
	}
	if got, want := RequestID(42, "r-1"), "wk-000000429430033520091707"; got != want {
		t.Errorf("request: %s, want %s", got, want)
	}
}
