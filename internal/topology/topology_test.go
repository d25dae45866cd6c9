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
	for _, c := range []struct{ host, address, zone, want, contradicts string }{
		{"h1", "10.1.4.9:9000", "a", "a/s1/r1/h1", ""}, {"h2", "10.1.8.9:9000", "a", "a/s1/r2/h2", ""}, {"h3", "10.1.99.9:9000", "a", "a/s1/h3", ""},
		{"h4", "10.2.0.1:9000", "a", "a/h4", ""}, {"h5", "[fd00:1::7]:9000", "a", "a/s1/r2/h5", ""}, {"host-b12", "10.1.4.9:9000", "b", "b/s2/r1/host-b12", ""},
		{"h6", "10.1.4.10:9000", "c", "c/h6", "a/s1/r1"}, {"h7", "nonsense", "b", "b/h7", ""}, {"h8", "[::ffff:10.1.4.11]:9000", "a", "a/s1/r1/h8", ""},
	} {
		p, other := tr.Locate(c.host, c.address, c.zone)
		got := ""
		if other != nil {
			got = other.String()
		}
		if p.String() != c.want || got != c.contradicts {
			t.Errorf("%s stands in %s (not in %q), want %s (%q)", c.host, p, got, c.want, c.contradicts)
		}
		if again, _ := tr.Locate(c.host, "", c.zone); again != p {
			t.Errorf("%s has two places", c.host)
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
			t.Errorf("%v, want a word about %s", err, want)
		}
	}
}

// startedTask is a task on a machine.
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

// plainlyAllows decides about a rule by looking at all tasks.
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
	default: // AwayFrom
		return ofHere == 0
	}
}

// randomJobs returns jobs with random rules.
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

// TestRulesAsPlain plays random starts and ends and compares every answer with
// one that looks at all tasks there are. Starts that are allowed never break a
// rule; starts that are not would.
func TestRulesAsPlain(t *testing.T) {
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
		tally := NewTaskCounter()
		var tasks []startedTask
		allowed, refused := 0, 0
		for range 600 {
			j, leaf := jobs[rng.IntN(len(jobs))], leaves[rng.IntN(len(leaves))]
			plain := true
			for _, r := range j.Rules {
				plain = plain && plainlyAllows(r, j, leaf, tasks)
			}
			_, refusal := tally.Check(j, leaf)
			if (refusal == nil) != plain || (tally.AllowedTasks(j, leaf, 5) > 0) != plain {
				t.Fatalf("seed %d: %s on %s: %+v, plainly %v", seed, j.Key, leaf, refusal, plain)
			}
			if plain {
				allowed++
				tally.Add(j.Key, leaf, 1)
				tasks = append(tasks, startedTask{key: j.Key, leaf: leaf})
			} else if refused++; refusal.Reason == "" {
				t.Fatal("refused without a word")
			}
			if len(tasks) > 0 && rng.IntN(3) == 0 {
				i := rng.IntN(len(tasks))
				tally.Add(tasks[i].key, tasks[i].leaf, -1)
				tasks = append(tasks[:i], tasks[i+1:]...)
			}
		}
		if allowed == 0 || refused == 0 {
			t.Errorf("seed %d: %d allowed, %d refused", seed, allowed, refused)
		}
		for _, x := range tasks {
			tally.Add(x.key, x.leaf, -1)
		}
		if len(tally.counts) > 0 {
			t.Errorf("seed %d: %d counts are left", seed, len(tally.counts))
		}
	}
}

// TestProtocol: samePlace and apart keep their meaning, soft rules only rank, and
// a machine whose place is not known is a place of its own.
func TestProtocol(t *testing.T) {
	tr := tree(t)
	a, _ := tr.Locate("h1", "10.1.4.9:9000", "a")
	b, _ := tr.Locate("host-b1", "", "b")
	lost, _ := tr.Locate("h9", "", "a")
	lost2, _ := tr.Locate("h10", "", "a")
	tally := NewTaskCounter()
	apart := &Job{Key: "x", Tasks: 5, Rules: []Rule{Apart}}
	if n := tally.AllowedTasks(apart, a, 9); n != 3 { // 5 of 9, 3 of 5, 1 of 1
		t.Error("apart lets", n, "of 5 start in a zone")
	}
	same := &Job{Key: "y", Tasks: 2, Rules: []Rule{SamePlace}}
	tally.Add("y", a, 1)
	if _, r := tally.Check(same, b); r == nil || !strings.Contains(r.Reason, "elsewhere") {
		t.Error("samePlace lets a task start in another zone", r)
	}
	if _, r := tally.Check(same, lost); r != nil {
		t.Error("a zone is known of every machine", r)
	}
	same.Rules[0].Soft = true
	if n, r := tally.Check(same, b); n != 1 || r != nil {
		t.Error("a soft rule forbids", n, r)
	}
	rack, _ := tr.Level("rack")
	racks := &Job{Key: "z", Tasks: 9, Rules: []Rule{{Kind: Spread, Level: rack, MaxPerPlace: 1}}}
	tally.Add("z", lost, 1)
	if _, r := tally.Check(racks, lost); r == nil {
		t.Error("a machine without a rack is not a place of its own")
	}
	if _, r := tally.Check(racks, lost2); r != nil {
		t.Error("two machines without a rack are one place", r)
	}
	if _, r := tally.Check(&Job{Key: "w", Tasks: 2, Rules: []Rule{{Kind: Colocate, Level: rack}}}, lost); r == nil {
		t.Error("a machine without a rack satisfies together")
	}
}

// BenchmarkMay is a question and a start and an end with many machines and jobs
// counted.
func BenchmarkMay(b *testing.B) {
	for _, n := range []int{100, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tr, tally := tree(b), NewTaskCounter()
			var leaf *Place
			for i := range n {
				leaf, _ = tr.Locate(fmt.Sprint("h", i), fmt.Sprintf("10.1.%d.%d:9000", i/250%256, i%250), "a")
				tally.Add(fmt.Sprint("job", i), leaf, 1)
			}
			j := &Job{Key: "x", Tasks: 100, Rules: []Rule{{Kind: Spread, Level: 2, MaxPerPlace: 4}, Apart, {Kind: AntiAffinity, Level: 3, Target: "y"}}}
			for b.Loop() {
				if _, r := tally.Check(j, leaf); r != nil {
					b.Fatal(r)
				}
				tally.Add("x", leaf, 1)
				tally.Add("x", leaf, -1)
			}
		})
	}
}
