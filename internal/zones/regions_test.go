package zones

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestRegionsChecked(t *testing.T) {
	for want, def := range map[string]map[string][]string{
		"r1: has no zones":              {"r1": nil},
		`r2: zone "a" is in r1 already`: {"r1": {"a"}, "r2": {"b", "a"}},
		"r1: a zone has no name":        {"r1": {""}},
	} {
		if _, err := NewRegions(def); err == nil || err.Error() != want {
			t.Errorf("%v, want %s", err, want)
		}
	}
	var none *Regions
	if none.RegionOf("a") != "" {
		t.Error("a zone lies in a region where there are none")
	}
}

// TestRegionIsOneEvent: a region whose zones go and come one after the other is one event
// each way; a zone that goes alone is none, and neither is one that has no machines.
func TestRegionIsOneEvent(t *testing.T) {
	set, err := NewRegions(map[string][]string{"r1": {"r1-a", "r1-b", "r1-empty"}, "r2": {"r2-a"}})
	if err != nil {
		t.Fatal(err)
	}
	w := NewRegionTracker(set)
	now := time.Unix(1_900_000_000, 0)
	zone := map[string]*Zone{}
	var all []*Zone
	for _, name := range []string{"other", "r1-a", "r1-b", "r1-empty", "r2-a"} {
		zone[name] = &Zone{Name: name, Counts: MachineCounts{Reporting: 5}}
		all = append(all, zone[name])
	}
	zone["r1-empty"].Counts = MachineCounts{}
	var told []string
	for _, step := range []string{"", "r1-a doubtful", "r1-b doubtful", "r1-a lost", "r1-b lost", "r1-a returning", "r1-b returning", "r1-a up", "r1-b up", "r2-a lost"} {
		if name, state, ok := strings.Cut(step, " "); ok {
			for s := Up; s <= Returning; s++ {
				if s.String() == state {
					zone[name].State = s
				}
			}
		}
		now = now.Add(time.Second)
		for _, c := range w.Observe(now, all) {
			told = append(told, fmt.Sprint(step, ": ", c.Region.Name, " ", c.To, " after ", c.Previous))
		}
	}
	want := "r1-b doubtful: r1 doubtful after 2s,r1-b lost: r1 lost after 2s,r1-a returning: r1 returning after 1s,r1-b up: r1 up after 3s"
	if got := strings.Join(told, ","); got != want {
		t.Errorf("told %s\nwant %s", got, want)
	}
}
