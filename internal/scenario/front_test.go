package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/spec"
)

// testCluster runs real controller processes against the simulated services over loopback.
type testCluster struct {
	*loopback
	t *testing.T
}

// proc is a controller process of a test cluster.
type proc = process

// buildDir is the directory that holds the built program; TestMain removes it.
var buildDir string

func TestMain(m *testing.M) {
	// Tests create tens of thousands of short-lived worlds with little live memory.
	debug.SetGCPercent(800)
	code := m.Run()
	if buildDir != "" {
		os.RemoveAll(buildDir)
	}
	os.Exit(code)
}

// program builds the controller binary once and returns its path.
var program = sync.OnceValues(func() (path string, err error) {
	if buildDir, err = os.MkdirTemp("", "yewpass-drill"); err != nil {
		return "", err
	}
	path = filepath.Join(buildDir, "yewpass")
	out, err := exec.Command("go", "build", "-o", path, "yewpass/cmd/yewpass").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return path, err
})

// newTestCluster creates a cluster from the setup lines of a script. It skips the test in short
// mode, and fails it at the end on rule violations.
func newTestCluster(t *testing.T, text string) *testCluster {
	t.Helper()
	if testing.Short() {
		t.Skip("drills are skipped in short mode")
	}
	t.Parallel()
	s, err := parseScript(text)
	if err != nil {
		t.Fatal(err)
	}
	w := s.world
	w.cfg.Settings.Workers = config.Workers{Report: 1, Lease: 5, Cancel: 16}
	f := &testCluster{loopback: newLoopback(s, t.TempDir(), t.Errorf), t: t}
	t.Cleanup(func() {
		f.close()
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, v := range w.violations {
			t.Errorf("rule violated at %s", v)
		}
	})
	return f
}

// waitFor polls a condition for up to 90 s. On a timeout, it fails the test and logs the
// controllers' last log lines.
func (f *testCluster) waitFor(what string, cond func() bool) {
	f.t.Helper()
	ok := false
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end) && !ok; time.Sleep(10 * time.Millisecond) {
		f.with(func() { ok = cond() })
	}
	if !ok {
		for _, n := range f.nodes {
			f.t.Logf("last log lines of %s:\n%s", n.name, strings.Join(n.process.(*proc).lastLogLines(25), "\n"))
		}
		f.t.Fatalf("condition not met within 90 s: %s", what)
	}
}

// startNodes starts n controller processes. It calls change, unless nil, before each start.
func (f *testCluster) startNodes(n int, change func(p *proc)) []*proc {
	f.t.Helper()
	path, err := program()
	if err != nil {
		f.t.Fatal(err)
	}
	return f.startControllers(launchOptions{count: n, program: func(int) string { return path }, logLevel: "debug", zone: func(int) string { return "a" }, beforeStart: change})
}

// job submits a job with the arguments of a script's submit action.
func (f *testCluster) job(id string, words ...string) *userJob {
	var j *userJob
	f.with(func() {
		j = f.script.parseJob(id, keyValues(words))
		f.world.submit(j)
	})
	return j
}

// currentLeader returns the process that is leader with authority, or nil.
func (f *testCluster) currentLeader() *proc {
	for _, n := range f.nodes {
		if p := n.process.(*proc); p.isLeader() {
			return p
		}
	}
	return nil
}

// waitLeader waits up to 60 s for a leader with authority.
func (f *testCluster) waitLeader() *proc {
	f.t.Helper()
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if p := f.currentLeader(); p != nil {
			return p
		}
	}
	f.waitFor("a leader", func() bool { return false })
	return nil
}

func (f *testCluster) activeTasks(id string) int {
	n := 0
	for _, m := range f.cloud.machines {
		for _, t := range m.tasks {
			if t.active() && t.id.Job == id {
				n++
			}
		}
	}
	return n
}

// allInState returns a condition: the users of all jobs have been told the final state.
func allInState(state spec.JobState, js ...*userJob) func() bool {
	return func() bool {
		for _, j := range js {
			if j.finalState != state {
				return false
			}
		}
		return true
	}
}
