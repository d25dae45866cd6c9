package core

import (
	"log/slog"
	"strings"
	"time"

	"yewpass/internal/admission"
	"yewpass/internal/fleet"
	"yewpass/internal/jobstore"
	"yewpass/internal/kv"
	"yewpass/internal/peermsg"
	"yewpass/internal/policy"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
	"yewpass/internal/writebatch"
)

// submission is a submission whose record is on its way to the state service.
type submission struct {
	spec    *spec.Job
	waiters []request.Request
}

func (a *submission) answerAll(c *Core, ans request.Response) {
	for _, w := range a.waiters {
		c.answer(w, ans)
	}
	a.waiters = nil
}

// answer sends an answer to where the request came from.
func (c *Core) answer(call request.Request, a request.Response) { c.Emit(peermsg.Reply(call, a)) }

// userCall serves a request of a user, or one that another controller has forwarded.
func (c *Core) userCall(call request.Request) {
	switch {
	case call.Op == request.ConfigHere:
		c.answer(call, request.Response{Status: 200, Doc: c.LocalConfig()})
	case c.canAct():
		c.serve(call)
	default:
		c.gateway.Serve(call)
	}
}

// serve answers as the leader.
func (c *Core) serve(call request.Request) {
	l := c.leadership
	if call.Schedule != nil {
		l.recurring.Serve(call)
		return
	}
	if call.Config != nil {
		c.serveConfig(call)
		return
	}
	if request.IsCluster(call.Op) {
		c.serveCluster(call)
		return
	}
	if l.unreadableJobs[call.ID] {
		c.rereadUnreadable(call)
		return
	}
	if j := l.jobs[call.ID]; j != nil {
		if call.Op == request.Cancel {
			c.leadership.lifecycle.Cancel(j, call)
			return
		}
		if j.Cancelled || !c.leadership.lifecycle.WaitForEnding(j, call) {
			c.answer(call, request.Response{Status: 200, View: j.View(), Reason: c.waitReason(j)})
		}
		return
	}
	if f, ok := c.jobs.Final(call.ID); ok {
		c.answer(call, request.Response{Status: 200, View: jobstore.FinalStatus(call.ID, f)})
		return
	}
	if a := l.accept[call.ID]; a != nil {
		if call.Op == request.Submit {
			a.waiters = append(a.waiters, call)
		} else {
			c.answer(call, request.Unavailable("the submission is being recorded"))
		}
		return
	}
	if call.Op == request.Submit {
		c.submit(call)
		return
	}
	c.answerFromRecords(call, func() { c.answer(call, request.Response{Status: 404, Reason: "no such job"}) })
}

// rereadUnreadable looks again at the record of a job that could not be read: it may have been put
// right, or dropped.
func (c *Core) rereadUnreadable(call request.Request) {
	l, id := c.leadership, call.ID
	no := func() { c.answer(call, request.Unavailable("the job's record cannot be read")) }
	if !c.jobs.Allow(2) {
		no()
		return
	}
	c.storeWhileLeadingOr(kv.Request{Op: kv.Get, Key: record.JobPrefix + id}, no, func(r kv.Response) {
		var rec *record.Job
		if r.Outcome == rpc.OK {
			rec, _ = r.Entries[0].Value.(*record.Job)
		}
		switch {
		case !l.unreadableJobs[id]: // somebody else's question has seen to it
			c.serve(call)
		case r.Outcome == rpc.NotFound:
			delete(l.unreadableJobs, id)
			c.serve(call)
		case rec == nil || rec.Spec.ID != id:
			no()
		default:
			c.storeWhileLeadingOr(kv.Request{Op: kv.List, Key: record.ProgressPrefix + id + "/", Limit: 400}, no, func(p kv.Response) {
				if p.Outcome != rpc.OK || p.More {
					no()
					return
				}
				if l.unreadableJobs[id] && !c.adoptReadable(r.Entries[0], p.Entries) {
					no()
					return
				}
				c.serve(call)
			})
		}
	})
}

// adoptReadable takes on a job whose record could not be read before. Its tasks were stopped; those
// that may still be on machines are its own again until they are gone. A record that a fault
// of ours cannot take in stays set aside, as at a take-over.
func (c *Core) adoptReadable(rec kv.Entry, progress []kv.Entry) bool {
	l, id := c.leadership, strings.TrimPrefix(rec.Key, record.JobPrefix)
	delete(l.unreadableJobs, id)
	c.loadRecord(rec)
	j := l.jobs[id]
	if j == nil {
		return false
	}
	c.Log(slog.LevelInfo, "record readable again", "key", rec.Key)
	c.replicate(rec)
	for _, e := range progress {
		c.replicate(e)
		c.loadRecord(e)
	}
	for _, m := range l.inventory.Machines() {
		for _, r := range m.Attempts {
			if r.Orphaned && r.ID.Job == id {
				c.leadership.placement.Vacate(r)
				if r.ID.Index < j.Spec.Tasks && j.Attempts[r.ID.Index] == nil {
					c.leadership.placement.Occupy(r, j)
				}
			}
		}
	}
	c.leadership.lifecycle.Queue(j)
	return true
}

// answerFromRecords answers from the records, or calls missing for a job that has none.
// A record that memory does not have is an acceptance whose write came through
// after it had been given up: the job is taken on.
func (c *Core) answerFromRecords(call request.Request, missing func()) {
	l := c.leadership
	c.jobs.Read(call.ID, func(v *request.JobStatus, known bool) {
		switch {
		case c.leadership != l || !c.canAct() || !known:
			c.answer(call, request.Unavailable("the state service does not answer"))
		case l.jobs[call.ID] != nil || l.accept[call.ID] != nil:
			c.serve(call) // accepted since the read began, which saw nothing of it
		case v == nil && l.mayHaveLostJobs(c.Now):
			c.answer(call, request.Unavailable("data was lost, and what there is is being looked for"))
		case v == nil:
			c.confirmTerm(record.NoJob(call.ID), func(r kv.Response) {
				if r.Outcome == rpc.OK && c.canAct() {
					missing()
				} else {
					c.answer(call, request.Unavailable("the state service does not answer"))
				}
			})
		case v.State == spec.Done || v.State == spec.Cancelled:
			c.answer(call, request.Response{Status: 200, View: *v})
		default:
			c.adopt(call.ID, func() { c.serve(call) }, func() {
				c.answer(call, request.Unavailable("the state service does not answer"))
			})
		}
	})
}

// adopt takes on a job whose record exists but which memory lacks.
func (c *Core) adopt(id string, then, otherwise func()) {
	c.storeWhileLeading(kv.Request{Op: kv.Get, Key: record.JobPrefix + id}, func(r kv.Response) {
		if r.Outcome != rpc.OK {
			otherwise()
			return
		}
		c.replicate(r.Entries[0])
		if rec, _ := r.Entries[0].Value.(*record.Job); rec != nil && c.leadership.jobs[id] == nil {
			a := c.leadership.accept[id]
			delete(c.leadership.accept, id)
			j := c.leadership.lifecycle.Add(rec, false)
			c.leadership.lifecycle.Queue(j)
			if a != nil { // what another node has accepted meanwhile: nobody else tells them
				a.answerAll(c, request.Response{Status: 200, View: j.View()})
			}
		}
		if c.leadership.jobs[id] == nil {
			otherwise()
			return
		}
		then()
	})
}

// submit decides on a new job and answers once its record is committed.
func (c *Core) submit(call request.Request) {
	l := c.leadership
	if len(l.autoscaler.InstanceTypes) == 0 {
		c.answer(call, request.Unavailable("the machine types are not known yet"))
		return
	}
	s := call.Spec
	if !c.fitsValue(record.JobSize(s)) {
		// Its record would not fit into a value, now or on any retry.
		c.answer(call, admission.TooLong)
		return
	}
	// A refusal must never meet a job that was accepted once, so the records
	// have the last word before it.
	if refusal := c.checkSchedulable(s); refusal != nil {
		if !l.autoscaler.Loaded {
			c.answer(call, request.Unavailable("the machine types are not known yet"))
			return
		}
		c.answerFromRecords(call, func() { c.answer(call, refusal.Response()) })
		return
	}
	if late, refused := c.admissionRefused(s); refused {
		c.answerFromRecords(call, func() {
			c.Log(slog.LevelInfo, "admission refused", "job", s.ID, "class", s.Class, "late", late)
			wait := min(max(late, time.Second), 30*time.Second)
			c.answer(call, request.Response{Status: 429, RetryAfter: wait, Reason: "no timeline can complete the job in time at present"})
		})
		return
	}
	a := &submission{spec: s, waiters: []request.Request{call}}
	l.accept[s.ID] = a
	rec := &record.Job{Spec: *s, Submitted: c.Now.Round(0)}
	l.writes.Add(&writebatch.Change{
		Size:       record.JobSize(s),
		Conditions: record.NoJob(s.ID),
		Writes:     []kv.Write{{Key: record.JobPrefix + s.ID, Value: rec}},
		OnCommit: func(uint64) {
			delete(l.accept, s.ID)
			j := c.newJob(rec)
			a.answerAll(c, request.Response{Status: 201, View: j.View()})
		},
		OnConflict: func() { c.resolveAdmissionConflict(a) },
		OnReject: func() {
			delete(l.accept, s.ID)
			a.answerAll(c, request.Unavailable("the state service rejects the record"))
		},
	})
}

// newJob takes on a job whose record has just been committed.
func (c *Core) newJob(rec *record.Job) *fleet.Job {
	j := c.leadership.lifecycle.Add(rec, false)
	c.leadership.recurring.JobAdded(j)
	c.leadership.autoscaler.RecordArrival(j)
	c.leadership.placement.PreferImageLocality(j)
	c.leadership.lifecycle.Queue(j)
	return j
}

// resolveAdmissionConflict: the job has a record already, maybe from a try of ours whose
// outcome was not known.
func (c *Core) resolveAdmissionConflict(a *submission) {
	id := a.spec.ID
	c.jobs.Read(id, func(v *request.JobStatus, known bool) {
		if c.leadership == nil || c.leadership.accept[id] != a {
			return
		}
		switch {
		case !known || v == nil:
			a.answerAll(c, request.Unavailable("the state service does not answer"))
			c.afterWhileLeading(time.Second, func() { c.resolveAdmissionConflict(a) })
		case v.State == spec.Done || v.State == spec.Cancelled:
			delete(c.leadership.accept, id)
			a.answerAll(c, request.Response{Status: 200, View: *v})
		default:
			c.adopt(id, func() {
				delete(c.leadership.accept, id)
				if j := c.leadership.jobs[id]; j != nil {
					a.answerAll(c, request.Response{Status: 200, View: j.View()})
				}
			}, func() {
				a.answerAll(c, request.Unavailable("the state service does not answer"))
				c.afterWhileLeading(time.Second, func() { c.resolveAdmissionConflict(a) })
			})
		}
	})
}

// checkSchedulable returns why a job can never be scheduled, or nil.
func (c *Core) checkSchedulable(s *spec.Job) *admission.Refusal {
	return admission.CheckSchedulable(s, c.leadership.teams[s.Owner], c.leadership.autoscaler.InstanceTypes)
}

// admissionRefused judges a dated job against the timelines of the machines at hand and
// of the types that can be rented, and asks the policy.
func (c *Core) admissionRefused(s *spec.Job) (time.Duration, bool) {
	if !s.HasDeadline || c.pol.NeverRefuses() {
		return 0, false // what the timelines say is a search over the whole fleet
	}
	late := c.lateness(s)
	e := c.policyEnv()
	e.Class, e.Owner, e.Urgency, e.Dated, e.LateS = s.Class, s.Owner, s.Urgency.String(), true, late.Seconds()
	return late, c.pol.Refuse(e)
}

func (c *Core) policyEnv() policy.Env {
	e := policy.Env{ReportS: c.heartbeatInterval.Seconds(), LeaseS: c.workerLease.Seconds()}
	if c.leadership != nil {
		e.BacklogS = c.leadership.autoscaler.Backlog().Seconds()
	}
	return e
}

// fitsValue reports whether a record of so many bytes fits into a value of the key-value
// store.
func (c *Core) fitsValue(size int) bool { return jobstore.FitsValue(size, c.cfg.Settings.State) }
