package recurring

import (
	"time"

	"yewpass/internal/request"
	"yewpass/internal/schedule"
)

const (
	maxWaiting    = 8   // requests that wait for a write of a schedule
	maxManualRuns = 256 // jobs that users have asked for and that are not accepted yet
)

// reply answers the user who waits for the write in flight.
func (s *Scheduler) reply(job *recurringJob, response request.Response) {
	if job.requester != nil {
		s.leader.Answer(*job.requester, response)
		job.requester = nil
	}
}

// AnswerWaiting answers everybody who waits for a write of a schedule.
func (s *Scheduler) AnswerWaiting(response request.Response) {
	for _, job := range s.byName {
		s.reply(job, response)
		for _, call := range job.waiting {
			s.leader.Answer(call, response)
		}
		job.waiting = nil
	}
}

func noSchedule(name string) request.Response {
	return request.Response{Status: 404, Field: "name", Reason: "no schedule " + name}
}

// Serve serves a user's request about schedules.
func (s *Scheduler) Serve(call request.Request) {
	params := call.Schedule
	if !s.loaded {
		s.leader.Answer(call, request.Unavailable("the schedules are being read"))
		return
	}
	if call.Op == request.ScheduleList {
		s.leader.Answer(call, request.Response{Status: 200, Document: s.list(params)})
		return
	}
	if s.unreadable[params.Name] {
		s.leader.Answer(call, request.Unavailable("the schedule's record cannot be read"))
		return
	}
	job := s.byName[params.Name]
	switch {
	case job != nil:
		s.serveKnown(job, call)
	case call.Op == request.SchedulePut:
		s.put(nil, call)
	default:
		s.leader.Answer(call, noSchedule(params.Name))
	}
}

// serveKnown serves a request about a schedule that exists or is being created.
func (s *Scheduler) serveKnown(job *recurringJob, call request.Request) {
	params := call.Schedule
	if call.Op == request.SchedulePut && !job.writing && job.definition != nil && params.File != nil && job.hasDefinition(params.File) {
		// A retry, perhaps because the answer was lost: nothing is left to do.
		s.leader.Answer(call, describe(job, 200))
		return
	}
	reads := isRead(call.Op)
	if job.writing && (!reads || job.record == nil) {
		s.awaitWrite(job, call)
		return
	}
	if !reads && params.IfMatch != "" && params.IfMatch != job.record.ETag() {
		reason := "the schedule has changed since it was read; its ETag is " + job.record.ETag()
		if params.IfMatch == request.IfAbsent {
			reason = "there is a schedule of this name"
		}
		s.leader.Answer(call, request.Response{Status: 412, Field: "name", Reason: reason})
		return
	}
	s.perform(job, call)
}

// isRead reports whether an operation only reads a schedule.
func isRead(op request.Operation) bool {
	return op == request.ScheduleGet || op == request.ScheduleUpcoming || op == request.ScheduleHistory
}

// awaitWrite has a request wait until the write in flight is over.
func (s *Scheduler) awaitWrite(job *recurringJob, call request.Request) {
	if len(job.waiting) >= maxWaiting || job.record == nil {
		s.leader.Answer(call, request.Unavailable("the schedule is being changed"))
		return
	}
	job.waiting = append(job.waiting, call)
}

// perform carries out a request about a schedule.
func (s *Scheduler) perform(job *recurringJob, call request.Request) {
	switch call.Op {
	case request.SchedulePut:
		s.put(job, call)
	case request.ScheduleGet:
		s.leader.Answer(call, describe(job, 200))
	case request.ScheduleUpcoming:
		s.leader.Answer(call, request.Response{Status: 200, Document: upcoming(job, call.Schedule.Count)})
	case request.ScheduleHistory:
		zone := time.UTC
		if job.definition != nil {
			zone = job.definition.Timing.Zone()
		}
		s.leader.Answer(call, request.Response{Status: 200, Document: job.record.HistoryView(zone)})
	case request.ScheduleDelete:
		s.remove(job, call)
	case request.SchedulePause, request.ScheduleResume:
		s.pause(job, call)
	case request.ScheduleRun:
		s.run(job, call)
	}
}

// run submits a job of the schedule now, besides its occurrences. The name that the user
// has given to the request makes the job's ID, so that a retry submits no second one.
func (s *Scheduler) run(job *recurringJob, call request.Request) {
	if job.definition == nil {
		s.leader.Answer(call, request.Response{Status: 422, Reason: job.problem})
		return
	}
	jobSpec := job.definition.Template()
	jobSpec.ID = schedule.RequestJobID(job.record.Number, call.Schedule.IdempotencyKey)
	now := s.engine.WallClock()
	if due := job.definition.Timing.DeadlineAfter(now); !due.IsZero() {
		jobSpec.Deadline, jobSpec.HasDeadline = due.Sub(now), true
	}
	if len(s.manualRuns) >= maxManualRuns { // refused ones that nobody has asked for again
		clear(s.manualRuns)
	}
	s.manualRuns[jobSpec.ID] = job
	s.leader.Serve(request.Request{Ref: call.Ref, From: call.From, Op: request.Submit, ID: jobSpec.ID, Spec: &jobSpec})
}
