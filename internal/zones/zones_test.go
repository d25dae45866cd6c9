package zones

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

var t0 = time.Unix(1_900_000_000, 0)

var testSettings = Settings{LostAfter: 20 * time.Second, StableFor: 8 * time.Second, KeepFor: 60 * time.Second, ProbeInterval: time.Minute}

// observeTimeline feeds the tracker one observation of zones a and b per second and returns the
// states that zone a enters, each with its second. A step is "until reporting/silent
// reporting/silent", with the counts of a before those of b.
func observeTimeline(tracker *Tracker, steps ...string) string {
	var out []string
	at := 0
	for _, s := range steps {
		var until, ra, sa, rb, sb int
		if _, err := fmt.Sscanf(s, "%d %d/%d %d/%d", &until, &ra, &sa, &rb, &sb); err != nil {
			panic(s)
		}
		for ; at < until; at++ {
			for _, c := range tracker.Observe(t0.Add(time.Duration(at)*time.Second), map[string]MachineCounts{"a": {ra, sa}, "b": {rb, sb}}) {
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
		{"a few machines fail", []string{"10 40/0 40/0", "30 34/6 40/0", "60 34/0 40/0"}, ""},
		{"both machines silent, below the minimum", []string{"10 2/0 40/0", "60 0/2 40/0"}, ""},
		{"outage shorter than the lease", []string{"10 40/0 40/0", "25 0/40 40/0", "60 40/0 40/0"}, "doubtful 10, returning 25, up 33"},
		{"outage longer than the lease", []string{"10 40/0 40/0", "50 0/40 40/0", "90 40/0 40/0"}, "doubtful 10, lost 30, returning 50, up 58"},
		{"machines return in groups", []string{"10 40/0 40/0", "50 0/40 40/0", "52 10/30 40/0", "90 30/10 40/0"}, "doubtful 10, lost 30, returning 50, up 58"},
		{"some machines never return", []string{"10 40/0 40/0", "50 0/40 40/0", "90 38/2 40/0"}, "doubtful 10, lost 30, returning 50, up 58"},
		{"one machine keeps reporting", []string{"10 40/0 40/0", "90 1/39 40/0"}, "doubtful 10, up 30, doubtful 50, up 70"},
		{"nearly half of the machines hang", []string{"10 40/0 40/0", "60 22/18 40/0"}, "doubtful 10, up 30, doubtful 50"},
		{"the observer itself is partitioned", []string{"10 40/0 40/0", "60 0/40 0/40"}, ""},
		{"the other zone is lost first", []string{"10 40/0 40/0", "40 40/0 0/40", "90 0/40 0/40"}, ""},
		{"no machines in other zones", []string{"10 40/0 0/0", "60 0/40 0/0"}, ""},
	} {
		if got := observeTimeline(New(testSettings), x.steps...); got != x.want {
			t.Errorf("%s: got states %q, want %q", x.name, got, x.want)
		}
	}
}

// TestFlapping checks that each relapse lengthens the time before a zone is up and starts tasks,
// and that relapses are forgotten after a long stable period.
func TestFlapping(t *testing.T) {
	tracker := New(testSettings)
	got := observeTimeline(tracker, "10 40/0 40/0", "20 0/40 40/0", "30 40/0 40/0", "40 0/40 40/0", "50 40/0 40/0", "60 0/40 40/0")
	if want := "doubtful 10, returning 20, up 28, doubtful 30, returning 40, doubtful 50"; got != want {
		t.Errorf("got states %q, want %q", got, want)
	}
	z := tracker.Zone("a")
	observe := func(at int, s MachineCounts) {
		tracker.Observe(t0.Add(time.Duration(at)*time.Second), map[string]MachineCounts{"a": s, "b": {Reporting: 40}})
	}
	observe(70, MachineCounts{Reporting: 40})
	if z.State != Returning || z.AllowsTaskStarts() {
		t.Errorf("after the third return: state %v, starts tasks %v; want returning, false", z.State, z.AllowsTaskStarts())
	}
	observe(70+31, MachineCounts{Reporting: 40})
	if z.State != Returning {
		t.Error("zone is no longer returning after", 31*time.Second)
	}
	observe(70+32, MachineCounts{Reporting: 40})
	if z.State != Up || !z.AllowsTaskStarts() {
		t.Errorf("after 32 s: state %v, starts tasks %v; want up, true", z.State, z.AllowsTaskStarts())
	}
	observe(500, MachineCounts{Silent: 40})
	observe(510, MachineCounts{Reporting: 40})
	if !z.AllowsTaskStarts() {
		t.Error("relapses still prevent task starts after a stable period")
	}
}

// TestKept checks that all silent machines are kept until KeepFor, then gradually fewer, but never
// fewer than MinKeepCount.
func TestKept(t *testing.T) {
	tracker := New(testSettings)
	observeTimeline(tracker, "10 40/0 40/0", "11 0/40 40/0")
	z := tracker.Zone("a")
	for _, x := range []struct{ after, want int }{{0, 40}, {60, 40}, {90, 30}, {120, 20}, {179, 2}, {1000, 2}} {
		if got := z.KeepCount(t0.Add(time.Duration(10+x.after) * time.Second)); got != x.want {
			t.Errorf("after %d s: KeepCount is %d, want %d", x.after, got, x.want)
		}
	}
}

// TestProbe checks that a lost zone is probed once per interval if it has no machines, and not at
// all while it has silent ones.
func TestProbe(t *testing.T) {
	tracker := New(testSettings)
	observeTimeline(tracker, "10 40/0 40/0", "40 0/40 40/0")
	z := tracker.Zone("a")
	if z.StartProbeIfDue(t0.Add(300 * time.Second)) {
		t.Error("zone with silent machines is probed")
	}
	observeTimeline(tracker, "41 0/0 40/0")
	n := 0
	for at := range 600 {
		if z.StartProbeIfDue(t0.Add(time.Duration(at) * time.Second)) {
			n++
		}
	}
	if n < 9 || n > 11 {
		t.Errorf("got %d probes in ten minutes, want 9 to 11", n)
	}
	tracker.Observe(t0.Add(700*time.Second), map[string]MachineCounts{"a": {Reporting: 1}, "b": {Reporting: 40}})
	if z.State != Returning || !z.AllowsRental() {
		t.Errorf("state is %v after the probe reports, want returning with rentals allowed", z.State)
	}
}

// TestRefusedProbe checks that only a refused probe is followed by another within the probe
// interval.
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
			t.Errorf("at %d s: probe due is %v", x.at, got)
		}
	}
}
