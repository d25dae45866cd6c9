package recurring

import (
	"time"

	"yewpass/internal/request"
	"yewpass/internal/schedule"
)

const (
	maxWaitingRequests = 8   // requests that wait for a write, per schedule
	maxManualRuns      = 256 // manual runs not accepted yet
)

// reply answers the requester of the write in flight, if there is one.
func (s *Scheduler) reply(sched *scheduleState, response request.Response) {
	if sched.requester != nil {
		s.leader.Answer(*sched.requester, response)
		sched.requester = nil
	}
}

// AnswerWaiting sends response to all users whose requests wait for a write of a schedule.
func (s *Scheduler) AnswerWaiting(response request.Response) {
	for _, sched := range s.byName {
		s.reply(sched, response)
		for _, call := range sched.waitingRequests {
			s.leader.Answer(call, response)
		}
		sched.waitingRequests = nil
	}
}

func notFound(name string) request.Response {
	return request.Response{Status: 404, Field: "name", Reason: "no schedule " + name}
}

// Serve handles a user's request about schedules.
func (s *Scheduler) Serve(call request.Request) {
	params := call.Schedule
	if !s.loaded {
		s.leader.Answer(call, request.Unavailable("the schedules are being loaded"))
		return
	}
	if call.Op == request.ScheduleList {
		s.leader.Answer(call, request.Response{Status: 200, Document: s.list(params)})
		return
	}
	if s.unreadable[params.Name] {
		s.leader.Answer(call, request.Unavailable("the schedule's record is unreadable"))
		return
	}
	sched := s.byName[params.Name]
	switch {
	case sched != nil:
		s.serveExisting(sched, call)
	case call.Op == request.SchedulePut:
		s.put(nil, call)
	default:
		s.leader.Answer(call, notFound(params.Name))
	}
}

// serveExisting handles a request about a schedule that exists or is being created.
func (s *Scheduler) serveExisting(sched *scheduleState, call request.Request) {
	params := call.Schedule
	if call.Op == request.SchedulePut && !sched.writeInFlight && sched.definition != nil && params.File != nil && sched.hasDefinition(params.File) {
		// a retry, for example after a lost response
		s.leader.Answer(call, scheduleResponse(sched, 200))
		return
	}
	readOnly := isReadOnly(call.Op)
	if sched.writeInFlight && (!readOnly || sched.record == nil) {
		s.queueRequest(sched, call)
		return
	}
	if !readOnly && params.IfMatch != "" && params.IfMatch != sched.record.ETag() {
		reason := "the schedule has been modified; its current ETag is " + sched.record.ETag()
		if params.IfMatch == request.IfAbsent {
			reason = "a schedule with this name already exists"
		}
		s.leader.Answer(call, request.Response{Status: 412, Field: "name", Reason: reason})
		return
	}
	s.execute(sched, call)
}

func isReadOnly(op request.Operation) bool {
	return op == request.ScheduleGet || op == request.ScheduleUpcoming || op == request.ScheduleHistory
}

// queueRequest queues a request until the write in flight is finished.
func (s *Scheduler) queueRequest(sched *scheduleState, call request.Request) {
	if len(sched.waitingRequests) >= maxWaitingRequests || sched.record == nil {
		s.leader.Answer(call, request.Unavailable("the schedule is being changed"))
		return
	}
	sched.waitingRequests = append(sched.waitingRequests, call)
}

func (s *Scheduler) execute(sched *scheduleState, call request.Request) {
	switch call.Op {
	case request.SchedulePut:
		s.put(sched, call)
	case request.ScheduleGet:
		s.leader.Answer(call, scheduleResponse(sched, 200))
	case request.ScheduleUpcoming:
		s.leader.Answer(call, request.Response{Status: 200, Document: upcoming(sched, call.Schedule.Count)})
	case request.ScheduleHistory:
		zone := time.UTC
		if sched.definition != nil {
			zone = sched.definition.Timing.Zone()
		}
		s.leader.Answer(call, request.Response{Status: 200, Document: sched.record.HistoryView(zone)})
	case request.ScheduleDelete:
		s.remove(sched, call)
	case request.SchedulePause, request.ScheduleResume:
		s.pause(sched, call)
	case request.ScheduleRun:
		s.runNow(sched, call)
	}
}

// runNow submits a job of the schedule in addition to its occurrences. The job ID is derived
// from the idempotency key of the request, so that a retry does not submit a second job.
func (s *Scheduler) runNow(sched *scheduleState, call request.Request) {
	if sched.definition == nil {
		s.leader.Answer(call, request.Response{Status: 422, Reason: sched.disabledReason})
		return
	}
	jobSpec := sched.definition.Template()
	jobSpec.ID = schedule.RequestJobID(sched.record.Number, call.Schedule.IdempotencyKey)
	now := s.engine.WallClock()
	if due := sched.definition.Timing.DeadlineAfter(now); !due.IsZero() {
		jobSpec.Deadline, jobSpec.HasDeadline = due.Sub(now), true
	}
	if len(s.manualRuns) >= maxManualRuns { // full of refused runs that were not retried
		clear(s.manualRuns)
	}
	s.manualRuns[jobSpec.ID] = sched
	s.leader.Serve(request.Request{Ref: call.Ref, From: call.From, Op: request.Submit, ID: jobSpec.ID, Spec: &jobSpec})
}
