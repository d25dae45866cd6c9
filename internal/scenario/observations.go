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

// What users do besides the ordinary, as the operators' bench names it: they look closely,
// call off just now or just at the end, and ask for what cannot be.

// call is a user's call on a job: an operation of the job's history.
type call struct {
	op             request.Operation // OpSubmit, OpGet, OpCancel; "" is the end of its last task
	invoked, ended time.Time         // ended is zero while there is no answer
	status         int               // 0: none, it may have happened or not
	state          spec.JobState
}

// recordCall notes a call and returns what notes its answer.
func (w *world) recordCall(u request.Request) func(status int, a request.Response) {
	if w.unchecked || u.Schedule != nil || u.Op != request.Submit && u.Op != request.Get && u.Op != request.Cancel {
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

// jobEnded: the last task of a job has just completed.
func (w *world) jobEnded(j *userJob) {
	if !w.unchecked {
		w.history[j.spec.ID] = append(w.history[j.spec.ID], call{invoked: w.now})
	}
	if j.accepted && !j.wantsCancel && w.cancelAtEnd.hits(w.clock) {
		w.after([]time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond, time.Second}[w.rng.IntN(5)], func() {
			w.occurrences["cancel-at-end"]++
			w.cancel(j)
		})
	}
	w.observeJob(j, true)
}

// lookTimes is when users look again.
var lookTimes = []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond}

// observeJob has a job's user ask every node at once and again within milliseconds, and repeat
// the submission; some also call the job off. During, as close_looks has it: only while that lasts.
func (w *world) observeJob(j *userJob, during bool) {
	if during && !w.now.Before(w.observeUntil) || w.unchecked || len(w.nodes) == 0 || w.nodes[0].process != nil {
		return
	}
	w.occurrences["look"]++
	for _, d := range lookTimes {
		for _, n := range w.nodes {
			w.after(d, func() {
				if n.alive {
					w.requestAt(n, request.Get, nil, j.spec.ID, 2*time.Second, w.polled(j))
				}
			})
		}
		w.after(d, func() {
			w.request(request.Submit, j, j.spec.ID, 5*time.Second, func(status int, a request.Response) { w.repeatSubmission(j, status, a) })
		})
	}
	if during && !j.wantsCancel && w.rng.IntN(8) == 0 {
		w.after(lookTimes[w.rng.IntN(len(lookTimes))], func() {
			w.occurrences["look-cancel"]++
			w.cancel(j)
		})
	}
}

// repeatSubmission takes the answer to a repeated submission of an accepted job.
func (w *world) repeatSubmission(j *userJob, status int, a request.Response) {
	switch status {
	case 200, 201:
		w.hear(j, a.Job)
	default:
		w.refused(j, status)
	}
}

// hungMost is on how many machines a cancel_now falls that hang.
const hungMost = 8

// cancelRunning has users call off the jobs that run and have the longest to go, within a fifth
// of a second; up to eight of their machines hang.
func (w *world) cancelRunning(n int, hang time.Duration) {
	left := func(j *userJob) (d time.Duration) {
		for _, m := range w.cloud.machines {
			for _, t := range m.tasks {
				if t.job == j && t.on() {
					if j.spec.Service {
						return math.MaxInt64
					}
					d = max(d, j.runs-j.progress[t.id.Index]-w.now.Sub(t.began))
				}
			}
		}
		return d
	}
	var js []*userJob
	for _, j := range w.order {
		if j.accepted && !j.wantsCancel && j.told == "" && left(j) > 0 {
			js = append(js, j)
		}
	}
	for _, t := range w.cfg.Settings.Teams {
		if cpus, gpus := w.uses(t.Name); t.CPUsMax > 0 && cpus+1 > t.CPUsMax || t.GPUsMax > 0 && gpus+1 > t.GPUsMax {
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
			on := slices.ContainsFunc(m.tasks, func(t *task) bool { return t.job == j && t.on() })
			if hang > 0 && on && !w.now.Before(m.hung) && hung < hungMost {
				hung++
				w.occurrences["cancel-now-hung"]++
				m.hung = w.now.Add(hang)
			}
		}
	}
}

// sendOddRequests has users make requests that are none of the ordinary, four a second.
func (w *world) sendOddRequests(end time.Time) {
	if !w.now.Before(end) {
		return
	}
	w.after(250*time.Millisecond, func() { w.sendOddRequests(end) })
	var going, over []*userJob
	for _, j := range w.order {
		switch {
		case j.accepted && j.told == "":
			going = append(going, j)
		case j.told != "":
			over = append(over, j)
		}
	}
	w.occurrences["odd"]++
	switch k := w.rng.IntN(4); {
	case k == 0 && len(going) > 0:
		j := going[w.rng.IntN(len(going))]
		w.request(request.Submit, j, j.spec.ID, 5*time.Second, func(status int, a request.Response) { w.repeatSubmission(j, status, a) })
	case k == 1 && len(over) > 0:
		j := over[w.rng.IntN(len(over))]
		w.request(request.Cancel, nil, j.spec.ID, 5*time.Second, func(status int, a request.Response) {
			switch status {
			case 200:
				w.hear(j, a.Job)
			case 404:
				w.fail("forgotten", "cancellation of %s, which is over, gets 404", j.spec.ID)
			}
		})
	case k == 2:
		w.submitUnfit()
	default:
		w.submitIncomplete()
	}
}

// submitUnfit submits a job that can never run.
func (w *world) submitUnfit() {
	w.oddID++
	s := spec.Job{ID: fmt.Sprintf("wk-8%07d", w.oddID), Class: "c", Owner: w.cfg.Settings.Teams[0].Name, Tasks: 1, CPUs: 1, MemGB: 1, Image: "img", AllowSpot: true}
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
			w.fail("unfit", "%s is accepted though it can never run", s.ID)
		case 422:
			w.occurrences["odd-unfit"]++
		}
	})
}

// submitIncomplete submits a job without one of the fields that it must have, as its JSON is read.
func (w *world) submitIncomplete() {
	w.oddID++
	id, text, zero, shards, no := fmt.Sprintf("wk-8%07d", w.oddID), "x", 1.0, 1, false
	shape, urgency := "array", "standard"
	sub := spec.Submission{ID: &id, JobClass: &text, Owner: &text, Shape: &shape, Urgency: &urgency, Shards: &shards, VCPUs: &zero, GPUs: &zero, MemGB: &zero,
		Bundle: &text, SizeGB: &zero, SamePlace: &no, Apart: &no, Reclaimable: &no, RuntimeS: &zero, SnapshotEveryS: &zero, SnapshotS: &zero}
	v := reflect.ValueOf(&sub).Elem()
	var there []int
	for i := range v.NumField() {
		if !v.Field(i).IsNil() {
			there = append(there, i)
		}
	}
	i := there[w.rng.IntN(len(there))]
	v.Field(i).SetZero()
	job, field, _ := sub.Job()
	if w.alterSubmission != nil {
		job = w.alterSubmission(job)
	}
	if job != nil || field == "" {
		w.fail("unfit", "a job without %s is taken", v.Type().Field(i).Name)
		return
	}
	w.occurrences["odd-lacks"]++
}

// waitsMost is for how long a job may wait once the troubles are over.
const waitsMost = 90 * time.Second

// roomLeast is how long a machine must have room for it to count.
const roomLeast = 10 * time.Second

// checkWaiting holds what the operators ask for once the troubles are over: no job waits for
// long while a machine that fits has room and its team is under its limit.
func (w *world) checkWaiting() {
	if w.unchecked || !w.now.After(w.faultsOverAt) {
		return
	}
	for _, j := range w.order {
		m := (*worker)(nil)
		if j.accepted && !j.wantsCancel && j.told == "" && !j.faulty && !j.spec.Service {
			m = w.hasRoom(j)
		}
		switch {
		case m == nil:
			j.waits, j.roomOn = time.Time{}, nil
		case m != j.roomOn:
			if j.roomOn == nil || w.now.Sub(j.roomFrom) < roomLeast {
				j.waits = w.now // between one task and the next: no room to speak of
			}
			j.roomOn, j.roomFrom = m, w.now
		case w.now.Sub(later(j.waits, w.faultsOverAt)) > waitsMost: // what was before a new trouble does not count
			w.fail("waits", "%s waits for 90 s while %s has room", j.spec.ID, m.host)
		}
	}
}

// uses is what a team's tasks take.
func (w *world) uses(team string) (cpus, gpus float64) {
	u := w.allocations.used(team)
	return u.cpus, u.gpus
}

// hasRoom returns a machine on which a waiting task of the job could run now, or nil.
func (w *world) hasRoom(j *userJob) *worker {
	s := &j.spec
	there := map[int]bool{}
	zones := map[string]int{}
	cpus, gpus := w.uses(s.Owner)
	for _, t := range j.held {
		there[t.id.Index] = true
		zones[t.machine.zone]++
	}
	waits := false
	for i := range s.Tasks {
		waits = waits || !j.done[i] && !there[i]
	}
	if !waits {
		return nil
	}
	for _, t := range w.admin.possibleTeams(s.Owner, w.now) { // whichever of them is in force, it has to leave room
		if t.CPUsMax > 0 && cpus+s.CPUs > t.CPUsMax || t.GPUsMax > 0 && gpus+s.GPUs > t.GPUsMax {
			return nil
		}
	}
	fits := func(m *worker) bool {
		if !m.gone.IsZero() || m.up.IsZero() || !m.served || m.sick || !m.leaves.IsZero() || w.now.Before(m.hung) || w.now.Before(m.deaf) || w.now.Before(m.mute) ||
			len(s.InstanceTypes) > 0 && !slices.Contains(s.InstanceTypes, m.instanceType.name) || s.Zone != "" && s.Zone != m.zone || m.spot && !s.AllowSpot {
			return false
		}
		if s.SamePlace && len(zones) > 0 && zones[m.zone] == 0 || s.Apart && zones[m.zone] >= (s.Tasks+1)/2 {
			return false
		}
		have := [3]float64{m.instanceType.cpus, m.instanceType.gpus, m.instanceType.mem}
		for _, t := range m.tasks {
			if t.job != nil && t.phase != heartbeat.Exited {
				have = [3]float64{have[0] - t.job.spec.CPUs, have[1] - t.job.spec.GPUs, have[2] - t.job.spec.MemGB}
			}
		}
		return s.CPUs <= have[0] && s.GPUs <= have[1] && s.MemGB <= have[2]
	}
	if j.roomOn != nil && fits(j.roomOn) {
		return j.roomOn // the same as before
	}
	if i := slices.IndexFunc(w.cloud.machines, fits); i >= 0 {
		return w.cloud.machines[i]
	}
	return nil
}
