package core

import (
	"math/rand/v2"
	"testing"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/quota"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
)

// TestAims: a deadline counts again at the times that an objective names, and a
// finishing objective is aimed at early, but not for idle jobs.
func TestAims(t *testing.T) {
	c := leaderOf(t, 1)
	c.cfg.Settings.Objectives = []config.Objective{{Kind: "deadline", Class: "c", Times: 1.5}, {Kind: "finished", Class: "c", Within: 200}}
	j := newJob(c, 1, 1, rand.New(rand.NewPCG(1, 1)))
	j.Spec.Class, j.Spec.HasDeadline, j.Spec.Deadline = "c", true, 100*time.Second
	for _, x := range []struct {
		urgency spec.Urgency
		want    []float64
	}{{spec.Standard, []float64{100, 150, 120, 200}}, {spec.Idle, []float64{100, 150, 200}}} {
		j.Spec.Urgency = x.urgency
		var got []float64
		c.forEachObjective(j, time.Second, func(a objective) {
			if !a.wholeJob {
				t.Error("takes all tasks")
			}
			got = append(got, a.deadline.Sub(j.Submitted).Seconds())
		})
		if len(got) != len(x.want) {
			t.Fatalf("%v: %v, want %v", x.urgency, got, x.want)
		}
		for i := range got {
			if got[i] != x.want[i] {
				t.Errorf("%v: %v, want %v", x.urgency, got, x.want)
			}
		}
	}
	j.Spec.Urgency = spec.Standard
	if a, ok := c.nextObjectiveFrom(j, t0, t0.Add(120*time.Second), time.Second); !ok || a.deadline != j.Submitted.Add(150*time.Second) {
		t.Errorf("after 120 s: %v", a.deadline.Sub(t0))
	}
}

// TestLocalFirst: an urgent job leaves a machine alone that would have to fetch
// its image while others have it, but not for ever, and not when few have it.
func TestLocalFirst(t *testing.T) {
	c := leaderOf(t, 12)
	m := c.leadership.fleet[0]
	submit := func(id int) *fleet.Job {
		j := newJob(c, id, 2, rand.New(rand.NewPCG(1, 1)))
		j.StartsAtOnce = true
		c.preferImageLocality(j)
		c.reserve(j)
		return j
	}
	submit(1)
	if len(c.startTasksOn(m)) == 0 {
		t.Error("no machine has the image: it must be fetched somewhere")
	}
	for _, o := range c.leadership.fleet[1:] {
		for _, image := range []string{"img0", "img1", "img2", "img3", "img4", "img5"} {
			o.Images.Add(image, struct{}{})
		}
		c.fill(o) // no room for now
	}
	j := submit(2)
	if os := c.startTasksOn(m); len(os) != 0 {
		t.Errorf("started %v where the image is not", os)
	}
	c.Now = c.Now.Add(imageLocalityWait)
	if c.startTasksOn(m); j.Waiting != 0 {
		t.Errorf("%d tasks still wait", j.Waiting)
	}
}

// TestManySmallBehindLarge: a reply must not go over the machine's timeline once for each
// of hundreds of small jobs that stand in the way of something larger.
func TestManySmallBehindLarge(t *testing.T) {
	cost := func(small int) time.Duration {
		rng := rand.New(rand.NewPCG(1, 2))
		c := leaderOf(t, 3)
		m := c.leadership.fleet[2]
		c.fill(m)
		for _, r := range m.Attempts[:4] {
			c.vacate(r) // four CPUs are free, and the large job takes all
		}
		for _, x := range c.leadership.fleet[:2] {
			x.Quarantined = true
		}
		add := func(i int, cpus float64, submitted time.Duration) {
			j := newJob(c, i, 1, rng)
			j.Spec.CPUs, j.Spec.HasDeadline, j.Spec.Class, j.Spec.Image, j.Spec.Runtime = cpus, false, "x", "img0", time.Hour
			j.Need, j.Submitted, j.AnyCompleted = j.Spec.Need(), t0.Add(submitted), true
			c.reserve(j)
		}
		m.Images.Add("img0", struct{}{})
		c.Now = t0
		add(1, 32, -time.Minute)
		for i := range small {
			add(100+i, 1+float64(i%7)/10, time.Duration(i)*time.Millisecond)
		}
		best := time.Hour
		for range 20 {
			began := time.Now()
			c.startTasksOn(m)
			best = min(best, time.Since(began))
		}
		return best
	}
	if few, many := cost(20), cost(400); many > 60*few {
		t.Errorf("a reply takes %v with 20 small jobs in the queue, %v with 400", few, many)
	} else {
		t.Log(few, many)
	}
}

// TestFoundMidway: what a new leader finds running began long ago for all it knows. It
// tells nothing of how long tasks take, and is not stopped as hardly begun.
func TestFoundMidway(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, phase := range []heartbeat.Phase{heartbeat.Pulling, heartbeat.TaskRuns} {
		c := leaderOf(t, 1)
		c.leadership.teams["u"] = &quota.Account{Guaranteed: timeline.Capacity(100, 0, 0)}
		c.leadership.teams["t"].Guaranteed = timeline.Resources{}
		m := c.leadership.fleet[0]
		long := newJob(c, 1, 1, rng)
		long.Spec.CPUs, long.Spec.Runtime = 4, 10*time.Minute
		long.Need = long.Spec.Need()
		rep := reportOf(m)
		rep.Tasks = []heartbeat.Task{{Task: heartbeat.TaskID{Job: long.Spec.ID}, Try: 1, Phase: phase}}
		c.reconcile(m, &rep)
		rep.Counter++
		rep.Tasks = []heartbeat.Task{{Task: heartbeat.TaskID{Job: long.Spec.ID}, Try: 1, Phase: heartbeat.TaskRuns}}
		c.reconcile(m, &rep)
		waits := newJob(c, 2, 1, rng)
		waits.Spec.Owner, waits.Team = "u", c.leadership.teams["u"]
		waits.Submitted = t0.Add(-time.Minute)
		c.reserve(waits)
		c.preemptBorrowers()
		if stopped := m.Attempts[0].StopRequested; stopped != (phase == heartbeat.Pulling) {
			t.Errorf("found %s: stopped %v", phase, stopped)
		}
		c.Now = c.Now.Add(3 * time.Second)
		rep.Counter++
		rep.Tasks[0] = heartbeat.Task{Task: heartbeat.TaskID{Job: long.Spec.ID}, Try: 1, Phase: heartbeat.Exited, Cause: heartbeat.CauseDone}
		c.reconcile(m, &rep)
		if seen := c.leadership.runtimes.Of(&long.Spec) != nil; seen != (phase == heartbeat.Pulling) {
			t.Errorf("found %s: counts for estimates %v", phase, seen)
		}
	}
}

// TestAimless: idle work of which nobody expects anything stands behind what is late.
func TestAimless(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	c := leaderOf(t, 1)
	c.fill(c.leadership.fleet[0])
	add := func(id int, class string, urgency spec.Urgency) *fleet.Job {
		j := newJob(c, id, 1, rng)
		j.Spec.Class, j.Spec.HasDeadline, j.Spec.Urgency = class, false, urgency
		c.reserve(j)
		return j
	}
	guest, dear := add(1, "x", spec.Idle), add(2, "x", spec.Standard)
	late := add(3, "c", spec.Idle)
	late.MissedUntil = t0.Add(time.Hour)
	c.dropReservations(late)
	c.reserve(late)
	if guest.QueueTime.Before(late.QueueTime) || !dear.QueueTime.Before(late.QueueTime) {
		t.Errorf("turns: aimless idle %v, aimless %v, late %v", guest.QueueTime.Sub(t0), dear.QueueTime.Sub(t0), late.QueueTime.Sub(t0))
	}
}

// TestRebookLimit: looking again at what is booked takes a bounded part of the processor
// share, whatever the fleet and the queue, and one job has its turn every while only.
func TestRebookLimit(t *testing.T) {
	for machines, want := range map[int]int{100: maxRereserve, 700: 14, 1300: 7, 2600: 3, 20000: 2} {
		c := leaderOf(t, 1)
		c.cfg.Settings.Limits.CPUShare = 0.168
		c.leadership.fleet = make([]*fleet.Machine, machines)
		if n := c.rereserveLimit(); n != want {
			t.Errorf("%d machines: %d jobs at a time, not %d", machines, n, want)
		}
	}
	c := leaderOf(t, 4)
	rng := testRand()
	for i := range 40 {
		j := newJob(c, i, 50, rng)
		c.reserve(j)
	}
	c.Now = c.Now.Add(time.Hour) // all is due
	looked := func() (n int) {
		for _, j := range c.leadership.jobs {
			if j.LastRereserved.Equal(c.Now) {
				n++
			}
		}
		return n
	}
	c.rereserve(10)
	if n := looked(); n != 10 {
		t.Fatalf("%d jobs are looked at", n)
	}
	first := map[*fleet.Job]bool{}
	for _, j := range c.leadership.jobs {
		first[j] = j.LastRereserved.Equal(c.Now)
	}
	c.Now = c.Now.Add(tickEvery)
	c.rereserve(10)
	for j, was := range first {
		if was && j.LastRereserved.Equal(c.Now) {
			t.Errorf("job %s is looked at again at once", j.Spec.ID)
		}
	}
}
