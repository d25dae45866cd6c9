package zones

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var t0 = time.Unix(1_900_000_000, 0)

var testSettings = Settings{LostAfter: 20 * time.Second, StableFor: 8 * time.Second, KeepFor: 60 * time.Second, ProbeInterval: time.Minute}

// observeTimeline plays what is seen of zone a beside zone b, a look a second, and returns the states
// that a went through, with their seconds. A step is "until heard/silent heard/silent".
func observeTimeline(w *Tracker, steps ...string) string {
	var out []string
	at := 0
	for _, s := range steps {
		var until, ha, sa, hb, sb int
		if _, err := fmt.Sscanf(s, "%d %d/%d %d/%d", &until, &ha, &sa, &hb, &sb); err != nil {
			panic(s)
		}
		for ; at < until; at++ {
			for _, c := range w.Observe(t0.Add(time.Duration(at)*time.Second), map[string]MachineCounts{"a": {ha, sa}, "b": {hb, sb}}) {
				if c.Zone.Name == "a" {
					out = append(out, fmt.Sprintf("%s %d", c.To, at))
				}
			}
		}
	}
	return strings.Join(out, ", ")
}

func TestStates(t *testing.T) {
	for _, x := range []struct {
		name  string
		steps []string
		want  string
	}{
		{"a few machines die", []string{"10 40/0 40/0", "30 34/6 40/0", "60 34/0 40/0"}, ""},
		{"two of two, too few to tell", []string{"10 2/0 40/0", "60 0/2 40/0"}, ""},
		{"cut below the lease", []string{"10 40/0 40/0", "25 0/40 40/0", "60 40/0 40/0"}, "doubtful 10, returning 25, up 33"},
		{"cut above the lease", []string{"10 40/0 40/0", "50 0/40 40/0", "90 40/0 40/0"}, "doubtful 10, lost 30, returning 50, up 58"},
		{"it comes back in parts", []string{"10 40/0 40/0", "50 0/40 40/0", "52 10/30 40/0", "90 30/10 40/0"}, "doubtful 10, lost 30, returning 50, up 58"},
		{"some of it never comes back", []string{"10 40/0 40/0", "50 0/40 40/0", "90 38/2 40/0"}, "doubtful 10, lost 30, returning 50, up 58"},
		{"one is heard in it", []string{"10 40/0 40/0", "90 1/39 40/0"}, "doubtful 10, up 30, doubtful 50, up 70"},
		{"a hall of hung machines is not its zone", []string{"10 40/0 40/0", "60 22/18 40/0"}, "doubtful 10, up 30, doubtful 50"},
		{"we are cut off ourselves", []string{"10 40/0 40/0", "60 0/40 0/40"}, ""},
		{"the other zone is lost first", []string{"10 40/0 40/0", "40 40/0 0/40", "90 0/40 0/40"}, ""},
		{"nothing elsewhere to judge by", []string{"10 40/0 0/0", "60 0/40 0/0"}, ""},
	} {
		if got := observeTimeline(New(testSettings), x.steps...); got != x.want {
			t.Errorf("%s: %s, want %s", x.name, got, x.want)
		}
	}
}

// TestFlapping: each time that a zone comes and goes it has to stay longer before it
// counts as up, and before its machines start anything; once it has been calm, that is
// forgotten.
func TestFlapping(t *testing.T) {
	w := New(testSettings)
	got := observeTimeline(w, "10 40/0 40/0", "20 0/40 40/0", "30 40/0 40/0", "40 0/40 40/0", "50 40/0 40/0", "60 0/40 40/0")
	if want := "doubtful 10, returning 20, up 28, doubtful 30, returning 40, doubtful 50"; got != want {
		t.Errorf("%s, want %s", got, want)
	}
	z := w.Zone("a")
	look := func(at int, s MachineCounts) {
		w.Observe(t0.Add(time.Duration(at)*time.Second), map[string]MachineCounts{"a": s, "b": {Reporting: 40}})
	}
	look(70, MachineCounts{Reporting: 40})
	if z.State != Returning || z.AllowsTaskStarts() {
		t.Errorf("third return: %v, takes work %v", z.State, z.AllowsTaskStarts())
	}
	look(70+31, MachineCounts{Reporting: 40})
	if z.State != Returning {
		t.Error("up after", 31*time.Second)
	}
	look(70+32, MachineCounts{Reporting: 40})
	if z.State != Up || !z.AllowsTaskStarts() {
		t.Errorf("%v after 32 s, takes work %v", z.State, z.AllowsTaskStarts())
	}
	look(500, MachineCounts{Silent: 40})
	look(510, MachineCounts{Reporting: 40})
	if !z.AllowsTaskStarts() {
		t.Error("relapses are not forgotten")
	}
}

// TestKept: all for Keep, fewer and fewer after it, and the witnesses for good.
func TestKept(t *testing.T) {
	w := New(testSettings)
	observeTimeline(w, "10 40/0 40/0", "11 0/40 40/0")
	z := w.Zone("a")
	for _, x := range []struct{ after, want int }{{0, 40}, {60, 40}, {90, 30}, {120, 20}, {179, 2}, {1000, 2}} {
		if got := z.KeepCount(t0.Add(time.Duration(10+x.after) * time.Second)); got != x.want {
			t.Errorf("%d s: %d are kept, want %d", x.after, got, x.want)
		}
	}
}

// TestProbe: a lost zone without machines is asked now and then, by one at a time, and
// one that has witnesses is not.
func TestProbe(t *testing.T) {
	w := New(testSettings)
	observeTimeline(w, "10 40/0 40/0", "40 0/40 40/0")
	z := w.Zone("a")
	if z.StartProbeIfDue(t0.Add(300 * time.Second)) {
		t.Error("probed with machines that could tell")
	}
	observeTimeline(w, "41 0/0 40/0")
	n := 0
	for at := range 600 {
		if z.StartProbeIfDue(t0.Add(time.Duration(at) * time.Second)) {
			n++
		}
	}
	if n < 9 || n > 11 {
		t.Errorf("%d probes in ten minutes", n)
	}
	w.Observe(t0.Add(700*time.Second), map[string]MachineCounts{"a": {Reporting: 1}, "b": {Reporting: 40}})
	if z.State != Returning || !z.AllowsRental() {
		t.Errorf("%v once the probe reports", z.State)
	}
}

// TestRefusedProbe: a refused probe is followed soon by another, which may be of another
// kind of machine; one that was not is left its time.
func TestRefusedProbe(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	z := &Zone{settings: &Settings{ProbeInterval: time.Minute}, State: Lost}
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	for _, x := range []struct {
		at      int
		refused bool
		due     bool
	}{{0, false, true}, {30, false, false}, {60, false, true}, {61, true, false}, {62, false, false}, {63, false, true}, {100, false, false}, {123, false, true}} {
		if x.refused {
			z.ProbeRefused(at(x.at))
		}
		if got := z.StartProbeIfDue(at(x.at)); got != x.due {
			t.Errorf("at %d s: %v", x.at, got)
		}
	}
}
