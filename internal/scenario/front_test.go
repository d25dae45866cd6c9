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

// front is a loopback world of a test: the real program against the stand-ins.
type front struct {
	*loopback
	t *testing.T
}

// proc is a controller of a test.
type proc = process

// built is the folder that the program is built into; it goes with the tests.
var built string

func TestMain(m *testing.M) {
	// Worlds are begun anew tens of thousands of times, and little of each is live: the
	// collector would take a fifth of the time.
	debug.SetGCPercent(800)
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

// newFront begins a world whose text is set up as a scenario's, without its times.
func newFront(t *testing.T, text string) *front {
	t.Helper()
	if testing.Short() {
		t.Skip("drills take their time")
	}
	t.Parallel()
	s, err := parseScript(text)
	if err != nil {
		t.Fatal(err)
	}
	w := s.world
	w.cfg.Settings.Workers = config.Workers{Report: 1, Lease: 5, Cancel: 16}
	f := &front{loopback: newLoopback(s, t.TempDir(), t.Errorf), t: t}
	t.Cleanup(func() {
		f.close()
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, v := range w.violations {
			t.Errorf("rule broken at %s", v)
		}
	})
	return f
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

// controllers starts n nodes; change, unless it is nil, is called before each start.
func (f *front) controllers(n int, change func(p *proc)) []*proc {
	f.t.Helper()
	path, err := program()
	if err != nil {
		f.t.Fatal(err)
	}
	return f.startControllers(launch{count: n, program: func(int) string { return path }, logLevel: "debug", site: func(int) string { return "a" }, change: change})
}

// job submits a job as a scenario does and returns what its user knows of it.
func (f *front) job(id string, words ...string) *userJob {
	var j *userJob
	f.with(func() {
		j = f.script.parseJob(id, keyValues(words))
		f.world.submit(j)
	})
	return j
}

// leads returns the process that leads in authority, or nil.
func (f *front) leads() *proc {
	for _, n := range f.nodes {
		if p := n.process.(*proc); p.leads() {
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
func told(state spec.JobState, js ...*userJob) func() bool {
	return func() bool {
		for _, j := range js {
			if j.told != state {
				return false
			}
		}
		return true
	}
}
