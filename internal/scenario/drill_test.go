package scenario

import (
	"encoding/json"
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
	"testing"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/spec"
)

// site is what the drills play on: three machines up, more to be rented.
const site = `
team t max=40
team u cpus=8 max=16
type s cpus=8 mem=64 rate=0.4 low=0.1 ready=1s fetch=10
capacity s a n=4 spot=4
capacity s b n=4
machines s a n=2
machines s b n=1
`

// TestDrillLeaderKilled: the leader dies with tasks on machines, one of which
// nobody can reach; the next one accounts for all of them.
func TestDrillLeaderKilled(t *testing.T) {
	f := newTestCluster(t, site)
	ps := f.startNodes(3, nil)
	f.waitLeader()
	j := f.job("wk-1", "tasks=20", "run=6s")
	k := f.job("wk-2", "tasks=8", "owner=u", "run=5s")
	f.waitFor("tasks run", func() bool { return f.activeTasks("wk-1") > 5 })
	l := f.waitLeader()
	f.with(func() {
		ms := f.script.busiest(1)
		f.net.addPartition(map[string]bool{ms[0].host: true}, nil, true, 20*time.Second)
	})
	l.kill()
	f.waitFor("the jobs are done", allInState(spec.Done, j, k))
	l.start()
	f.waitFor("all ready", func() bool { return ps[0].healthy && ps[1].healthy && ps[2].healthy })
}

// works checks that the cluster does what it is for: a new job is accepted and done.
func (f *testCluster) works(id string) {
	f.t.Helper()
	j := f.job(id, "tasks=3", "run=500ms")
	f.waitFor(id+" is done", allInState(spec.Done, j))
}

// running checks that no process has ended by itself.
func (f *testCluster) running(ps []*proc) {
	f.t.Helper()
	for _, p := range ps {
		if !p.runs() {
			f.t.Fatalf("%s has ended:\n%s", p.n.name, strings.Join(p.tail(30), "\n"))
		}
	}
}

// tell writes lines to a node's peer port, as whoever can reach it might.
func (p *proc) tell(lines ...string) {
	c, err := net.Dial("tcp", p.peers)
	if err != nil {
		p.complain("%v", err)
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	for _, line := range lines {
		if _, err := io.WriteString(c, line+"\n"); err != nil {
			return // closed already, which is what is wanted
		}
	}
	io.Copy(io.Discard, c) // until it is closed, by silence if by nothing else
}

// TestDrillPeerLines: lines on the peer port that no controller would send end no
// process, and leave no cluster without a leader.
func TestDrillPeerLines(t *testing.T) {
	f := newTestCluster(t, site)
	ps := f.startNodes(3, nil)
	f.waitLeader()
	f.works("wk-1")
	claims := []string{`"kind":"leader","term":18446744073709551615}`, `"kind":"leader","term":4294967295}`, `"kind":"ack","term":18446744073709551615}`}
	calls := []string{
		`"kind":"call","ref":1,"op":"submit","id":"wk-5"}`,
		`"kind":"call","ref":1,"op":"submit","id":"wk-5","spec":{"id":"wk-6","class":"c","owner":"t","tasks":1}}`,
		`"kind":"call","ref":1,"op":"shout","id":"wk-5"}`,
		`"kind":"call","ref":1,"op":"schedule put"}`,
		`"kind":"call","ref":1,"op":"get","schedule":{}}`,
		`"kind":"call","ref":1,"op":"schedule upcoming","schedule":{"name":"x","count":2000000000}}`,
		`"kind":"answer","ref":1,"answer":{"status":0}}`,
		`"kind":"answer","ref":1,"answer":{"status":-7,"state":"?","retryMs":-9223372036854775808}}`,
		`"kind":"shout"}`, `"kind":`, `"kind":"call"` + strings.Repeat(`,"x":`, 9) + strings.Repeat("[", 60000), "\xff\xfe\x00",
	}
	for _, lines := range [][]string{calls, claims} {
		var all sync.WaitGroup
		for i, p := range ps {
			for _, line := range append([]string{"null", "{}"}, lines...) {
				all.Go(func() { p.tell(`{"from":"` + ps[(i+1)%len(ps)].n.name + `",` + line) })
			}
		}
		all.Wait()
		f.running(ps)
	}
	f.works("wk-2")
	l := f.waitLeader()
	l.kill()
	f.works("wk-3")
}

// TestDrillClaimedEpoch: a worker that says it has seen an epoch which no leader
// ever had makes itself useless, and nobody else.
func TestDrillClaimedEpoch(t *testing.T) {
	f := newTestCluster(t, site)
	ps := f.startNodes(2, nil)
	l := f.waitLeader()
	f.works("wk-1")
	term := l.metric("yewpass_term")
	for i := range 12 {
		for _, p := range ps {
			rep := heartbeat.Report{Host: "host-stray", Address: "127.0.0.1:9", InstanceType: "s", Zone: "a", Incarnation: 1, Counter: uint64(i), FencingToken: 1<<64 - 1}
			if status, _, _ := p.do("POST", "/hello", reportBody(rep)); status == 200 {
				t.Error("a report that will be dropped is answered with 200")
			}
		}
	}
	f.running(ps)
	f.works("wk-2")
	if got := f.waitLeader().metric("yewpass_term"); got != term {
		t.Errorf("term %g has become %g", term, got)
	}
}

// TestDrillSlowClients: clients that send a byte at a time, or never read their
// TestDrillStandardError: whoever reads a controller's log goes away, or stays and
// TestDrillTermRecord: what says which term it is cannot be read, or is gone, or
// the leader's key stands without a grant. The cluster finds a leader, whose term is
// saidAny reports whether one of the processes has logged an error with the text.
func saidAny(ps []*proc, text string) bool {
	return slices.ContainsFunc(ps, func(p *proc) bool { return p.said("level=ERROR", text) })
}

// TestDrillDataLost: the state service loses all that it had while tasks run, under a leader
// that lives, then together with the leader. What the controllers know of goes on, is answered
// and ends.
func TestDrillDataLost(t *testing.T) {
	f := newTestCluster(t, site)
	ps := f.startNodes(3, nil)
	f.waitLeader()
	f.works("wk-1")
	lost := func(id string, kill func()) {
		j := f.job(id, "tasks=12", "run=4s")
		f.waitFor("tasks run", func() bool { return f.activeTasks(id) > 5 })
		f.with(func() { f.store.wipe("", true) })
		kill()
		f.waitFor(id+" is done", allInState(spec.Done, j))
	}
	lost("wk-2", func() {})
	f.running(ps)
	f.waitFor("an alert", func() bool { return saidAny(ps, "recovering from data loss") })
	f.waitFor("all ready", func() bool { return ps[0].healthy && ps[1].healthy && ps[2].healthy })
	l := f.waitLeader()
	lost("wk-3", l.kill)
	l.start()
	f.waitFor("all ready again", func() bool { return ps[0].healthy && ps[1].healthy && ps[2].healthy })
}

// TestDrillAllLost: the state service loses all that it had, and every controller is lost with
// it. Terms go on above what the workers have seen, and the cluster works.
func TestDrillAllLost(t *testing.T) {
	f := newTestCluster(t, site)
	ps := f.startNodes(2, nil)
	for range 2 {
		l := f.waitLeader()
		l.kill()
		f.waitFor("another leads", func() bool { n := f.currentLeader(); return n != nil && n != l })
		l.start()
		f.waitFor("both ready", func() bool { return ps[0].healthy && ps[1].healthy })
	}
	before := f.waitLeader().metric("yewpass_term")
	for _, p := range ps {
		p.kill()
	}
	f.with(func() { f.store.wipe("", true) })
	for _, p := range ps {
		p.start()
	}
	f.waitFor("terms go on", func() bool { return saidAny(ps, "workers have seen newer terms") })
	f.works("wk-1")
	if after := f.waitLeader().metric("yewpass_term"); after <= before {
		t.Errorf("term %g is followed by %g", before, after)
	}
}

// TestDrillBadRecords: records that cannot be read are an alert each; their jobs
// get 503, never 404, and all the others are served. A record of machines that
// TestDrillPaused: a leader stands still for longer than its grant while tasks
// run, and goes on where it was. Another leads by then.
func TestDrillPaused(t *testing.T) {
	f := newTestCluster(t, site)
	ps := f.startNodes(3, nil)
	l := f.waitLeader()
	j := f.job("wk-1", "tasks=30", "run=4s", "owner=u")
	f.waitFor("tasks run", func() bool { return f.activeTasks("wk-1") > 5 })
	for range 2 {
		l = f.waitLeader()
		l.cmd.Process.Signal(syscall.SIGSTOP)
		f.waitFor("another leads", func() bool {
			for _, p := range ps {
				if p != l && p.said("elected leader") && p.healthy {
					return true
				}
			}
			return false
		})
		l.cmd.Process.Signal(syscall.SIGCONT)
	}
	f.waitFor("the job is done", allInState(spec.Done, j))
	f.running(ps)
}

// TestDrillOpenFiles: the system lets the process open fewer files than its
// settings promise. Users are turned away, and the leader keeps what it needs for
// TestDrillFaultyServices: a list that never ends, a catalog of amounts that no
// machine has, a front that answers 404 or 200 to everything. The controller neither

// answers, take all connections; reports, probes and users still get through.
func TestDrillSlowClients(t *testing.T) {
	f := newTestCluster(t, site)
	f.cfg.Settings.Limits.MaxConnections = 120
	ps := f.startNodes(2, nil)
	l := f.waitLeader()
	f.works("wk-1")
	stop := make(chan struct{})
	defer close(stop)
	for i := range 200 {
		go func() {
			for {
				c, err := net.DialTimeout("tcp", l.clients, time.Second)
				if err == nil {
					io.WriteString(c, "POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n")
					for err == nil {
						select {
						case <-stop:
							c.Close()
							return
						case <-time.After(200 * time.Millisecond):
						}
						_, err = c.Write([]byte(" "))
					}
					c.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(100+i) * time.Millisecond):
				}
			}
		}()
	}
	time.Sleep(2 * time.Second) // as long as it takes them to be there
	// New connections: a probe, a report, a poll.
	got, want := 0, 20
	for range want {
		c := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		if r, err := c.Get("http://" + l.clients + "/ready"); err == nil {
			r.Body.Close()
			got++
		}
	}
	if got < want*3/4 {
		t.Errorf("%d of %d probes are answered", got, want)
	}
	f.works("wk-2")
	f.running(ps)
	if f.waitLeader() != l {
		t.Error("the leader has changed")
	}
}

// reads no more. Neither may end or hold up the controller.
func TestDrillStandardError(t *testing.T) {
	for _, how := range []string{"closed", "blocked"} {
		t.Run(how, func(t *testing.T) {
			f := newTestCluster(t, site)
			ps := f.startNodes(1, func(p *proc) { p.stopReading = true })
			f.waitLeader()
			if how == "closed" {
				ps[0].pipe.Close()
			}
			for i := range 60 { // each is a line in the log, or two
				ps[0].do("POST", "/hello", reportBody(heartbeat.Report{Host: "host-" + strconv.Itoa(i), Address: "127.0.0.1:9", InstanceType: "s", Zone: "a", Incarnation: 1, Counter: 1}))
			}
			for i := range 3 {
				f.works("wk-" + strconv.Itoa(100+i))
			}
			f.running(ps)
		})
	}
}

// itself.
func TestDrillOpenFiles(t *testing.T) {
	f := newTestCluster(t, site)
	ps := f.startNodes(1, func(p *proc) { p.shell = "ulimit -n 96;" })
	l := f.waitLeader()
	f.works("wk-1")
	term := l.metric("yewpass_term")
	var held []net.Conn
	for range 150 { // clients that are there, and idle
		if c, err := net.DialTimeout("tcp", l.clients, time.Second); err == nil {
			held = append(held, c)
			io.WriteString(c, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
		}
	}
	defer func() {
		for _, c := range held {
			c.Close()
		}
	}()
	time.Sleep(4 * time.Second) // past the grant
	f.works("wk-2")
	f.running(ps)
	if got := l.metric("yewpass_term"); got != term {
		t.Errorf("term %g has become %g", term, got)
	}
}

// corrupt replaces what a key holds, as a fault of the disk below it might.
func (f *testCluster) corrupt(key, value string) {
	f.t.Helper()
	f.with(func() {
		e := f.store.keys[key]
		if e == nil {
			f.t.Fatalf("no key %s in %q", key, f.store.sortedKeys(""))
		}
		e.value = json.RawMessage(value)
	})
}

// above every earlier one.
func TestDrillTermRecord(t *testing.T) {
	f := newTestCluster(t, site)
	ps := f.startNodes(2, nil)
	f.waitLeader()
	f.works("wk-1")
	for i, damage := range []func(){
		func() { f.corrupt("yewpass/term", `{"type":"term","term":"x"}`) },
		func() { f.corrupt("yewpass/term", `{"type":"term","term":18446744073709551615}`) },
		func() { f.with(func() { delete(f.store.keys, "yewpass/term") }) },
		func() { f.corrupt("yewpass/term", `{"type":"term","term":1}`) }, // from an old copy
		func() { f.corrupt("yewpass/leader", `7`) },
		func() {
			f.with(func() { f.store.keys["yewpass/leader"].lease = 0 })
			f.corrupt("yewpass/leader", `{"type":"leader","node":"n7","term":3}`)
		},
	} {
		l := f.waitLeader()
		before := l.metric("yewpass_term")
		damage()
		l.kill()
		f.works("wk-" + strconv.Itoa(10+i))
		n := f.waitLeader()
		if after := n.metric("yewpass_term"); after <= before || after > 1e9 {
			t.Errorf("damage %d: term %g is followed by %g", i, before, after)
		}
		if i < 2 && !ps[0].said("level=ERROR", "unreadable") && !ps[1].said("level=ERROR", "unreadable") {
			t.Errorf("damage %d: no alert", i)
		}
		l.start()
		f.waitFor("both ready", func() bool { return ps[0].healthy && ps[1].healthy })
	}
}

// cannot be read is no reason to believe that there are none.
func TestDrillBadRecords(t *testing.T) {
	f := newTestCluster(t, site)
	ps := f.startNodes(2, nil)
	f.waitLeader()
	j := f.job("wk-1", "tasks=12", "run=8s")
	bad := f.job("wk-2", "tasks=2", "run=60s")
	odd := f.job("wk-3", "tasks=2", "run=60s")
	f.waitFor("tasks run", func() bool {
		return f.activeTasks("wk-1") > 5 && f.activeTasks("wk-2") == 2 && f.activeTasks("wk-3") == 2
	})
	l := f.waitLeader()
	var cut string
	f.with(func() {
		for _, m := range f.script.busiest(9) {
			if len(m.tasks) > 0 && m.tasks[0].job == j {
				cut = m.host
			}
		}
		f.net.addPartition(map[string]bool{cut: true}, nil, true, 9*time.Second)
	})
	var job map[string]any
	json.Unmarshal(submission(&j.spec), &job)
	delete(job, "id")
	nightly := encode(object{"name": "nightly", "zone": "UTC", "rule": "FREQ=DAILY", "at": []string{"01:00"}, "job": job})
	if status, _, data := l.do("PUT", "/v2/schedules/nightly", nightly); status != 201 {
		t.Fatalf("the schedule gets %d: %s", status, data)
	}
	f.corrupt("yewpass/schedule/nightly", `{"type":"schedule","number":0}`)
	f.corrupt("yewpass/live/job/wk-2", `{"type":"job","spec":{"id":"wk-2","tasks":-1}}`)
	f.corrupt("yewpass/live/job/wk-3", `{"type":"progress","ranges":"0-1"}`)
	var key string
	f.with(func() { key = f.store.sortedKeys("yewpass/live/machine/")[0] })
	f.corrupt(key, `{"type":"machines","machines":7}`)
	// Nobody who has a copy lives on: it would put the records right.
	for _, p := range ps {
		p.kill()
	}
	for _, p := range ps {
		p.start()
	}
	f.waitFor("the readable job is done", allInState(spec.Done, j))
	f.running(ps)
	for _, p := range ps {
		for _, b := range []*userJob{bad, odd} {
			if status, _, _ := p.do("GET", "/v2/runs/"+b.spec.ID, nil); status != 503 {
				t.Errorf("%s gets %d", b.spec.ID, status)
			}
			if status, _, _ := p.do("POST", "/v2/runs", submission(&b.spec)); status != 503 {
				t.Errorf("%s submitted again gets %d", b.spec.ID, status)
			}
		}
		if status, _, _ := p.do("GET", "/v2/schedules/nightly", nil); status != 503 {
			t.Errorf("the schedule gets %d", status)
		}
		if status, _, _ := p.do("PUT", "/v2/schedules/nightly", nightly); status != 503 {
			t.Errorf("the schedule put again gets %d", status)
		}
	}
	f.works("wk-4")
}

// loops nor believes it, and goes on when it is over.
func TestDrillFaultyServices(t *testing.T) {
	f := newTestCluster(t, site)
	ps := f.startNodes(2, nil)
	f.waitLeader()
	j := f.job("wk-1", "tasks=2", "run=25s")
	f.waitFor("wk-1 is accepted", func() bool { return j.accepted })
	twist := func(what string, d time.Duration, g func(host, path string, status int, data []byte) (int, []byte)) {
		calls := 0
		f.with(func() {
			f.twist = func(host, path string, status int, data []byte) (int, []byte) {
				if host == "cloud" {
					calls++
				}
				return g(host, path, status, data)
			}
		})
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for _, p := range ps {
				if status, _, _ := p.do("GET", "/v2/runs/wk-1", nil); status != 200 && status != 503 && status != 0 {
					t.Errorf("%s: an accepted job gets %d", what, status)
				}
			}
		}
		n := 0
		f.with(func() { f.twist = nil; n = calls })
		if most := int((d.Seconds() + 2) * f.cfg.Settings.Cloud.RPS); n > most {
			t.Errorf("%s: %d calls to the cloud in %s", what, n, d)
		}
		f.running(ps)
		if status, _, _ := f.waitLeader().do("GET", "/v2/runs/wk-1", nil); status != 200 {
			t.Errorf("%s: afterwards an accepted job gets %d", what, status)
		}
	}
	twist("an endless list of machines", 8*time.Second, func(host, path string, status int, data []byte) (int, []byte) {
		if strings.HasPrefix(path, "/machines?") {
			return 200, []byte(`{"hosts":[{"id":"host-zzz","flavor":"s","hall":"a","status":"running","ageS":1e300}],"truncated":true}`)
		}
		return status, data
	})
	twist("404 from a front", 4*time.Second, func(host, path string, status int, data []byte) (int, []byte) {
		if host == "state" {
			return 404, []byte("<html>no such host</html>")
		}
		return status, data
	})
	f.waitLeader()
	twist("200 from a front", 4*time.Second, func(host, path string, status int, data []byte) (int, []byte) {
		if host == "state" {
			return 200, []byte(`{}`)
		}
		return status, data
	})
	f.waitLeader()
	twist("another key's answer", 3*time.Second, func(host, path string, status int, data []byte) (int, []byte) {
		if host == "state" && strings.HasPrefix(path, "/store/") {
			return 200, []byte(`{"k":"yewpass/final/wk-1","v":{"type":"final","state":"cancelled","done":0},"keyRev":3}`)
		}
		return status, data
	})
	f.waitFor("wk-1 is done", allInState(spec.Done, j))
	f.works("wk-2")
}

// TestDrillSettings: a file that cannot be right ends the start with one line that
// names file, field and reason, before a port is opened.
func TestDrillSettings(t *testing.T) {
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	f := newTestCluster(t, site)
	p := f.startNodes(1, nil)[0]
	good, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ from, to, field string }{
		{"cpus_max = 40", "cpus_max = nan", "settings.teams[0].cpus_max"},
		{"lease_s = 5", "lease_s = 1e300", "settings.workers.lease_s"},
		{"host_name", "host_name = 7\nhost_name", "host_name"},
		{"txn_ops = 48", "txn_ops = [[[[[[", "line"},
	} {
		file := filepath.Join(t.TempDir(), "settings.toml")
		if err := os.WriteFile(file, []byte(strings.Replace(string(good), x.from, x.to, 1)), 0o644); err != nil {
			t.Fatal(err)
		}
		out, err := exec.Command(path, "--config", file).CombinedOutput()
		if text := string(out); err == nil || strings.Count(text, "\n") != 1 || !strings.Contains(text, file) || !strings.Contains(text, x.field) {
			t.Errorf("%s: %v, %q", x.to, err, text)
		}
	}
	f.works("wk-1") // with the file as it was
}

// answersWithin is how long after its start a process may answer 503: until then it may
// neither know the leader nor have a copy of the records.
const answersWithin = 10 * time.Second

// knowsDone checks that the process says of a job whose user was told that it is done that
// it is done. One that was started a moment ago may say 503, which the protocol allows and
// the load balancer spares users, but not for long, and nothing else.
func (p *proc) knowsDone(id string) {
	for {
		status, _, data := p.do("GET", "/v2/runs/"+id, nil)
		var v struct{ Status spec.JobState }
		json.Unmarshal(data, &v)
		switch {
		case status == 200 && v.Status == spec.Done:
			return
		case (status == 503 || status == 0) && time.Since(p.started) < answersWithin:
			time.Sleep(20 * time.Millisecond)
		default:
			p.complain("%s gets %d %s from %s, %s after its start", id, status, data, p.n.name, time.Since(p.started))
			return
		}
	}
}

// TestDrillKilledAgain: controllers are killed and started again at once, twenty times,
// under submissions. Every accepted job is answered and done, and however many connect to
// a process, nothing they do has it block one thread each.
func TestDrillKilledAgain(t *testing.T) {
	f := newTestCluster(t, site)
	ps := f.startNodes(3, nil)
	f.waitLeader()
	var jobs []*userJob
	for i := range 20 {
		jobs = append(jobs, f.job("wk-"+strconv.Itoa(100+i), "tasks=2", "run=300ms"))
		p := ps[i%3]
		if i%4 == 3 {
			p = f.waitLeader()
		}
		p.kill()
		p.start()
	}
	for i, j := range jobs {
		f.waitFor(j.spec.ID+" is done", allInState(spec.Done, j))
		ps[i%3].knowsDone(j.spec.ID)
	}
	l := f.waitLeader()
	var all sync.WaitGroup
	for i := range 400 { // each with a connection of its own, half of them in the middle of a request
		all.Go(func() {
			c, err := net.DialTimeout("tcp", l.clients, time.Second)
			if err != nil {
				return
			}
			defer c.Close()
			text := "GET /v2/runs/wk-100 HTTP/1.1\r\nHost: x\r\n\r\n"
			io.WriteString(c, text[:len(text)-i%2])
			time.Sleep(500 * time.Millisecond)
		})
	}
	all.Wait()
	data, err := os.ReadFile("/proc/" + strconv.Itoa(l.cmd.Process.Pid) + "/status")
	if err != nil {
		t.Skip("this system does not tell how many threads a process has")
	}
	_, rest, _ := strings.Cut(string(data), "\nThreads:")
	line, _, _ := strings.Cut(rest, "\n")
	if n, err := strconv.Atoi(strings.TrimSpace(line)); err != nil || n > 64 {
		t.Errorf("%s threads after 400 connections", line)
	}
	f.running(ps)
}
