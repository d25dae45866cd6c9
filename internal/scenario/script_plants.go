package scenario

import (
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/request"
	"yewpass/internal/spec"
)

// violateRule changes the simulated cluster, without the controllers, so that it violates a rule.
// Tests verify that the checker detects the violation.
func (s *script) violateRule(rule string) {
	w := s.world
	ms := s.busiest(len(w.cloud.machines))
	j := w.jobOrder[0]
	force := func(m *worker, id heartbeat.TaskID) {
		t := &task{id: id, attempt: 1, job: w.jobs[id.Job], phase: heartbeat.Pulling}
		m.tasks = append(m.tasks, t)
		w.allocations.allocate(m, t)
		w.needsCheck = true
		m.runTask(t)
	}
	switch rule {
	case "ran_twice":
		for _, t := range ms[0].tasks {
			if t.active() {
				force(ms[1], t.id)
				return
			}
		}
	case "quota":
		for i := range 40 {
			force(ms[i%len(ms)], heartbeat.TaskID{Job: j.spec.ID, Index: i % j.spec.Tasks})
		}
	case "wrong_place":
		j.spec.Zone = "elsewhere"
		force(ms[0], heartbeat.TaskID{Job: j.spec.ID})
	case "ran_cancelled":
		j.finalState, j.cancelledAt = spec.Cancelled, w.now.Add(-w.cancelDeadline-time.Second)
		w.cancelledJobs = append(w.cancelledJobs, j)
		w.needsCheck = true
	case "forgotten":
		w.answeredAt = w.now
		w.submitted(j, 422, request.Response{})
	case "invented":
		k := map[string]*userJob{}
		w.jobs = k // no user has submitted the job
		w.request(request.Get, nil, j.spec.ID, 2*time.Second, func(status int, a request.Response) {
			if status == 200 && w.jobs[j.spec.ID] == nil {
				w.fail("invented", "%s gets 200", j.spec.ID)
			}
		})
		w.after(3*time.Second, func() { w.jobs[j.spec.ID] = j })
	case "not_done":
		w.answeredAt = w.now
		w.observeStatus(j, request.JobStatus{ID: j.spec.ID, State: spec.Done})
	case "went_back":
		w.answeredAt = w.now
		w.observeStatus(j, request.JobStatus{ID: j.spec.ID, State: spec.Cancelled})
	case "nothing_ran":
		w.started = 0
		w.at(w.start.Add(s.end), func() { w.started = 0 })
	default:
		panic("plant: unknown rule " + rule)
	}
}
