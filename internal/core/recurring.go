package core

import (
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/jobstore"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/recurring"
	"yewpass/internal/request"
	"yewpass/internal/spec"
	"yewpass/internal/writebatch"
)

// newRecurringScheduler returns the scheduler of recurring jobs for a leadership.
func (c *Core) newRecurringScheduler(l *leadership) *recurring.Scheduler {
	settings := recurring.Settings{Calendars: c.calendars, Term: l.term, TickInterval: tickInterval}
	return recurring.New(c.Engine, l.scope, settings, recurringLeader{c})
}

// queueDueOccurrences queues the writes of as many due occurrences as fit into one transaction.
func (c *Core) queueDueOccurrences() {
	l := c.leadership
	if !l.autoscaler.CatalogLoaded || !c.isActive() {
		return
	}
	remainingOps := c.cfg.Settings.State.TxnOps
	for _, ch := range l.writes.Queued(writebatch.Occurrence) {
		remainingOps -= len(ch.Writes)
	}
	l.recurring.CreateDue(remainingOps)
}

// hasDueOccurrences reports whether occurrences wait only for the store's rate limit.
func (c *Core) hasDueOccurrences() bool {
	l := c.leadership
	return len(l.writes.Queued(writebatch.Occurrence)) > 0 || l.recurring.HasDue() && l.autoscaler.CatalogLoaded
}

// recurringLeader implements recurring.Leader for the current leadership.
type recurringLeader struct{ core *Core }

var _ recurring.Leader = recurringLeader{}

// Job implements recurring.Leader.
func (r recurringLeader) Job(id string) *fleet.Job { return r.core.leadership.jobs[id] }

// FinalState implements recurring.Leader.
func (r recurringLeader) FinalState(id string) (spec.JobState, bool) {
	final, ok := r.core.jobReader.Final(id)
	return final.State, ok
}

// ReadJob implements recurring.Leader.
func (r recurringLeader) ReadJob(id string, f func(status *request.JobStatus, known bool)) {
	r.core.jobReader.Read(id, f)
}

// AddJob implements recurring.Leader.
func (r recurringLeader) AddJob(rec *record.Job) { r.core.leadership.admitter.AddCommitted(rec) }

// AdoptJob implements recurring.Leader.
func (r recurringLeader) AdoptJob(id string, f func()) {
	r.core.leadership.admitter.AdoptCommitted(id, f)
}

// CatalogLoaded implements recurring.Leader.
func (r recurringLeader) CatalogLoaded() bool { return r.core.leadership.autoscaler.CatalogLoaded }

// Unschedulable implements recurring.Leader.
func (r recurringLeader) Unschedulable(job *spec.Job) (field, reason string) {
	if refusal := r.core.leadership.admitter.CheckSchedulable(job); refusal != nil {
		return refusal.Field, refusal.Reason
	}
	return "", ""
}

// CheckDeadline implements recurring.Leader.
func (r recurringLeader) CheckDeadline(job *spec.Job) (lateness time.Duration, refused bool) {
	return r.core.leadership.admitter.CheckDeadline(job)
}

// FitsValue implements recurring.Leader.
func (r recurringLeader) FitsValue(size int) bool {
	return jobstore.FitsValue(size, r.core.cfg.Settings.State)
}

// Write implements recurring.Leader.
func (r recurringLeader) Write(change *writebatch.Change) { r.core.leadership.writes.Add(change) }

// ScheduleFlush implements recurring.Leader.
func (r recurringLeader) ScheduleFlush() { r.core.leadership.writes.ScheduleFlush() }

// ReadBack implements recurring.Leader.
func (r recurringLeader) ReadBack(key string, f func(entry kv.Entry, found bool)) {
	r.core.readBack(key, f)
}

// Replicate implements recurring.Leader.
func (r recurringLeader) Replicate(entry kv.Entry) { r.core.replicate(entry) }

// ReplicateDelete implements recurring.Leader.
func (r recurringLeader) ReplicateDelete(key string) { r.core.replicateDelete(key) }

// Answer implements recurring.Leader.
func (r recurringLeader) Answer(call request.Request, response request.Response) {
	r.core.answer(call, response)
}

// Serve implements recurring.Leader.
func (r recurringLeader) Serve(call request.Request) { r.core.serveAsLeader(call) }
