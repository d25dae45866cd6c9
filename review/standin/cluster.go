package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// cluster is a small deployment on loopback addresses.
type cluster struct {
	site    *site
	rec     *recorder
	dir     string
	trouble bool
	done    chan struct{}

	nodes []*controller
	store *store
	cloud *cloud
	links map[[2]string]*link // between controllers, by from and to

	mu   sync.Mutex
	jobs map[string]*job

	beforeLaunch func() // called before the controllers start, unless nil
	listeners    []net.Listener
	descriptors  []*os.File
}

// controller is a process of the real program.
type controller struct {
	name, site   string
	client, peer string
	settings     string
	cmd          *exec.Cmd
	exited       chan struct{}
}

// job is a job as its user describes it, and what its tasks have done.
type job struct {
	id      string
	shards  int
	cpus    float64
	memGB   float64
	image   string
	imageGB float64
	run     time.Duration
	service bool
	spot    bool
	hall    string
	flavors []string
	class   string        // "": meterread-sweep
	owner   string        // "": grid-analytics
	guess   time.Duration // the owner's estimate; 0: run

	mu   sync.Mutex
	done map[string]bool
}

func (j *job) isDone(shard string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.done[shard]
}

func (j *job) setDone(shard string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.done == nil {
		j.done = map[string]bool{}
	}
	j.done[shard] = true
}

// body is the submission of the job.
func (j *job) body() []byte {
	o := object{"id": j.id, "jobclass": cmp.Or(j.class, "meterread-sweep"), "owner": cmp.Or(j.owner, "grid-analytics"), "shape": "array", "urgency": "standard", "shards": j.shards,
		"vcpus": j.cpus, "gpus": 0.0, "memGb": j.memGB, "bundle": j.image, "sizeGb": j.imageGB, "flavors": nil, "hall": nil, "samePlace": false,
		"apart": false, "reclaimable": j.spot, "runtimeS": cmp.Or(j.guess, j.run).Seconds(), "snapshotEveryS": 0.0, "snapshotS": 0.0, "dueS": nil}
	if j.service {
		o["shape"], o["runtimeS"] = "service", 0.0
	}
	if j.hall != "" {
		o["hall"] = j.hall
	}
	if j.flavors != nil {
		o["flavors"] = j.flavors
	}
	return encode(o)
}

func (c *cluster) addJob(j *job) *job {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs == nil {
		c.jobs = map[string]*job{}
	}
	c.jobs[j.id] = j
	return j
}

func (c *cluster) findJob(id string) *job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

func (c *cluster) listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	c.mu.Lock()
	c.listeners = append(c.listeners, ln)
	c.mu.Unlock()
	return ln
}

// serve serves HTTP on a free port and returns its address.
func (c *cluster) serve(h http.Handler) string {
	ln := c.listen()
	go http.Serve(ln, h)
	return ln.Addr().String()
}

// freeAddresses returns n addresses that nobody listens on.
func freeAddresses(n int) (addresses []string) {
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fail("%v", err)
		}
		defer ln.Close()
		addresses = append(addresses, ln.Addr().String())
	}
	return addresses
}

// runCommand returns the program and arguments of the deploy file.
func runCommand() []string {
	data, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		fail("%v", err)
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(data)
	if m == nil {
		fail("deploy/service.toml has no run line")
	}
	return strings.Fields(string(m[1]))
}

// start starts the stand-ins and three controllers, and waits for a leader.
func (c *cluster) start(slowShare float64, types []*machineType, capacity map[offer]int) {
	c.store = newStore(c.site, c.rec)
	c.store.slowShare = slowShare
	go c.store.expireLeases(c.done)
	c.cloud = newCloud(c, types, capacity)
	stateAddr, cloudAddr := c.serve(c.store), c.serve(c.cloud)
	free := freeAddresses(6)
	for i := range 3 {
		c.nodes = append(c.nodes, &controller{name: fmt.Sprintf("hostbox-%d", i), site: c.site.halls[i%2], client: free[2*i], peer: free[2*i+1]})
	}
	c.links = map[[2]string]*link{}
	for _, n := range c.nodes {
		n.settings = filepath.Join(c.dir, n.name+".toml")
		if err := os.WriteFile(n.settings, c.settings(n, stateAddr, cloudAddr), 0o644); err != nil {
			fail("%v", err)
		}
	}
	if c.beforeLaunch != nil {
		c.beforeLaunch()
	}
	for _, n := range c.nodes {
		c.launch(n)
	}
	c.leader()
	c.waitUntil("all controllers are ready", 20*time.Second, func() bool {
		return !slices.ContainsFunc(c.nodes, func(n *controller) bool { return !n.ready() })
	})
}

func (c *cluster) settings(n *controller, stateAddr, cloudAddr string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "host_name = %q\nsite = %q\nclient_listen = %q\npeer_bind = %q\n", n.name, n.site, n.client, n.peer)
	for _, o := range c.nodes {
		if o != n {
			l := newLink(o.peer)
			c.links[[2]string{n.name, o.name}] = l
			fmt.Fprintf(&b, "[[seeds]]\nhost_name = %q\nsite = %q\nendpoint = %q\n", o.name, o.site, l.address)
		}
	}
	fmt.Fprintf(&b, "[external]\ncloud = %q\nstate = %q\n", cloudAddr, stateAddr)
	st := c.site
	fmt.Fprintf(&b, "[settings]\nnodes = 3\nzones = [\"%s\"]\nskew_ms = 5.0\n", strings.Join(st.zones, `", "`))
	for _, t := range st.teams {
		fmt.Fprintf(&b, "[[settings.teams]]\nname = %q\ncpus = %g\ncpus_max = %g\ngpus = 0.0\ngpus_max = 0.0\n", t.name, t.cpus, t.cpusMax)
	}
	fmt.Fprintf(&b, "[settings.workers]\nreport_s = %g\nlease_s = %g\ngang_wait_s = 30.0\ngang_peer_s = 4.0\ncancel_s = %g\n", st.report.Seconds(), st.lease.Seconds(), st.cancel.Seconds())
	fmt.Fprintf(&b, "[settings.state]\nrps = %g\nwrite_rps = %g\nvalue_kb = %d.0\ntxn_ops = %d\n", st.rps, st.writeRPS, st.valueKB, st.txnOps)
	fmt.Fprintf(&b, "[settings.cloud]\nrps = %g\nlist_lag_s = %g\n", st.cloudRPS, st.listLag.Seconds())
	fmt.Fprintf(&b, "[settings.machine_limits]\ncpu_share = %g\nmem_mb = %g\nmax_connections = %d\n", st.cpuShare, st.memMB, st.connections)
	return b.Bytes()
}

// launch starts a controller with the command of the deploy file.
func (c *cluster) launch(n *controller) {
	command := append(runCommand(), n.settings)
	log, err := os.OpenFile(filepath.Join(c.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		fail("%v", err)
	}
	n.cmd = exec.Command(command[0], command[1:]...)
	n.cmd.Stderr = log
	n.cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		fail("%v", err)
	}
	c.mu.Lock()
	c.descriptors = append(c.descriptors, log)
	c.mu.Unlock()
	c.rec.add("%s started", n.name)
	n.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		cmd.Wait()
		close(exited)
	}(n.cmd, n.exited)
}

// stop ends everything that was started, and copies the controllers' warnings to the record.
func (c *cluster) stop() {
	for _, n := range c.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			n.cmd.Process.Kill()
			<-n.exited
		}
	}
	close(c.done)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ln := range c.listeners {
		ln.Close()
	}
	for _, l := range c.links {
		l.refuse()
	}
	for _, f := range c.descriptors {
		f.Close()
	}
	for _, n := range c.nodes {
		data, _ := os.ReadFile(filepath.Join(c.dir, n.name+".log"))
		for line := range strings.Lines(string(data)) {
			if !strings.Contains(line, "level=DEBUG") {
				c.rec.add("log of %s: %s", n.name, strings.TrimSpace(line))
			}
		}
	}
}

func (c *cluster) waitUntil(what string, limit time.Duration, f func() bool) {
	for end := time.Now().Add(limit); !f(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			fail("not within %s: %s", limit, what)
		}
	}
}

// leader returns the controller that leads with authority. It waits for one.
func (c *cluster) leader() (l *controller) {
	c.waitUntil("there is a leader", 20*time.Second, func() bool {
		for _, n := range c.nodes {
			var v struct {
				Node, Leader string
				Authority    bool
			}
			status, data := n.call(http.MethodGet, "/v2/cluster", nil, time.Second)
			if status == http.StatusOK && json.Unmarshal(data, &v) == nil && v.Node == n.name && v.Leader == n.name && v.Authority {
				l = n
				return true
			}
		}
		return false
	})
	return l
}

var userClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}

// call sends a request to the controller on behalf of a user. The status is 0 without a response.
func (n *controller) call(method, path string, body []byte, timeout time.Duration) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+n.client+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	client := &http.Client{Transport: userClient.Transport, Timeout: timeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

func (n *controller) ready() bool {
	status, _ := n.call(http.MethodGet, "/ready", nil, time.Second)
	return status == http.StatusOK
}

// view is what a user is told of a job.
type view struct {
	ID            string
	Status        string
	Done, Running int
}

// submit submits a job to a node.
func (c *cluster) submit(n *controller, j *job) int {
	status, data := n.call(http.MethodPost, "/v2/runs", j.body(), 5*time.Second)
	c.rec.add("user: submit %s at %s: %d %s", j.id, n.name, status, strings.TrimSpace(string(data)))
	return status
}

// poll asks a node about a job.
func (c *cluster) poll(n *controller, id string) (int, view) {
	var v view
	status, data := n.call(http.MethodGet, "/v2/runs/"+id, nil, 2*time.Second)
	json.Unmarshal(data, &v)
	c.rec.add("user: poll %s at %s: %d %s", id, n.name, status, strings.TrimSpace(string(data)))
	return status, v
}

// cancel asks a node to cancel a job.
func (c *cluster) cancel(n *controller, id string) (int, view) {
	var v view
	status, data := n.call(http.MethodPost, "/v2/runs/"+id+"/cancel", nil, 5*time.Second)
	json.Unmarshal(data, &v)
	c.rec.add("user: cancel %s at %s: %d %s", id, n.name, status, strings.TrimSpace(string(data)))
	return status, v
}

// submitUntilAccepted submits a job at one node after the other, as its user would.
func (c *cluster) submitUntilAccepted(j *job) {
	c.addJob(j)
	i := 0
	c.waitUntil(j.id+" is accepted", 30*time.Second, func() bool {
		status := c.submit(c.nodes[i%len(c.nodes)], j)
		if i++; status == http.StatusCreated || status == http.StatusOK {
			return true
		}
		time.Sleep(time.Second)
		return false
	})
}
