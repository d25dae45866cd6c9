package scenario

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/config"
	"yewpass/internal/core"
	"yewpass/internal/heartbeat"
	"yewpass/internal/request"
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

func newWorld() *world {
	w := &world{clock: newClock(1), workers: map[string]*worker{}, jobs: map[string]*userJob{}, cals: map[string]calendar.Definition{}, clerks: map[string]*clerk{}, history: map[string][]call{}, broken: map[string]bool{}, met: map[string]int{}, tries: map[heartbeat.TaskID]uint64{}, ledger: ledger{}}
	w.admin = newAdmin(w)
	w.net = &network{clock: w.clock, latency: time.Millisecond, last: map[[2]string]time.Time{}}
	w.store = &store{clock: w.clock, putsOf: map[string]int{}, keeps: 10000, keys: map[string]*storedKey{}, grants: map[uint64]*storedGrant{}, denied: map[string]time.Time{}, muted: map[string]mute{}, unheard: map[string]unheard{}, refilled: w.now, met: w.met}
	w.cloud = &cloudSim{clock: w.clock, w: w, capacity: map[kindKey]int{}, requests: map[string][]string{}, asked: map[string]string{}, lag: 3 * time.Second}
	w.address = func(host string) string { return host + workerPort }
	w.cloud.boots = func() (time.Duration, bool) { return time.Duration(60 + w.rng.IntN(90)), true }
	s := &w.cfg.Settings
	s.Nodes, s.Zones = 3, []string{"a", "b"}
	s.Workers = config.Workers{Report: 3, Lease: 20, Cancel: 40}
	s.State = config.State{RPS: 250, WriteRPS: 100, ValueKB: 16, TxnOps: 48}
	s.Cloud = config.Cloud{RPS: 6, ListLag: 3}
	s.Limits = config.Limits{CPUShare: 0.1, MemMB: 100, MaxConnections: 800}
	return w
}

// args reads k=v words; words without = map to themselves.
func args(words []string) map[string]string {
	m := map[string]string{}
	for _, w := range words {
		k, v, ok := strings.Cut(w, "=")
		if !ok {
			v = "yes"
		}
		m[k] = v
	}
	return m
}

func num(m map[string]string, k string, otherwise float64) float64 {
	if v, ok := m[k]; ok {
		f, err := strconv.ParseFloat(v, 64)
		if err != nil {
			panic(fmt.Sprintf("%s=%s is no number", k, v))
		}
		return f
	}
	return otherwise
}

func dur(m map[string]string, k string, otherwise time.Duration) time.Duration {
	if v, ok := m[k]; ok {
		return span(v)
	}
	return otherwise
}

func span(v string) time.Duration {
	d, err := time.ParseDuration(v)
	if err != nil {
		panic(v + " is no duration")
	}
	return d
}

func (s *script) line(f []string) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%v", p)
		}
	}()
	a := args(f[1:])
	cs := &s.cfg.Settings
	switch f[0] {
	case "seed":
		s.seed, err = strconv.ParseUint(f[1], 10, 64)
	case "start": // the time of day at which the scenario begins
		var t time.Time
		t, err = time.Parse(time.RFC3339, f[1])
		s.clock.start, s.clock.now, s.store.refilled = t, t, t
	case "calendar":
		s.cals[f[1]] = definition(args(f[2:]))
	case "nodes":
		cs.Nodes, err = strconv.Atoi(f[1])
	case "workers":
		cs.Workers = config.Workers{Report: config.Seconds(dur(a, "report", 3*time.Second).Seconds()),
			Lease: config.Seconds(dur(a, "lease", 20*time.Second).Seconds()), Cancel: config.Seconds(dur(a, "cancel", 40*time.Second).Seconds())}
	case "state":
		cs.State = config.State{RPS: num(a, "rps", 250), WriteRPS: num(a, "write_rps", 100), ValueKB: num(a, "value_kb", 16), TxnOps: int(num(a, "txn_ops", 48))}
		s.store.keeps = uint64(num(a, "keeps", 10000))
	case "cloud":
		cs.Cloud = config.Cloud{RPS: num(a, "rps", 6), ListLag: 3}
	case "team":
		cs.Teams = append(cs.Teams, config.Team{Name: f[1], CPUs: num(a, "cpus", 0), CPUsMax: num(a, "max", 0), GPUs: num(a, "gpus", 0), GPUsMax: num(a, "gpus_max", 0)})
	case "objective":
		a = args(f[3:])
		cs.Objectives = append(cs.Objectives, config.Objective{Kind: f[1], Class: f[2], Within: config.Seconds(dur(a, "within", 0).Seconds()), Share: 0.9, Times: 1})
	case "type":
		s.cloud.flavors = append(s.cloud.flavors, &flavorDef{name: f[1], cpus: num(a, "cpus", 8), gpus: num(a, "gpus", 0), mem: num(a, "mem", 64),
			rate: num(a, "rate", 1), low: num(a, "low", 0.3), ready: dur(a, "ready", 20*time.Second), fetch: num(a, "fetch", 0.5)})
	case "capacity":
		k := kindKey{f[1], f[2], false}
		s.cloud.capacity[k] = int(num(a, "n", 0))
		k.reclaimable = true
		s.cloud.capacity[k] = int(num(a, "spot", 0))
		if fl := s.cloud.flavor(f[1]); !slices.Contains(fl.zones, f[2]) {
			fl.zones = append(fl.zones, f[2])
		}
	case "machines":
		s.actions = append(s.actions, action{0, f})
	case "policy":
		s.rules = append(s.rules, []byte(strings.Join(f[1:], " ")+"\n")...)
	case "run":
		s.end = span(f[1])
	case "at":
		s.actions = append(s.actions, action{span(f[1]), f[2:]})
	case "expect":
		s.expects = append(s.expects, expect{what: f[1:]})
	default:
		err = fmt.Errorf("unknown word %s", f[0])
	}
	return err
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
	w.after(time.Second, w.askUnknown)
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
	res.Violations, res.Started, res.Requests, res.Met, res.History = w.violations, w.started, w.store.requests, w.met, w.history
	return res
}

// unfinished names the accepted jobs that are not over.
func (s *script) unfinished() string {
	var sb strings.Builder
	for _, j := range s.order {
		if j.accepted && j.told == "" {
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
	w.reportEvery, w.lease, w.cancelWithin = wk.Report.Duration(), wk.Lease.Duration(), wk.Cancel.Duration()
}

// holds reports whether an expectation holds now.
func (s *script) holds(e []string) bool {
	switch e[0] {
	case "done", "cancelled":
		for _, j := range s.order {
			if (e[1] == "all" && j.accepted && !j.wants && !j.spec.Service && !j.faulty || e[1] == j.spec.ID) && string(j.told) != e[0] {
				return false
			}
		}
		return e[1] == "all" || s.jobs[e[1]] != nil
	case "over": // every accepted job, one way or the other
		return !slices.ContainsFunc(s.order, func(j *userJob) bool { return j.accepted && j.told == "" })
	case "finished": // the tasks are done, whether or not the user has asked
		j := s.jobs[e[1]]
		return j != nil && !j.finished.IsZero()
	case "submitted": // submitted N: percent of the submissions that were accepted within a second
		n, in := 0, 0
		for _, j := range s.order {
			if n++; j.accepted && j.since.Sub(j.first) <= time.Second {
				in++
			}
		}
		return compare(100*in/max(1, n), e[1])
	case "rejected":
		return s.jobs[e[1]] != nil && strconv.Itoa(s.jobs[e[1]].status) == e[2]
	case "accepted":
		return s.jobs[e[1]] != nil && s.jobs[e[1]].accepted
	case "pending": // a submission without a final answer
		return s.jobs[e[1]] != nil && !s.jobs[e[1]].accepted && s.jobs[e[1]].status == 0
	case "rule":
		return s.broken[e[1]]
	case "configured": // all changes of configuration were told of, and are known everywhere
		return s.world.configured()
	case "running", "on": // number of tasks of a job on machines, or of machines in use
		return compare(s.tasksOn(e[1]), e[2])
	case "late-refused": // reports that were told to be older than what is known
		n := 0
		for _, x := range s.nodes {
			n += int(x.core.Stats().StaleHeartbeats)
		}
		return compare(n, e[1])
	case "met": // met WORD N: how often a meeting came about
		return compare(s.met[e[1]], e[2])
	case "largest": // seconds until the last of each class's largest jobs has begun
		worst := time.Duration(0)
		for _, j := range s.order {
			if begun := j.begun; s.asked(j) && s.largest(j) {
				if begun.IsZero() {
					begun = s.now
				}
				worst = max(worst, begun.Sub(j.first))
			}
		}
		return compare(int(worst.Seconds()), e[1])
	case "machines":
		n := 0
		for _, m := range s.cloud.machines {
			if m.gone.IsZero() && (len(e) < 3 || m.flavor.name == e[2]) {
				n++
			}
		}
		return compare(n, e[1])
	case "rented": // rented N [ZONE]: machines ever, in a zone
		n := 0
		for _, m := range s.cloud.machines {
			if len(e) < 3 || m.zone == e[2] {
				n++
			}
		}
		return compare(n, e[1])
	case "served": // served CLASS N, served team=NAME N, served largest=CLASS N, served all N (the worst of them)
		worst := -1
		for of, percent := range s.served() {
			if of == e[1] || e[1] == "all" && (worst < 0 || percent < worst) {
				worst = percent
			}
		}
		return worst >= 0 && compare(worst, e[2])
	case "refused": // requests to the state service that were above the allowance
		return compare(s.store.refused, e[1])
	case "terms": // the newest that any node leads or knows
		return compare(int(s.newestTerm()), e[1])
	case "started":
		return compare(s.started, e[1])
	case "moved":
		return compare(s.moves, e[1])
	case "killed": // with their leases
		return compare(s.killed, e[1])
	case "requests": // to the state service
		return compare(s.store.requests, e[1])
	case "made", "removed", "missed", "late", "whole", "history":
		return s.clerks[e[1]].holds(e)
	case "leaders":
		n := 0
		for _, x := range s.nodes {
			if x.alive && x.core.HasAuthority(x.local()) {
				n++
			}
		}
		return compare(n, e[1])
	}
	panic("unknown expectation " + e[0])
}

// tasksOn is how many tasks of a job are on machines.
func (w *world) tasksOn(id string) (n int) {
	for _, m := range w.cloud.machines {
		for _, t := range m.tasks {
			if t.on() && t.id.Job == id {
				n++
			}
		}
	}
	return n
}

// newestTerm is the newest that any node leads or knows.
func (w *world) newestTerm() (n uint64) {
	for _, x := range w.nodes {
		if x.core != nil { // a process of its own has none here
			n = max(n, x.core.Stats().Term)
		}
	}
	return n
}

// asked reports whether a job is one that must be served: not one that its user cancelled
// or that fails everywhere, and no service.
func (s *script) asked(j *userJob) bool {
	return j.accepted && !j.wants && !j.faulty && !j.spec.Service
}

// largest reports whether a job is among its class's largest: it takes no fewer CPUs, all
// tasks together, than nine tenths of the class's jobs.
func (s *script) largest(j *userJob) bool {
	size := func(j *userJob) float64 { return float64(j.spec.Tasks) * j.spec.CPUs }
	smaller, of := 0, 0
	for _, x := range s.order {
		if x.spec.Class == j.spec.Class && s.asked(x) {
			of++
			if size(x) <= size(j) {
				smaller++
			}
		}
	}
	return 10*smaller >= 9*of
}

// served returns, for each class, its largest jobs and each team, what percent of the jobs
// are done or of their tasks, whichever is less.
func (s *script) served() map[string]int {
	type tally struct{ jobs, jobsOf, tasks, tasksOf int }
	of := map[string]*tally{}
	for _, j := range s.order {
		if !s.asked(j) {
			continue
		}
		keys := []string{j.spec.Class, "team=" + j.spec.Owner}
		if s.largest(j) {
			keys = append(keys, "largest="+j.spec.Class)
		}
		for _, k := range keys {
			t := of[k]
			if t == nil {
				t = &tally{}
				of[k] = t
			}
			t.jobsOf++
			t.tasksOf += j.spec.Tasks
			t.tasks += len(j.done)
			if !j.finished.IsZero() {
				t.jobs++
			}
		}
	}
	percent := map[string]int{}
	for k, t := range of {
		percent[k] = min(100*t.jobs/t.jobsOf, 100*t.tasks/t.tasksOf)
	}
	return percent
}

// compare reads =3, <3, >3 or 3.
func compare(n int, s string) bool {
	op, num := s[0], strings.TrimLeft(s, "<>=")
	x, err := strconv.Atoi(num)
	if err != nil {
		panic(s + " is no number")
	}
	switch op {
	case '<':
		return n < x
	case '>':
		return n > x
	}
	return n == x
}

// job reads a job's description.
func (s *script) job(id string, a map[string]string) *userJob {
	run := dur(a, "run", 20*time.Second)
	j := &userJob{runs: run, faulty: a["faulty"] != "", done: map[int]bool{}, progress: map[int]time.Duration{}}
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

// some returns the busiest N machines, or those of a zone.
func (s *script) some(word string) []*worker {
	ms := s.busiest(len(s.cloud.machines))
	if zone, ok := strings.CutPrefix(word, "zone="); ok {
		return slices.DeleteFunc(ms, func(m *worker) bool { return m.zone != zone })
	}
	n, _ := strconv.Atoi(word)
	return ms[:min(n, len(ms))]
}

// troubles are the actions that are none of ordinary use.
var troubles = strings.Fields("crash flap restart leave roll outage wipe restore deaf deny mute cut stall storm hang sick take boots damage wander late_writes late_reports machine_deaf machine_mute cancel_now slow_state")

// noteTrouble takes note of when a trouble is surely over: after all its times together, and
// half a minute in which processes and machines come back.
func (w *world) noteTrouble(f []string) {
	if !slices.Contains(troubles, f[0]) {
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
	w.troubled = later(w.troubled, w.now.Add(over))
}

func (s *script) act(f []string) {
	w := s.world
	w.noteTrouble(f)
	switch f[0] {
	case "machines":
		a := args(f[3:])
		for range int(num(a, "n", 1)) {
			s.cloud.create(kindKey{f[1], f[2], a["spot"] != ""}, 0)
		}
	case "submit":
		w.submit(s.job(f[1], args(f[2:])))
	case "burst": // burst N every=D k=v...: jobs one after the other
		n, _ := strconv.Atoi(f[1])
		a := args(f[2:])
		for i := range n {
			s.burst++
			id := fmt.Sprintf("wk-1%05d", s.burst)
			w.after(time.Duration(i)*dur(a, "gap", time.Second), func() {
				b := args(f[2:])
				if p := num(a, "vary", 0); p > 0 { // run times and estimates apart
					b["est"] = b["run"]
					b["run"] = time.Duration(float64(span(a["run"])) * math.Exp(p*w.rng.NormFloat64())).String()
				}
				j := s.job(id, b)
				w.submit(j)
				if w.rng.Float64() < num(a, "cancelled", 0) {
					w.after(time.Duration(w.rng.IntN(30))*time.Second+5*time.Second, func() { w.cancel(j) })
				}
			})
		}
	case "cancel": // cancel ID, cancel first N
		if f[1] == "first" {
			n, _ := strconv.Atoi(f[2])
			for _, j := range s.order[:min(n, len(s.order))] {
				if !j.wants {
					w.cancel(j)
				}
			}
			return
		}
		w.cancel(w.jobs[f[1]])
	case "crash":
		back := dur(args(f[2:]), "back", 8*time.Second)
		for _, n := range w.nodes {
			if f[1] == "all" || n == s.node(f[1]) {
				n.crash(back)
				if f[1] != "all" {
					break
				}
			}
		}
	case "flap": // flap WHO D every=D [back=D]: its process ends again and again
		for t := time.Duration(0); t < span(f[2]); t += dur(args(f[3:]), "every", time.Second) {
			w.after(t, func() {
				s.act([]string{"crash", f[1], "back=" + dur(args(f[3:]), "back", 100*time.Millisecond).String()})
			})
		}
	case "restart": // restart N [back=D] [anew]: the busiest machines end and are back, counting on or from 1
		n, _ := strconv.Atoi(f[1])
		for _, m := range s.busiest(n) {
			m.restart(dur(args(f[2:]), "back", 200*time.Millisecond), args(f[2:])["anew"] != "")
		}
	case "leave": // leave NODE [back=D]: its process is told to end, hands over and ends
		if n := s.node(f[1]); n != nil {
			n.input(core.Leave{})
			w.after(400*time.Millisecond, func() { n.crash(dur(args(f[2:]), "back", 8*time.Second)) })
		}
	case "roll":
		for i, n := range w.nodes {
			w.after(time.Duration(i)*span(f[1]), func() { n.crash(dur(args(f[2:]), "back", 3*time.Second)) })
		}
	case "outage":
		switch f[1] {
		case "state":
			w.store.outage(span(f[2]))
		case "cloud":
			w.cloud.down = w.now.Add(span(f[2]))
		}
	case "wipe": // wipe [under=PREFIX] [rev]: the state service loses keys; rev: and begins again
		w.lossy = true
		w.store.wipe(args(f[1:])["under"], args(f[1:])["rev"] != "")
	case "save": // save: what a later restore brings back
		w.saved = w.store.save()
	case "restore":
		w.lossy = true
		w.saved()
	case "deaf": // the cloud answers releases and carries none out
		w.cloud.deaf = w.now.Add(span(f[1]))
	case "deny": // only this node gets 503 from the state service
		if n := s.node(f[1]); n != nil {
			w.store.denied[n.name] = w.now.Add(span(f[2]))
		}
	case "mute": // mute NODE D [late=D]: its transactions are applied, and not answered
		if n := s.node(f[1]); n != nil {
			w.store.muted[n.name] = mute{w.now.Add(span(f[2])), dur(args(f[3:]), "late", 0)}
		}
	case "late_writes": // late_writes D share=S [at_once=true]: transactions without an answer, carried out 2 to 12 s later
		a := args(f[2:])
		w.store.late = lateness{until: w.now.Add(span(f[1])), share: num(a, "share", 0.3), atOnce: a["at_once"] == "true"}
	case "late_reports": // late_reports D share=S [for_next=true]: copies that arrive from 2 s to two leases later
		a := args(f[2:])
		w.reports = lateness{until: w.now.Add(span(f[1])), share: num(a, "share", 0.3), next: a["for_next"] == "true"}
	case "slow_state": // slow_state D by=D: what is asked is carried out and answered late
		w.store.slow, w.store.slowBy = w.now.Add(span(f[1])), dur(args(f[2:]), "by", 2*time.Second)
	case "machine_deaf": // machine_deaf N|zone=Z D: answers and commands to them are lost
		for _, m := range s.some(f[1]) {
			m.deaf = w.now.Add(span(f[2]))
		}
	case "machine_mute": // machine_mute N|zone=Z D: they reach no controller, and direct commands reach them
		for _, m := range s.some(f[1]) {
			m.mute = w.now.Add(span(f[2]))
		}
	case "cancel_now": // cancel_now N [hang=D]: users call off jobs that run and have long to go
		n, _ := strconv.Atoi(f[1])
		w.cancelNow(n, dur(args(f[2:]), "hang", 0))
	case "cancel_at_end": // cancel_at_end D share=S: that share of the jobs that end is called off just then
		w.atEnd = lateness{until: w.now.Add(span(f[1])), share: num(args(f[2:]), "share", 0.3)}
	case "odd_requests": // odd_requests D: repeats, cancellations of what is done, jobs that cannot run
		w.odd(w.now.Add(span(f[1])))
	case "close_looks": // close_looks D: users ask at all nodes right after a job is accepted, ended or cancelled
		w.looks = w.now.Add(span(f[1]))
	case "latency": // latency D: messages take so long from now on
		w.net.latency = span(f[1])
	case "look": // look ID: one such look
		w.look(w.jobs[f[1]], false)
	case "cut": // cut WHO D hold|reset [only=HOSTS]: leader, peers (all nodes), workers, state, user, names
		hosts, zone := map[string]bool{}, ""
		if n := s.node(f[1]); n != nil {
			hosts[n.name] = true
		} else if f[1] == "user" {
			hosts["user"] = true
		} else if z, ok := strings.CutPrefix(f[1], "zone="); ok {
			zone = z
			for _, m := range w.cloud.machines {
				if m.zone == zone {
					hosts[m.host] = true
				}
			}
			nodes := args(f[3:])["nodes"] // that live in the zone as well
			if nodes == "" {
				nodes = "n0"
			}
			for word := range strings.SplitSeq(nodes, ",") {
				if n := s.node(word); n != nil {
					hosts[n.name] = true
				}
			}
		} else {
			n, _ := strconv.Atoi(f[1])
			for _, m := range s.busiest(n) {
				hosts[m.host] = true
			}
		}
		var only map[string]bool
		if o := args(f[3:])["only"]; o != "" {
			only = map[string]bool{}
			for h := range strings.SplitSeq(o, ",") {
				only[h] = true
				if n := s.node(h); n != nil {
					only[n.name] = true
				}
				if h == "workers" {
					for _, m := range w.cloud.machines {
						only[m.host] = true
					}
				}
				if h == "peers" {
					for _, n := range w.nodes {
						only[n.name] = true
					}
				}
			}
		}
		w.net.split(hosts, only, f[3] == "hold", span(f[2]), zone)
	case "stall": // stall NODE D: its process stands still, its clocks run on
		if n := s.node(f[1]); n != nil {
			n.stall(span(f[2]))
		}
	case "storm": // storm D rate=N: so many polls a second besides
		w.storm(num(args(f[2:]), "rate", 400), w.now.Add(span(f[1])))
	case "hang":
		n, _ := strconv.Atoi(f[1])
		for _, m := range s.busiest(n) {
			m.hung = w.now.Add(span(f[2]))
		}
	case "sick":
		n, _ := strconv.Atoi(f[1])
		for _, m := range s.busiest(n) {
			m.sick = true
			w.after(span(f[2]), func() { m.sick = false })
		}
	case "slow":
		n, _ := strconv.Atoi(f[1])
		for _, m := range s.busiest(n) {
			m.speed = num(args(f[2:]), "factor", 3)
		}
	case "take": // take N notice=D | take N
		n, _ := strconv.Atoi(f[1])
		notice := dur(args(f[2:]), "notice", 0)
		for _, m := range s.busiest(len(w.cloud.machines)) {
			if n > 0 && m.reclaimable {
				n--
				if notice > 0 {
					m.leaves = w.now.Add(notice)
					m.do(m.changed)
				}
				w.after(notice, m.end)
			}
		}
	case "boots": // boots never | boots 300 (percent)
		if f[1] == "never" {
			w.cloud.boots = func() (time.Duration, bool) { return 100, w.rng.IntN(2) == 0 }
		} else {
			p, _ := strconv.Atoi(f[1])
			w.cloud.boots = func() (time.Duration, bool) { return time.Duration(p), true }
		}
	case "schedule", "edit":
		s.putSchedule(f[1], args(f[2:]))
	case "config", "configs":
		s.configure(f)
	case "pause", "resume", "remove", "start":
		w.clerks[f[1]].ask(map[string]request.Operation{"pause": request.SchedulePause, "resume": request.ScheduleResume, "remove": request.ScheduleDelete, "start": request.ScheduleRun}[f[0]], args(f[2:]))
	case "damage": // damage PREFIX VALUE: what the first key below the prefix holds
		w.lossy = true
		for _, k := range w.store.sorted(f[1])[:1] {
			e := w.store.keys[k]
			was := e.value
			e.value = json.RawMessage(f[2])
			w.repair = func() { e.value = was }
		}
	case "repair": // what was damaged last is put right
		w.repair()
	case "wander": // wander NODE D: its time of day goes D wrong
		if n := s.node(f[1]); n != nil {
			n.wander = span(f[2])
			n.core.SetClockOffset(n.wander)
		}
	case "plant":
		s.plant(f[1])
	default:
		panic("unknown action " + f[0])
	}
}

// plant breaks a rule on purpose, past the controllers, so that the test sees
// the checker catch it.
func (s *script) plant(rule string) {
	w := s.world
	ms := s.busiest(len(w.cloud.machines))
	j := w.order[0]
	force := func(m *worker, id heartbeat.TaskID) {
		t := &task{id: id, try: 1, job: w.jobs[id.Job], phase: heartbeat.Pulling}
		m.tasks = append(m.tasks, t)
		w.ledger.hold(m, t)
		w.dirty = true
		m.begin(t)
	}
	switch rule {
	case "ran_twice":
		for _, t := range ms[0].tasks {
			if t.on() {
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
		j.told, j.toldAt = spec.Cancelled, w.now.Add(-w.cancelWithin-time.Second)
		w.calledOff = append(w.calledOff, j)
		w.dirty = true
	case "forgotten":
		w.given = w.now
		w.submitted(j, 422, request.Response{})
	case "invented":
		k := map[string]*userJob{}
		w.jobs = k // its user knows nothing of it any more
		w.request(request.Get, nil, j.spec.ID, 2*time.Second, func(status int, a request.Response) {
			if status == 200 && w.jobs[j.spec.ID] == nil {
				w.fail("invented", "%s gets 200", j.spec.ID)
			}
		})
		w.after(3*time.Second, func() { w.jobs[j.spec.ID] = j })
	case "not_done":
		w.given = w.now
		w.hear(j, request.JobStatus{ID: j.spec.ID, State: spec.Done})
	case "went_back":
		w.given = w.now
		w.hear(j, request.JobStatus{ID: j.spec.ID, State: spec.Cancelled})
	case "nothing_ran":
		w.started = 0
		w.at(w.start.Add(s.end), func() { w.started = 0 })
	default:
		panic("no such rule " + rule)
	}
}
