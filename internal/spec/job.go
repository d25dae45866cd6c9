// Package spec defines the description of a job: Submission is the form that users
// submit, and Job is the validated form that the scheduler works with.
package spec

import (
	"strings"
	"time"

	"yewpass/internal/timeline"
)

// Urgency is the priority class of a job. A job may preempt jobs of a lower
// urgency.
type Urgency int

// The urgencies of the user API, in ascending order of priority.
const (
	Idle Urgency = iota
	Standard
	Urgent
	Production
)

// UrgencyNames holds the names of the urgencies in the user API, indexed by Urgency.
var UrgencyNames = [...]string{"idle", "standard", "urgent", "production"}

// String returns the name of the urgency in the user API. It panics if u is not a declared
// constant.
func (u Urgency) String() string { return UrgencyNames[u] }

// Job is a validated job description.
type Job struct {
	ID                 string
	Class, Owner       string
	Service            bool // false: an array job
	Urgency            Urgency
	Tasks              int
	CPUs               float64 // per task, like GPUs and MemGB
	GPUs               float64
	MemGB              float64
	Image              string
	ImageGB            float64
	InstanceTypes      []string // allowed machine types; nil means any
	Zone               string   // required zone; empty means any
	SamePlace          bool     // affinity: all tasks in one place, see topology.SamePlace
	Apart              bool     // anti-affinity: at most half of the tasks per place, see topology.Apart
	AllowSpot          bool     // tasks may run on spot instances
	Runtime            time.Duration
	CheckpointInterval time.Duration
	CheckpointTime     time.Duration // how long writing a checkpoint takes
	Deadline           time.Duration // relative to the submission
	HasDeadline        bool          // distinguishes a Deadline of 0 from no deadline
}

// TaskResources returns the resources that each task of the job requests.
func (j *Job) TaskResources() timeline.Resources { return timeline.Need(j.CPUs, j.GPUs, j.MemGB) }

const (
	// IDPrefix is the prefix of every job ID. Decimal digits follow it.
	IDPrefix = "wk-"
	// maxIDDigits limits the number of digits after IDPrefix.
	maxIDDigits = 32
)

// ValidID reports whether id is IDPrefix followed by 1 to 32 decimal digits.
func ValidID(id string) bool {
	digits, ok := strings.CutPrefix(id, IDPrefix)
	return ok && len(digits) >= 1 && len(digits) <= maxIDDigits && strings.Trim(digits, "0123456789") == ""
}

const (
	// MaxTasks limits the number of tasks of a job.
	MaxTasks = 100_000
	// MaxNameBytes limits the length of a name, so that a job's record fits into a value of
	// the key-value store.
	MaxNameBytes     = 512
	maxInstanceTypes = 100
)

// Limits of what one task may request. The sum over MaxTasks tasks, counted in
// thousandths, must not overflow an int64.
const (
	maxCPUs     = 1e6
	maxGPUs     = 1e6
	maxMemGB    = 1e7
	maxImageGB  = 1e6
	maxDuration = 1e8 * time.Second
)

// Valid reports whether j is within the limits that Submission.Job enforces, except for the
// lengths of names. Call it for jobs decoded from a stored record or a peer's message.
func (j *Job) Valid() bool {
	return ValidID(j.ID) &&
		j.Tasks > 0 && j.Tasks <= MaxTasks &&
		j.Urgency >= Idle && j.Urgency <= Production &&
		validAmount(j.CPUs, maxCPUs) &&
		validAmount(j.GPUs, maxGPUs) &&
		validAmount(j.MemGB, maxMemGB) &&
		validAmount(j.ImageGB, maxImageGB) &&
		validDuration(j.Runtime) &&
		validDuration(j.CheckpointInterval) &&
		validDuration(j.CheckpointTime) &&
		validDuration(j.Deadline)
}

// validAmount reports whether amount lies in [0, limit]. NaN is invalid.
func validAmount(amount, limit float64) bool { return amount >= 0 && amount <= limit }

func validDuration(d time.Duration) bool { return d >= 0 && d <= maxDuration }
