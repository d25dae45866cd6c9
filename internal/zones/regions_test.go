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
		`r2: zone "a" is already in r1`: {"r1": {"a"}, "r2": {"b", "a"}},
		"r1: a zone has no name":        {"r1": {""}},
	} {
		if _, err := NewRegions(def); err == nil || err.Error() != want {
			t.Errorf("got error %v, want %s", err, want)
		}
	}
	var none *Regions
	if none.RegionOf("a") != "" {
		t.Error("nil Regions returns a region for a zone")
	}
}

// TestRegionIsOneEvent checks that the outage of all zones of a region is reported as one change of
// the region in each direction, but not the outage of its only zone with machines.
func TestRegionIsOneEvent(t *testing.T) {
	set, err := NewRegions(map[string][]string{"r1": {"r1-a", "r1-b", "r1-empty"}, "r2": {"r2-a"}})
	if err != nil {
		t.Fatal(err)
	}
	tracker := NewRegionTracker(set)
	now := time.Unix(1_900_000_000, 0)
	zone := map[string]*Zone{}
	var all []*Zone
	for _, name := range []string{"other", "r1-a", "r1-b", "r1-empty", "r2-a"} {
		zone[name] = &Zone{Name: name, Counts: MachineCounts{Reporting: 5}}
		all = append(all, zone[name])
	}
	zone["r1-empty"].Counts = MachineCounts{}
	var got []string
	for _, step := range []string{"", "r1-a doubtful", "r1-b doubtful", "r1-a lost", "r1-b lost", "r1-a returning", "r1-b returning", "r1-a up", "r1-b up", "r2-a lost"} {
		if name, state, ok := strings.Cut(step, " "); ok {
			for s := Up; s <= Returning; s++ {
				if s.String() == state {
					zone[name].State = s
				}
			}
		}
		now = now.Add(time.Second)
		for _, c := range tracker.Observe(now, all) {
			got = append(got, fmt.Sprint(step, ": ", c.Region.Name, " ", c.To, " after ", c.PreviousDuration))
		}
	}
	want := "r1-b doubtful: r1 doubtful after 2s,r1-b lost: r1 lost after 2s,r1-a returning: r1 returning after 1s,r1-b up: r1 up after 3s"
	if joined := strings.Join(got, ","); joined != want {
		t.Errorf("got %s\nwant %s", joined, want)
	}
}
