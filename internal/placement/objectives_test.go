package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/fleet"
	"yewpass/internal/spec"
)

// TestObjectives checks that a "deadline" objective adds a multiple of the user's deadline, and
// that a "finished" objective adds an early deadline except for idle jobs.
func TestObjectives(t *testing.T) {
	c := newCluster(1)
	c.cfg.Settings.Objectives = []config.Objective{{Kind: "deadline", Class: "c", Times: 1.5}, {Kind: "finished", Class: "c", Within: 200}}
	j := c.newJob(1, 1, rand.New(rand.NewPCG(1, 1)))
	j.Spec.Class, j.Spec.HasDeadline, j.Spec.Deadline = "c", true, 100*time.Second
	for _, x := range []struct {
		urgency spec.Urgency
		want    []float64
	}{{spec.Standard, []float64{100, 150, 120, 200}}, {spec.Idle, []float64{100, 150, 200}}} {
		j.Spec.Urgency = x.urgency
		var got []float64
		c.forEachObjective(j, time.Second, func(a objective) {
			if !a.wholeJob {
				t.Error("objective does not apply to the whole job")
			}
			got = append(got, a.deadline.Sub(j.Submitted).Seconds())
		})
		if len(got) != len(x.want) {
			t.Fatalf("%v: objectives at %v s, want %v", x.urgency, got, x.want)
		}
		for i := range got {
			if got[i] != x.want[i] {
				t.Errorf("%v: objectives at %v s, want %v", x.urgency, got, x.want)
			}
		}
	}
	j.Spec.Urgency = spec.Standard
	if a, ok := c.nextObjectiveFrom(j, t0, t0.Add(120*time.Second), time.Second); !ok || a.deadline != j.Submitted.Add(150*time.Second) {
		t.Errorf("next objective after 120 s is at %v, want 150s", a.deadline.Sub(t0))
	}
}

// TestBestEffort checks that an idle job without objectives is queued behind late jobs.
func TestBestEffort(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	c := newCluster(1)
	c.fill(c.machines[0])
	add := func(id int, class string, urgency spec.Urgency) *fleet.Job {
		j := c.newJob(id, 1, rng)
		j.Spec.Class, j.Spec.HasDeadline, j.Spec.Urgency = class, false, urgency
		c.Reserve(j)
		return j
	}
	idle, regular := add(1, "x", spec.Idle), add(2, "x", spec.Standard)
	late := add(3, "c", spec.Idle)
	late.MissedObjectivesUntil = t0.Add(time.Hour)
	c.DropReservations(late)
	c.Reserve(late)
	if idle.QueueTime.Before(late.QueueTime) || !regular.QueueTime.Before(late.QueueTime) {
		t.Errorf("queue times: idle without objective %v, standard without objective %v, late %v", idle.QueueTime.Sub(t0), regular.QueueTime.Sub(t0), late.QueueTime.Sub(t0))
	}
}
