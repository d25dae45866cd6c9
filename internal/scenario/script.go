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

// Result is how a scenario went.
type Result struct {
	Violations []string // broken rules
	Unmet      []string // expectations that do not hold
	Started    int      // tasks started
	Requests   int      // to the state service
	Met        map[string]int
	History    map[string][]call // of each job, all calls of users
}

// Run plays a scenario. Lines that operators would log go to trace unless it is
// nil.
func Run(text string, trace func(string)) (Result, error) {
	s, err := parseScript(text)
	if err != nil {
		return Result{}, err
	}
	s.trace = trace
	return s.play()
}

// parseScript takes in a scenario's text.
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
	trace   func(string)
	seed    uint64
	actions []action
	expects []expect
	end     time.Duration
	burst   int
}

type action struct {
	at   time.Duration
	words []string
}

type expect struct {
	words []string
	met  bool
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

// setUp sets the world up.
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
	w.after(time.Second, w.askUnknown)
	for i := range s.expects {
		e := &s.expects[i]
		if k := slices.Index(e.words, "by"); k >= 0 {
			w.at(w.start.Add(parseDuration(e.words[k+1])), func() { e.evaluated, e.met = true, s.holds(e.words[:k]) })
		}
	}
}

// result says how it went.
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
		// A planted violation: it must be caught, so it is not reported.
		rule := s.expects[i].words[1]
		w.violations = slices.DeleteFunc(w.violations, func(v string) bool { return strings.Contains(v, " "+rule+":") })
	}
	res.Violations, res.Started, res.Requests, res.Met, res.History = w.violations, w.started, w.store.requests, w.occurrences, w.history
	return res
}

// unfinishedJobs names the accepted jobs that are not over.
func (s *script) unfinishedJobs() string {
	var sb strings.Builder
	for _, j := range s.order {
		if j.accepted && j.told == "" {
			fmt.Fprintf(&sb, " [%s: %d of %d tasks done]", j.spec.ID, len(j.done), j.spec.Tasks)
		}
	}
	return sb.String()
}

// applySettings takes over what the settings say.
func (w *world) applySettings(trace func(string)) {
	st, wk := w.cfg.Settings.State, w.cfg.Settings.Workers
	w.trace = trace
	w.store.rps, w.store.writeRPS, w.store.valueKB, w.store.txnOps = st.RPS, st.WriteRPS, st.ValueKB, st.TxnOps
	w.reportEvery, w.lease, w.cancelWithin = wk.Report.Duration(), wk.Lease.Duration(), wk.Cancel.Duration()
}

// parseJob reads a parseJob's description.
func (s *script) parseJob(id string, a map[string]string) *userJob {
	run := durationArg(a, "run", 20*time.Second)
	j := &userJob{runs: run, faulty: a["faulty"] != "", jobProgress: newJobProgress()}
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

// node returns the node that a word names, or nil.
func (s *script) node(word string) *node {
	for _, n := range s.nodes {
		leads := n.alive && n.core.HasAuthority(n.local())
		if n.name == word || word == "leader" && leads || word == "follower" && n.alive && !leads {
			return n
		}
	}
	return nil
}

// busiest returns the n machines up that hold the most tasks.
func (s *script) busiest(n int) []*worker {
	var ms []*worker
	for _, m := range s.cloud.machines {
		if m.gone.IsZero() && !m.up.IsZero() {
			ms = append(ms, m)
		}
	}
	slices.SortStableFunc(ms, func(a, b *worker) int { return len(b.tasks) - len(a.tasks) })
	return ms[:min(n, len(ms))]
}

// selectMachines returns the busiest N machines, or those of a zone.
func (s *script) selectMachines(word string) []*worker {
	ms := s.busiest(len(s.cloud.machines))
	if zone, ok := strings.CutPrefix(word, "zone="); ok {
		return slices.DeleteFunc(ms, func(m *worker) bool { return m.zone != zone })
	}
	n, _ := strconv.Atoi(word)
	return ms[:min(n, len(ms))]
}

// faultActions are the actions that are none of ordinary use.
var faultActions = strings.Fields(`crash crash_loop restart shutdown rolling_restart outage wipe restore ignore_releases state_unavailable drop_txn_responses partition stall
	poll_load hang fail_tasks preempt boot_time corrupt clock_offset delay_txns duplicate_reports block_inbound block_reports cancel_running slow_state`)

// noteFault takes note of when a trouble is surely over: after all its times together, and
// half a minute in which processes and machines come back.
func (w *world) noteFault(f []string) {
	if !slices.Contains(faultActions, f[0]) {
		return
	}
	over := 30 * time.Second
	for _, word := range f[1:] {
		if _, v, ok := strings.Cut(word, "="); ok {
			word = v
		}
		if d, err := time.ParseDuration(word); err == nil {
			over += d
		}
	}
	if f[0] == "rolling_restart" {
		over += time.Duration(len(w.nodes)) * parseDuration(f[1])
	}
	w.faultsOverAt = later(w.faultsOverAt, w.now.Add(over))
}
