package scenario

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/request"
	"yewpass/internal/spec"
)

// This file simulates users who poll every node at each state change, cancel running or completing
// jobs, and send invalid requests.

// call is an operation in a job's history: a user's request about the job.
type call struct {
	op             request.Operation // Submit, Get or Cancel; "" is the completion of the job's last task
	invoked, ended time.Time         // ended is zero until there is an answer
	status         int               // 0: no answer; the operation may or may not have taken effect
	state          spec.JobState
}

// recordCall records a request in the job's history. The returned function records its answer.
func (w *world) recordCall(u request.Request) func(status int, a request.Response) {
	if w.checksOff || u.Schedule != nil || u.Op != request.Submit && u.Op != request.Get && u.Op != request.Cancel {
		return func(int, request.Response) {}
	}
	id := u.ID
	w.history[id] = append(w.history[id], call{op: u.Op, invoked: w.now})
	i := len(w.history[id]) - 1
	return func(status int, a request.Response) {
		x := &w.history[id][i]
		x.ended, x.status, x.state = w.now, status, a.Job.State
	}
}

func (w *world) jobFinished(j *userJob) {
	if !w.checksOff {
		w.history[j.spec.ID] = append(w.history[j.spec.ID], call{invoked: w.now})
	}
	if j.accepted && !j.cancelRequested && w.cancelOnCompletion.sample(w.clock) {
		w.after([]time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond, time.Second}[w.rng.IntN(5)], func() {
			w.occurrences["cancel-at-end"]++
			w.cancel(j)
		})
	}
	w.pollEveryNode(j, true)
}

var pollDelays = []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond}

// pollEveryNode polls a job at every node several times within 100 ms and repeats its submission.
// At a state change, it does so only while observe_transitions is active, and also cancels one job
// in eight.
func (w *world) pollEveryNode(j *userJob, stateChange bool) {
	if stateChange && !w.now.Before(w.observeTransitionsUntil) || w.checksOff || len(w.nodes) == 0 || w.nodes[0].process != nil {
		return
	}
	w.occurrences["look"]++
	for _, d := range pollDelays {
		for _, n := range w.nodes {
			w.after(d, func() {
				if n.alive {
					w.requestAt(n, request.Get, nil, j.spec.ID, 2*time.Second, w.pollHandler(j))
				}
			})
		}
		w.after(d, func() {
			w.request(request.Submit, j, j.spec.ID, 5*time.Second, func(status int, a request.Response) { w.checkResubmission(j, status, a) })
		})
	}
	if stateChange && !j.cancelRequested && w.rng.IntN(8) == 0 {
		w.after(pollDelays[w.rng.IntN(len(pollDelays))], func() {
			w.occurrences["look-cancel"]++
			w.cancel(j)
		})
	}
}

func (w *world) checkResubmission(j *userJob, status int, a request.Response) {
	switch status {
	case 200, 201:
		w.observeStatus(j, a.Job)
	default:
		w.checkRefusal(j, status)
	}
}

// maxHungMachines bounds the machines that one cancel_running action hangs.
const maxHungMachines = 8

// cancelRunning cancels the n running jobs with the longest remaining run time, within 200 ms. If
// hang is positive, up to maxHungMachines of their machines hang for that long.
func (w *world) cancelRunning(n int, hang time.Duration) {
	left := func(j *userJob) (d time.Duration) {
		for _, m := range w.cloud.machines {
			for _, t := range m.tasks {
				if t.job == j && t.active() {
					if j.spec.Service {
						return math.MaxInt64
					}
					d = max(d, j.runtime-j.progress[t.id.Index]-w.now.Sub(t.startedAt))
				}
			}
		}
		return d
	}
	var js []*userJob
	for _, j := range w.jobOrder {
		if j.accepted && !j.cancelRequested && j.finalState == "" && left(j) > 0 {
			js = append(js, j)
		}
	}
	for _, t := range w.cfg.Settings.Teams {
		if cpus, gpus := w.teamUsage(t.Name); t.CPUsMax > 0 && cpus+1 > t.CPUsMax || t.GPUsMax > 0 && gpus+1 > t.GPUsMax {
			w.occurrences["cancel-at-limit"]++
		}
	}
	slices.SortStableFunc(js, func(a, b *userJob) int { return int(max(-1, min(1, left(b)-left(a)))) })
	js = js[:min(n, len(js))]
	hung := 0
	for _, j := range js {
		w.occurrences["cancel-now"]++
		w.after(time.Duration(w.rng.IntN(200))*time.Millisecond, func() { w.cancel(j) })
		for _, m := range w.cloud.machines {
			on := slices.ContainsFunc(m.tasks, func(t *task) bool { return t.job == j && t.active() })
			if hang > 0 && on && !w.now.Before(m.hungUntil) && hung < maxHungMachines {
				hung++
				w.occurrences["cancel-now-hung"]++
				m.hungUntil = w.now.Add(hang)
			}
		}
	}
}

// sendInvalidRequests sends four requests a second until end: repeated submissions, cancellations
// of ended jobs, and submissions of unschedulable or incomplete jobs.
func (w *world) sendInvalidRequests(end time.Time) {
	if !w.now.Before(end) {
		return
	}
	w.after(250*time.Millisecond, func() { w.sendInvalidRequests(end) })
	var unfinished, ended []*userJob
	for _, j := range w.jobOrder {
		switch {
		case j.accepted && j.finalState == "":
			unfinished = append(unfinished, j)
		case j.finalState != "":
			ended = append(ended, j)
		}
	}
	w.occurrences["odd"]++
	switch k := w.rng.IntN(4); {
	case k == 0 && len(unfinished) > 0:
		j := unfinished[w.rng.IntN(len(unfinished))]
		w.request(request.Submit, j, j.spec.ID, 5*time.Second, func(status int, a request.Response) { w.checkResubmission(j, status, a) })
	case k == 1 && len(ended) > 0:
		j := ended[w.rng.IntN(len(ended))]
		w.request(request.Cancel, nil, j.spec.ID, 5*time.Second, func(status int, a request.Response) {
			switch status {
			case 200:
				w.observeStatus(j, a.Job)
			case 404:
				w.fail("forgotten", "cancellation of ended job %s gets 404", j.spec.ID)
			}
		})
	case k == 2:
		w.submitUnschedulable()
	default:
		w.submitIncomplete()
	}
}

func (w *world) submitUnschedulable() {
	w.lastInvalidID++
	s := spec.Job{ID: fmt.Sprintf("wk-8%07d", w.lastInvalidID), Class: "c", Owner: w.cfg.Settings.Teams[0].Name, Tasks: 1, CPUs: 1, MemGB: 1, Image: "img", AllowSpot: true}
	switch w.rng.IntN(4) {
	case 0:
		s.CPUs = 1e5
	case 1:
		s.Owner = "nobody"
	case 2:
		s.Zone = "elsewhere"
	default:
		s.InstanceTypes = []string{"none"}
	}
	w.call(request.Request{Op: request.Submit, ID: s.ID, Spec: &s}, 5*time.Second, func(status int, a request.Response) {
		switch status {
		case 200, 201:
			w.fail("unfit", "%s is accepted although it can never run", s.ID)
		case 422:
			w.occurrences["odd-unfit"]++
		}
	})
}

// submitIncomplete parses a submission that lacks one required field.
func (w *world) submitIncomplete() {
	w.lastInvalidID++
	id, text, amount, shards, no := fmt.Sprintf("wk-8%07d", w.lastInvalidID), "x", 1.0, 1, false
	shape, urgency := "array", "standard"
	sub := spec.Submission{ID: &id, JobClass: &text, Owner: &text, Shape: &shape, Urgency: &urgency, Shards: &shards, VCPUs: &amount, GPUs: &amount, MemGB: &amount,
		Bundle: &text, SizeGB: &amount, SamePlace: &no, Apart: &no, Reclaimable: &no, RuntimeS: &amount, SnapshotEveryS: &amount, SnapshotS: &amount}
	v := reflect.ValueOf(&sub).Elem()
	var present []int
	for i := range v.NumField() {
		if !v.Field(i).IsNil() {
			present = append(present, i)
		}
	}
	i := present[w.rng.IntN(len(present))]
	v.Field(i).SetZero()
	job, field, _ := sub.Job()
	if w.alterSubmission != nil {
		job = w.alterSubmission(job)
	}
	if job != nil || field == "" {
		w.fail("unfit", "a job without %s is accepted", v.Type().Field(i).Name)
		return
	}
	w.occurrences["odd-lacks"]++
}

// maxWait bounds how long a job may wait, after the last fault has ended, while a machine fits.
const maxWait = 90 * time.Second

// minFitTime is how long a job must have fit on a machine for its waiting time to continue on the
// next one.
const minFitTime = 10 * time.Second

// checkWaiting checks that, after the last fault, no job waits longer than maxWait while a machine
// has room for it and its team is below its limit.
func (w *world) checkWaiting() {
	if w.checksOff || !w.now.After(w.faultsOverAt) {
		return
	}
	for _, j := range w.jobOrder {
		m := (*worker)(nil)
		if j.accepted && !j.cancelRequested && j.finalState == "" && !j.faulty && !j.spec.Service {
			m = w.findFittingWorker(j)
		}
		switch {
		case m == nil:
			j.waitingSince, j.fitting = time.Time{}, nil
		case m != j.fitting:
			if j.fitting == nil || w.now.Sub(j.fittingSince) < minFitTime {
				j.waitingSince = w.now // the gap between two tasks does not count
			}
			j.fitting, j.fittingSince = m, w.now
		case w.now.Sub(laterOf(j.waitingSince, w.faultsOverAt)) > maxWait: // time before a new fault does not count
			w.fail("waits", "%s has waited for 90 s while %s has room", j.spec.ID, m.host)
		}
	}
}

func (w *world) teamUsage(team string) (cpus, gpus float64) {
	u := w.allocations.used(team)
	return u.cpus, u.gpus
}

// findFittingWorker returns a machine that has room for a waiting task of the job, or nil. It
// prefers the machine found before.
func (w *world) findFittingWorker(j *userJob) *worker {
	s := &j.spec
	placed := map[int]bool{}
	zones := map[string]int{}
	cpus, gpus := w.teamUsage(s.Owner)
	for _, t := range j.heldTasks {
		placed[t.id.Index] = true
		zones[t.machine.zone]++
	}
	waits := false
	for i := range s.Tasks {
		waits = waits || !j.done[i] && !placed[i]
	}
	if !waits {
		return nil
	}
	for _, t := range w.admin.possibleTeams(s.Owner, w.now) { // every limit that may be in force
		if t.CPUsMax > 0 && cpus+s.CPUs > t.CPUsMax || t.GPUsMax > 0 && gpus+s.GPUs > t.GPUsMax {
			return nil
		}
	}
	fits := func(m *worker) bool {
		if !m.terminatedAt.IsZero() || m.bootedAt.IsZero() || !m.served || m.failsTasks || !m.preemptedAt.IsZero() || w.now.Before(m.hungUntil) || w.now.Before(m.inboundBlockedUntil) || w.now.Before(m.reportsBlockedUntil) ||
			len(s.InstanceTypes) > 0 && !slices.Contains(s.InstanceTypes, m.instanceType.name) || s.Zone != "" && s.Zone != m.zone || m.spot && !s.AllowSpot {
			return false
		}
		if s.SamePlace && len(zones) > 0 && zones[m.zone] == 0 || s.Apart && zones[m.zone] >= (s.Tasks+1)/2 {
			return false
		}
		free := [3]float64{m.instanceType.cpus, m.instanceType.gpus, m.instanceType.mem}
		for _, t := range m.tasks {
			if t.job != nil && t.phase != heartbeat.Exited {
				free = [3]float64{free[0] - t.job.spec.CPUs, free[1] - t.job.spec.GPUs, free[2] - t.job.spec.MemGB}
			}
		}
		return s.CPUs <= free[0] && s.GPUs <= free[1] && s.MemGB <= free[2]
	}
	if j.fitting != nil && fits(j.fitting) {
		return j.fitting
	}
	if i := slices.IndexFunc(w.cloud.machines, fits); i >= 0 {
		return w.cloud.machines[i]
	}
	return nil
}
