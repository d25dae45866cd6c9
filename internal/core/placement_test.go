package core

import (
	"math/rand/v2"
	"testing"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/quota"
	"yewpass/internal/timeline"
)

// TestTasksFoundByNewLeader checks that a task that a new leader finds running has an unknown
// start: it is not used for runtime estimates and not preempted as recently started.
func TestTasksFoundByNewLeader(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, phase := range []heartbeat.Phase{heartbeat.Pulling, heartbeat.Running} {
		c := newLeader(t, 1)
		c.leadership.teams["u"] = &quota.Account{Guaranteed: timeline.Capacity(100, 0, 0)}
		c.leadership.teams["t"].Guaranteed = timeline.Resources{}
		m := c.leadership.inventory.Machines()[0]
		running := newJob(c, 1, 1, rng)
		running.Spec.CPUs, running.Spec.Runtime = 4, 10*time.Minute
		running.Need = running.Spec.TaskResources()
		rep := nextReport(m)
		rep.Tasks = []heartbeat.Task{{ID: heartbeat.TaskID{Job: running.Spec.ID}, Attempt: 1, Phase: phase}}
		c.leadership.reconciler.Reconcile(m, &rep)
		rep.Counter++
		rep.Tasks = []heartbeat.Task{{ID: heartbeat.TaskID{Job: running.Spec.ID}, Attempt: 1, Phase: heartbeat.Running}}
		c.leadership.reconciler.Reconcile(m, &rep)
		waiting := newJob(c, 2, 1, rng)
		waiting.Spec.Owner, waiting.Team = "u", c.leadership.teams["u"]
		waiting.Submitted = t0.Add(-time.Minute)
		c.leadership.placement.Reserve(waiting)
		c.preemptForGuarantees()
		if stopped := m.Attempts[0].StopRequested; stopped != (phase == heartbeat.Pulling) {
			t.Errorf("found in phase %s: stop requested %v, want it only in phase pulling", phase, stopped)
		}
		c.Now = c.Now.Add(3 * time.Second)
		rep.Counter++
		rep.Tasks[0] = heartbeat.Task{ID: heartbeat.TaskID{Job: running.Spec.ID}, Attempt: 1, Phase: heartbeat.Exited, Cause: heartbeat.CauseDone}
		c.leadership.reconciler.Reconcile(m, &rep)
		if recorded := c.leadership.placement.HasRuntimes(&running.Spec); recorded != (phase == heartbeat.Pulling) {
			t.Errorf("found in phase %s: runtime recorded %v, want it only in phase pulling", phase, recorded)
		}
	}
}
