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
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/request"
	"yewpass/internal/spec"
	"yewpass/internal/view"
)

// process is a controller that runs as a process of the real program.
type process struct {
	*loopback
	n              *node
	site           string // its zone
	program        string
	arguments      []string // besides the settings
	logLevel       string
	cmd            *exec.Cmd
	config         string
	clients, peers string
	healthy        bool
	http           *http.Client
	logMu          sync.Mutex
	log            []string
	exited         chan struct{}
	started        time.Time
	shell          string // set before what the process runs under, such as a limit
	pipe           *os.File
	stopReading    bool // its standard error stays open and is not read
}

// launch says how the controllers of a loopback are run.
type launch struct {
	count     int
	program   func(i int) string // of a controller
	arguments []string
	logLevel  string
	site      func(i int) string  // the zone of a controller
	change    func(p *process)    // called before each first start, unless it is nil
	relayed   bool                // the links between controllers can be cut and are measured
	settings  func(*settingsFile) // changes the settings, unless it is nil
}

// settingsFile is what the settings have that the world does not say.
type settingsFile struct {
	cpuShare, memMB float64
}

// free returns addresses on which nobody listens, no two of them alike: a port that has been
// closed may be given out again at once, so all are open before the first is closed.
func (l *loopback) free(n int) (addresses []string) {
	for range n {
		ln, err := net.Listen("tcp", net.JoinHostPort(l.address, "0"))
		if err != nil {
			l.complain("%v", err)
			return make([]string, n)
		}
		defer ln.Close()
		addresses = append(addresses, ln.Addr().String())
	}
	return addresses
}

// startControllers starts the controllers and the time of the world.
func (l *loopback) startControllers(how launch) []*process {
	addresses := l.free(2 * how.count)
	for i := range how.count {
		p := &process{loopback: l, program: how.program(i), arguments: how.arguments, logLevel: how.logLevel, site: how.site(i),
			clients: addresses[2*i], peers: addresses[2*i+1], http: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
		p.n = &node{world: l.world, name: fmt.Sprintf("n%d", i), process: p}
		l.processes = append(l.processes, p)
		l.nodes = append(l.nodes, p.n)
	}
	for _, a := range l.script.actions { // machines that are up from the start
		l.script.perform(a.words)
	}
	go l.play()
	for _, p := range l.processes {
		p.config = filepath.Join(l.dir, p.n.name+".toml")
		if err := os.WriteFile(p.config, p.settings(how), 0o644); err != nil {
			l.complain("%v", err)
		}
		if how.change != nil {
			how.change(p)
		}
		p.start()
		go p.probe()
	}
	return l.processes
}

// settings is the process's settings file.
func (p *process) settings(how launch) []byte {
	extra := settingsFile{cpuShare: 0.5, memMB: 200}
	if how.settings != nil {
		how.settings(&extra)
	}
	s := p.cfg.Settings
	var sb bytes.Buffer
	fmt.Fprintf(&sb, "host_name = %q\nsite = %q\nclient_listen = %q\npeer_bind = %q\n", p.n.name, p.site, p.clients, p.peers)
	for _, o := range p.processes {
		if o != p {
			endpoint := o.peers
			if how.relayed {
				endpoint = p.relayTo(o)
			}
			fmt.Fprintf(&sb, "[[seeds]]\nhost_name = %q\nsite = %q\nendpoint = %q\n", o.n.name, o.site, endpoint)
		}
	}
	state := p.outside(p.n.name, "state", func(method, path string, body []byte, answer func(int, []byte)) {
		p.store.serve(p.n.name, method, path, body, answer)
	})
	fmt.Fprintf(&sb, "[external]\ncloud = %q\nstate = %q\n[settings]\nnodes = %d\nzones = [\"%s\"]\n",
		p.outside(p.n.name, "cloud", p.cloud.serve), state, how.count, strings.Join(s.Zones, `", "`))
	for _, t := range s.Teams {
		fmt.Fprintf(&sb, "[[settings.teams]]\nname = %q\ncpus = %g\ncpus_max = %g\n", t.Name, t.CPUs, t.CPUsMax)
	}
	for _, o := range s.Objectives {
		fmt.Fprintf(&sb, "[[settings.objectives]]\nkind = %q\nclass = %q\nwithin_s = %g\nshare = %g\ntimes = %g\n", o.Kind, o.Class, o.Within, o.Share, o.Times)
	}
	fmt.Fprintf(&sb, "[settings.workers]\nreport_s = %g\nlease_s = %g\ncancel_s = %g\n", s.Workers.Report, s.Workers.Lease, s.Workers.Cancel)
	fmt.Fprintf(&sb, "[settings.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %g\ntxn_ops = %d\n", s.State.RPS, s.State.WriteRPS, s.State.ValueKB, s.State.TxnOps)
	fmt.Fprintf(&sb, "[settings.cloud]\nrps = %g\nlist_lag_s = 0.5\n[settings.machine_limits]\ncpu_share = %g\nmem_mb = %g\nmax_connections = %d\n",
		s.Cloud.RPS, extra.cpuShare, extra.memMB, s.Limits.MaxConnections)
	return sb.Bytes()
}

// start starts the process; its end and what it says are noted.
func (p *process) start() {
	words := append([]string{p.program}, p.arguments...)
	p.cmd = exec.Command("/bin/sh", "-c", p.shell+" exec "+strings.Join(words, " ")+" --config "+p.config)
	p.cmd.Env = append(os.Environ(), "LOG_LEVEL="+p.logLevel)
	r, w, err := os.Pipe()
	if err != nil {
		p.complain("%v", err)
		return
	}
	p.cmd.Stderr, p.pipe = w, r
	if p.stopReading { // a page is soon full
		syscall.Syscall(syscall.SYS_FCNTL, w.Fd(), 1031 /* F_SETPIPE_SZ */, 4096)
	}
	if err := p.cmd.Start(); err != nil {
		p.complain("%v", err)
		return
	}
	w.Close()
	cmd, exited := p.cmd, make(chan struct{})
	p.exited, p.started = exited, time.Now()
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
}

// runs reports whether the process has not ended.
func (p *process) runs() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.exited
}

// end is kill for a process that may not have begun.
func (p *process) end() {
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Kill()
		<-p.exited
	}
}

// tail is what the process said last.
func (p *process) tail(n int) []string {
	p.logMu.Lock()
	defer p.logMu.Unlock()
	return append([]string(nil), p.log[max(0, len(p.log)-n):]...)
}

// said reports whether the process has logged a line with all the words.
func (p *process) said(words ...string) bool {
	p.logMu.Lock()
	defer p.logMu.Unlock()
	return slices.ContainsFunc(p.log, func(line string) bool {
		return !slices.ContainsFunc(words, func(word string) bool { return !strings.Contains(line, word) })
	})
}

// probe is the load balancer's look at the node.
func (p *process) probe() {
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

func (p *process) ready() bool { return p.healthy }

// do makes a request of the node; status 0 if it has none or no whole answer.
func (p *process) do(method, path string, body []byte) (int, http.Header, []byte) {
	return p.request(p.http, method, path, body)
}

// request is do by a client of the caller's.
func (p *process) request(client *http.Client, method, path string, body []byte) (int, http.Header, []byte) {
	req, err := http.NewRequest(method, "http://"+p.clients+path, bytes.NewReader(body))
	if err != nil {
		p.complain("%v", err)
		return 0, nil, nil
	}
	resp, err := client.Do(req)
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
func (p *process) metric(name string) float64 {
	_, _, data := p.do("GET", "/metrics", nil)
	for line := range strings.Lines(string(data)) {
		if v, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			x, _ := strconv.ParseFloat(v, 64)
			return x
		}
	}
	return -1
}

// leads reports whether the process leads in authority.
func (p *process) leads() bool { return p.runs() && p.metric("yewpass_authority") == 1 }

// ask passes on what workers and users ask of the node.
func (p *process) ask(in any, f func(any)) {
	go func() {
		var a any
		switch in := in.(type) {
		case heartbeat.Received:
			a = p.answerReport(in.Report)
		case request.Request:
			a = p.answerUser(in)
		}
		p.with(func() { f(a) })
	}()
}

// answerReport makes a worker's report on the worker's own connection.
func (p *process) answerReport(rep heartbeat.Report) heartbeat.Reply {
	status, _, data := p.request(p.link(rep.Host, p.n.name), "POST", "/hello", reportBody(rep))
	var r struct {
		Epoch    uint64
		Upstream string
		Orders   []struct {
			Verb   heartbeat.Verb
			Shard  string
			Try    uint64
			DrainS float64
		}
	}
	if json.Unmarshal(data, &r) != nil {
		status = 0
	}
	a := heartbeat.Reply{Status: status, FencingToken: r.Epoch, Upstream: r.Upstream}
	for _, o := range r.Orders {
		id, ok := heartbeat.ParseTaskID(o.Shard)
		if !ok {
			p.complain("an order for %q", o.Shard)
		}
		a.Orders = append(a.Orders, heartbeat.Order{Verb: o.Verb, Task: id, Try: o.Try, Drain: time.Duration(o.DrainS * float64(time.Second))})
	}
	return a
}

func (p *process) answerUser(in request.Request) request.Response {
	var status int
	var head http.Header
	var data []byte
	switch in.Op {
	case request.Submit:
		status, head, data = p.do("POST", "/v2/runs", submission(in.Spec))
	case request.Get:
		status, head, data = p.do("GET", "/v2/runs/"+in.ID, nil)
	case request.Cancel:
		status, head, data = p.do("POST", "/v2/runs/"+in.ID+"/cancel", nil)
	case request.ConfigSet:
		status, head, data = p.do("POST", "/v2/config", encode(in.Config))
	case request.ConfigHere:
		status, head, data = p.do("GET", "/v2/config/here", nil)
	}
	after, _ := strconv.Atoi(head.Get("Retry-After"))
	if in.Config != nil {
		return request.Response{Status: status, RetryAfter: time.Duration(after) * time.Second, Reason: string(data), Doc: configDoc(in.Op, data)}
	}
	var v struct {
		ID            string
		Status        spec.JobState
		Done, Running int
	}
	json.Unmarshal(data, &v)
	return request.Response{Status: status, RetryAfter: time.Duration(after) * time.Second, View: request.JobStatus{ID: v.ID, State: v.Status, Done: v.Done, Running: v.Running}}
}

// configDoc reads an answer about the configuration; nil if it is none.
func configDoc(op request.Operation, data []byte) any {
	var made view.ConfigChanged
	var here view.LocalConfig
	if op == request.ConfigSet && json.Unmarshal(data, &made) == nil {
		return made
	}
	if op == request.ConfigHere && json.Unmarshal(data, &here) == nil {
		return here
	}
	return nil
}

// submission is a job as its user writes it.
func submission(s *spec.Job) []byte {
	o := object{"id": s.ID, "jobclass": s.Class, "owner": s.Owner, "shape": "array", "urgency": s.Urgency.String(), "shards": s.Tasks,
		"vcpus": s.CPUs, "gpus": s.GPUs, "memGb": s.MemGB, "bundle": s.Image, "sizeGb": s.ImageGB, "flavors": s.InstanceTypes,
		"samePlace": s.SamePlace, "apart": s.Apart, "reclaimable": s.AllowSpot, "runtimeS": s.Runtime.Seconds(),
		"snapshotEveryS": s.CheckpointInterval.Seconds(), "snapshotS": s.CheckpointTime.Seconds()}
	if s.Service {
		o["shape"] = "service"
	}
	if s.Zone != "" {
		o["hall"] = s.Zone
	}
	if s.HasDeadline {
		o["dueS"] = s.Deadline.Seconds()
	}
	return encode(o)
}
