package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"yewpass/internal/fleet"
)

// TestImageLocality checks that a latency-sensitive job avoids a machine without its image while
// other machines have it, but only for imageLocalityWait, and not if no machine has it.
func TestImageLocality(t *testing.T) {
	c := newCluster(12)
	m := c.machines[0]
	submit := func(id int) *fleet.Job {
		j := c.newJob(id, 2, rand.New(rand.NewPCG(1, 1)))
		j.LatencySensitive = true
		c.PreferImageLocality(j)
		c.Reserve(j)
		return j
	}
	submit(1)
	if len(c.StartTasksOn(m)) == 0 {
		t.Error("started no task although no machine has the image")
	}
	for _, o := range c.machines[1:] {
		for _, image := range []string{"img0", "img1", "img2", "img3", "img4", "img5"} {
			o.Images.Add(image, struct{}{})
		}
		c.fill(o) // no free resources for now
	}
	j := submit(2)
	if os := c.StartTasksOn(m); len(os) != 0 {
		t.Errorf("started %v on a machine without the image", os)
	}
	c.engine.Now = c.engine.Now.Add(imageLocalityWait)
	if c.StartTasksOn(m); j.Waiting != 0 {
		t.Errorf("%d tasks are still pending after imageLocalityWait, want 0", j.Waiting)
	}
}

// TestManySmallBehindLarge guards against scanning the timeline once for each of hundreds of small
// jobs that would delay a larger one.
func TestManySmallBehindLarge(t *testing.T) {
	cost := func(small int) time.Duration {
		rng := rand.New(rand.NewPCG(1, 2))
		c := newCluster(3)
		m := c.machines[2]
		c.fill(m)
		for _, r := range m.Attempts[:4] {
			c.Deallocate(r) // frees four CPUs; the large job needs all of them
		}
		for _, x := range c.machines[:2] {
			x.Quarantined = true
		}
		add := func(i int, cpus float64, submitted time.Duration) {
			j := c.newJob(i, 1, rng)
			j.Spec.CPUs, j.Spec.HasDeadline, j.Spec.Class, j.Spec.Image, j.Spec.Runtime = cpus, false, "x", "img0", time.Hour
			j.Need, j.Submitted, j.AnyCompleted = j.Spec.TaskResources(), t0.Add(submitted), true
			c.Reserve(j)
		}
		m.Images.Add("img0", struct{}{})
		c.engine.Now = t0
		add(1, 32, -time.Minute)
		for i := range small {
			add(100+i, 1+float64(i%7)/10, time.Duration(i)*time.Millisecond)
		}
		best := time.Hour
		for range 20 {
			began := time.Now()
			c.StartTasksOn(m)
			best = min(best, time.Since(began))
		}
		return best
	}
	if few, many := cost(20), cost(400); many > 60*few {
		t.Errorf("StartTasksOn takes %v with 20 small jobs in the queue and %v with 400, want at most 60 times as long", few, many)
	} else {
		t.Log(few, many)
	}
}
