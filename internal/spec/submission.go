package spec

import (
	"math"
	"slices"
	"time"
)

// Submission is a job as submitted by a user: the body of POST /v2/runs, or the
// [job] table of a schedule file. A nil pointer means that the field is absent.
type Submission struct {
	ID             *string   `json:"id,omitempty" toml:"id"`
	JobClass       *string   `json:"jobclass,omitempty" toml:"jobclass"`
	Owner          *string   `json:"owner,omitempty" toml:"owner"`
	Shape          *string   `json:"shape,omitempty" toml:"shape"`
	Urgency        *string   `json:"urgency,omitempty" toml:"urgency"`
	Shards         *int      `json:"shards,omitempty" toml:"shards"`
	VCPUs          *float64  `json:"vcpus,omitempty" toml:"vcpus"`
	GPUs           *float64  `json:"gpus,omitempty" toml:"gpus"`
	MemGB          *float64  `json:"memGb,omitempty" toml:"memGb"`
	Bundle         *string   `json:"bundle,omitempty" toml:"bundle"`
	SizeGB         *float64  `json:"sizeGb,omitempty" toml:"sizeGb"`
	Flavors        *[]string `json:"flavors,omitempty" toml:"flavors"`
	Hall           *string   `json:"hall,omitempty" toml:"hall"`
	SamePlace      *bool     `json:"samePlace,omitempty" toml:"samePlace"`
	Apart          *bool     `json:"apart,omitempty" toml:"apart"`
	Reclaimable    *bool     `json:"reclaimable,omitempty" toml:"reclaimable"`
	RuntimeS       *float64  `json:"runtimeS,omitempty" toml:"runtimeS"`
	SnapshotEveryS *float64  `json:"snapshotEveryS,omitempty" toml:"snapshotEveryS"`
	SnapshotS      *float64  `json:"snapshotS,omitempty" toml:"snapshotS"`
	DueS           *float64  `json:"dueS,omitempty" toml:"dueS"`
}

// The values of Submission.Shape.
const (
	shapeArray   = "array"
	shapeService = "service"
)

// Reasons in error responses that apply to several fields.
const (
	reasonMissing        = "missing"
	reasonOutOfRange     = "out of range"
	reasonEmptyOrTooLong = "empty or too long"
)

// Job validates the submission and converts it to a Job. If a field is invalid, job is nil,
// field is the API name of the first invalid one in the order of Submission, and reason says
// why.
func (s *Submission) Job() (job *Job, field, reason string) {
	var check fieldChecker
	job = &Job{ID: check.id(s.ID)}
	job.Class = check.text("jobclass", s.JobClass)
	job.Owner = check.text("owner", s.Owner)
	job.Service = check.isService(s.Shape)
	job.Urgency = check.urgency(s.Urgency)
	job.Tasks = check.tasks(s.Shards)
	job.CPUs = check.number("vcpus", s.VCPUs, maxCPUs)
	job.GPUs = check.number("gpus", s.GPUs, maxGPUs)
	job.MemGB = check.number("memGb", s.MemGB, maxMemGB)
	job.Image = check.text("bundle", s.Bundle)
	job.ImageGB = check.number("sizeGb", s.SizeGB, maxImageGB)
	if s.Flavors != nil {
		job.InstanceTypes = check.flavors(*s.Flavors)
	}
	if s.Hall != nil {
		job.Zone = check.text("hall", s.Hall)
	}
	job.SamePlace = check.flag("samePlace", s.SamePlace)
	job.Apart = check.flag("apart", s.Apart)
	job.AllowSpot = check.flag("reclaimable", s.Reclaimable)
	job.Runtime = check.duration("runtimeS", s.RuntimeS)
	job.CheckpointInterval = check.duration("snapshotEveryS", s.SnapshotEveryS)
	job.CheckpointTime = check.duration("snapshotS", s.SnapshotS)
	if s.DueS != nil {
		job.Deadline = check.duration("dueS", s.DueS)
		job.HasDeadline = true
	}
	if check.field != "" {
		return nil, check.field, check.reason
	}
	return job, "", ""
}

// fieldChecker validates the fields of a submission in order and records the first
// invalid one. For an invalid field, the result of its methods must not be used.
type fieldChecker struct {
	field, reason string
}

// fail records an invalid field unless an earlier one has been recorded.
func (c *fieldChecker) fail(field, reason string) {
	if c.field == "" {
		c.field, c.reason = field, reason
	}
}

func (c *fieldChecker) text(field string, value *string) string {
	switch {
	case value == nil:
		c.fail(field, reasonMissing)
		return ""
	case len(*value) == 0 || len(*value) > MaxNameBytes:
		c.fail(field, reasonEmptyOrTooLong)
		return ""
	}
	return *value
}

func (c *fieldChecker) number(field string, value *float64, limit float64) float64 {
	switch {
	case value == nil:
		c.fail(field, reasonMissing)
		return 0
	case !validAmount(*value, limit):
		c.fail(field, reasonOutOfRange)
		return 0
	}
	return *value
}

// duration converts seconds to a duration rounded to milliseconds.
func (c *fieldChecker) duration(field string, seconds *float64) time.Duration {
	milliseconds := math.Round(c.number(field, seconds, maxDuration.Seconds()) * 1000)
	return time.Duration(milliseconds) * time.Millisecond
}

func (c *fieldChecker) flag(field string, value *bool) bool {
	if value == nil {
		c.fail(field, reasonMissing)
		return false
	}
	return *value
}

func (c *fieldChecker) id(value *string) string {
	id := c.text("id", value)
	if !ValidID(id) {
		c.fail("id", "not of the form "+IDPrefix+"000412")
	}
	return id
}

func (c *fieldChecker) isService(shape *string) bool {
	switch c.text("shape", shape) {
	case shapeArray:
		return false
	case shapeService:
		return true
	}
	c.fail("shape", "neither array nor service")
	return false
}

func (c *fieldChecker) urgency(name *string) Urgency {
	index := slices.Index(UrgencyNames[:], c.text("urgency", name))
	if index < 0 {
		c.fail("urgency", "not one of idle, standard, urgent, production")
	}
	return Urgency(index)
}

func (c *fieldChecker) tasks(count *int) int {
	switch {
	case count == nil:
		c.fail("shards", reasonMissing)
		return 0
	case *count < 1 || *count > MaxTasks:
		c.fail("shards", reasonOutOfRange)
		return 0
	}
	return *count
}

func (c *fieldChecker) flavors(names []string) []string {
	if len(names) == 0 || len(names) > maxInstanceTypes {
		c.fail("flavors", reasonEmptyOrTooLong)
	}
	for i := range names {
		c.text("flavors", &names[i])
	}
	return names
}
