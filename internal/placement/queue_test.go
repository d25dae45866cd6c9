package placement

import (
	"testing"
	"time"

	"yewpass/internal/fleet"
)

// tick is how often the leader looks for new slots.
const tick = 500 * time.Millisecond

// TestRereserveLimit: looking for new slots takes a bounded part of the processor share,
// whatever the fleet and the queue, and each job has its turn only once in a while.
func TestRereserveLimit(t *testing.T) {
	for machines, want := range map[int]int{100: maxRefreshedJobs, 700: 14, 1300: 7, 2600: 3, 20000: 2} {
		c := newCluster(1)
		c.cfg.Settings.Limits.CPUShare = 0.168
		c.machines = make([]*fleet.Machine, machines)
		if n := c.refreshLimit(tick); n != want {
			t.Errorf("%d machines: %d jobs at a time, not %d", machines, n, want)
		}
	}
	c := newCluster(4)
	rng := testRand()
	for i := range 40 {
		j := c.newJob(i, 50, rng)
		c.Reserve(j)
	}
	c.engine.Now = c.engine.Now.Add(time.Hour) // all is due
	looked := func() (n int) {
		for _, j := range c.jobs {
			if j.LastRefreshed.Equal(c.engine.Now) {
				n++
			}
		}
		return n
	}
	c.refreshReservations(10)
	if n := looked(); n != 10 {
		t.Fatalf("%d jobs are looked at", n)
	}
	first := map[*fleet.Job]bool{}
	for _, j := range c.jobs {
		first[j] = j.LastRefreshed.Equal(c.engine.Now)
	}
	c.engine.Now = c.engine.Now.Add(tick)
	c.refreshReservations(10)
	for j, was := range first {
		if was && j.LastRefreshed.Equal(c.engine.Now) {
			t.Errorf("job %s is looked at again at once", j.Spec.ID)
		}
	}
}

// TestRereserveInterval: a job that stays without a machine is due all the time, and has its
// turn once in an interval.
func TestRereserveInterval(t *testing.T) {
	c := newCluster(1)
	c.machines[0].Quarantined = true
	j := c.newJob(1, 5, testRand())
	c.Reserve(j)
	if len(j.Reservations) != 1 || j.Reservations[0].Machine != nil {
		t.Fatalf("%d reservations, and there is no machine", len(j.Reservations))
	}
	for _, step := range []struct {
		after  time.Duration
		looked bool
	}{{time.Hour, true}, {tick, false}, {refreshInterval - tick, false}, {1, true}} {
		c.engine.Now = c.engine.Now.Add(step.after)
		if c.refreshReservations(10); j.LastRefreshed.Equal(c.engine.Now) != step.looked {
			t.Errorf("%v later: looked at %v, want %v", step.after, !step.looked, step.looked)
		}
	}
}
