package placement

import (
	"testing"
	"time"

	"yewpass/internal/fleet"
)

// tick is the period of RefreshDueReservations.
const tick = 500 * time.Millisecond

// TestRefreshLimit checks that one period visits a bounded number of machines, and that a refreshed
// job is not refreshed again in the next period.
func TestRefreshLimit(t *testing.T) {
	for machines, want := range map[int]int{100: maxRefreshedJobs, 700: 14, 1300: 7, 2600: 3, 20000: 2} {
		c := newCluster(1)
		c.cfg.Settings.Limits.CPUShare = 0.168
		c.machines = make([]*fleet.Machine, machines)
		if n := c.refreshLimit(tick); n != want {
			t.Errorf("%d machines: limit of %d jobs, want %d", machines, n, want)
		}
	}
	c := newCluster(4)
	rng := testRand()
	for i := range 40 {
		j := c.newJob(i, 50, rng)
		c.Reserve(j)
	}
	c.engine.Now = c.engine.Now.Add(time.Hour) // all reservations are due
	refreshed := func() (n int) {
		for _, j := range c.jobs {
			if j.LastRefreshed.Equal(c.engine.Now) {
				n++
			}
		}
		return n
	}
	c.refresh(10)
	if n := refreshed(); n != 10 {
		t.Fatalf("refreshed %d jobs, want 10", n)
	}
	first := map[*fleet.Job]bool{}
	for _, j := range c.jobs {
		first[j] = j.LastRefreshed.Equal(c.engine.Now)
	}
	c.engine.Now = c.engine.Now.Add(tick)
	c.refresh(10)
	for j, was := range first {
		if was && j.LastRefreshed.Equal(c.engine.Now) {
			t.Errorf("job %s was refreshed again in the next period", j.Spec.ID)
		}
	}
}

// TestRefreshInterval checks that a job without an eligible machine, whose reservation is always
// due, is refreshed at most once per refreshInterval.
func TestRefreshInterval(t *testing.T) {
	c := newCluster(1)
	c.machines[0].Quarantined = true
	j := c.newJob(1, 5, testRand())
	c.Reserve(j)
	if len(j.Reservations) != 1 || j.Reservations[0].Machine != nil {
		t.Fatalf("%d reservations, want 1 without a machine", len(j.Reservations))
	}
	for _, step := range []struct {
		after     time.Duration
		refreshed bool
	}{{time.Hour, true}, {tick, false}, {refreshInterval - tick, false}, {1, true}} {
		c.engine.Now = c.engine.Now.Add(step.after)
		if c.refresh(10); j.LastRefreshed.Equal(c.engine.Now) != step.refreshed {
			t.Errorf("%v later: refreshed %v, want %v", step.after, !step.refreshed, step.refreshed)
		}
	}
}
