package spec

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"
)

func pointer[T any](value T) *T { return &value }

// validSubmission returns a submission in which every field is present.
func validSubmission() Submission {
	return Submission{
		ID:             pointer("wk-000412"),
		JobClass:       pointer("tariff"),
		Owner:          pointer("ops"),
		Shape:          pointer("service"),
		Urgency:        pointer("urgent"),
		Shards:         pointer(16),
		VCPUs:          pointer(1.5),
		GPUs:           pointer(2.0),
		MemGB:          pointer(4.0),
		Bundle:         pointer("tariff-07"),
		SizeGB:         pointer(0.5),
		Flavors:        &[]string{"m1", "m2"},
		Hall:           pointer("north"),
		SamePlace:      pointer(true),
		Apart:          pointer(false),
		Reclaimable:    pointer(true),
		RuntimeS:       pointer(60.0004),
		SnapshotEveryS: pointer(10.0),
		SnapshotS:      pointer(0.25),
		DueS:           pointer(3600.0),
	}
}

func TestSubmissionJob(t *testing.T) {
	submission := validSubmission()
	got, field, reason := submission.Job()
	want := &Job{
		ID:                 "wk-000412",
		Class:              "tariff",
		Owner:              "ops",
		Service:            true,
		Urgency:            Urgent,
		Tasks:              16,
		CPUs:               1.5,
		GPUs:               2,
		MemGB:              4,
		Image:              "tariff-07",
		ImageGB:            0.5,
		InstanceTypes:      []string{"m1", "m2"},
		Zone:               "north",
		SamePlace:          true,
		AllowSpot:          true,
		Runtime:            time.Minute, // durations are rounded to milliseconds
		CheckpointInterval: 10 * time.Second,
		CheckpointTime:     250 * time.Millisecond,
		Deadline:           time.Hour,
		HasDeadline:        true,
	}
	if !reflect.DeepEqual(got, want) || field != "" || reason != "" {
		t.Errorf("got %+v, field %q, reason %q\nwant %+v", got, field, reason, want)
	}
	if !got.Valid() {
		t.Errorf("Valid() = false for the job of a valid submission: %+v", got)
	}
}

func TestSubmissionJobWithoutOptionalFields(t *testing.T) {
	submission := validSubmission()
	submission.Flavors, submission.Hall, submission.DueS = nil, nil, nil
	submission.Shape = pointer("array")
	job, field, reason := submission.Job()
	if job == nil {
		t.Fatalf("submission rejected: %s: %s", field, reason)
	}
	if job.InstanceTypes != nil || job.Zone != "" || job.HasDeadline || job.Deadline != 0 || job.Service {
		t.Errorf("got %+v, want no instance types, zone or deadline, and an array job", job)
	}
}

func TestSubmissionJobNamesFirstInvalidField(t *testing.T) {
	tooLong := strings.Repeat("x", MaxNameBytes+1)
	for _, test := range []struct {
		name          string
		edit          func(s *Submission)
		field, reason string
	}{
		{"id missing", func(s *Submission) { s.ID = nil }, "id", "missing"},
		{"id empty", func(s *Submission) { s.ID = pointer("") }, "id", "empty or too long"},
		{"id malformed", func(s *Submission) { s.ID = pointer("wk-x") }, "id", "not of the form wk-000412"},
		{"jobclass missing", func(s *Submission) { s.JobClass = nil }, "jobclass", "missing"},
		{"owner too long", func(s *Submission) { s.Owner = &tooLong }, "owner", "empty or too long"},
		{"shape missing", func(s *Submission) { s.Shape = nil }, "shape", "missing"},
		{"shape unknown", func(s *Submission) { s.Shape = pointer("ring") }, "shape", "neither array nor service"},
		{"urgency missing", func(s *Submission) { s.Urgency = nil }, "urgency", "missing"},
		{"urgency unknown", func(s *Submission) { s.Urgency = pointer("now") }, "urgency", "not one of idle, standard, urgent, production"},
		{"shards missing", func(s *Submission) { s.Shards = nil }, "shards", "missing"},
		{"shards zero", func(s *Submission) { s.Shards = pointer(0) }, "shards", "out of range"},
		{"shards above the limit", func(s *Submission) { s.Shards = pointer(MaxTasks + 1) }, "shards", "out of range"},
		{"vcpus above the limit", func(s *Submission) { s.VCPUs = pointer(1e6 + 1) }, "vcpus", "out of range"},
		{"gpus above the limit", func(s *Submission) { s.GPUs = pointer(1e6 + 1) }, "gpus", "out of range"},
		{"memGb above the limit", func(s *Submission) { s.MemGB = pointer(1e7 + 1) }, "memGb", "out of range"},
		{"memGb missing", func(s *Submission) { s.MemGB = nil }, "memGb", "missing"},
		{"bundle missing", func(s *Submission) { s.Bundle = nil }, "bundle", "missing"},
		{"sizeGb above the limit", func(s *Submission) { s.SizeGB = pointer(1e6 + 1) }, "sizeGb", "out of range"},
		{"sizeGb not a number", func(s *Submission) { s.SizeGB = pointer(math.NaN()) }, "sizeGb", "out of range"},
		{"flavors empty", func(s *Submission) { s.Flavors = &[]string{} }, "flavors", "empty or too long"},
		{"flavors too many", func(s *Submission) { s.Flavors = pointer(strings.Fields(strings.Repeat("m ", 101))) }, "flavors", "empty or too long"},
		{"flavor too long", func(s *Submission) { s.Flavors = &[]string{"m1", tooLong} }, "flavors", "empty or too long"},
		{"hall empty", func(s *Submission) { s.Hall = pointer("") }, "hall", "empty or too long"},
		{"samePlace missing", func(s *Submission) { s.SamePlace = nil }, "samePlace", "missing"},
		{"apart missing", func(s *Submission) { s.Apart = nil }, "apart", "missing"},
		{"reclaimable missing", func(s *Submission) { s.Reclaimable = nil }, "reclaimable", "missing"},
		{"runtimeS negative", func(s *Submission) { s.RuntimeS = pointer(-1.0) }, "runtimeS", "out of range"},
		{"snapshotEveryS above the limit", func(s *Submission) { s.SnapshotEveryS = pointer(1e8 + 1) }, "snapshotEveryS", "out of range"},
		{"snapshotS missing", func(s *Submission) { s.SnapshotS = nil }, "snapshotS", "missing"},
		{"dueS infinite", func(s *Submission) { s.DueS = pointer(math.Inf(1)) }, "dueS", "out of range"},
		{"two invalid fields", func(s *Submission) { s.DueS, s.GPUs = pointer(-1.0), nil }, "gpus", "missing"},
	} {
		t.Run(test.name, func(t *testing.T) {
			submission := validSubmission()
			test.edit(&submission)
			job, field, reason := submission.Job()
			if job != nil || field != test.field || reason != test.reason {
				t.Errorf("got %+v, %s: %s; want %s: %s", job, field, reason, test.field, test.reason)
			}
		})
	}
}

func TestJobValid(t *testing.T) {
	for _, test := range []struct {
		name string
		edit func(j *Job)
	}{
		{"id", func(j *Job) { j.ID = "412" }},
		{"no tasks", func(j *Job) { j.Tasks = 0 }},
		{"too many tasks", func(j *Job) { j.Tasks = MaxTasks + 1 }},
		{"urgency below", func(j *Job) { j.Urgency = Idle - 1 }},
		{"urgency above", func(j *Job) { j.Urgency = Production + 1 }},
		{"CPUs", func(j *Job) { j.CPUs = -1 }},
		{"GPUs", func(j *Job) { j.GPUs = 1e6 + 1 }},
		{"memory", func(j *Job) { j.MemGB = 1e7 + 1 }},
		{"image", func(j *Job) { j.ImageGB = math.NaN() }},
		{"runtime", func(j *Job) { j.Runtime = -1 }},
		{"checkpoint interval", func(j *Job) { j.CheckpointInterval = 1e8*time.Second + 1 }},
		{"checkpoint time", func(j *Job) { j.CheckpointTime = -1 }},
		{"deadline", func(j *Job) { j.Deadline = -1 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			job := Job{ID: "wk-1", Tasks: 1}
			if !job.Valid() {
				t.Fatalf("%+v is invalid before the edit", job)
			}
			if test.edit(&job); job.Valid() {
				t.Errorf("Valid() = true for %+v", job)
			}
		})
	}
}

func TestValidID(t *testing.T) {
	for id, want := range map[string]bool{
		"wk-1":                          true,
		"wk-" + strings.Repeat("9", 32): true,
		"wk-" + strings.Repeat("9", 33): false,
		"wk-":                           false,
		"wk-1a":                         false,
		"412":                           false,
		"":                              false,
	} {
		if got := ValidID(id); got != want {
			t.Errorf("ValidID(%q) = %v, want %v", id, got, want)
		}
	}
}
