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
	// From 04:00 to 06:00, because the clocks skip the hour from 03:00.
	if job.ID != "wk-00000042202703280330" || !spec.ValidID(job.ID) || !job.HasDeadline || job.Deadline != 2*time.Hour {
		t.Errorf("%+v", job)
	}
	first, second := RequestID(42, "x"), RequestID(42, "y")
	if first == second || first != RequestID(42, "x") || !spec.ValidID(first) || len(first) == len(job.ID) {
		t.Error(first, second)
	}
}

func TestUnknownID(t *testing.T) {
	if got, want := UnknownID(at("2027-03-28T03:30:00Z")), "wk-????????202703280330"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
