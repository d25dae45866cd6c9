// Package review runs the scripts of the review's cases as tests. Each plays real processes for up to two
// minutes and fails if the rule is broken, so they run only if REVIEW_CASES is set.
package review

import (
	"os"
	"os/exec"
	"testing"
)

func runCase(t *testing.T, folder string) {
	t.Helper()
	if os.Getenv("REVIEW_CASES") == "" {
		t.Skip("REVIEW_CASES is not set")
	}
	if out, err := exec.Command("./" + folder + "/run.sh").CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", folder, err, out)
	}
}

// TestCancelledJobStaysCancelled runs case 1.
func TestCancelledJobStaysCancelled(t *testing.T) { runCase(t, "1") }

// TestStartsAfterErrors runs case 2.
func TestStartsAfterErrors(t *testing.T) { runCase(t, "2") }

// TestStartsAfterBurst runs case 3.
func TestStartsAfterBurst(t *testing.T) { runCase(t, "3") }
