// Package spec defines the description of a job: the form in which users submit
// it (Submission) and the checked form that the scheduler works with (Job).
package spec

import (
	"strings"
	"time"

	"yewpass/internal/timeline"
)

// Urgency orders jobs for preemption: a job of a higher urgency may preempt one
// of a lower urgency.
type Urgency int

// The urgencies of the user protocol, in ascending order.
const (
	Idle Urgency = iota
	Standard
	Urgent
	Production
)

// UrgencyNames holds the urgencies as users write them, indexed by Urgency.
var UrgencyNames = [...]string{"idle", "standard", "urgent", "production"}

// String returns the urgency as users write it. It panics if u is not one of the
// constants above.
func (u Urgency) String() string { return UrgencyNames[u] }

// Job is the description of a job after it has been checked.
type Job struct {
	ID                 string
	Class, Owner       string
	Service            bool // false: an array job
	Urgency            Urgency
	Tasks              int
	CPUs               float64 // per task, as are the following amounts
	GPUs               float64
	MemGB              float64
	Image              string
	ImageGB            float64
	InstanceTypes      []string // machine types that may run the job; nil: any
	Zone               string   // the zone that must run the job; empty: any
	SamePlace          bool     // all tasks must run in one place, see topology.SamePlace
	Apart              bool     // no place may run more than half of the tasks, see topology.Apart
	AllowSpot          bool     // tasks may run on machines that the cloud can reclaim
	Runtime            time.Duration
	CheckpointInterval time.Duration
	CheckpointTime     time.Duration // how long writing a snapshot takes
	Deadline           time.Duration // deadline, relative to the submission
	HasDeadline        bool          // whether the job has a deadline; Due may be 0 then
}

// Need returns the resources that each task of the job occupies.
func (j *Job) Need() timeline.Resources { return timeline.Need(j.CPUs, j.GPUs, j.MemGB) }

const (
	// IDPrefix is the prefix of every job ID.
	IDPrefix = "wk-"
	// maxIDDigits is the largest number of digits after IDPrefix.
	maxIDDigits = 32
)

// ValidID reports whether id has the form of a job ID: IDPrefix followed by 1 to
// 32 decimal digits.
func ValidID(id string) bool {
	digits, ok := strings.CutPrefix(id, IDPrefix)
	return ok && len(digits) >= 1 && len(digits) <= maxIDDigits && strings.Trim(digits, "0123456789") == ""
}

const (
	// MaxTasks is the largest number of tasks of a job in the user protocol.
	MaxTasks = 100_000
	// MaxName is the largest length of a name in a submission, in bytes. It keeps
	// a job's record far below the size limit of the state service.
	MaxName = 512
	// maxFlavors is the largest number of machine types that a job may list.
	maxFlavors = 100
)

// Limits of what one task may request. They are small enough that the sum over
// MaxTasks tasks, counted in thousandths, does not overflow.
const (
	maxCPUs     = 1e6
	maxGPUs     = 1e6
	maxMemGB    = 1e7
	maxImageGB  = 1e6
	maxDuration = 1e8 * time.Second
)

// Sound reports whether j is within the limits that Submission.Job enforces. It
// is the check for jobs that did not come through a submission, but from a stored
// record or from a peer.
func (j *Job) Sound() bool {
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

// validAmount reports whether amount lies in [0, limit]; NaN does not.
func validAmount(amount, limit float64) bool { return amount >= 0 && amount <= limit }

func validDuration(d time.Duration) bool { return d >= 0 && d <= maxDuration }
