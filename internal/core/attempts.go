package core

import "yewpass/internal/fleet"

// attemptJobs implements attempts.Jobs for a leadership.
type attemptJobs struct {
	core       *Core
	leadership *leadership
}

// Find implements attempts.Jobs.
func (a attemptJobs) Find(id string) *fleet.Job { return a.leadership.jobs[id] }

// Unreadable implements attempts.Jobs.
func (a attemptJobs) Unreadable(id string) bool { return a.leadership.unreadableJobs[id] }

// TaskStarted implements attempts.Jobs.
func (a attemptJobs) TaskStarted(j *fleet.Job) { a.leadership.recurring.JobStarted(j) }

// CompleteTask implements attempts.Jobs.
func (a attemptJobs) CompleteTask(j *fleet.Job, index int) {
	a.core.leadership.lifecycle.CompleteTask(j, index)
}

// Requeue implements attempts.Jobs.
func (a attemptJobs) Requeue(j *fleet.Job, index int) { a.core.leadership.lifecycle.Requeue(j, index) }

// FinishIfEnded implements attempts.Jobs.
func (a attemptJobs) FinishIfEnded(j *fleet.Job) { a.core.leadership.lifecycle.FinishIfEnded(j) }
