package fleet

import "time"

const (
	// MaxFailedMachines is the maximum number of machines that a job excludes because its tasks
	// failed on them. Failures on more machines are attributed to the job, which then excludes none.
	MaxFailedMachines = 2
	// exclusionTime is how long a job excludes a machine on which one of its tasks has failed. It is
	// bounded because the machine may be the only one that fits, and may have recovered.
	exclusionTime = 30 * time.Second
	// trialInterval is the time between two starts on a machine on probation that has other tasks.
	// Those may never end, as the tasks of services do not.
	trialInterval = 15 * time.Second
	// roundInterval is the time between two rounds of starts of a job that has had a failure and has
	// other tasks.
	roundInterval = 5 * time.Second
	// trialRuntime is the runtime after which a task started since the last failure shows that the
	// machine works.
	trialRuntime = 10 * time.Second
	// failureMemory is the time without failures after which earlier ones no longer count. Nothing
	// else clears them where no task ever completes.
	failureMemory = 10 * time.Minute
)

// FailureHistory records failures of a job's tasks.
type FailureHistory struct {
	FailedOn    map[string]time.Time // machines on which a task failed, with the time of the last failure
	Failures    int                  // failures since a task last completed
	LastFailure time.Time
	LastStart   time.Time // when a task was last started
	RetryAt     time.Time // no task starts before this time
	roundStart  time.Time // when the last round of starts after a failure began
	roundLeft   int       // starts left in that round
}

// NewFailureHistory returns a history without failures.
func NewFailureHistory() FailureHistory {
	return FailureHistory{FailedOn: map[string]time.Time{}}
}

// Excludes reports whether the job avoids the machine, because one of its tasks has failed there
// recently.
func (h *FailureHistory) Excludes(host string, now time.Time) bool {
	if len(h.FailedOn) == 0 || len(h.FailedOn) > MaxFailedMachines {
		return false
	}
	failed, ok := h.FailedOn[host]
	return ok && now.Sub(failed) < exclusionTime
}

// RecordFailure counts a failure of one of the job's tasks on a machine.
func (h *FailureHistory) RecordFailure(host string, now time.Time) {
	if now.Sub(h.LastFailure) > failureMemory {
		clear(h.FailedOn)
		h.Failures = 0
	}
	if _, known := h.FailedOn[host]; known || len(h.FailedOn) <= MaxFailedMachines { // more entries have no effect
		h.FailedOn[host] = now
	}
	h.Failures++
	h.LastFailure, h.roundLeft = now, 0
}

// LimitStarts returns how many of n tasks of the job may start now. After a failure the job may be
// at fault, so until one of its tasks completes it may start one if it has none, and in each round
// as many as are running at its beginning.
func (j *Job) LimitStarts(n int, now time.Time) int {
	switch {
	case j.Failures == 0 || j.AnyCompleted:
		return n
	case len(j.Attempts) == 0:
		return min(n, 1)
	case j.roundIsDue(now):
		return min(n, max(1, j.Running))
	}
	return min(n, j.roundLeft)
}

// RecordStart records that a task of the job is started. Call it before the attempt is added.
func (j *Job) RecordStart(now time.Time) {
	j.LastStart = now
	if j.roundIsDue(now) {
		j.roundStart, j.roundLeft = now, max(1, j.Running)
	}
	j.roundLeft = max(0, j.roundLeft-1)
}

func (j *Job) roundIsDue(now time.Time) bool {
	return now.Sub(latest(j.LastFailure, j.roundStart)) >= roundInterval
}

// Probation is the state of a machine on which a task has failed. Until one of its tasks completes,
// or one that was started since then has run for trialRuntime, tasks start one at a time.
type Probation struct {
	OnProbation bool
	LastFailure time.Time
	LastStart   time.Time // when a task was last started
}

// RecordFailure counts a failed task with the given weight.
func (h *Health) RecordFailure(weight int, now time.Time) {
	if now.Sub(h.LastFailure) > failureMemory {
		h.FailureScore = 0
	}
	h.FailureScore += weight
	h.OnProbation, h.LastFailure = true, now
}

// RecordCompletion ends the probation and forgets the failures.
func (h *Health) RecordCompletion() { h.FailureScore, h.OnProbation = 0, false }

// RecordRunning ends the probation if the attempt, which is reported as running, shows that the
// machine works. The failures still count, as tasks may fail later than that.
func (h *Health) RecordRunning(a *Attempt, now time.Time) {
	if a.StartedAt.IsZero() || a.OrderedAt.Before(h.LastFailure) {
		return
	}
	if now.Sub(a.StartedAt) >= trialRuntime {
		h.OnProbation = false
	}
}

// AwaitsTrial reports whether the machine is on probation and may not start a task now.
func (m *Machine) AwaitsTrial(now time.Time) bool {
	return m.OnProbation && len(m.Attempts) > 0 && now.Sub(latest(m.LastFailure, m.LastStart)) < trialInterval
}

// WaitsSince returns when a task of the job was last started, or when the job was submitted.
func (j *Job) WaitsSince() time.Time { return latest(j.Submitted, j.LastStart) }

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
