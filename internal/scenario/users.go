package scenario

import (
	"fmt"
	"time"

	"yewpass/internal/request"
	"yewpass/internal/spec"
)

// userJob is a job and what its user knows of it.
type userJob struct {
	spec    spec.Job
	runs    time.Duration // how long a task really takes
	varies  float64       // give or take this part of it, each task for itself
	faulty  bool          // every task fails
	first   time.Time     // first attempt to submit
	asking  time.Time     // when its user made the submission at hand
	status  int           // the answer that ended the submission
	asked   bool          // a repeated submission has been made
	reached time.Time     // last answered poll
	failing int

	userKnowledge
	jobProgress
	jobRoom
}

// userKnowledge is what a user was told of a job.
type userKnowledge struct {
	accepted    bool
	since       time.Time     // when its user first heard that it is accepted
	toldOn      time.Time     // when its user was told the state in told
	told        spec.JobState // the last state of consequence: "", done or cancelled
	wantsCancel bool          // its user asked to cancel it
	toldAt      time.Time     // when it was told cancelled
}

// jobProgress is what has become of a job's tasks.
type jobProgress struct {
	done         map[int]bool
	begun        time.Time // its first task has started
	finished     time.Time
	progress     map[int]time.Duration
	held         []*task      // that machines hold: fetching, running or saving
	startedTasks map[int]bool // that have started once, where that is measured
}

// jobRoom is what is known of machines that a waiting task could run on.
type jobRoom struct {
	waits    time.Time // since when a task of it could run on a machine that is there
	roomOn   *worker   // which has room for it
	roomFrom time.Time // and since when
}

func newJobProgress() jobProgress {
	return jobProgress{done: map[int]bool{}, progress: map[int]time.Duration{}}
}

func (w *world) request(op request.Operation, j *userJob, id string, timeout time.Duration, f func(status int, a request.Response)) {
	w.requestAt(w.pickNode(), op, j, id, timeout, f)
}

// requestAt is request at one node.
func (w *world) requestAt(n *node, op request.Operation, j *userJob, id string, timeout time.Duration, f func(status int, a request.Response)) {
	call := request.Request{Op: op, ID: id}
	if op == request.Submit {
		s := j.spec
		call.Spec = &s
	}
	w.callAt(n, call, timeout, f)
}

// call makes a user's call through the load balancer.
func (w *world) call(call request.Request, timeout time.Duration, f func(status int, a request.Response)) {
	w.callAt(w.pickNode(), call, timeout, f)
}

// callAt makes a user's call at a node, nil: none takes it.
func (w *world) callAt(n *node, call request.Request, timeout time.Duration, f func(status int, a request.Response)) {
	over, record := false, w.recordCall(call)
	answer := func(status int, a request.Response) { // f learns in w.given when the node gave its answer
		if !over {
			over = true
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
			given := w.now
			w.net.send("answer", n.name, "user", func() {
				w.answeredAt = given
				answer(a.Status, a)
			})
		})
	})
}

// pickNode chooses as the load balancer does: among the nodes that are up.
func (w *world) pickNode() *node {
	var up []*node
	for _, n := range w.nodes {
		if n.alive && n.ready() && w.net.open("user", n.name) {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.rng.IntN(len(up))]
}

func again(a request.Response) time.Duration { return max(time.Second, a.RetryAfter) }

func (w *world) submit(j *userJob) {
	if j.first.IsZero() {
		j.first = w.now
		w.jobs[j.spec.ID] = j
		w.order = append(w.order, j)
	}
	j.asking = w.now
	w.request(request.Submit, j, j.spec.ID, 5*time.Second, func(status int, a request.Response) {
		w.submitted(j, status, a)
	})
}

func (w *world) submitted(j *userJob, status int, a request.Response) {
	switch status {
	case 200, 201:
		w.hear(j, a.Job)
		if j.status == 0 {
			j.status = status
			w.checkAdmitted(j, true)
			w.after(w.spread(2500*time.Millisecond, 1), func() { w.poll(j) })
		}
	case 400, 422:
		w.refused(j, status)
		j.status = status
		if a.Field == "owner" {
			w.checkAdmitted(j, false)
		}
	default:
		w.refused(j, status)
		w.submitAgain(j, a)
	}
}

// refused looks at an answer to a submission that is none of an accepted job's.
func (w *world) refused(j *userJob, status int) {
	switch status {
	case 400, 404, 422, 429:
		if j.accepted && w.answeredAt.After(j.since) {
			w.fail("forgotten", "repeated submission of %s gets %d", j.spec.ID, status)
		}
	}
}

// submitAgain is for a submission that has got no final answer.
func (w *world) submitAgain(j *userJob, a request.Response) {
	if !j.asked && j.status == 0 && w.now.Sub(j.first) < 60*time.Second {
		w.after(again(a), func() { w.submit(j) })
	}
}

// hear checks an answer against what the user was told before and against what
// really happened.
func (w *world) hear(j *userJob, v request.JobStatus) {
	if !j.accepted {
		j.accepted, j.since = true, w.now
		w.observeJob(j, true)
	}
	if j.told != "" && v.State != j.told {
		if !w.answeredAt.After(j.toldOn) {
			return // given before, and overtaken on the way
		}
		w.fail("went_back", "%s was called %s, then %s", j.spec.ID, j.told, v.State)
	}
	switch v.State {
	case spec.Done:
		if len(j.done) < j.spec.Tasks {
			w.fail("not_done", "%s is called done with %d of %d tasks", j.spec.ID, len(j.done), j.spec.Tasks)
		}
		if j.told == "" {
			defer w.observeJob(j, true)
		}
		j.told, j.toldOn = v.State, w.now
	case spec.Cancelled:
		if !j.wantsCancel {
			w.fail("went_back", "%s is called cancelled, its user did not cancel it", j.spec.ID)
		}
		if j.told == "" {
			j.toldAt, j.toldOn = w.now, w.now
			w.cancelledJobs = append(w.cancelledJobs, j)
			defer w.observeJob(j, true)
			w.occurrences["cancelled-on"] += w.tasksOn(j.spec.ID)
		}
		j.told = v.State
	}
}

func (w *world) poll(j *userJob) {
	w.pollOnce(j, func() {
		if j.told == "" {
			w.after(w.spread(5*time.Second, 0.2), func() { w.poll(j) })
		} else if !j.asked {
			// A late repetition, long after the end, and one more poll.
			j.asked = true
			w.after(w.spread(25*time.Second, 0.9), func() { w.submit(j) })
			w.after(w.spread(40*time.Second, 0.9), func() { w.poll(j) })
		}
	})
}

// storm has users ask many times as often: about jobs that there are or were, every
// fourth time about one that there never was.
func (w *world) storm(rate float64, end time.Time) {
	if !w.now.Before(end) {
		return
	}
	if w.rng.IntN(4) == 0 || len(w.order) == 0 {
		w.pollUnknown()
	} else {
		w.pollOnce(w.order[w.rng.IntN(len(w.order))], func() {})
	}
	w.after(time.Duration(1e9/rate), func() { w.storm(rate, end) })
}

// pollOnce polls once and has then called after the answer.
func (w *world) pollOnce(j *userJob, then func()) {
	take := w.polled(j)
	w.request(request.Get, nil, j.spec.ID, 2*time.Second, func(status int, a request.Response) {
		take(status, a)
		then()
	})
}

// polled returns what takes the answer to a poll.
func (w *world) polled(j *userJob) func(status int, a request.Response) {
	return func(status int, a request.Response) {
		w.polls++
		switch status {
		case 200:
			j.reached, j.failing = w.now, 0
			w.answerTimes = append(w.answerTimes, w.now)
			w.hear(j, a.Job)
		case 404:
			if j.accepted && w.answeredAt.After(j.since) {
				w.fail("forgotten", "accepted job %s gets 404", j.spec.ID)
			}
		default:
			if j.failing == 0 {
				j.reached = w.now
			}
			j.failing++
			w.failures = append(w.failures, w.now)
			if w.now.Sub(j.reached) > 90*time.Second && j.failing > 10 && w.since(w.answerTimes) > w.since(w.failures) {
				w.fail("forgotten", "no poll of %s is answered for 90 s", j.spec.ID)
			}
			if since := later(j.reached, w.faultsOverAt); w.now.Sub(since) > unansweredMost {
				w.fail("forgotten", "no poll of %s is answered for 75 s after the last trouble", j.spec.ID)
			}
		}
	}
}

// unansweredMost is for how long a job may go without an answer once all troubles are over,
// however other jobs fare.
const unansweredMost = 75 * time.Second

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// since counts the entries of the last 90 s.
func (w *world) since(ts []time.Time) int {
	n := 0
	for i := len(ts) - 1; i >= 0 && w.now.Sub(ts[i]) < 90*time.Second; i-- {
		n++
	}
	return n
}

func (w *world) cancel(j *userJob) {
	j.wantsCancel = true
	w.request(request.Cancel, nil, j.spec.ID, 5*time.Second, func(status int, a request.Response) {
		switch status {
		case 200:
			w.hear(j, a.Job)
		case 404:
			if j.accepted && w.answeredAt.After(j.since) {
				w.fail("forgotten", "cancellation of accepted job %s gets 404", j.spec.ID)
			}
		default:
			w.occurrences["cancel-again"]++
			w.after(again(a), func() { w.cancel(j) })
		}
	})
}

// askUnknown polls for jobs that nobody has submitted.
func (w *world) askUnknown() {
	w.pollUnknown()
	w.after(7*time.Second, w.askUnknown)
}

func (w *world) pollUnknown() {
	id := fmt.Sprintf("wk-9%08d", w.rng.IntN(1e8))
	w.request(request.Get, nil, id, 2*time.Second, func(status int, a request.Response) {
		if status == 200 {
			w.fail("invented", "%s, which nobody submitted, gets 200", id)
		}
	})
}
