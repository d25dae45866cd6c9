package scenario

import (
	"os/exec"
	"strings"
	"testing"
	"time"

	"yewpass/internal/spec"
)

// yewpass runs the program as operators do and returns what it prints: again, as it is told
// to, while it ends with 503.
func (f *testCluster) yewpass(input string, words ...string) (out string) {
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

// TestDrillConfig: teams are changed with the command line against real processes; a wrong
// file names what is wrong, a change that is based on an older revision is refused, and the
// next leader goes by what was changed.
func TestDrillConfig(t *testing.T) {
	f := newTestCluster(t, site)
	ps := f.startNodes(3, nil)
	f.waitLeader()
	node := func(i int) []string { return []string{"--node", ps[i].clients} }
	run := func(want, input string, words ...string) {
		t.Helper()
		if out := f.yewpass(input, words...); !strings.Contains(out, want) {
			t.Errorf("%v says %q, not %q", words, out, want)
		}
	}
	run("revision 1\n", "[[teams]]\nname = \"t\"\ncpus_max = 3.0\n", append([]string{"config", "set", "-"}, node(0)...)...)
	run("t     0     3", "", append([]string{"config", "list"}, node(1)...)...)
	run("teams[0].cpus: 9 is more than cpusMax, 3", "[[teams]]\nname = \"t\"\ncpus = 9.0\ncpus_max = 3.0\n", append([]string{"config", "set", "-"}, node(1)...)...)
	run("cpux: no such", "[[teams]]\nname = \"t\"\ncpux = 9.0\n", append([]string{"config", "set", "-"}, node(1)...)...)
	run("412", "[[teams]]\nname = \"t\"\ncpus_max = 5.0\n", append([]string{"config", "set", "-", "--if-revision", "0"}, node(2)...)...)
	run("revision 2", "[[teams]]\nname = \"u\"\nretired = true\n", append([]string{"config", "set", "-"}, node(2)...)...)
	run("revision 2", "", append([]string{"config", "status"}, node(1)...)...)
	j := f.job("wk-1", "tasks=9", "run=2s")
	f.waitFor("tasks run", func() bool { return f.activeTasks("wk-1") > 0 })
	f.with(func() { f.cfg.Settings.Teams[0].CPUsMax = 3 }) // what the rules go by: the settings said 40
	l := f.waitLeader()
	l.kill()
	f.waitFor("the job is done", allInState(spec.Done, j))
	refused := f.job("wk-2", "tasks=1", "owner=u", "run=1s")
	f.waitFor("a job of the retired team is refused", func() bool { return refused.status == 422 })
	l.start()
	f.waitFor("all ready", func() bool { return ps[0].healthy && ps[1].healthy && ps[2].healthy })
	run("retired", "", append([]string{"config", "get", "u"}, node(0)...)...)
	f.works("wk-3")
}
