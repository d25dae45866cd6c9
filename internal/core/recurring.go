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

// newScheduler returns the scheduler of recurring jobs of a leadership that begins.
func (c *Core) newScheduler(l *leadership) *recurring.Scheduler {
	settings := recurring.Settings{Calendars: c.cal, Term: l.term, TickInterval: tickEvery}
	return recurring.New(c.Engine, l.scope, settings, recurringLeader{c})
}

// makeOccurrences has occurrences that are due decided, as many as fit into a transaction.
// The state service's allowance paces them.
func (c *Core) makeOccurrences() {
	l := c.leadership
	if !l.autoscaler.Loaded || !c.canAct() {
		return
	}
	room := c.cfg.Settings.State.TxnOps
	for _, ch := range l.writes.Queued(writebatch.Occurrence) {
		room -= len(ch.Writes)
	}
	l.recurring.CreateDue(room)
}

// occurrencesWait reports whether some could be made if the allowance let them.
func (c *Core) occurrencesWait() bool {
	l := c.leadership
	return len(l.writes.Queued(writebatch.Occurrence)) > 0 || l.recurring.HasDue() && l.autoscaler.Loaded
}

// recurringLeader is the leader as the scheduler of recurring jobs sees it.
type recurringLeader struct{ core *Core }

var _ recurring.Leader = recurringLeader{}

// Job implements recurring.Leader.
func (r recurringLeader) Job(id string) *fleet.Job { return r.core.leadership.jobs[id] }

// FinalState implements recurring.Leader.
func (r recurringLeader) FinalState(id string) (spec.JobState, bool) {
	final, ok := r.core.jobs.Final(id)
	return final.State, ok
}

// ReadJob implements recurring.Leader.
func (r recurringLeader) ReadJob(id string, f func(status *request.JobStatus, known bool)) {
	r.core.jobs.Read(id, f)
}

// AddJob implements recurring.Leader.
func (r recurringLeader) AddJob(rec *record.Job) { r.core.leadership.admitter.AddCommitted(rec) }

// CatalogRead implements recurring.Leader.
func (r recurringLeader) CatalogRead() bool { return r.core.leadership.autoscaler.Loaded }

// Unschedulable implements recurring.Leader.
func (r recurringLeader) Unschedulable(job *spec.Job) (field, reason string) {
	if refusal := r.core.leadership.admitter.CheckSchedulable(job); refusal != nil {
		return refusal.Field, refusal.Reason
	}
	return "", ""
}

// AdmissionRefused implements recurring.Leader.
func (r recurringLeader) AdmissionRefused(job *spec.Job) (lateness time.Duration, refused bool) {
	return r.core.leadership.admitter.RefusedForNow(job)
}

// FitsValue implements recurring.Leader.
func (r recurringLeader) FitsValue(size int) bool {
	return jobstore.FitsValue(size, r.core.cfg.Settings.State)
}

// Write implements recurring.Leader.
func (r recurringLeader) Write(change *writebatch.Change) { r.core.leadership.writes.Add(change) }

// WakeWriter implements recurring.Leader.
func (r recurringLeader) WakeWriter() { r.core.leadership.writes.WakeSoon() }

// ReadBack implements recurring.Leader.
func (r recurringLeader) ReadBack(key string, f func(entry kv.Entry, found bool)) {
	r.core.readBack(key, f)
}

// Replicate implements recurring.Leader.
func (r recurringLeader) Replicate(entry kv.Entry) { r.core.replicate(entry) }

// DropReplica implements recurring.Leader.
func (r recurringLeader) DropReplica(key string) { r.core.replicateDrop(key) }

// Answer implements recurring.Leader.
func (r recurringLeader) Answer(call request.Request, response request.Response) {
	r.core.answer(call, response)
}

// Serve implements recurring.Leader.
func (r recurringLeader) Serve(call request.Request) { r.core.serve(call) }
