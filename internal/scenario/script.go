package scenario

import (
	"bufio"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"yewpass/internal/spec"
)

// Result is the outcome of a scenario.
type Result struct {
	Violations []string          // violated rules, each with its time and details
	Unmet      []string          // expectations that were not met
	Started    int               // tasks started
	Requests   int               // to the key-value store
	Met        map[string]int    // how often each observed situation occurred
	History    map[string][]call // user calls by job ID
}

// Run parses and simulates a scenario. The controllers' log lines go to trace unless it is nil. It
// returns an error if the script is invalid.
func Run(text string, trace func(string)) (Result, error) {
	s, err := parseScript(text)
	if err != nil {
		return Result{}, err
	}
	s.trace = trace
	return s.play()
}

// parseScript parses a scenario line by line. Text after # is a comment.
func parseScript(text string) (*script, error) {
	s := &script{world: newWorld()}
	sc := bufio.NewScanner(strings.NewReader(text))
	for n := 1; sc.Scan(); n++ {
		line, _, _ := strings.Cut(sc.Text(), "#")
		if strings.TrimSpace(line) == "" {
			continue
		}
		if err := s.parseLine(strings.Fields(line)); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
	}
	return s, nil
}

type script struct {
	*world
	trace     func(string)
	seed      uint64
	actions   []action
	expects   []expect
	end       time.Duration
	burstJobs int
}

type action struct {
	at    time.Duration
	words []string
}

type expect struct {
	words     []string
	met       bool
	evaluated bool
}

func (s *script) play() (res Result, err error) {
	defer func() {
		if p := recover(); p != nil {
			if text, ok := p.(string); ok {
				err = fmt.Errorf("%s", text)
				return
			}
			panic(p)
		}
	}()
	s.setUp()
	s.run(s.end)
	return s.result(), nil
}

// setUp schedules the actions, the timed expectations and the start of the controllers.
func (s *script) setUp() {
	w := s.world
	w.clock.rng = newClock(s.seed).rng
	w.applySettings(s.trace)
	for _, a := range s.actions {
		w.at(w.start.Add(a.at), func() { s.perform(a.words) })
	}
	for i := range w.cfg.Settings.Nodes {
		n := &node{world: w, name: fmt.Sprintf("n%d", i), skew: time.Duration(w.rng.IntN(10)-5) * time.Millisecond, drift: 0.0005 * w.rng.Float64()}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		w.after(time.Duration(w.rng.IntN(50))*time.Millisecond, n.boot)
	}
	w.after(time.Second, w.pollUnknownJobs)
	for i := range s.expects {
		e := &s.expects[i]
		if k := slices.Index(e.words, "by"); k >= 0 {
			w.at(w.start.Add(parseDuration(e.words[k+1])), func() { e.evaluated, e.met = true, s.holds(e.words[:k]) })
		}
	}
}

func (s *script) result() (res Result) {
	w := s.world
	for _, e := range s.expects {
		if !e.evaluated {
			e.met = s.holds(e.words)
		}
		if !e.met {
			res.Unmet = append(res.Unmet, strings.Join(e.words, " ")+s.unfinishedJobs())
		}
	}
	if i := slices.IndexFunc(s.expects, func(e expect) bool { return e.words[0] == "rule" }); i >= 0 {
		// The script violates this rule on purpose; "expect rule" checks that it was detected.
		rule := s.expects[i].words[1]
		w.violations = slices.DeleteFunc(w.violations, func(v string) bool { return strings.Contains(v, " "+rule+":") })
	}
	res.Violations, res.Started, res.Requests, res.Met, res.History = w.violations, w.started, w.store.requests, w.occurrences, w.history
	return res
}

// unfinishedJobs lists the accepted jobs without a final state and their progress.
func (s *script) unfinishedJobs() string {
	var sb strings.Builder
	for _, j := range s.jobOrder {
		if j.accepted && j.finalState == "" {
			fmt.Fprintf(&sb, " [%s: %d of %d tasks done]", j.spec.ID, len(j.done), j.spec.Tasks)
		}
	}
	return sb.String()
}

// applySettings copies the settings' limits and timings to the simulated components.
func (w *world) applySettings(trace func(string)) {
	st, wk := w.cfg.Settings.State, w.cfg.Settings.Workers
	w.trace = trace
	w.store.rps, w.store.writeRPS, w.store.valueKB, w.store.txnOps = st.RPS, st.WriteRPS, st.ValueKB, st.TxnOps
	w.reportInterval, w.lease, w.cancelDeadline = wk.Report.Duration(), wk.Lease.Duration(), wk.Cancel.Duration()
}

// parseJob builds a job from the arguments of a submit or burst action.
func (s *script) parseJob(id string, a map[string]string) *userJob {
	run := durationArg(a, "run", 20*time.Second)
	j := &userJob{runtime: run, faulty: a["faulty"] != "", jobProgress: newJobProgress()}
	sp := &j.spec
	*sp = spec.Job{ID: id, Class: a["class"], Owner: "t", Service: a["service"] != "", Urgency: spec.Standard, Tasks: int(numberArg(a, "tasks", 1)),
		CPUs: numberArg(a, "cpus", 1), GPUs: numberArg(a, "gpus", 0), MemGB: numberArg(a, "mem", 1), Image: "img", ImageGB: numberArg(a, "gb", 1), AllowSpot: a["ordinary"] == "",
		SamePlace: a["samePlace"] != "", Apart: a["apart"] != "", Zone: a["zone"], Runtime: durationArg(a, "est", run),
		CheckpointInterval: durationArg(a, "every", 0), CheckpointTime: durationArg(a, "save", 0)}
	if sp.Class == "" {
		sp.Class = "c"
	}
	if v := a["owner"]; v != "" {
		sp.Owner = v
	}
	if v := a["image"]; v != "" {
		sp.Image = v
	}
	if v := a["types"]; v != "" {
		sp.InstanceTypes = strings.Split(v, ",")
	}
	if v := a["urgency"]; v != "" {
		sp.Urgency = spec.Urgency(slices.Index(spec.UrgencyNames[:], v))
	}
	if _, ok := a["due"]; ok {
		sp.Deadline, sp.HasDeadline = durationArg(a, "due", 0), true
	}
	if sp.Service {
		sp.Runtime = 0
	}
	return j
}

// node returns the controller called word, or any leader or follower, or nil.
func (s *script) node(word string) *node {
	for _, n := range s.nodes {
		leads := n.alive && n.core.HasAuthority(n.localNow())
		if n.name == word || word == "leader" && leads || word == "follower" && n.alive && !leads {
			return n
		}
	}
	return nil
}

// busiest returns the n running machines that hold the most tasks.
func (s *script) busiest(n int) []*worker {
	var ms []*worker
	for _, m := range s.cloud.machines {
		if m.terminatedAt.IsZero() && !m.bootedAt.IsZero() {
			ms = append(ms, m)
		}
	}
	slices.SortStableFunc(ms, func(a, b *worker) int { return len(b.tasks) - len(a.tasks) })
	return ms[:min(n, len(ms))]
}

// selectMachines returns the N busiest machines for a number, or those of a zone for zone=Z.
func (s *script) selectMachines(word string) []*worker {
	ms := s.busiest(len(s.cloud.machines))
	if zone, ok := strings.CutPrefix(word, "zone="); ok {
		return slices.DeleteFunc(ms, func(m *worker) bool { return m.zone != zone })
	}
	n, _ := strconv.Atoi(word)
	return ms[:min(n, len(ms))]
}

var faultActions = strings.Fields(`crash crash_loop restart shutdown rolling_restart outage wipe restore ignore_releases state_unavailable drop_txn_responses partition stall
	poll_load hang fail_tasks preempt boot_time corrupt clock_offset delay_txns duplicate_reports duplicate_commands block_inbound block_reports cancel_running slow_state`)

// recordFault extends faultsOverAt past the end of a fault: all durations in the action, plus 30 s
// for processes and machines to restart.
func (w *world) recordFault(f []string) {
	if !slices.Contains(faultActions, f[0]) {
		return
	}
	duration := 30 * time.Second
	for _, word := range f[1:] {
		if _, v, ok := strings.Cut(word, "="); ok {
			word = v
		}
		if d, err := time.ParseDuration(word); err == nil {
			duration += d
		}
	}
	if f[0] == "rolling_restart" {
		duration += time.Duration(len(w.nodes)) * parseDuration(f[1])
	}
	w.faultsOverAt = laterOf(w.faultsOverAt, w.now.Add(duration))
}
