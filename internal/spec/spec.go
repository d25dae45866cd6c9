// Package spec holds the description of a job: as users write it, checked, and
// as the scheduler uses it.
package spec

import (
	"math"
	"slices"
	"strings"
	"time"

	"yewpass/internal/timeline"
)

// Urgency orders jobs for preemption; the larger one is more urgent.
type Urgency int

// The urgencies of the protocol.
const (
	Idle Urgency = iota
	Standard
	Urgent
	Production
)

// UrgencyNames are the urgencies as users write them, least urgent first.
var UrgencyNames = [...]string{"idle", "standard", "urgent", "production"}

func (u Urgency) String() string { return UrgencyNames[u] }

// Job is a job as its user submitted it.
type Job struct {
	ID                 string
	Class, Owner       string
	Service            bool
	Urgency            Urgency
	Tasks              int
	CPUs               float64
	GPUs               float64
	MemGB              float64
	Image              string
	ImageGB            float64
	InstanceTypes      []string // nil: any
	Zone               string   // empty: any
	SamePlace          bool
	Apart              bool
	AllowSpot          bool
	Runtime            time.Duration
	CheckpointInterval time.Duration
	CheckpointTime     time.Duration
	Deadline           time.Duration // from the submission
	HasDeadline        bool
}

// Need is what a task of the job takes.
func (s *Job) Need() timeline.Resources { return timeline.Need(s.CPUs, s.GPUs, s.MemGB) }

// MaxTasks is the protocol's limit on the tasks of a job.
const MaxTasks = 100_000

// Submission is a job as users write it: the body of POST /v2/runs, or the
// [job] of a schedule. Pointers tell which fields are there.
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

const (
	// IDPrefix begins every job id.
	IDPrefix = "wk-"
	// MaxName bounds a name in a submission, in bytes: a job's record stays far below
	// the state service's limits.
	MaxName = 512
)

// What a job may ask for at the most. Sums over MaxTasks tasks, in thousandths, stay
// far below what a number holds.
const (
	maxCPUs = 1e6
	maxGB   = 1e7
	maxSpan = 1e8 * time.Second
)

// Sound reports whether a description that came from elsewhere than a submission, a
// record or a peer, is one that a submission could have made.
func (s *Job) Sound() bool {
	within := func(x, most float64) bool { return x >= 0 && x <= most }
	span := func(d time.Duration) bool { return d >= 0 && d <= maxSpan }
	return ValidID(s.ID) && s.Tasks > 0 && s.Tasks <= MaxTasks && s.Urgency >= Idle && s.Urgency <= Production &&
		within(s.CPUs, maxCPUs) && within(s.GPUs, maxCPUs) && within(s.MemGB, maxGB) && within(s.ImageGB, maxCPUs) &&
		span(s.Runtime) && span(s.CheckpointInterval) && span(s.CheckpointTime) && span(s.Deadline)
}

// ValidID reports whether id has the form of a job id: the prefix and 1 to 32
// digits.
func ValidID(id string) bool {
	digits, ok := strings.CutPrefix(id, IDPrefix)
	return ok && len(digits) >= 1 && len(digits) <= 32 && strings.Trim(digits, "0123456789") == ""
}

// Job turns a submission into the job it describes, or names the first field
// that is wrong and why.
func (j *Submission) Job() (s *Job, field, reason string) {
	bad := func(f, r string) {
		if field == "" {
			field, reason = f, r
		}
	}
	text := func(name string, p *string) string {
		switch {
		case p == nil:
			bad(name, "missing")
		case len(*p) == 0 || len(*p) > MaxName:
			bad(name, "empty or too long")
		default:
			return *p
		}
		return ""
	}
	number := func(name string, p *float64, limit float64) float64 {
		switch {
		case p == nil:
			bad(name, "missing")
		case !(*p >= 0 && *p <= limit):
			bad(name, "out of range")
		default:
			return *p
		}
		return 0
	}
	flag := func(name string, p *bool) bool {
		if p == nil {
			bad(name, "missing")
			return false
		}
		return *p
	}
	span := func(name string, p *float64) time.Duration {
		return time.Duration(math.Round(number(name, p, maxSpan.Seconds())*1000)) * time.Millisecond
	}
	out := &Job{ID: text("id", j.ID)}
	if out.ID != "" && !ValidID(out.ID) {
		bad("id", "not of the form "+IDPrefix+"000412")
	}
	out.Class, out.Owner = text("jobclass", j.JobClass), text("owner", j.Owner)
	switch shape := text("shape", j.Shape); shape {
	case "array":
	case "service":
		out.Service = true
	default:
		bad("shape", "neither array nor service")
	}
	u := slices.Index(UrgencyNames[:], text("urgency", j.Urgency))
	if u < 0 {
		bad("urgency", "not one of idle, standard, urgent, production")
	}
	out.Urgency = Urgency(u)
	switch {
	case j.Shards == nil:
		bad("shards", "missing")
	case *j.Shards < 1 || *j.Shards > MaxTasks:
		bad("shards", "out of range")
	default:
		out.Tasks = *j.Shards
	}
	out.CPUs, out.GPUs, out.MemGB = number("vcpus", j.VCPUs, maxCPUs), number("gpus", j.GPUs, maxCPUs), number("memGb", j.MemGB, maxGB)
	out.Image, out.ImageGB = text("bundle", j.Bundle), number("sizeGb", j.SizeGB, maxCPUs)
	if j.Flavors != nil {
		if len(*j.Flavors) == 0 || len(*j.Flavors) > 100 {
			bad("flavors", "empty or too long")
		}
		for i := range *j.Flavors {
			text("flavors", &(*j.Flavors)[i])
		}
		out.InstanceTypes = *j.Flavors
	}
	if j.Hall != nil {
		out.Zone = text("hall", j.Hall)
	}
	out.SamePlace, out.Apart, out.AllowSpot = flag("samePlace", j.SamePlace), flag("apart", j.Apart), flag("reclaimable", j.Reclaimable)
	out.Runtime = span("runtimeS", j.RuntimeS)
	out.CheckpointInterval, out.CheckpointTime = span("snapshotEveryS", j.SnapshotEveryS), span("snapshotS", j.SnapshotS)
	if j.DueS != nil {
		out.Deadline, out.HasDeadline = span("dueS", j.DueS), true
	}
	if field != "" {
		return nil, field, reason
	}
	return out, "", ""
}
