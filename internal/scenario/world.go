package scenario

import (
	"fmt"
	"slices"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/config"
	"yewpass/internal/heartbeat"
	"yewpass/internal/spec"
)

// world is everything that a scenario plays with.
type world struct {
	*clock
	net             *network
	store           *store
	cloud           *cloudSim
	nodes           []*node
	workers         map[string]*worker
	jobs            map[string]*userJob
	order           []*userJob
	cfg             config.Config
	rules           []byte // policy
	cals            map[string]calendar.Definition
	scheduleClients map[string]*scheduleClient
	admin           *configAdmin

	reportEvery, lease, cancelWithin time.Duration

	faults
	checker
	figures
	hooks
}

// faults are those that are under way.
type faults struct {
	faultsOverAt time.Time          // the last trouble is over by then
	lateReports  delayedShare       // that share of reports arrives a second time, late
	keptReports  []heartbeat.Report // copies for the next leader
	cancelAtEnd  delayedShare       // that share of the jobs that end is called off just then
	observeUntil time.Time          // until then users look closely
	oddID        int                // the last id of a submission that is odd
	dataLost     bool               // the state service has lost something
	saved        func()             // puts back what the state service had
	repair       func()             // puts right what was damaged last
}

// checker is what the rules are checked by.
type checker struct {
	violations    []string
	broken        map[string]bool
	unchecked     bool // rules are not looked at: only the cost counts
	dirty         bool
	allocations   allocations
	history       map[string][]call
	cancelledJobs []*userJob                  // told cancelled, until nothing of them is held beyond the time allowed
	lastAttempts  map[heartbeat.TaskID]uint64 // the latest attempt that a worker was told to start
	answeredAt    time.Time                   // when the answer at hand was given
	answerTimes   []time.Time
	failures      []time.Time
}

// figures are counted for expectations.
type figures struct {
	occurrences  map[string]int // how often the meetings that a scenario is about came about
	started      int
	refusals     int
	workerMoves  int // workers that went from a node that had served them to another
	expiredTasks int // tasks that ended with their lease
	polls        int
}

// hooks let tests and load tools look on, or plant an error.
type hooks struct {
	alterSubmission func(*spec.Job) *spec.Job // a planted error of the reader of submissions
	alterOutput     func(n *node, o any) any  // what a planted error makes of an output
	alterInput      func(n *node, in any) any // and of an input
	onStart         func(*task)               // told of each start, unless it is nil
	address         func(host string) string  // where a worker takes commands
	trace           func(string)
	measure         func(n *node, in any) []any // has the core take an input, in place of input
}

func (w *world) fail(rule, format string, args ...any) {
	if w.broken[rule] {
		return // once is enough
	}
	w.broken[rule] = true
	w.violations = append(w.violations, fmt.Sprintf("%8.3f %s: %s", w.elapsed().Seconds(), rule, fmt.Sprintf(format, args...)))
}

// checkStart holds the rules that speak of the moment a task starts.
func (w *world) checkStart(m *worker, t *task) {
	if w.unchecked {
		return
	}
	s := &t.job.spec
	if len(s.InstanceTypes) > 0 && !slices.Contains(s.InstanceTypes, m.instanceType.name) || s.Zone != "" && s.Zone != m.zone || m.spot && !s.AllowSpot {
		w.fail("wrong_place", "%s starts on %s (%s in %s)", t.id, m.host, m.instanceType.name, m.zone)
	}
	here, elsewhere := 1, 0
	for _, x := range t.job.held {
		o := x.machine
		if x == t || !x.on() {
			continue
		}
		if x.id == t.id && o != m {
			w.fail("ran_twice", "%s starts on %s while it is on %s", t.id, m.host, o.host)
		}
		if o.zone == m.zone {
			here++
		} else {
			elsewhere++
		}
	}
	if s.SamePlace && elsewhere > 0 {
		w.fail("wrong_place", "%s starts in %s while others of its job are elsewhere", t.id, m.zone)
	}
	if s.Apart && here > (s.Tasks+1)/2 {
		w.fail("wrong_place", "%d of %d tasks of %s are in %s", here, s.Tasks, s.ID, m.zone)
	}
	if t.job.told == spec.Cancelled {
		w.occurrences["start-after-cancel"]++ // its command was on its way, or it waited for its image
		if w.now.Sub(t.job.toldAt) > w.cancelWithin {
			w.fail("ran_cancelled", "%s starts", t.id)
		}
	}
}

// check holds the rules that speak of any moment.
func (w *world) check() {
	w.checkCancelled()
	const eps = 1e-6
	for _, t := range w.cfg.Settings.Teams {
		if w.changedLive(t.Name) {
			continue // see checkLiveLimit
		}
		u := w.allocations.used(t.Name)
		if t.CPUsMax > 0 && u.cpus > t.CPUsMax+eps || t.GPUsMax > 0 && u.gpus > t.GPUsMax+eps {
			w.fail("quota", "team %s uses %.1f CPUs and %.1f GPUs", t.Name, u.cpus, u.gpus)
		}
	}
	if w.store.misuse != "" {
		w.fail("misuse", "%s", w.store.misuse)
	}
}

// checkCancelled holds that nothing of a job is on a machine for longer than allowed after
// its user was told that it is cancelled. Starts after that are looked at by checkStart.
func (w *world) checkCancelled() {
	w.cancelledJobs = slices.DeleteFunc(w.cancelledJobs, func(j *userJob) bool {
		if w.now.Sub(j.toldAt) <= w.cancelWithin {
			return false
		}
		for _, t := range j.held {
			if t.on() {
				w.fail("ran_cancelled", "%s is on %s", t.id, t.machine.host)
			}
		}
		return len(j.held) == 0
	})
}

// run plays until end and checks after every event.
func (w *world) run(end time.Duration) {
	w.runTo(end)
	if w.started == 0 && slices.ContainsFunc(w.order, func(j *userJob) bool { return j.accepted && !j.wantsCancel }) {
		w.fail("nothing_ran", "no task was started")
	}
}

// runTo is run without the rule that speaks of the whole.
func (w *world) runTo(end time.Duration) {
	last := w.now
	for w.step(w.start.Add(end)) {
		if w.dirty || w.now.Sub(last) > time.Second {
			w.dirty, last = false, w.now
			w.check()
			w.checkWaiting()
		}
	}
}
