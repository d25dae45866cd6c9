package scenario

import (
	"fmt"
	"time"

	"yewpass/internal/request"
	"yewpass/internal/spec"
)

// userJob is a job, its simulated behavior and its user's knowledge of it.
type userJob struct {
	spec           spec.Job
	runtime        time.Duration // actual run time of a task
	runtimeJitter  float64       // relative deviation of the run time, drawn for each task
	faulty         bool          // all its tasks fail
	firstSubmitted time.Time
	lastSubmitted  time.Time
	status         int       // status of the final answer to the submission, or 0
	resubmitted    bool      // the user has repeated the submission after the job's end
	lastAnswered   time.Time // last answered poll, or the first failed one after it
	failedPolls    int

	userKnowledge
	jobProgress
	jobWait
}

// userKnowledge is what a user has been told about a job.
type userKnowledge struct {
	accepted        bool
	acceptedAt      time.Time     // when the user received the first acceptance
	finalStateAt    time.Time     // when the user received finalState
	finalState      spec.JobState // "", done or cancelled
	cancelRequested bool
	cancelledAt     time.Time // when the user first received the state cancelled
}

// jobProgress is the actual progress of a job's tasks.
type jobProgress struct {
	done         map[int]bool
	firstStarted time.Time // start of its first task
	finished     time.Time
	progress     map[int]time.Duration
	heldTasks    []*task      // on machines: pulling, running or checkpointing
	startedTasks map[int]bool // indexes of started tasks, in load tests
}

// jobWait tracks how long a task has waited although a machine has room for it.
type jobWait struct {
	waitingSince time.Time
	fitting      *worker // machine that has room
	fittingSince time.Time
}

func newJobProgress() jobProgress {
	return jobProgress{done: map[int]bool{}, progress: map[int]time.Duration{}}
}

func (w *world) request(op request.Operation, j *userJob, id string, timeout time.Duration, f func(status int, a request.Response)) {
	w.requestAt(w.pickNode(), op, j, id, timeout, f)
}

func (w *world) requestAt(n *node, op request.Operation, j *userJob, id string, timeout time.Duration, f func(status int, a request.Response)) {
	call := request.Request{Op: op, ID: id}
	if op == request.Submit {
		s := j.spec
		call.Spec = &s
	}
	w.callAt(n, call, timeout, f)
}

// call sends a user's request to a node chosen by the load balancer.
func (w *world) call(call request.Request, timeout time.Duration, f func(status int, a request.Response)) {
	w.callAt(w.pickNode(), call, timeout, f)
}

// callAt sends a user's request to a node; nil means that the load balancer has none. f is called
// once, with status 0 if there is no answer within the timeout.
func (w *world) callAt(n *node, call request.Request, timeout time.Duration, f func(status int, a request.Response)) {
	answered, record := false, w.recordCall(call)
	answer := func(status int, a request.Response) { // w.answeredAt tells f when the node answered
		if !answered {
			answered = true
			record(status, a)
			f(status, a)
		}
	}
	w.after(timeout, func() { answer(0, request.Response{}) })
	if n == nil {
		w.after(10*time.Millisecond, func() { answer(0, request.Response{}) })
		return
	}
	w.net.send("call", "user", n.name, func() {
		if !n.alive {
			w.net.send("answer", n.name, "user", func() { answer(0, request.Response{}) })
			return
		}
		n.ask(func(ref uint64) any {
			call.Ref = ref
			return call
		}, func(v any) {
			a := v.(request.Response)
			answeredAt := w.now
			w.net.send("answer", n.name, "user", func() {
				w.answeredAt = answeredAt
				answer(a.Status, a)
			})
		})
	})
}

// pickNode returns a random node that is ready and reachable, as the load balancer does, or nil.
func (w *world) pickNode() *node {
	var up []*node
	for _, n := range w.nodes {
		if n.alive && n.ready() && w.net.reachable("user", n.name) {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.rng.IntN(len(up))]
}

func retryDelay(a request.Response) time.Duration { return max(time.Second, a.RetryAfter) }

func (w *world) submit(j *userJob) {
	if j.firstSubmitted.IsZero() {
		j.firstSubmitted = w.now
		w.jobs[j.spec.ID] = j
		w.jobOrder = append(w.jobOrder, j)
	}
	j.lastSubmitted = w.now
	w.request(request.Submit, j, j.spec.ID, 5*time.Second, func(status int, a request.Response) {
		w.submitted(j, status, a)
	})
}

func (w *world) submitted(j *userJob, status int, a request.Response) {
	switch status {
	case 200, 201:
		w.observeStatus(j, a.Job)
		if j.status == 0 {
			j.status = status
			w.checkAdmitted(j, true)
			w.after(w.jitter(2500*time.Millisecond, 1), func() { w.poll(j) })
		}
	case 400, 422:
		w.checkRefusal(j, status)
		j.status = status
		if a.Field == "owner" {
			w.checkAdmitted(j, false)
		}
	default:
		w.checkRefusal(j, status)
		w.retrySubmit(j, a)
	}
}

// checkRefusal checks that a submission of an already accepted job is not rejected.
func (w *world) checkRefusal(j *userJob, status int) {
	switch status {
	case 400, 404, 422, 429:
		if j.accepted && w.answeredAt.After(j.acceptedAt) {
			w.fail("forgotten", "repeated submission of %s gets %d", j.spec.ID, status)
		}
	}
}

// retrySubmit retries a submission without a final answer, for up to 60 s.
func (w *world) retrySubmit(j *userJob, a request.Response) {
	if !j.resubmitted && j.status == 0 && w.now.Sub(j.firstSubmitted) < 60*time.Second {
		w.after(retryDelay(a), func() { w.submit(j) })
	}
}

// observeStatus checks a job's status against earlier answers to its user and against its tasks.
func (w *world) observeStatus(j *userJob, v request.JobStatus) {
	if !j.accepted {
		j.accepted, j.acceptedAt = true, w.now
		w.pollEveryNode(j, true)
	}
	if j.finalState != "" && v.State != j.finalState {
		if !w.answeredAt.After(j.finalStateAt) {
			return // sent before the earlier answer
		}
		w.fail("went_back", "%s was reported %s, then %s", j.spec.ID, j.finalState, v.State)
	}
	switch v.State {
	case spec.Done:
		if len(j.done) < j.spec.Tasks {
			w.fail("not_done", "%s is reported done with %d of %d tasks completed", j.spec.ID, len(j.done), j.spec.Tasks)
		}
		if j.finalState == "" {
			defer w.pollEveryNode(j, true)
		}
		j.finalState, j.finalStateAt = v.State, w.now
	case spec.Cancelled:
		if !j.cancelRequested {
			w.fail("went_back", "%s is reported cancelled but its user did not cancel it", j.spec.ID)
		}
		if j.finalState == "" {
			j.cancelledAt, j.finalStateAt = w.now, w.now
			w.cancelledJobs = append(w.cancelledJobs, j)
			defer w.pollEveryNode(j, true)
			w.occurrences["cancelled-on"] += w.tasksOn(j.spec.ID)
		}
		j.finalState = v.State
	}
}

func (w *world) poll(j *userJob) {
	w.pollOnce(j, func() {
		if j.finalState == "" {
			w.after(w.jitter(5*time.Second, 0.2), func() { w.poll(j) })
		} else if !j.resubmitted {
			// Repeat the submission and poll again after the job's end.
			j.resubmitted = true
			w.after(w.jitter(25*time.Second, 0.9), func() { w.submit(j) })
			w.after(w.jitter(40*time.Second, 0.9), func() { w.poll(j) })
		}
	})
}

// addPollLoad polls random jobs at a rate until end. One poll in four is for an unknown job.
func (w *world) addPollLoad(rate float64, end time.Time) {
	if !w.now.Before(end) {
		return
	}
	if w.rng.IntN(4) == 0 || len(w.jobOrder) == 0 {
		w.pollUnknownJob()
	} else {
		w.pollOnce(w.jobOrder[w.rng.IntN(len(w.jobOrder))], func() {})
	}
	w.after(time.Duration(1e9/rate), func() { w.addPollLoad(rate, end) })
}

func (w *world) pollOnce(j *userJob, then func()) {
	handle := w.pollHandler(j)
	w.request(request.Get, nil, j.spec.ID, 2*time.Second, func(status int, a request.Response) {
		handle(status, a)
		then()
	})
}

func (w *world) pollHandler(j *userJob) func(status int, a request.Response) {
	return func(status int, a request.Response) {
		w.polls++
		switch status {
		case 200:
			j.lastAnswered, j.failedPolls = w.now, 0
			w.answerTimes = append(w.answerTimes, w.now)
			w.observeStatus(j, a.Job)
		case 404:
			if j.accepted && w.answeredAt.After(j.acceptedAt) {
				w.fail("forgotten", "accepted job %s gets 404", j.spec.ID)
			}
		default:
			if j.failedPolls == 0 {
				j.lastAnswered = w.now
			}
			j.failedPolls++
			w.failureTimes = append(w.failureTimes, w.now)
			if w.now.Sub(j.lastAnswered) > 90*time.Second && j.failedPolls > 10 && w.countRecent(w.answerTimes) > w.countRecent(w.failureTimes) {
				w.fail("forgotten", "no poll of %s is answered for 90 s", j.spec.ID)
			}
			if since := laterOf(j.lastAnswered, w.faultsOverAt); w.now.Sub(since) > maxUnanswered {
				w.fail("forgotten", "no poll of %s is answered for 75 s after the last fault", j.spec.ID)
			}
		}
	}
}

// maxUnanswered bounds how long polls of one job may fail after the last fault, even if other jobs'
// polls are answered.
const maxUnanswered = 75 * time.Second

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// countRecent returns the number of times within the last 90 s; ts is in ascending order.
func (w *world) countRecent(ts []time.Time) int {
	n := 0
	for i := len(ts) - 1; i >= 0 && w.now.Sub(ts[i]) < 90*time.Second; i-- {
		n++
	}
	return n
}

func (w *world) cancel(j *userJob) {
	j.cancelRequested = true
	w.request(request.Cancel, nil, j.spec.ID, 5*time.Second, func(status int, a request.Response) {
		switch status {
		case 200:
			w.observeStatus(j, a.Job)
		case 404:
			if j.accepted && w.answeredAt.After(j.acceptedAt) {
				w.fail("forgotten", "cancellation of accepted job %s gets 404", j.spec.ID)
			}
		default:
			w.occurrences["cancel-again"]++
			w.after(retryDelay(a), func() { w.cancel(j) })
		}
	})
}

// pollUnknownJobs polls for jobs that were never submitted, every 7 s.
func (w *world) pollUnknownJobs() {
	w.pollUnknownJob()
	w.after(7*time.Second, w.pollUnknownJobs)
}

func (w *world) pollUnknownJob() {
	id := fmt.Sprintf("wk-9%08d", w.rng.IntN(1e8))
	w.request(request.Get, nil, id, 2*time.Second, func(status int, a request.Response) {
		if status == 200 {
			w.fail("invented", "%s was never submitted but gets 200", id)
		}
	})
}
