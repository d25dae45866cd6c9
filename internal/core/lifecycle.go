package core

import (
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/lifecycle"
	"yewpass/internal/spec"
)

// newLifecycle returns the job lifecycle manager of the current leadership.
func (c *Core) newLifecycle() *lifecycle.Manager {
	l := c.leadership
	state := lifecycle.State{
		Jobs:      l.jobs,
		Teams:     l.teams,
		Placement: l.placement,
		Writes:    l.writes,
		Replicas:  l.publisher,
		Store:     c.jobReader,
	}
	return lifecycle.New(c.Engine, l.scope, c.cfg.Settings.State, state, lifecycleLeader{c})
}

// lifecycleLeader implements lifecycle.Leader for the current leadership.
type lifecycleLeader struct{ core *Core }

// AllAccounted implements lifecycle.Leader.
func (a lifecycleLeader) AllAccounted() bool { return a.core.leadership.allAccounted() }

// CancelSafeAt implements lifecycle.Leader.
func (a lifecycleLeader) CancelSafeAt() time.Time {
	l := a.core.leadership
	return a.core.leaseTiming.CancelSafeAfter(a.core.Now, l.electedAt.Add(l.earlierLeaderOverlap))
}

// RequestDispatch implements lifecycle.Leader.
func (a lifecycleLeader) RequestDispatch(m *fleet.Machine) { a.core.leadership.dispatcher.Enqueue(m) }

// JobFinished implements lifecycle.Leader.
func (a lifecycleLeader) JobFinished(j *fleet.Job, state spec.JobState) {
	a.core.leadership.recurring.JobFinished(j, state)
}
