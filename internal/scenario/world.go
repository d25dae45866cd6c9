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

// world is one simulated deployment: controllers, workers, cloud, store, users and network.
type world struct {
	*clock
	net             *network
	store           *store
	cloud           *cloudSim
	nodes           []*node
	workers         map[string]*worker
	jobs            map[string]*userJob
	jobOrder        []*userJob
	cfg             config.Config
	policyText      []byte // contents of the policy file
	calendarDefs    map[string]calendar.Definition
	scheduleClients map[string]*scheduleClient
	admin           *configAdmin

	reportInterval, lease, cancelDeadline time.Duration

	faults
	checker
	worldCounters
	hooks
}

// faults holds the injected faults that are active.
type faults struct {
	faultsOverAt            time.Time          // end of the last injected fault
	duplicateReports        faultShare         // share of reports delivered again later
	keptReports             []heartbeat.Report // copies delivered when the next leader starts
	duplicateCommands       faultShare         // share of commands to workers delivered again later
	cancelOnCompletion      faultShare         // share of jobs cancelled as their last task completes
	observeTransitionsUntil time.Time          // until then users poll all nodes at state changes
	lastInvalidID           int                // number of the latest invalid submission
	dataLost                bool               // a fault has removed data from the store
	restoreSnapshot         func()             // restores the saved contents of the store
	undoCorruption          func()             // restores the record corrupted last
}

// checker holds the state that the rule checks need, and the violations.
type checker struct {
	violations    []string
	violatedRules map[string]bool
	checksOff     bool // skips the rules when costs are measured
	needsCheck    bool
	allocations   allocations
	history       map[string][]call
	cancelledJobs []*userJob                  // reported cancelled, while machines hold their tasks
	lastAttempts  map[heartbeat.TaskID]uint64 // highest attempt that a worker was ordered to start
	answeredAt    time.Time                   // when the node sent the current answer
	answerTimes   []time.Time
	failureTimes  []time.Time
}

// worldCounters counts what the expectations of scripts compare.
type worldCounters struct {
	occurrences  map[string]int // by event name; compared by "expect met"
	started      int
	refusals     int
	workerMoves  int // how often workers left a node that had served them
	expiredTasks int // tasks killed by the expiry of their worker's lease
	polls        int
}

// hooks let tests and load tools observe the world or inject errors.
type hooks struct {
	alterSubmission func(*spec.Job) *spec.Job // replaces a parsed submission, to inject an error
	alterOutput     func(n *node, o any) any  // replaces an output of a node's core
	alterInput      func(n *node, in any) any // replaces an input of a node's core
	onStart         func(*task)               // called when a task starts, unless nil
	address         func(host string) string  // returns the address at which a worker accepts probes
	trace           func(string)
	stepCore        func(n *node, in any) []any // replaces the core's Step, unless nil
}

func (w *world) fail(rule, format string, args ...any) {
	if w.violatedRules[rule] {
		return // report each rule once
	}
	w.violatedRules[rule] = true
	w.violations = append(w.violations, fmt.Sprintf("%8.3f %s: %s", w.elapsed().Seconds(), rule, fmt.Sprintf(format, args...)))
}

// checkStart checks placement, duplicate execution and cancellation at a task's start.
func (w *world) checkStart(m *worker, t *task) {
	if w.checksOff {
		return
	}
	s := &t.job.spec
	if len(s.InstanceTypes) > 0 && !slices.Contains(s.InstanceTypes, m.instanceType.name) || s.Zone != "" && s.Zone != m.zone || m.spot && !s.AllowSpot {
		w.fail("wrong_place", "%s starts on %s (%s in %s)", t.id, m.host, m.instanceType.name, m.zone)
	}
	here, elsewhere := 1, 0
	for _, x := range t.job.heldTasks {
		o := x.machine
		if x == t || !x.active() {
			continue
		}
		if x.id == t.id && o != m {
			w.fail("ran_twice", "%s starts on %s while active on %s", t.id, m.host, o.host)
		}
		if o.zone == m.zone {
			here++
		} else {
			elsewhere++
		}
	}
	if s.SamePlace && elsewhere > 0 {
		w.fail("wrong_place", "%s starts in zone %s while other tasks of its job are in another zone", t.id, m.zone)
	}
	if s.Apart && here > (s.Tasks+1)/2 {
		w.fail("wrong_place", "%d of %d tasks of %s are in zone %s", here, s.Tasks, s.ID, m.zone)
	}
	if t.job.finalState == spec.Cancelled {
		w.occurrences["start-after-cancel"]++ // start order in transit, or image pull in progress
		if w.now.Sub(t.job.cancelledAt) > w.cancelDeadline {
			w.fail("ran_cancelled", "%s starts after its job was reported cancelled", t.id)
		}
	}
}

// check checks cancellation, team limits and store usage, which must hold at any time.
func (w *world) check() {
	w.checkCancelled()
	const eps = 1e-6
	for _, t := range w.cfg.Settings.Teams {
		if w.changedAtRuntime(t.Name) {
			continue // checkLiveLimit checks it as tasks start
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

// checkCancelled checks that no task of a job is still active cancelDeadline after its user was
// told that the job is cancelled. checkStart covers tasks that start later.
func (w *world) checkCancelled() {
	w.cancelledJobs = slices.DeleteFunc(w.cancelledJobs, func(j *userJob) bool {
		if w.now.Sub(j.cancelledAt) <= w.cancelDeadline {
			return false
		}
		for _, t := range j.heldTasks {
			if t.active() {
				w.fail("ran_cancelled", "%s is still active on %s after its job was reported cancelled", t.id, t.machine.host)
			}
		}
		return len(j.heldTasks) == 0
	})
}

// run calls runTo and then checks that a task was started.
func (w *world) run(end time.Duration) {
	w.runTo(end)
	if w.started == 0 && slices.ContainsFunc(w.jobOrder, func(j *userJob) bool { return j.accepted && !j.cancelRequested }) {
		w.fail("nothing_ran", "no task was started")
	}
}

// runTo runs the world until end. It checks the rules after every change and
// at least once a second.
func (w *world) runTo(end time.Duration) {
	last := w.now
	for w.step(w.start.Add(end)) {
		if w.needsCheck || w.now.Sub(last) > time.Second {
			w.needsCheck, last = false, w.now
			w.check()
			w.checkWaiting()
		}
	}
}
