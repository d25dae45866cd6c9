package scenario

import (
	"os/exec"
	"strings"
	"testing"
	"time"

	"yewpass/internal/spec"
)

// runCLI runs the yewpass command and returns its output. It retries on status 503, as operators
// do.
func (f *testCluster) runCLI(input string, words ...string) (out string) {
	f.t.Helper()
	path, err := program()
	if err != nil {
		f.t.Fatal(err)
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		cmd := exec.Command(path, words...)
		cmd.Stdin = strings.NewReader(input)
		data, _ := cmd.CombinedOutput()
		if out = string(data); !strings.Contains(out, "503 Service Unavailable") {
			break
		}
	}
	return out
}

// TestDrillConfig changes teams with the command line while real processes run. Invalid files and
// changes based on an outdated revision must be rejected, and the next leader must apply the
// others.
func TestDrillConfig(t *testing.T) {
	f := newTestCluster(t, drillScript)
	ps := f.startNodes(3, nil)
	f.waitLeader()
	node := func(i int) []string { return []string{"--node", ps[i].clientAddr} }
	run := func(want, input string, words ...string) {
		t.Helper()
		if out := f.runCLI(input, words...); !strings.Contains(out, want) {
			t.Errorf("%v: got output %q, want it to contain %q", words, out, want)
		}
	}
	run("revision 1\n", "[[teams]]\nname = \"t\"\ncpus_max = 3.0\n", append([]string{"config", "set", "-"}, node(0)...)...)
	run("t     0     3", "", append([]string{"config", "list"}, node(1)...)...)
	run("teams[0].cpus: 9 exceeds cpusMax, which is 3", "[[teams]]\nname = \"t\"\ncpus = 9.0\ncpus_max = 3.0\n", append([]string{"config", "set", "-"}, node(1)...)...)
	run("cpux: no such", "[[teams]]\nname = \"t\"\ncpux = 9.0\n", append([]string{"config", "set", "-"}, node(1)...)...)
	run("412", "[[teams]]\nname = \"t\"\ncpus_max = 5.0\n", append([]string{"config", "set", "-", "--if-revision", "0"}, node(2)...)...)
	run("revision 2", "[[teams]]\nname = \"u\"\nretired = true\n", append([]string{"config", "set", "-"}, node(2)...)...)
	run("revision 2", "", append([]string{"config", "status"}, node(1)...)...)
	j := f.job("wk-1", "tasks=9", "run=2s")
	f.waitFor("tasks run", func() bool { return f.activeTasks("wk-1") > 0 })
	f.with(func() { f.cfg.Settings.Teams[0].CPUsMax = 3 }) // the limit that the rule checks use; the settings file has 40
	l := f.waitLeader()
	l.kill()
	f.waitFor("the job is done", allInState(spec.Done, j))
	refused := f.job("wk-2", "tasks=1", "owner=u", "run=1s")
	f.waitFor("a job of the retired team is refused", func() bool { return refused.status == 422 })
	l.start()
	f.waitFor("all ready", func() bool { return ps[0].healthy && ps[1].healthy && ps[2].healthy })
	run("retired", "", append([]string{"config", "get", "u"}, node(0)...)...)
	f.checkJobCompletes("wk-3")
}
