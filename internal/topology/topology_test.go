package topology

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

func tree(tb testing.TB) *Tree {
	tb.Helper()
	t, err := New(Definition{Levels: []string{"switch", "rack"}, Places: []PlaceDefinition{
		{Zone: "a", Names: []string{"s1"}, Networks: []string{"10.1.0.0/16"}, UplinkMbps: 1000},
		{Zone: "a", Names: []string{"s1", "r1"}, Networks: []string{"10.1.4.0/22"}},
		{Zone: "a", Names: []string{"s1", "r2"}, Networks: []string{"10.1.8.0/22", "fd00:1::/64"}},
		{Zone: "b", Names: []string{"s2", "r1"}, Hosts: []string{"host-b1*"}},
	}})
	if err != nil {
		tb.Fatal(err)
	}
	return t
}

func TestPlaces(t *testing.T) {
	tr := tree(t)
	for _, c := range []struct{ host, address, zone, want, mismatch string }{
		{"h1", "10.1.4.9:9000", "a", "a/s1/r1/h1", ""}, {"h2", "10.1.8.9:9000", "a", "a/s1/r2/h2", ""}, {"h3", "10.1.99.9:9000", "a", "a/s1/h3", ""},
		{"h4", "10.2.0.1:9000", "a", "a/h4", ""}, {"h5", "[fd00:1::7]:9000", "a", "a/s1/r2/h5", ""}, {"host-b12", "10.1.4.9:9000", "b", "b/s2/r1/host-b12", ""},
		{"h6", "10.1.4.10:9000", "c", "c/h6", "a/s1/r1"}, {"h7", "nonsense", "b", "b/h7", ""}, {"h8", "[::ffff:10.1.4.11]:9000", "a", "a/s1/r1/h8", ""},
	} {
		p, other := tr.Locate(c.host, c.address, c.zone)
		got := ""
		if other != nil {
			got = other.String()
		}
		if p.String() != c.want || got != c.mismatch {
			t.Errorf("%s located in %s (mismatch %q), want %s (%q)", c.host, p, got, c.want, c.mismatch)
		}
		if again, _ := tr.Locate(c.host, "", c.zone); again != p {
			t.Errorf("second Locate of %s returned another place", c.host)
		}
	}
	for want, def := range map[string]Definition{
		"levels":                {Levels: []string{"rack", "rack"}},
		"places[0].zone":        {Places: []PlaceDefinition{{}}},
		"places[0].names":       {Places: []PlaceDefinition{{Zone: "a", Names: []string{"s"}}}},
		"places[0].switch":      {Levels: []string{"switch", "rack"}, Places: []PlaceDefinition{{Zone: "a", Names: []string{"", "r"}}}},
		"places[0].networks":    {Places: []PlaceDefinition{{Zone: "a", Networks: []string{"10.1.4.0"}}}},
		"places[1].networks":    {Places: []PlaceDefinition{{Zone: "a", Networks: []string{"10.1.4.0/22"}}, {Zone: "b", Networks: []string{"10.1.5.0/22"}}}},
		"places[0].hosts":       {Places: []PlaceDefinition{{Zone: "a", Hosts: []string{"["}}}},
		"places[0].uplink_mbps": {Places: []PlaceDefinition{{Zone: "a", UplinkMbps: -1}}},
	} {
		_, err := New(def)
		var fe *FieldError
		if !errors.As(err, &fe) || fe.Field != want {
			t.Errorf("got error %v, want an error in field %s", err, want)
		}
	}
}

type startedTask struct {
	key  string
	leaf *Place
}

// samePlace reports whether x and y share a place at the level.
func samePlace(x, y *Place, level int) bool {
	p, ok := placeAt(x, level)
	q, ok2 := placeAt(y, level)
	return ok == ok2 && p == q
}

// plainlyAllows decides whether a rule allows a start by examining all tasks.
func plainlyAllows(r Rule, j *Job, leaf *Place, tasks []startedTask) bool {
	here, elsewhere, of, ofHere := 0, 0, 0, 0
	for _, x := range tasks {
		shared := samePlace(x.leaf, leaf, r.Level)
		if x.key == j.Key && shared {
			here++
		} else if x.key == j.Key {
			elsewhere++
		}
		if x.key == r.Target {
			of++
			if shared {
				ofHere++
			}
		}
	}
	_, known := placeAt(leaf, r.Level)
	switch r.Kind {
	case Spread:
		return here < r.maxTasks(j.Tasks)
	case Colocate:
		return known && elsewhere == 0
	case Affinity:
		return of == 0 || ofHere > 0
	default: // AntiAffinity
		return ofHere == 0
	}
}

func randomJobs(rng *rand.Rand) (jobs []*Job) {
	for i := range 6 {
		j := &Job{Key: fmt.Sprint("job", i), Tasks: 1 + rng.IntN(20)}
		for range 1 + rng.IntN(3) {
			r := Rule{Kind: Kind(rng.IntN(4)), Level: rng.IntN(4), Target: fmt.Sprint("job", rng.IntN(6))}
			if r.Kind == Spread && rng.IntN(2) == 0 {
				r.MaxPerPlace = 1 + rng.IntN(5)
			} else if r.Kind == Spread {
				r.Share = 0.1 + 0.9*rng.Float64()
			}
			if r.Target == j.Key {
				r.Target = "nobody"
			}
			j.Rules = append(j.Rules, r)
		}
		jobs = append(jobs, j)
	}
	return jobs
}

// TestRulesMatchPlainSearch starts and ends random tasks and compares Check and AllowedTasks with
// plainlyAllows.
func TestRulesMatchPlainSearch(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 11))
		tr := tree(t)
		var leaves []*Place
		for i := range 30 {
			zone := []string{"a", "a", "b"}[i%3]
			leaf, _ := tr.Locate(fmt.Sprintf("host-%s%d", zone, i), fmt.Sprintf("10.%d.%d.%d:9000", 1+i/25, 4+i%12, i), zone)
			leaves = append(leaves, leaf)
		}
		jobs := randomJobs(rng)
		counter := NewTaskCounter()
		var tasks []startedTask
		allowed, forbidden := 0, 0
		for range 600 {
			j, leaf := jobs[rng.IntN(len(jobs))], leaves[rng.IntN(len(leaves))]
			plain := true
			for _, r := range j.Rules {
				plain = plain && plainlyAllows(r, j, leaf, tasks)
			}
			_, violation := counter.Check(j, leaf)
			if (violation == nil) != plain || (counter.AllowedTasks(j, leaf, 5) > 0) != plain {
				t.Fatalf("seed %d: %s on %s: violation %+v, plain search allows it: %v", seed, j.Key, leaf, violation, plain)
			}
			if plain {
				allowed++
				counter.Add(j.Key, leaf, 1)
				tasks = append(tasks, startedTask{key: j.Key, leaf: leaf})
			} else if forbidden++; violation.Reason == "" {
				t.Fatal("violation without a reason")
			}
			if len(tasks) > 0 && rng.IntN(3) == 0 {
				i := rng.IntN(len(tasks))
				counter.Add(tasks[i].key, tasks[i].leaf, -1)
				tasks = append(tasks[:i], tasks[i+1:]...)
			}
		}
		if allowed == 0 || forbidden == 0 {
			t.Errorf("seed %d: %d allowed, %d forbidden", seed, allowed, forbidden)
		}
		for _, x := range tasks {
			counter.Add(x.key, x.leaf, -1)
		}
		if len(counter.counts) > 0 {
			t.Errorf("seed %d: %d counters remain after all tasks were removed", seed, len(counter.counts))
		}
	}
}

// TestSubmissionRules checks the rules SamePlace and Apart, that soft rules never forbid a start,
// and that a machine whose place is unknown shares it with no other.
func TestSubmissionRules(t *testing.T) {
	tr := tree(t)
	a, _ := tr.Locate("h1", "10.1.4.9:9000", "a")
	b, _ := tr.Locate("host-b1", "", "b")
	noRack, _ := tr.Locate("h9", "", "a")
	noRack2, _ := tr.Locate("h10", "", "a")
	counter := NewTaskCounter()
	apart := &Job{Key: "x", Tasks: 5, Rules: []Rule{Apart}}
	if n := counter.AllowedTasks(apart, a, 9); n != 3 { // half of the tasks, rounded up
		t.Error("Apart allows", n, "of 5 tasks in a zone, want 3")
	}
	same := &Job{Key: "y", Tasks: 2, Rules: []Rule{SamePlace}}
	counter.Add("y", a, 1)
	if _, r := counter.Check(same, b); r == nil || !strings.Contains(r.Reason, "elsewhere") {
		t.Error("SamePlace allows a task in another zone; violation:", r)
	}
	if _, r := counter.Check(same, noRack); r != nil {
		t.Error("SamePlace forbids a machine in the same zone without a rack:", r)
	}
	same.Rules[0].Soft = true
	if n, r := counter.Check(same, b); n != 1 || r != nil {
		t.Error("soft rule: broken and violation are", n, r)
	}
	rack, _ := tr.Level("rack")
	racks := &Job{Key: "z", Tasks: 9, Rules: []Rule{{Kind: Spread, Level: rack, MaxPerPlace: 1}}}
	counter.Add("z", noRack, 1)
	if _, r := counter.Check(racks, noRack); r == nil {
		t.Error("Spread allows a second task on a machine without a rack")
	}
	if _, r := counter.Check(racks, noRack2); r != nil {
		t.Error("Spread treats two machines without a rack as one place:", r)
	}
	if _, r := counter.Check(&Job{Key: "w", Tasks: 2, Rules: []Rule{{Kind: Colocate, Level: rack}}}, noRack); r == nil {
		t.Error("Colocate at rack level allows a machine without a rack")
	}
}

// BenchmarkCheck measures one check, start and end of a task while many machines and jobs are
// counted.
func BenchmarkCheck(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tr, counter := tree(b), NewTaskCounter()
			var leaf *Place
			for i := range n {
				leaf, _ = tr.Locate(fmt.Sprint("h", i), fmt.Sprintf("10.1.%d.%d:9000", i/250%256, i%250), "a")
				counter.Add(fmt.Sprint("job", i), leaf, 1)
			}
			j := &Job{Key: "x", Tasks: 100, Rules: []Rule{{Kind: Spread, Level: 2, MaxPerPlace: 4}, Apart, {Kind: AntiAffinity, Level: 3, Target: "y"}}}
			for b.Loop() {
				if _, r := counter.Check(j, leaf); r != nil {
					b.Fatal(r)
				}
				counter.Add("x", leaf, 1)
				counter.Add("x", leaf, -1)
			}
		})
	}
}
