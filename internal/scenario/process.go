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
	node                 *node
	zone                 string
	program              string
	arguments            []string // in addition to --config
	logLevel             string
	cmd                  *exec.Cmd
	config               string
	clientAddr, peerAddr string
	healthy              bool
	http                 *http.Client
	logMu                sync.Mutex
	log                  []string
	exited               chan struct{}
	started              time.Time
	shellPrefix          string // shell commands to run first, such as ulimit
	stderrPipe           *os.File
	ignoreStderr         bool // keep standard error open without reading it
}

// launchOptions configures the controllers of a loopback.
type launchOptions struct {
	count        int
	program      func(i int) string // of controller i
	arguments    []string
	logLevel     string
	zone         func(i int) string   // of controller i
	beforeStart  func(p *process)     // called before each controller's first start, unless nil
	relayPeers   bool                 // connect controllers through relays that count messages and apply partitions
	editSettings func(*extraSettings) // modifies the settings, unless nil
}

// extraSettings are settings that the world's configuration does not contain.
type extraSettings struct {
	cpuShare, memMB float64
}

// freeAddresses returns n unused addresses. All listeners stay open until the last one exists,
// since the system may reuse a closed port at once.
func (l *loopback) freeAddresses(n int) (addresses []string) {
	for range n {
		ln, err := net.Listen("tcp", net.JoinHostPort(l.address, "0"))
		if err != nil {
			l.errorf("%v", err)
			return make([]string, n)
		}
		defer ln.Close()
		addresses = append(addresses, ln.Addr().String())
	}
	return addresses
}

// startControllers starts the controllers and the world's clock.
func (l *loopback) startControllers(opts launchOptions) []*process {
	addresses := l.freeAddresses(2 * opts.count)
	for i := range opts.count {
		p := &process{loopback: l, program: opts.program(i), arguments: opts.arguments, logLevel: opts.logLevel, zone: opts.zone(i),
			clientAddr: addresses[2*i], peerAddr: addresses[2*i+1], http: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
		p.node = &node{world: l.world, name: fmt.Sprintf("n%d", i), process: p}
		l.processes = append(l.processes, p)
		l.nodes = append(l.nodes, p.node)
	}
	for _, a := range l.script.actions { // machines that run from the start
		l.script.perform(a.words)
	}
	go l.runClock()
	for _, p := range l.processes {
		p.config = filepath.Join(l.dir, p.node.name+".toml")
		if err := os.WriteFile(p.config, p.settingsTOML(opts), 0o644); err != nil {
			l.errorf("%v", err)
		}
		if opts.beforeStart != nil {
			opts.beforeStart(p)
		}
		p.start()
		go p.pollReady()
	}
	return l.processes
}

func (p *process) settingsTOML(opts launchOptions) []byte {
	extra := extraSettings{cpuShare: 0.5, memMB: 200}
	if opts.editSettings != nil {
		opts.editSettings(&extra)
	}
	s := p.cfg.Settings
	var sb bytes.Buffer
	fmt.Fprintf(&sb, "host_name = %q\nsite = %q\nclient_listen = %q\npeer_bind = %q\n", p.node.name, p.zone, p.clientAddr, p.peerAddr)
	for _, o := range p.processes {
		if o != p {
			endpoint := o.peerAddr
			if opts.relayPeers {
				endpoint = p.relayTo(o)
			}
			fmt.Fprintf(&sb, "[[seeds]]\nhost_name = %q\nsite = %q\nendpoint = %q\n", o.node.name, o.zone, endpoint)
		}
	}
	state := p.serveExternal(p.node.name, "state", func(method, path string, body []byte, answer func(int, []byte)) {
		p.store.serve(p.node.name, method, path, body, answer)
	})
	fmt.Fprintf(&sb, "[external]\ncloud = %q\nstate = %q\n[settings]\nnodes = %d\nzones = [\"%s\"]\n",
		p.serveExternal(p.node.name, "cloud", p.cloud.serve), state, opts.count, strings.Join(s.Zones, `", "`))
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

// start starts the process, collects its log and records when it exits.
func (p *process) start() {
	command := append([]string{p.program}, p.arguments...)
	p.cmd = exec.Command("/bin/sh", "-c", p.shellPrefix+" exec "+strings.Join(command, " ")+" --config "+p.config)
	p.cmd.Env = append(os.Environ(), "LOG_LEVEL="+p.logLevel)
	r, w, err := os.Pipe()
	if err != nil {
		p.errorf("%v", err)
		return
	}
	p.cmd.Stderr, p.stderrPipe = w, r
	if p.ignoreStderr { // a small pipe buffer, which fills quickly
		syscall.Syscall(syscall.SYS_FCNTL, w.Fd(), 1031 /* F_SETPIPE_SZ */, 4096)
	}
	if err := p.cmd.Start(); err != nil {
		p.errorf("%v", err)
		return
	}
	w.Close()
	cmd, exited := p.cmd, make(chan struct{})
	p.exited, p.started = exited, time.Now()
	p.with(func() { p.node.alive = true })
	if !p.ignoreStderr {
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
		p.with(func() { p.node.alive = p.cmd != cmd && p.node.alive })
		close(exited)
	}()
}

// runs reports whether the process has not exited.
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

// stop kills the process if it was started.
func (p *process) stop() {
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Kill()
		<-p.exited
	}
}

func (p *process) lastLogLines(n int) []string {
	p.logMu.Lock()
	defer p.logMu.Unlock()
	return append([]string(nil), p.log[max(0, len(p.log)-n):]...)
}

// logged reports whether a log line contains all the words.
func (p *process) logged(words ...string) bool {
	p.logMu.Lock()
	defer p.logMu.Unlock()
	return slices.ContainsFunc(p.log, func(line string) bool {
		return !slices.ContainsFunc(words, func(word string) bool { return !strings.Contains(line, word) })
	})
}

// pollReady polls the readiness endpoint until the loopback is closed.
func (p *process) pollReady() {
	c := &http.Client{Timeout: time.Second}
	for {
		select {
		case <-p.closed:
			return
		case <-time.After(200 * time.Millisecond):
		}
		r, err := c.Get("http://" + p.clientAddr + "/ready")
		ok := err == nil && r.StatusCode == 200
		if err == nil {
			r.Body.Close()
		}
		p.with(func() { p.healthy = ok })
	}
}

func (p *process) ready() bool { return p.healthy }

// send sends an HTTP request to the controller. The status is 0 if no complete response arrived.
func (p *process) send(method, path string, body []byte) (int, http.Header, []byte) {
	return p.sendWith(p.http, method, path, body)
}

// sendWith is like send, but uses the given client.
func (p *process) sendWith(client *http.Client, method, path string, body []byte) (int, http.Header, []byte) {
	req, err := http.NewRequest(method, "http://"+p.clientAddr+path, bytes.NewReader(body))
	if err != nil {
		p.errorf("%v", err)
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

// metric returns the value of a metric, or -1 if it is missing.
func (p *process) metric(name string) float64 {
	_, _, data := p.send("GET", "/metrics", nil)
	for line := range strings.Lines(string(data)) {
		if v, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			x, _ := strconv.ParseFloat(v, 64)
			return x
		}
	}
	return -1
}

// isLeader reports whether the process runs and is leader with authority.
func (p *process) isLeader() bool { return p.runs() && p.metric("yewpass_authority") == 1 }

// ask sends a heartbeat or a user's request to the controller and passes the response to f.
func (p *process) ask(in any, f func(any)) {
	go func() {
		var a any
		switch in := in.(type) {
		case heartbeat.Received:
			a = p.sendHeartbeat(in.Report)
		case request.Request:
			a = p.sendUserRequest(in)
		}
		p.with(func() { f(a) })
	}()
}

// sendHeartbeat sends a heartbeat over the worker's own connection.
func (p *process) sendHeartbeat(rep heartbeat.Report) heartbeat.Reply {
	status, _, data := p.sendWith(p.workerClient(rep.Host, p.node.name), "POST", "/hello", heartbeatBody(rep))
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
			p.errorf("heartbeat reply contains an order for invalid task ID %q", o.Shard)
		}
		a.Orders = append(a.Orders, heartbeat.Order{Verb: o.Verb, Task: id, Attempt: o.Try, Drain: time.Duration(o.DrainS * float64(time.Second))})
	}
	return a
}

func (p *process) sendUserRequest(in request.Request) request.Response {
	var status int
	var header http.Header
	var data []byte
	switch in.Op {
	case request.Submit:
		status, header, data = p.send("POST", "/v2/runs", submissionBody(in.Spec))
	case request.Get:
		status, header, data = p.send("GET", "/v2/runs/"+in.ID, nil)
	case request.Cancel:
		status, header, data = p.send("POST", "/v2/runs/"+in.ID+"/cancel", nil)
	case request.ConfigSet:
		status, header, data = p.send("POST", "/v2/config", encode(in.Config))
	case request.ConfigLocal:
		status, header, data = p.send("GET", "/v2/config/here", nil)
	}
	after, _ := strconv.Atoi(header.Get("Retry-After"))
	if in.Config != nil {
		return request.Response{Status: status, RetryAfter: time.Duration(after) * time.Second, Reason: string(data), Document: parseConfigResponse(in.Op, data)}
	}
	var v struct {
		ID            string
		Status        spec.JobState
		Done, Running int
	}
	json.Unmarshal(data, &v)
	return request.Response{Status: status, RetryAfter: time.Duration(after) * time.Second, Job: request.JobStatus{ID: v.ID, State: v.Status, Done: v.Done, Running: v.Running}}
}

// parseConfigResponse decodes a response of the configuration API. It returns nil if that fails.
func parseConfigResponse(op request.Operation, data []byte) any {
	var changed view.ConfigChanged
	var local view.LocalConfig
	if op == request.ConfigSet && json.Unmarshal(data, &changed) == nil {
		return changed
	}
	if op == request.ConfigLocal && json.Unmarshal(data, &local) == nil {
		return local
	}
	return nil
}

func submissionBody(s *spec.Job) []byte {
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
