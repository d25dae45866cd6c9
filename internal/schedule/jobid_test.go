package schedule

import (
	"testing"
	"time"

	"yewpass/internal/spec"
)

func TestJobID(t *testing.T) {
	def := mustCompile(t)
	occurrence, _ := def.Timing.Next(at("2027-03-28T03:00:00Z"))
	job := def.Job(42, occurrence)
	// The job starts at 04:00 because clocks skip the hour from 03:00. It is due at 06:00.
	if job.ID != "wk-00000042202703280330" || !spec.ValidID(job.ID) || !job.HasDeadline || job.Deadline != 2*time.Hour {
		t.Errorf("got %+v, want ID wk-00000042202703280330 and a deadline of 2h", job)
	}
	first, second := RequestJobID(42, "x"), RequestJobID(42, "y")
	if first == second || first != RequestJobID(42, "x") || !spec.ValidID(first) || len(first) == len(job.ID) {
		t.Errorf("got request job IDs %s and %s", first, second)
	}
}

func TestPlaceholderJobID(t *testing.T) {
	if got, want := PlaceholderJobID(at("2027-03-28T03:30:00Z")), "wk-????????202703280330"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
