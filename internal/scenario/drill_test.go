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

// drillScript has three running machines and capacity for more.
const drillScript = `
team t max=40
team u cpus=8 max=16
type s cpus=8 mem=64 rate=0.4 low=0.1 ready=1s fetch=10
capacity s a n=4 spot=4
capacity s b n=4
machines s a n=2
machines s b n=1
`

// TestDrillLeaderKilled kills the leader while tasks run and one machine is unreachable. All tasks
// must complete under the next leader.
func TestDrillLeaderKilled(t *testing.T) {
	f := newTestCluster(t, drillScript)
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

// checkJobCompletes checks that a new job is accepted and finishes.
func (f *testCluster) checkJobCompletes(id string) {
	f.t.Helper()
	j := f.job(id, "tasks=3", "run=500ms")
	f.waitFor(id+" is done", allInState(spec.Done, j))
}

func (f *testCluster) checkNoneExited(ps []*proc) {
	f.t.Helper()
	for _, p := range ps {
		if !p.runs() {
			f.t.Fatalf("%s has exited:\n%s", p.node.name, strings.Join(p.lastLogLines(30), "\n"))
		}
	}
}

func (p *proc) sendPeerLines(lines ...string) {
	c, err := net.Dial("tcp", p.peerAddr)
	if err != nil {
		p.errorf("%v", err)
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	for _, line := range lines {
		if _, err := io.WriteString(c, line+"\n"); err != nil {
			return // the node closed the connection, as expected
		}
	}
	io.Copy(io.Discard, c) // wait until the node closes the connection
}

// TestDrillPeerLines checks that invalid lines on the peer port neither stop a process nor prevent
// the election of a leader.
func TestDrillPeerLines(t *testing.T) {
	f := newTestCluster(t, drillScript)
	ps := f.startNodes(3, nil)
	f.waitLeader()
	f.checkJobCompletes("wk-1")
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
				all.Go(func() { p.sendPeerLines(`{"from":"` + ps[(i+1)%len(ps)].node.name + `",` + line) })
			}
		}
		all.Wait()
		f.checkNoneExited(ps)
	}
	f.checkJobCompletes("wk-2")
	l := f.waitLeader()
	l.kill()
	f.checkJobCompletes("wk-3")
}

// TestDrillClaimedEpoch checks that heartbeats with a fencing token that no leader issued are
// rejected and have no effect.
func TestDrillClaimedEpoch(t *testing.T) {
	f := newTestCluster(t, drillScript)
	ps := f.startNodes(2, nil)
	l := f.waitLeader()
	f.checkJobCompletes("wk-1")
	term := l.metric("yewpass_term")
	for i := range 12 {
		for _, p := range ps {
			rep := heartbeat.Report{Host: "host-stray", Address: "127.0.0.1:9", InstanceType: "s", Zone: "a", Incarnation: 1, Counter: uint64(i), FencingToken: 1<<64 - 1}
			if status, _, _ := p.send("POST", "/hello", heartbeatBody(rep)); status == 200 {
				t.Error("heartbeat with an unknown fencing token got status 200")
			}
		}
	}
	f.checkNoneExited(ps)
	f.checkJobCompletes("wk-2")
	if got := f.waitLeader().metric("yewpass_term"); got != term {
		t.Errorf("term changed from %g to %g", term, got)
	}
}

func anyLoggedError(ps []*proc, text string) bool {
	return slices.ContainsFunc(ps, func(p *proc) bool { return p.logged("level=ERROR", text) })
}

// TestDrillDataLost wipes the key-value store while tasks run, first under a running leader, then
// as the leader is killed. The jobs must finish.
func TestDrillDataLost(t *testing.T) {
	f := newTestCluster(t, drillScript)
	ps := f.startNodes(3, nil)
	f.waitLeader()
	f.checkJobCompletes("wk-1")
	loseData := func(id string, kill func()) {
		j := f.job(id, "tasks=12", "run=4s")
		f.waitFor("tasks run", func() bool { return f.activeTasks(id) > 5 })
		f.with(func() { f.store.wipe("", true) })
		kill()
		f.waitFor(id+" is done", allInState(spec.Done, j))
	}
	loseData("wk-2", func() {})
	f.checkNoneExited(ps)
	f.waitFor("a process logs the data loss", func() bool { return anyLoggedError(ps, "recovering from data loss") })
	f.waitFor("all ready", func() bool { return ps[0].healthy && ps[1].healthy && ps[2].healthy })
	l := f.waitLeader()
	loseData("wk-3", l.kill)
	l.start()
	f.waitFor("all ready again", func() bool { return ps[0].healthy && ps[1].healthy && ps[2].healthy })
}

// TestDrillAllLost wipes the key-value store and kills all controllers. New terms must exceed
// those that workers have seen.
func TestDrillAllLost(t *testing.T) {
	f := newTestCluster(t, drillScript)
	ps := f.startNodes(2, nil)
	for range 2 {
		l := f.waitLeader()
		l.kill()
		f.waitFor("another controller is leader", func() bool { n := f.currentLeader(); return n != nil && n != l })
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
	f.waitFor("a leader logs the newer terms of workers", func() bool { return anyLoggedError(ps, "workers have seen terms newer than the stored one") })
	f.checkJobCompletes("wk-1")
	if after := f.waitLeader().metric("yewpass_term"); after <= before {
		t.Errorf("term before the loss is %g, after it %g, want a larger one", before, after)
	}
}

// TestDrillPaused suspends the leader for longer than its lease while tasks run. Another
// controller must become leader, and the resumed process must keep running.
func TestDrillPaused(t *testing.T) {
	f := newTestCluster(t, drillScript)
	ps := f.startNodes(3, nil)
	l := f.waitLeader()
	j := f.job("wk-1", "tasks=30", "run=4s", "owner=u")
	f.waitFor("tasks run", func() bool { return f.activeTasks("wk-1") > 5 })
	for range 2 {
		l = f.waitLeader()
		l.cmd.Process.Signal(syscall.SIGSTOP)
		f.waitFor("another controller is leader", func() bool {
			for _, p := range ps {
				if p != l && p.logged("elected leader") && p.healthy {
					return true
				}
			}
			return false
		})
		l.cmd.Process.Signal(syscall.SIGCONT)
	}
	f.waitFor("the job is done", allInState(spec.Done, j))
	f.checkNoneExited(ps)
}

// TestDrillSlowClients checks that heartbeats, probes and users are served while clients that send
// one byte at a time occupy all connections.
func TestDrillSlowClients(t *testing.T) {
	f := newTestCluster(t, drillScript)
	f.cfg.Settings.Limits.MaxConnections = 120
	ps := f.startNodes(2, nil)
	l := f.waitLeader()
	f.checkJobCompletes("wk-1")
	stop := make(chan struct{})
	defer close(stop)
	for i := range 200 {
		go func() {
			for {
				c, err := net.DialTimeout("tcp", l.clientAddr, time.Second)
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
	time.Sleep(2 * time.Second) // until the clients are connected
	// Each probe uses a new connection.
	got, want := 0, 20
	for range want {
		c := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		if r, err := c.Get("http://" + l.clientAddr + "/ready"); err == nil {
			r.Body.Close()
			got++
		}
	}
	if got < want*3/4 {
		t.Errorf("%d of %d readiness probes were answered, want at least three quarters", got, want)
	}
	f.checkJobCompletes("wk-2")
	f.checkNoneExited(ps)
	if f.waitLeader() != l {
		t.Error("leadership changed while slow clients were connected")
	}
}

// TestDrillStandardError checks that a closed or blocked standard error neither stops nor delays a
// controller.
func TestDrillStandardError(t *testing.T) {
	for _, mode := range []string{"closed", "blocked"} {
		t.Run(mode, func(t *testing.T) {
			f := newTestCluster(t, drillScript)
			ps := f.startNodes(1, func(p *proc) { p.ignoreStderr = true })
			f.waitLeader()
			if mode == "closed" {
				ps[0].stderrPipe.Close()
			}
			for i := range 60 { // each adds one or two log lines
				ps[0].send("POST", "/hello", heartbeatBody(heartbeat.Report{Host: "host-" + strconv.Itoa(i), Address: "127.0.0.1:9", InstanceType: "s", Zone: "a", Incarnation: 1, Counter: 1}))
			}
			for i := range 3 {
				f.checkJobCompletes("wk-" + strconv.Itoa(100+i))
			}
			f.checkNoneExited(ps)
		})
	}
}

// TestDrillOpenFiles checks that a leader whose open-file limit is below its connection limit
// rejects users, but keeps its lease.
func TestDrillOpenFiles(t *testing.T) {
	f := newTestCluster(t, drillScript)
	ps := f.startNodes(1, func(p *proc) { p.shellPrefix = "ulimit -n 96;" })
	l := f.waitLeader()
	f.checkJobCompletes("wk-1")
	term := l.metric("yewpass_term")
	var held []net.Conn
	for range 150 { // idle clients
		if c, err := net.DialTimeout("tcp", l.clientAddr, time.Second); err == nil {
			held = append(held, c)
			io.WriteString(c, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
		}
	}
	defer func() {
		for _, c := range held {
			c.Close()
		}
	}()
	time.Sleep(4 * time.Second) // longer than the lease
	f.checkJobCompletes("wk-2")
	f.checkNoneExited(ps)
	if got := l.metric("yewpass_term"); got != term {
		t.Errorf("term changed from %g to %g", term, got)
	}
}

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

// TestDrillTermRecord corrupts or deletes the term record, or removes the leader key's lease. A
// leader must still be elected, with a larger term.
func TestDrillTermRecord(t *testing.T) {
	f := newTestCluster(t, drillScript)
	ps := f.startNodes(2, nil)
	f.waitLeader()
	f.checkJobCompletes("wk-1")
	for i, inject := range []func(){
		func() { f.corrupt("yewpass/term", `{"type":"term","term":"x"}`) },
		func() { f.corrupt("yewpass/term", `{"type":"term","term":18446744073709551615}`) },
		func() { f.with(func() { delete(f.store.keys, "yewpass/term") }) },
		func() { f.corrupt("yewpass/term", `{"type":"term","term":1}`) }, // outdated value
		func() { f.corrupt("yewpass/leader", `7`) },
		func() {
			f.with(func() { f.store.keys["yewpass/leader"].lease = 0 })
			f.corrupt("yewpass/leader", `{"type":"leader","node":"n7","term":3}`)
		},
	} {
		l := f.waitLeader()
		before := l.metric("yewpass_term")
		inject()
		l.kill()
		f.checkJobCompletes("wk-" + strconv.Itoa(10+i))
		n := f.waitLeader()
		if after := n.metric("yewpass_term"); after <= before || after > 1e9 {
			t.Errorf("fault %d: term changed from %g to %g, want a larger one, up to 1e9", i, before, after)
		}
		if i < 2 && !ps[0].logged("level=ERROR", "unreadable") && !ps[1].logged("level=ERROR", "unreadable") {
			t.Errorf("fault %d: no error about the unreadable record was logged", i)
		}
		l.start()
		f.waitFor("both ready", func() bool { return ps[0].healthy && ps[1].healthy })
	}
}

// TestDrillBadRecords checks that requests for jobs and schedules with unreadable records get
// status 503, not 404, and that other jobs are served. An unreadable machine record does not count
// as empty.
func TestDrillBadRecords(t *testing.T) {
	f := newTestCluster(t, drillScript)
	ps := f.startNodes(2, nil)
	f.waitLeader()
	j := f.job("wk-1", "tasks=12", "run=8s")
	bad := f.job("wk-2", "tasks=2", "run=60s")
	wrongType := f.job("wk-3", "tasks=2", "run=60s")
	f.waitFor("tasks run", func() bool {
		return f.activeTasks("wk-1") > 5 && f.activeTasks("wk-2") == 2 && f.activeTasks("wk-3") == 2
	})
	l := f.waitLeader()
	var partitioned string
	f.with(func() {
		for _, m := range f.script.busiest(9) {
			if len(m.tasks) > 0 && m.tasks[0].job == j {
				partitioned = m.host
			}
		}
		f.net.addPartition(map[string]bool{partitioned: true}, nil, true, 9*time.Second)
	})
	var job map[string]any
	json.Unmarshal(submissionBody(&j.spec), &job)
	delete(job, "id")
	nightly := encode(object{"name": "nightly", "zone": "UTC", "rule": "FREQ=DAILY", "at": []string{"01:00"}, "job": job})
	if status, _, data := l.send("PUT", "/v2/schedules/nightly", nightly); status != 201 {
		t.Fatalf("PUT of the schedule got status %d: %s", status, data)
	}
	f.corrupt("yewpass/schedule/nightly", `{"type":"schedule","number":0}`)
	f.corrupt("yewpass/live/job/wk-2", `{"type":"job","spec":{"id":"wk-2","tasks":-1}}`)
	f.corrupt("yewpass/live/job/wk-3", `{"type":"progress","ranges":"0-1"}`)
	var key string
	f.with(func() { key = f.store.sortedKeys("yewpass/live/machine/")[0] })
	f.corrupt(key, `{"type":"machines","machines":7}`)
	// All controllers are killed, since one with a copy would repair the records.
	for _, p := range ps {
		p.kill()
	}
	for _, p := range ps {
		p.start()
	}
	f.waitFor("the readable job is done", allInState(spec.Done, j))
	f.checkNoneExited(ps)
	for _, p := range ps {
		for _, b := range []*userJob{bad, wrongType} {
			if status, _, _ := p.send("GET", "/v2/runs/"+b.spec.ID, nil); status != 503 {
				t.Errorf("GET of %s got status %d, want 503", b.spec.ID, status)
			}
			if status, _, _ := p.send("POST", "/v2/runs", submissionBody(&b.spec)); status != 503 {
				t.Errorf("resubmission of %s got status %d, want 503", b.spec.ID, status)
			}
		}
		if status, _, _ := p.send("GET", "/v2/schedules/nightly", nil); status != 503 {
			t.Errorf("GET of the schedule got status %d, want 503", status)
		}
		if status, _, _ := p.send("PUT", "/v2/schedules/nightly", nightly); status != 503 {
			t.Errorf("PUT of the schedule got status %d, want 503", status)
		}
	}
	f.checkJobCompletes("wk-4")
}

// TestDrillFaultyServices checks that implausible responses of the cloud and the key-value store
// are rejected without a request loop, and that the cluster recovers afterwards.
func TestDrillFaultyServices(t *testing.T) {
	f := newTestCluster(t, drillScript)
	ps := f.startNodes(2, nil)
	f.waitLeader()
	j := f.job("wk-1", "tasks=2", "run=25s")
	f.waitFor("wk-1 is accepted", func() bool { return j.accepted })
	withFault := func(what string, d time.Duration, g func(host, path string, status int, data []byte) (int, []byte)) {
		calls := 0
		f.with(func() {
			f.alterResponse = func(host, path string, status int, data []byte) (int, []byte) {
				if host == "cloud" {
					calls++
				}
				return g(host, path, status, data)
			}
		})
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for _, p := range ps {
				if status, _, _ := p.send("GET", "/v2/runs/wk-1", nil); status != 200 && status != 503 && status != 0 {
					t.Errorf("%s: GET of an accepted job got status %d", what, status)
				}
			}
		}
		n := 0
		f.with(func() { f.alterResponse = nil; n = calls })
		if most := int((d.Seconds() + 2) * f.cfg.Settings.Cloud.RPS); n > most {
			t.Errorf("%s: %d calls to the cloud in %s", what, n, d)
		}
		f.checkNoneExited(ps)
		if status, _, _ := f.waitLeader().send("GET", "/v2/runs/wk-1", nil); status != 200 {
			t.Errorf("%s: GET of an accepted job afterwards got status %d, want 200", what, status)
		}
	}
	withFault("an endless list of machines", 8*time.Second, func(host, path string, status int, data []byte) (int, []byte) {
		if strings.HasPrefix(path, "/machines?") {
			return 200, []byte(`{"hosts":[{"id":"host-zzz","flavor":"s","hall":"a","status":"running","ageS":1e300}],"truncated":true}`)
		}
		return status, data
	})
	withFault("404 from a proxy", 4*time.Second, func(host, path string, status int, data []byte) (int, []byte) {
		if host == "state" {
			return 404, []byte("<html>no such host</html>")
		}
		return status, data
	})
	f.waitLeader()
	withFault("200 from a proxy", 4*time.Second, func(host, path string, status int, data []byte) (int, []byte) {
		if host == "state" {
			return 200, []byte(`{}`)
		}
		return status, data
	})
	f.waitLeader()
	withFault("response for another key", 3*time.Second, func(host, path string, status int, data []byte) (int, []byte) {
		if host == "state" && strings.HasPrefix(path, "/store/") {
			return 200, []byte(`{"k":"yewpass/final/wk-1","v":{"type":"final","state":"cancelled","done":0},"keyRev":3}`)
		}
		return status, data
	})
	f.waitFor("wk-1 is done", allInState(spec.Done, j))
	f.checkJobCompletes("wk-2")
}

// TestDrillSettings checks that an invalid settings file stops the program with one line that names
// the file and the field.
func TestDrillSettings(t *testing.T) {
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	f := newTestCluster(t, drillScript)
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
	f.checkJobCompletes("wk-1") // with the valid file
}

// maxUnavailable is how long after its start a process may answer 503.
const maxUnavailable = 10 * time.Second

// checkJobDone checks that the process reports a finished job as done, within maxUnavailable.
func (p *proc) checkJobDone(id string) {
	for {
		status, _, data := p.send("GET", "/v2/runs/"+id, nil)
		var v struct{ Status spec.JobState }
		json.Unmarshal(data, &v)
		switch {
		case status == 200 && v.Status == spec.Done:
			return
		case (status == 503 || status == 0) && time.Since(p.started) < maxUnavailable:
			time.Sleep(20 * time.Millisecond)
		default:
			p.errorf("job %s: got status %d %s from %s %s after its start, want status 200 and done", id, status, data, p.node.name, time.Since(p.started))
			return
		}
	}
}

// TestDrillKilledAgain kills and restarts controllers twenty times while jobs are submitted. All
// jobs must finish, and many connections must not need a thread each.
func TestDrillKilledAgain(t *testing.T) {
	f := newTestCluster(t, drillScript)
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
		ps[i%3].checkJobDone(j.spec.ID)
	}
	l := f.waitLeader()
	var all sync.WaitGroup
	for i := range 400 { // separate connections, half of them with an incomplete request
		all.Go(func() {
			c, err := net.DialTimeout("tcp", l.clientAddr, time.Second)
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
		t.Skip("cannot read the number of threads")
	}
	_, rest, _ := strings.Cut(string(data), "\nThreads:")
	line, _, _ := strings.Cut(rest, "\n")
	if n, err := strconv.Atoi(strings.TrimSpace(line)); err != nil || n > 64 {
		t.Errorf("%s threads after 400 connections, want at most 64", line)
	}
	f.checkNoneExited(ps)
}
