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
	s, err := read(text)
	if err != nil {
		return Result{}, err
	}
	s.trace = trace
	return s.play()
}

// read takes in a scenario's text.
func read(text string) (*script, error) {
	s := &script{world: newWorld()}
	sc := bufio.NewScanner(strings.NewReader(text))
	for n := 1; sc.Scan(); n++ {
		line, _, _ := strings.Cut(sc.Text(), "#")
		if strings.TrimSpace(line) == "" {
			continue
		}
		if err := s.line(strings.Fields(line)); err != nil {
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
	what []string
}

type expect struct {
	what []string
	met  bool
	seen bool
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
	s.begin()
	s.run(s.end)
	return s.result(), nil
}

// begin sets the world up.
func (s *script) begin() {
	w := s.world
	w.clock.rng = newClock(s.seed).rng
	w.adoptSettings(s.trace)
	for _, a := range s.actions {
		w.at(w.start.Add(a.at), func() { s.act(a.what) })
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
		if k := slices.Index(e.what, "by"); k >= 0 {
			w.at(w.start.Add(span(e.what[k+1])), func() { e.seen, e.met = true, s.holds(e.what[:k]) })
		}
	}
}

// result says how it went.
func (s *script) result() (res Result) {
	w := s.world
	for _, e := range s.expects {
		if !e.seen {
			e.met = s.holds(e.what)
		}
		if !e.met {
			res.Unmet = append(res.Unmet, strings.Join(e.what, " ")+s.unfinished())
		}
	}
	if i := slices.IndexFunc(s.expects, func(e expect) bool { return e.what[0] == "rule" }); i >= 0 {
		// A planted violation: it must be caught, so it is not reported.
		rule := s.expects[i].what[1]
		w.violations = slices.DeleteFunc(w.violations, func(v string) bool { return strings.Contains(v, " "+rule+":") })
	}
	res.Violations, res.Started, res.Requests, res.Met, res.History = w.violations, w.started, w.store.requests, w.occurrences, w.history
	return res
}

// unfinished names the accepted jobs that are not over.
func (s *script) unfinished() string {
	var sb strings.Builder
	for _, j := range s.jobOrder {
		if j.accepted && j.finalState == "" {
			fmt.Fprintf(&sb, " [%s: %d of %d tasks done]", j.spec.ID, len(j.done), j.spec.Tasks)
		}
	}
	return sb.String()
}

// adoptSettings takes over what the settings say.
func (w *world) adoptSettings(trace func(string)) {
	st, wk := w.cfg.Settings.State, w.cfg.Settings.Workers
	w.trace = trace
	w.store.rps, w.store.writeRPS, w.store.valueKB, w.store.txnOps = st.RPS, st.WriteRPS, st.ValueKB, st.TxnOps
	w.reportInterval, w.lease, w.cancelDeadline = wk.Report.Duration(), wk.Lease.Duration(), wk.Cancel.Duration()
}

// job reads a job's description.
func (s *script) job(id string, a map[string]string) *userJob {
	run := dur(a, "run", 20*time.Second)
	j := &userJob{runtime: run, faulty: a["faulty"] != "", jobProgress: newJobProgress()}
	sp := &j.spec
	*sp = spec.Job{ID: id, Class: a["class"], Owner: "t", Service: a["service"] != "", Urgency: spec.Standard, Tasks: int(num(a, "tasks", 1)),
		CPUs: num(a, "cpus", 1), GPUs: num(a, "gpus", 0), MemGB: num(a, "mem", 1), Image: "img", ImageGB: num(a, "gb", 1), AllowSpot: a["ordinary"] == "",
		SamePlace: a["samePlace"] != "", Apart: a["apart"] != "", Zone: a["zone"], Runtime: dur(a, "est", run),
		CheckpointInterval: dur(a, "every", 0), CheckpointTime: dur(a, "save", 0)}
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
		sp.Deadline, sp.HasDeadline = dur(a, "due", 0), true
	}
	if sp.Service {
		sp.Runtime = 0
	}
	return j
}

// node returns the node that a word names, or nil.
func (s *script) node(word string) *node {
	for _, n := range s.nodes {
		leads := n.alive && n.core.HasAuthority(n.localNow())
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
		if m.terminatedAt.IsZero() && !m.bootedAt.IsZero() {
			ms = append(ms, m)
		}
	}
	slices.SortStableFunc(ms, func(a, b *worker) int { return len(b.tasks) - len(a.tasks) })
	return ms[:min(n, len(ms))]
}

// some returns the busiest N machines, or those of a zone.
func (s *script) some(word string) []*worker {
	ms := s.busiest(len(s.cloud.machines))
	if zone, ok := strings.CutPrefix(word, "zone="); ok {
		return slices.DeleteFunc(ms, func(m *worker) bool { return m.zone != zone })
	}
	n, _ := strconv.Atoi(word)
	return ms[:min(n, len(ms))]
}

// faultWords are the actions that are none of ordinary use.
var faultWords = strings.Fields("crash flap restart leave roll outage wipe restore deaf deny mute cut stall storm hang sick take boots damage wander late_writes late_reports machine_deaf machine_mute cancel_now slow_state")

// noteFault takes note of when a trouble is surely over: after all its times together, and
// half a minute in which processes and machines come back.
func (w *world) noteFault(f []string) {
	if !slices.Contains(faultWords, f[0]) {
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
	if f[0] == "roll" {
		over += time.Duration(len(w.nodes)) * span(f[1])
	}
	w.faultsOverAt = laterOf(w.faultsOverAt, w.now.Add(over))
}
