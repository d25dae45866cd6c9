package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestReviewCases2 runs the scripts of the second review, one subtest a case, when REVIEW_CASES2 is
// set: its value is the name of one folder, or "all". They need the build line of the deploy file and
// review/build-2.sh first.
func TestReviewCases2(t *testing.T) {
	chosen := os.Getenv("REVIEW_CASES2")
	if chosen == "" {
		t.Skip("REVIEW_CASES2 is not set")
	}
	for _, folder := range []string{"4", "5", "6", "7", "8"} {
		script, err := filepath.Abs(filepath.Join("..", folder, "run.sh"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := os.Stat(script); err != nil || chosen != "all" && chosen != folder {
			continue
		}
		t.Run(folder, func(t *testing.T) {
			out, err := exec.Command(script).CombinedOutput()
			var exit *exec.ExitError
			switch {
			case err == nil:
			case errors.As(err, &exit) && exit.ExitCode() == 2:
				t.Skipf("the case could not run: %s", out)
			default:
				t.Errorf("%v: %s", err, out)
			}
		})
	}
}
