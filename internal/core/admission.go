package core

import (
	"time"

	"yewpass/internal/admission"
	"yewpass/internal/fleet"
	"yewpass/internal/kv"
	"yewpass/internal/policy"
	"yewpass/internal/request"
	"yewpass/internal/spec"
)

// newAdmitter returns the admitter for the current leadership.
func (c *Core) newAdmitter() *admission.Admitter {
	l := c.leadership
	state := admission.State{Lifecycle: l.lifecycle, Writes: l.writes, Replicas: l.publisher, Autoscaler: l.autoscaler, Policy: c.pol}
	return admission.New(c.Engine, l.scope, c.cfg.Settings.State, state, admissionLeader{c})
}

// admissionLeader implements admission.Leader for the current leadership.
type admissionLeader struct{ core *Core }

// IsActive implements admission.Leader.
func (a admissionLeader) IsActive() bool { return a.core.isActive() }

// Serve implements admission.Leader.
func (a admissionLeader) Serve(call request.Request) { a.core.serveAsLeader(call) }

// Lateness implements admission.Leader.
func (a admissionLeader) Lateness(job *spec.Job) time.Duration { return a.core.deadlineLateness(job) }

// PolicyEnv implements admission.Leader.
func (a admissionLeader) PolicyEnv() policy.Env { return a.core.policyEnv() }

// MayHaveLostJobs implements admission.Leader.
func (a admissionLeader) MayHaveLostJobs() bool {
	return a.core.leadership.mayHaveLostJobs(a.core.Now)
}

// Unreadable implements admission.Leader.
func (a admissionLeader) Unreadable(id string) bool { return a.core.leadership.unreadableJobs[id] }

// ConfirmTerm implements admission.Leader.
func (a admissionLeader) ConfirmTerm(more []kv.Condition, f func(kv.Response)) {
	a.core.confirmTerm(more, f)
}

// JobAdded implements admission.Leader.
func (a admissionLeader) JobAdded(j *fleet.Job) { a.core.leadership.recurring.JobAdded(j) }

// policyEnv returns the variables of policy expressions. The backlog is 0 on a node that
// is not the leader.
func (c *Core) policyEnv() policy.Env {
	e := policy.Env{ReportSeconds: c.heartbeatInterval.Seconds(), LeaseSeconds: c.workerLease.Seconds()}
	if c.leadership != nil {
		e.BacklogSeconds = c.leadership.autoscaler.Backlog().Seconds()
	}
	return e
}
