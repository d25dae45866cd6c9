package scenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/core"
)

// The drills play the real program against the stand-ins of the scenarios, whose
// clock then goes with time itself. This file is the loopback between them: HTTP in
// front of state service, cloud and workers' commands, and HTTP to the nodes for
// workers and users. The stand-ins behave as in every scenario, and the same checker
// looks at every rule.

// front is a world with processes instead of cores.
type front struct {
	*world
	t      *testing.T
	script *script
	mu     sync.Mutex // held by whoever touches the world
	binds  []net.Listener
	over   chan struct{}
	twist  func(host, path string, status int, data []byte) (int, []byte) // what a faulty service answers instead
}

// built is the folder that the program is built into; it goes with the tests.
var built string

func TestMain(m *testing.M) {
	code := m.Run()
	if built != "" {
		os.RemoveAll(built)
	}
	os.Exit(code)
}

// program builds the real program, once.
var program = sync.OnceValues(func() (path string, err error) {
	if built, err = os.MkdirTemp("", "yewpass-drill"); err != nil {
		return "", err
	}
	path = filepath.Join(built, "yewpass")
	out, err := exec.Command("go", "build", "-o", path, "yewpass/cmd/yewpass").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return path, err
})

// proc is a controller that runs as a process.
type proc struct {
	*front
	n              *node
	cmd            *exec.Cmd
	config         string
	clients, peers string
	healthy        bool
	http           *http.Client
	logMu          sync.Mutex
	log            []string
	exited         chan struct{}
	shell          string // set before what the process runs under, such as a limit
	pipe           *os.File
	stopReading    bool // its standard error stays open and is not read
}

// fronts counts the fronts that there have been.
var fronts atomic.Int64

// newFront begins a world whose text is set up as a scenario's, without its times.
func newFront(t *testing.T, text string) *front {
	t.Helper()
	if testing.Short() {
		t.Skip("drills take their time")
	}
	t.Parallel()
	s, err := read(text)
	if err != nil {
		t.Fatal(err)
	}
	w := s.world
	w.cfg.Settings.Workers = config.Workers{Report: 1, Lease: 5, Cancel: 16}
	w.adoptSettings(nil)
	w.store.refilled = time.Now()
	w.clock.start, w.clock.now = time.Now(), time.Now()
	f := &front{world: w, t: t, script: s, over: make(chan struct{})}
	workers := f.serve(f.worker)
	w.address = func(host string) string { return workers + "/" + host }
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		close(f.over)
		for _, ln := range f.binds {
			ln.Close()
		}
		for _, v := range w.violations {
			t.Errorf("rule broken at %s", v)
		}
	})
	return f
}

// play lets the stand-ins' time go with time itself.
func (f *front) play() {
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-f.over:
			return
		case <-tick.C:
		}
		f.mu.Lock()
		f.catchUp()
		f.mu.Unlock()
	}
}

func (f *front) catchUp() {
	now := time.Now()
	for f.step(now) {
	}
	f.clock.now = now
	f.check()
}

// with has do called while nothing else touches the world.
func (f *front) with(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catchUp()
	do()
}

// until waits for something to become true.
func (f *front) until(what string, cond func() bool) {
	f.t.Helper()
	ok := false
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end) && !ok; time.Sleep(10 * time.Millisecond) {
		f.with(func() { ok = cond() })
	}
	if !ok {
		for _, n := range f.nodes {
			f.t.Logf("%s said last:\n%s", n.name, strings.Join(n.process.(*proc).tail(25), "\n"))
		}
		f.t.Fatalf("waited in vain: %s", what)
	}
}

// serve answers HTTP on a port of the system's choice.
func (f *front) serve(h http.HandlerFunc) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.binds = append(f.binds, ln)
	go http.Serve(ln, h)
	return ln.Addr().String()
}

// outside is a service of the stand-ins as one node sees it: over the world's
// network, with its cuts.
func (f *front) outside(node, host string, serve func(method, path string, body []byte, answer func(int, []byte))) string {
	return f.serve(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		type reply struct {
			status int
			data   []byte
		}
		got := make(chan reply, 8)
		f.with(func() {
			f.net.send(host, node, host, func() {
				serve(r.Method, r.URL.RequestURI(), body, func(status int, data []byte) {
					if f.twist != nil {
						status, data = f.twist(host, r.URL.RequestURI(), status, data)
					}
					f.net.send(host+" answer", host, node, func() { got <- reply{status, data} })
				})
			})
		})
		select {
		case a := <-got:
			rw.WriteHeader(a.status)
			rw.Write(a.data)
		case <-r.Context().Done():
		case <-f.over:
		}
	})
}

// worker takes direct commands for the machine that the path names.
func (f *front) worker(rw http.ResponseWriter, r *http.Request) {
	var c struct{ Epoch, Tenure uint64 }
	json.NewDecoder(r.Body).Decode(&c)
	got := make(chan core.ProbeReply, 1)
	f.with(func() {
		if m := f.workers[strings.Split(r.URL.Path, "/")[1]]; m != nil && f.net.open(m.host, "n0") {
			m.do(func() {
				outcome, rep := m.command(c.Epoch, c.Tenure)
				got <- core.ProbeReply{Outcome: outcome, Report: rep}
			})
		}
	})
	select {
	case a := <-got:
		if a.Outcome != core.OK {
			rw.WriteHeader(http.StatusConflict)
		}
		rw.Write(reportBody(a.Report))
	case <-r.Context().Done():
	case <-f.over:
	}
}

// reportBody is a report as workers write it.
func reportBody(r core.Report) []byte {
	tasks := []object{}
	for _, t := range r.Tasks {
		tasks = append(tasks, object{"shard": t.Task.String(), "try": t.Try, "status": t.Phase, "cause": t.Cause})
	}
	o := object{"host": r.Host, "address": r.Address, "flavor": r.Flavor, "hall": r.Zone, "reclaimable": r.Reclaimable,
		"tenure": r.Tenure, "counter": r.Counter, "epoch": r.Epoch, "shards": tasks}
	if r.HasNotice {
		o["warningS"] = r.Notice.Seconds()
	}
	return encode(o)
}

// controllers starts n nodes; change, unless it is nil, is called before each start.
func (f *front) controllers(n int, change func(p *proc)) []*proc {
	f.t.Helper()
	var ps []*proc
	// A port that was free a moment ago, on a loopback address of the front's own:
	// whatever else opens ports at the same time does so on another.
	host := fmt.Sprintf("127.%d.%d.1:0", 20+os.Getpid()%200, 1+fronts.Add(1)%250)
	free := func() string {
		ln, err := net.Listen("tcp", host)
		if err != nil {
			f.t.Fatal(err)
		}
		defer ln.Close()
		return ln.Addr().String()
	}
	for i := range n {
		p := &proc{front: f, clients: free(), peers: free(), http: &http.Client{Timeout: 4 * time.Second}}
		p.n = &node{world: f.world, name: fmt.Sprintf("n%d", i), process: p}
		ps = append(ps, p)
		f.nodes = append(f.nodes, p.n)
	}
	for _, a := range f.script.actions { // machines that are up from the start
		f.script.act(a.what)
	}
	go f.play()
	for _, p := range ps {
		var sb strings.Builder
		fmt.Fprintf(&sb, "host_name = %q\nsite = \"a\"\nclient_listen = %q\npeer_bind = %q\n", p.n.name, p.clients, p.peers)
		for _, o := range ps {
			if o != p {
				fmt.Fprintf(&sb, "[[seeds]]\nhost_name = %q\nendpoint = %q\n", o.n.name, o.peers)
			}
		}
		state := f.outside(p.n.name, "state", func(method, path string, body []byte, answer func(int, []byte)) {
			f.store.serve(p.n.name, method, path, body, answer)
		})
		s := f.cfg.Settings
		fmt.Fprintf(&sb, "[external]\ncloud = %q\nstate = %q\n[settings]\nnodes = %d\nzones = [\"a\", \"b\"]\n", f.outside(p.n.name, "cloud", f.cloud.serve), state, n)
		for _, t := range s.Teams {
			fmt.Fprintf(&sb, "[[settings.teams]]\nname = %q\ncpus = %g\ncpus_max = %g\n", t.Name, t.CPUs, t.CPUsMax)
		}
		fmt.Fprintf(&sb, "[settings.workers]\nreport_s = %g\nlease_s = %g\ncancel_s = %g\n", s.Workers.Report, s.Workers.Lease, s.Workers.Cancel)
		fmt.Fprintf(&sb, "[settings.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %g\ntxn_ops = %d\n", s.State.RPS, s.State.WriteRPS, s.State.ValueKB, s.State.TxnOps)
		fmt.Fprintf(&sb, "[settings.cloud]\nrps = %g\nlist_lag_s = 0.5\n[settings.machine_limits]\ncpu_share = 0.5\nmem_mb = 200\nmax_connections = %d\n", s.Cloud.RPS, s.Limits.MaxConnections)
		p.config = filepath.Join(f.t.TempDir(), p.n.name+".toml")
		if err := os.WriteFile(p.config, []byte(sb.String()), 0o644); err != nil {
			f.t.Fatal(err)
		}
		if change != nil {
			change(p)
		}
		p.start()
		go p.probe()
	}
	return ps
}

// start starts the process; its end and what it says are noted.
func (p *proc) start() {
	p.t.Helper()
	path, err := program()
	if err != nil {
		p.t.Fatal(err)
	}
	p.cmd = exec.Command("/bin/sh", "-c", p.shell+" exec "+path+" --config "+p.config)
	p.cmd.Env = append(os.Environ(), "LOG_LEVEL=debug")
	r, w, err := os.Pipe()
	if err != nil {
		p.t.Fatal(err)
	}
	p.cmd.Stderr, p.pipe = w, r
	if p.stopReading { // a page is soon full
		syscall.Syscall(syscall.SYS_FCNTL, w.Fd(), 1031 /* F_SETPIPE_SZ */, 4096)
	}
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	w.Close()
	cmd, exited := p.cmd, make(chan struct{})
	p.exited = exited
	p.with(func() { p.n.alive = true })
	if !p.stopReading {
		go func() {
			for sc := bufio.NewScanner(r); sc.Scan(); {
				p.logMu.Lock()
				p.log = append(p.log, sc.Text())
				p.logMu.Unlock()
			}
		}()
	}
	go func() {
		cmd.Wait()
		p.with(func() { p.n.alive = p.cmd != cmd && p.n.alive })
		close(exited)
	}()
	p.t.Cleanup(func() { cmd.Process.Kill(); <-exited })
}

// runs reports whether the process has not ended.
func (p *proc) runs() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *proc) kill() {
	p.cmd.Process.Kill()
	<-p.exited
}

func (p *proc) tail(n int) []string {
	p.logMu.Lock()
	defer p.logMu.Unlock()
	return append([]string(nil), p.log[max(0, len(p.log)-n):]...)
}

// said reports whether the process has logged a line with all the words.
func (p *proc) said(words ...string) bool {
	p.logMu.Lock()
	defer p.logMu.Unlock()
lines:
	for _, line := range p.log {
		for _, w := range words {
			if !strings.Contains(line, w) {
				continue lines
			}
		}
		return true
	}
	return false
}

// probe is the load balancer's look at the node.
func (p *proc) probe() {
	c := &http.Client{Timeout: time.Second}
	for {
		select {
		case <-p.over:
			return
		case <-time.After(200 * time.Millisecond):
		}
		r, err := c.Get("http://" + p.clients + "/ready")
		ok := err == nil && r.StatusCode == 200
		if err == nil {
			r.Body.Close()
		}
		p.with(func() { p.healthy = ok })
	}
}

func (p *proc) ready() bool { return p.healthy }

// do makes a request of the node; status 0 if it has none or no whole answer.
func (p *proc) do(method, path string, body []byte) (int, http.Header, []byte) {
	req, err := http.NewRequest(method, "http://"+p.clients+path, bytes.NewReader(body))
	if err != nil {
		p.t.Error(err)
		return 0, nil, nil
	}
	resp, err := p.http.Do(req)
	if err != nil {
		return 0, nil, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, nil
	}
	return resp.StatusCode, resp.Header, data
}

// metric reads a figure from the node's metrics page, or -1.
func (p *proc) metric(name string) float64 {
	_, _, data := p.do("GET", "/metrics", nil)
	for line := range strings.Lines(string(data)) {
		if v, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			x, _ := strconv.ParseFloat(v, 64)
			return x
		}
	}
	return -1
}

// ask passes on what workers and users ask of the node.
func (p *proc) ask(in any, f func(any)) {
	go func() {
		a := p.answerTo(in)
		p.with(func() { f(a) })
	}()
}

func (p *proc) answerTo(in any) any {
	switch in := in.(type) {
	case core.ReportIn:
		status, _, data := p.do("POST", "/hello", reportBody(in.Report))
		var r struct {
			Epoch    uint64
			Upstream string
			Orders   []struct {
				Verb   core.Verb
				Shard  string
				Try    uint64
				DrainS float64
			}
		}
		if json.Unmarshal(data, &r) != nil {
			status = 0
		}
		a := core.AnswerReport{Status: status, Epoch: r.Epoch, Upstream: r.Upstream}
		for _, o := range r.Orders {
			id, ok := core.ParseTaskID(o.Shard)
			if !ok {
				p.t.Errorf("an order for %q", o.Shard)
			}
			a.Orders = append(a.Orders, core.Order{Verb: o.Verb, Task: id, Try: o.Try, Drain: time.Duration(o.DrainS * float64(time.Second))})
		}
		return a
	case core.UserCall:
		var status int
		var head http.Header
		var data []byte
		switch in.Op {
		case core.OpSubmit:
			status, head, data = p.do("POST", "/v2/runs", submission(in.Spec))
		case core.OpGet:
			status, head, data = p.do("GET", "/v2/runs/"+in.ID, nil)
		case core.OpCancel:
			status, head, data = p.do("POST", "/v2/runs/"+in.ID+"/cancel", nil)
		}
		var v struct {
			ID            string
			Status        core.JobState
			Done, Running int
		}
		json.Unmarshal(data, &v)
		after, _ := strconv.Atoi(head.Get("Retry-After"))
		return core.AnswerUser{Status: status, RetryAfter: time.Duration(after) * time.Second, View: core.JobView{ID: v.ID, State: v.Status, Done: v.Done, Running: v.Running}}
	}
	panic("unknown input")
}

// submission is a job as its user writes it.
func submission(s *core.JobSpec) []byte {
	o := object{"id": s.ID, "jobclass": s.Class, "owner": s.Owner, "shape": "array", "urgency": s.Urgency.String(), "shards": s.Tasks,
		"vcpus": s.CPUs, "gpus": s.GPUs, "memGb": s.MemGB, "bundle": s.Image, "sizeGb": s.ImageGB, "flavors": s.Flavors,
		"samePlace": s.SamePlace, "apart": s.Apart, "reclaimable": s.Reclaimable, "runtimeS": s.Runtime.Seconds(),
		"snapshotEveryS": s.SnapshotEvery.Seconds(), "snapshotS": s.Snapshot.Seconds()}
	if s.Service {
		o["shape"] = "service"
	}
	if s.Zone != "" {
		o["hall"] = s.Zone
	}
	if s.Dated {
		o["dueS"] = s.Due.Seconds()
	}
	return encode(o)
}

// job submits a job as a scenario does and returns what its user knows of it.
func (f *front) job(id string, words ...string) *userJob {
	var j *userJob
	f.with(func() {
		j = f.script.job(id, args(words))
		f.world.submit(j)
	})
	return j
}

// leads returns the process that leads in authority, or nil.
func (f *front) leads() *proc {
	for _, n := range f.nodes {
		if p := n.process.(*proc); p.runs() && p.metric("yewpass_authority") == 1 {
			return p
		}
	}
	return nil
}

// leader waits for a leader in authority.
func (f *front) leader() *proc {
	f.t.Helper()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if p := f.leads(); p != nil {
			return p
		}
	}
	f.until("a leader", func() bool { return false })
	return nil
}

// on counts the tasks of a job on machines.
func (f *front) on(id string) int {
	n := 0
	for _, m := range f.cloud.machines {
		for _, t := range m.tasks {
			if t.on() && t.id.Job == id {
				n++
			}
		}
	}
	return n
}

// told reports whether the jobs' users have all been told this state.
func told(state core.JobState, js ...*userJob) func() bool {
	return func() bool {
		for _, j := range js {
			if j.told != state {
				return false
			}
		}
		return true
	}
}
