package core

import (
	"math/rand/v2"
	"testing"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/quota"
	"yewpass/internal/timeline"
)

// TestFoundMidway: what a new leader finds running began long ago for all it knows. It
// tells nothing of how long tasks take, and is not stopped as hardly begun.
func TestFoundMidway(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, phase := range []heartbeat.Phase{heartbeat.Pulling, heartbeat.Running} {
		c := leaderOf(t, 1)
		c.leadership.teams["u"] = &quota.Account{Guaranteed: timeline.Capacity(100, 0, 0)}
		c.leadership.teams["t"].Guaranteed = timeline.Resources{}
		m := c.leadership.inventory.Machines()[0]
		long := newJob(c, 1, 1, rng)
		long.Spec.CPUs, long.Spec.Runtime = 4, 10*time.Minute
		long.Need = long.Spec.TaskResources()
		rep := reportOf(m)
		rep.Tasks = []heartbeat.Task{{ID: heartbeat.TaskID{Job: long.Spec.ID}, Attempt: 1, Phase: phase}}
		c.leadership.reconciler.Reconcile(m, &rep)
		rep.Counter++
		rep.Tasks = []heartbeat.Task{{ID: heartbeat.TaskID{Job: long.Spec.ID}, Attempt: 1, Phase: heartbeat.Running}}
		c.leadership.reconciler.Reconcile(m, &rep)
		waits := newJob(c, 2, 1, rng)
		waits.Spec.Owner, waits.Team = "u", c.leadership.teams["u"]
		waits.Submitted = t0.Add(-time.Minute)
		c.leadership.placement.Reserve(waits)
		c.preemptForGuarantees()
		if stopped := m.Attempts[0].StopRequested; stopped != (phase == heartbeat.Pulling) {
			t.Errorf("found %s: stopped %v", phase, stopped)
		}
		c.Now = c.Now.Add(3 * time.Second)
		rep.Counter++
		rep.Tasks[0] = heartbeat.Task{ID: heartbeat.TaskID{Job: long.Spec.ID}, Attempt: 1, Phase: heartbeat.Exited, Cause: heartbeat.CauseDone}
		c.leadership.reconciler.Reconcile(m, &rep)
		if seen := c.leadership.placement.HasRuntimes(&long.Spec); seen != (phase == heartbeat.Pulling) {
			t.Errorf("found %s: counts for estimates %v", phase, seen)
		}
	}
}
