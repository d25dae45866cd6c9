package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// verbose adds every task's way to the record.
var verbose = os.Getenv("REVIEW_VERBOSE") != ""

// record is the file that says what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// description is what a worker learns of a job from its user's upload.
type description struct {
	bundle string
	sizeGB float64
	run    time.Duration // 0 for a service
}

// controller is one process of the program.
type controller struct {
	name, site, client, peer, config string

	mu     sync.Mutex // held while it is started
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
}

// world holds the stand-ins and the controllers of a case.
type world struct {
	rec         *record
	dir         string // temporary
	state       *stateService
	cloud       *cloud
	controllers []*controller
	links       map[[2]int]*link
	run         []string // the run line of the deploy file

	mu       sync.Mutex
	jobs     map[string]description
	on       map[string][]string // by task, the machines that it is on
	starts   map[string]int      // start orders by job
	entries  map[string]int      // times that a task got onto a machine, by job
	doneSet  map[string]bool     // completed tasks
	broken   []string
	longest  int // longest line of a response to a worker
	tooLong  int // machines with more tasks than a report can list
	onEnter  func(k *worker, t *task)
	onLeave  func(k *worker, t *task)
	anyOrder func(job string)
}

// settings are the fields of the settings that differ between cases. The others are those of
// DEPLOY's example, or of the deployment that a case names.
type settings struct {
	teams      string // in TOML, like objectives
	objectives string
	zones      []string
	sites      []string // of the controllers; nil: those of DEPLOY's example
}

// Settings of a deployment: voltaris-sofia, unless a case takes another one.
var (
	reportS  = 3.0
	leaseS   = 20.0
	cancelS  = 40.0
	txnOps   = 48
	listLag  = 3 * time.Second
	cloudRPS = 6.0
	writeRPS = 100.0
	limits   = "cpu_share = 0.096\nmem_mb = 98.0\nmax_connections = 800\n"
)

// useFurrowline takes the settings of the deployment furrowline-hosted.
func useFurrowline() {
	leaseS, cancelS, txnOps, listLag, cloudRPS, writeRPS = 29, 54, 12, 4*time.Second, 10, 60
	limits = "cpu_share = 0.144\nmem_mb = 234.0\nmax_connections = 2500\n"
}

const oneTeam = "[[settings.teams]]\nname = \"grid-analytics\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0\n"

func newWorld(rec *record, flavors []flavor, capacity int, set settings) (*world, error) {
	w := &world{rec: rec, links: map[[2]int]*link{}, jobs: map[string]description{}, on: map[string][]string{}, starts: map[string]int{},
		entries: map[string]int{}, doneSet: map[string]bool{}}
	var err error
	if w.dir, err = os.MkdirTemp("", "review2-"); err != nil {
		return nil, err
	}
	worlds = append(worlds, w)
	if w.run, err = deployLine("run"); err != nil {
		return nil, err
	}
	w.state, w.cloud = newStateService(), newCloud(w, flavors, capacity)
	sites := set.sites
	if sites == nil {
		sites = []string{"sofia-north", "sofia-south", "sofia-north"}
	}
	ports, err := freeAddresses(6)
	if err != nil {
		return nil, err
	}
	for i, site := range sites {
		w.controllers = append(w.controllers, &controller{name: fmt.Sprintf("hostbox-%d", i), site: site, client: ports[2*i], peer: ports[2*i+1]})
	}
	for i, c := range w.controllers {
		if err := w.writeSettings(i, c, set); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// deployLine returns a line of the deploy file, split into words.
func deployLine(name string) ([]string, error) {
	data, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(data)) {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == name {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/service.toml has no %s line", name)
}

// ownAddress and controllerAddress are loopback addresses of this process alone, so that cases that
// are played at once do not take each other's ports. No stand-in listens on that of the controllers, whose
// ports have to be free whenever they start.
var ownAddress, controllerAddress = loopbackAddress(40), loopbackAddress(140)

func loopbackAddress(first int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", first+(pid>>16)%100, (pid>>8)&255, max(1, pid&255))
}

func freeAddresses(n int) (addresses []string, err error) {
	for range n {
		ln, err := net.Listen("tcp", controllerAddress+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		addresses = append(addresses, ln.Addr().String())
	}
	return addresses, nil
}

func serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", ownAddress+":0")
	if err != nil {
		return "", err
	}
	go http.Serve(ln, h)
	return ln.Addr().String(), nil
}

func (w *world) writeSettings(i int, c *controller, set settings) error {
	state, err := serve(w.state.handler(c.name))
	if err != nil {
		return err
	}
	cloudAddress, err := serve(w.cloud)
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "host_name = %q\nsite = %q\nclient_listen = %q\npeer_bind = %q\n\n", c.name, c.site, c.client, c.peer)
	for j, o := range w.controllers {
		if j == i {
			continue
		}
		l, err := newLink(o.peer)
		if err != nil {
			return err
		}
		w.links[[2]int{i, j}] = l
		fmt.Fprintf(&b, "[[seeds]]\nhost_name = %q\nsite = %q\nendpoint = %q\n\n", o.name, o.site, l.address)
	}
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n\n[settings]\nnodes = 3\nzones = [\"%s\"]\nskew_ms = 5.0\n\n%s\n%s\n", cloudAddress, state, strings.Join(set.zones, `", "`), set.teams, set.objectives)
	fmt.Fprintf(&b, "[settings.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = %.1f\n\n", reportS, leaseS, cancelS)
	fmt.Fprintf(&b, "[settings.state]\nrps = 250.0\nwrite_rps = %.1f\nvalue_kb = 16.0\ntxn_ops = %d\n\n[settings.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n\n", writeRPS, txnOps, cloudRPS, listLag.Seconds())
	b.WriteString("[settings.machine_limits]\n" + limits)
	c.config = filepath.Join(w.dir, c.name+".toml")
	return os.WriteFile(c.config, []byte(b.String()), 0o600)
}

func (w *world) index(name string) int {
	for i, c := range w.controllers {
		if c.name == name {
			return i
		}
	}
	return -1
}

// startController starts a controller with the run line of the deploy file.
func (w *world) startController(c *controller) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.alive() {
		return nil
	}
	if c.log == nil {
		log, err := os.Create(filepath.Join(w.dir, c.name+".log"))
		if err != nil {
			return err
		}
		c.log = log
	}
	c.cmd = exec.Command(w.run[0], append(append([]string(nil), w.run[1:]...), c.config)...)
	c.cmd.Stderr = c.log
	if level := os.Getenv("REVIEW_LOG"); level != "" {
		c.cmd.Env = append(os.Environ(), "LOG_LEVEL="+level)
	}
	if err := c.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), c.cmd
	c.exited = exited
	go func() {
		cmd.Wait()
		close(exited)
	}()
	w.rec.add("%s started", c.name)
	return nil
}

func (w *world) startAll() error {
	for _, c := range w.controllers {
		if err := w.startController(c); err != nil {
			return err
		}
	}
	return nil
}

// kill kills a controller that this process has started.
func (w *world) kill(c *controller) {
	if c.cmd == nil || c.cmd.Process == nil {
		return
	}
	c.cmd.Process.Kill()
	<-c.exited
	w.rec.add("%s killed", c.name)
}

func (c *controller) alive() bool {
	if c.cmd == nil {
		return false
	}
	select {
	case <-c.exited:
		return false
	default:
		return true
	}
}

// worlds are the worlds of this process.
var worlds []*world

// closeWorlds ends all processes that this one has started, and removes the temporary folders.
func closeWorlds() {
	for _, w := range worlds {
		w.close()
	}
}

func (w *world) close() {
	for _, c := range w.controllers {
		c.mu.Lock() // none is started from now on
		if c.alive() {
			c.cmd.Process.Kill()
			<-c.exited
		}
		if c.log != nil {
			c.log.Close()
		}
	}
	if keep := os.Getenv("REVIEW_KEEP"); keep != "" { // for the logs
		os.Rename(w.dir, keep)
	}
	os.RemoveAll(w.dir)
}

// call sends a user's request to a controller and records it with its answer. The status is 0 if
// no answer came within the time that users wait.
func (w *world) call(c *controller, method, path, body string) (int, string) {
	status, answer := w.quiet(c, method, path, body)
	w.rec.add("%s %s at %s %s -> %d %s", method, path, c.name, short(body), status, short(answer))
	return status, answer
}

func short(s string) string {
	if s = strings.TrimSpace(s); len(s) > 300 {
		return s[:300] + " ..."
	}
	return s
}

func (w *world) quiet(c *controller, method, path, body string) (int, string) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if method == "GET" {
		client.Timeout = 2 * time.Second
	}
	req, err := http.NewRequest(method, "http://"+c.client+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, ""
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

// submission is the body of a user's submission of an array.
func submission(id string, shards int, vcpus, memGB float64) string {
	return fmt.Sprintf(`{"id":%q,"jobclass":"meterread-sweep","owner":"grid-analytics","shape":"array","urgency":"standard","shards":%d,"vcpus":%g,"gpus":0.0,"memGb":%g,`+
		`"bundle":"img-07","sizeGb":0.5,"flavors":null,"hall":null,"samePlace":false,"apart":false,"reclaimable":true,"runtimeS":20.0,"snapshotEveryS":0.0,"snapshotS":0.0,"dueS":null}`,
		id, shards, vcpus, memGB)
}

// wait waits until f holds, at most d, and reports whether it does.
func wait(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); ; time.Sleep(100 * time.Millisecond) {
		if f() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// ready returns the controllers whose GET /ready answers 200.
func (w *world) ready() (list []*controller) {
	for _, c := range w.controllers {
		if !c.alive() {
			continue
		}
		if status, _ := w.quiet(c, "GET", "/ready", ""); status == 200 {
			list = append(list, c)
		}
	}
	return list
}

// leader returns the controller that the metrics name as the leader with authority, or nil.
func (w *world) leader() *controller {
	for _, c := range w.controllers {
		if !c.alive() {
			continue
		}
		if _, body := w.quiet(c, "GET", "/metrics", ""); strings.Contains(body, "\nyewpass_authority 1\n") || strings.HasPrefix(body, "yewpass_authority 1\n") {
			return c
		}
	}
	return nil
}

// ordered records a start order and returns the description of the job.
func (w *world) ordered(k *worker, o order) (description, bool) {
	id, _, _ := strings.Cut(o.Shard, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts[id]++
	d, known := w.jobs[id]
	if !known || w.starts[id] <= 40 {
		w.rec.add("%s is told to start %s try %d", k, o.Shard, o.Try)
	}
	if w.anyOrder != nil {
		w.anyOrder(id)
	}
	return d, known
}

// entered records that a task is on a machine.
func (w *world) entered(k *worker, t *task) {
	id, _, _ := strings.Cut(t.Shard, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries[id]++
	if others := w.on[t.Shard]; len(others) > 0 {
		w.breaks("ran_twice: %s starts on %s while it is on %v", t.Shard, k.host, others)
	}
	w.on[t.Shard] = append(w.on[t.Shard], k.host)
	if verbose {
		w.rec.add("%s is on %s try %d", t.Shard, k.host, t.Try)
	}
	if w.onEnter != nil {
		w.onEnter(k, t)
	}
}

// left records that a task is no longer on a machine.
func (w *world) left(k *worker, t *task, why string) {
	if t.Status != "running" && t.Status != "saving" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, h := range w.on[t.Shard] {
		if h == k.host {
			w.on[t.Shard] = append(w.on[t.Shard][:i:i], w.on[t.Shard][i+1:]...)
			break
		}
	}
	if w.onLeave != nil {
		w.onLeave(k, t)
	}
	if verbose {
		w.rec.add("%s leaves %s: %s", t.Shard, k.host, why)
	}
}

func (w *world) completed(_, shard string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.doneSet[shard] = true
}

// breaks records a broken rule. The caller holds the lock.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.rec.add("BROKEN %s", text)
}

func (w *world) reportTooLong(k *worker, tasks, bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tooLong++
	w.rec.add("%s cannot report any more: a report of its %d tasks has %d bytes, and a request body may have %d", k, tasks, bytes, maxBody)
}

func (w *world) longLine(k *worker, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n > w.longest {
		w.longest = n
		w.rec.add("%s gets a line of %d bytes", k, n)
	}
}

// Signals that stop and continue a controller.
const (
	sigStop = syscall.SIGSTOP
	sigCont = syscall.SIGCONT
)

// link is a proxy in front of one controller's address for another controller.
type link struct {
	mu       sync.Mutex
	address  string
	target   string
	listener net.Listener
	open     map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	ln, err := net.Listen("tcp", ownAddress+":0")
	if err != nil {
		return nil, err
	}
	l := &link{address: ln.Addr().String(), target: target, listener: ln, open: map[net.Conn]bool{}}
	go l.accept(ln)
	return l, nil
}

func (l *link) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		out, err := net.DialTimeout("tcp", l.target, time.Second)
		if err != nil {
			conn.Close()
			continue
		}
		l.mu.Lock()
		refused := l.listener != ln
		if !refused {
			l.open[conn], l.open[out] = true, true
		}
		l.mu.Unlock()
		if refused {
			conn.Close()
			out.Close()
			continue
		}
		go l.pipe(conn, out)
		go l.pipe(out, conn)
	}
}

func (l *link) pipe(to, from net.Conn) {
	io.Copy(to, from)
	to.Close()
	from.Close()
	l.mu.Lock()
	delete(l.open, to)
	delete(l.open, from)
	l.mu.Unlock()
}

// refuse makes every connection fail, and ends the open ones.
func (l *link) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return
	}
	l.listener.Close()
	l.listener = nil
	for c := range l.open {
		c.Close()
	}
}

// allow ends what refuse has begun.
func (l *link) allow() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		return nil
	}
	ln, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.listener = ln
	go l.accept(ln)
	return nil
}

// refuseLinks refuses the connections between the controllers i and j, in both directions.
func (w *world) refuseLinks(i, j int) {
	w.links[[2]int{i, j}].refuse()
	w.links[[2]int{j, i}].refuse()
	w.rec.add("connections between %s and %s are refused from now on", w.controllers[i].name, w.controllers[j].name)
}
