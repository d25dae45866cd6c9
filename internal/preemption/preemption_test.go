package preemption

import (
	"testing"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/provider"
	"yewpass/internal/quota"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
)

var now = time.Unix(1_900_000_000, 0)

// cluster returns the state of a full machine with 8 CPUs. A team without a guarantee runs the
// given tasks of 2 CPUs each, and a job of another team waits for 4 guaranteed CPUs.
func cluster(t *testing.T, running ...*fleet.Attempt) *State {
	t.Helper()
	m := &fleet.Machine{}
	m.Host, m.Reported, m.InstanceType = "h", true, &provider.InstanceType{}
	m.Timeline = timeline.New(timeline.Capacity(8, 0, 0))
	borrower := &quota.Account{}
	for _, r := range running {
		r.Need, r.HoldsResources, r.Phase, r.Machine = timeline.Capacity(2, 0, 0), true, heartbeat.Running, m
		r.Job.Team = borrower
		m.Attempts = append(m.Attempts, r)
		m.Allocated = m.Allocated.Add(r.Need, 1)
		borrower.Allocated = borrower.Allocated.Add(r.Need, 1)
	}
	owner := &quota.Account{Guaranteed: timeline.Capacity(4, 0, 0)}
	waits := &fleet.Job{Team: owner, Need: timeline.Capacity(1, 0, 0), Submitted: now.Add(-time.Minute)}
	waits.Reserved = 6
	return &State{
		Now: now, Queue: fleet.Queue{waits}, Machines: []*fleet.Machine{m},
		MayStart: func(*fleet.Job) bool { return true },
		Estimate: func(j *fleet.Job) time.Duration { return j.Spec.Runtime },
	}
}

func attempt(ran time.Duration, s spec.Job) *fleet.Attempt {
	return &fleet.Attempt{StartedAt: now.Add(-ran), Job: &fleet.Job{Spec: s}}
}

func TestPlan(t *testing.T) {
	long := spec.Job{Runtime: time.Hour}
	saves := spec.Job{Runtime: time.Hour, CheckpointInterval: time.Minute, CheckpointTime: 2 * time.Second}
	for _, x := range []struct {
		name    string
		running []*fleet.Attempt
		change  func(*State)
		want    []int // indexes of the attempts to preempt, in order
	}{
		{"the least loss first", []*fleet.Attempt{attempt(20*time.Second, long), attempt(time.Minute, saves), attempt(time.Second, long), attempt(time.Minute, saves)}, nil, []int{2, 1}},
		{"nearly finished tasks are not preempted", []*fleet.Attempt{attempt(time.Minute, spec.Job{Runtime: 2 * time.Minute}), attempt(0, spec.Job{Service: true}), attempt(time.Minute, spec.Job{Runtime: 2 * time.Minute}), attempt(time.Minute, spec.Job{Runtime: 2 * time.Minute})}, nil, []int{1}},
		{"enough free resources", []*fleet.Attempt{attempt(0, long), attempt(0, long)}, nil, nil},
		{"half is being freed", []*fleet.Attempt{attempt(0, long), attempt(0, long), attempt(0, long), attempt(0, long)},
			func(c *State) { c.Machines[0].Attempts[0].StopRequested = true }, []int{1}},
		{"start time unknown", []*fleet.Attempt{attempt(0, long), attempt(0, long), attempt(0, long), attempt(0, long)},
			func(c *State) { c.Machines[0].Attempts[1].StartTimeUnknown = true }, []int{0, 2}},
		{"within the grace period", []*fleet.Attempt{attempt(0, long), attempt(0, long), attempt(0, long), attempt(0, long)},
			func(c *State) { c.Queue[0].Submitted = now.Add(-guaranteeGrace + 1) }, nil},
		{"the waiting job may not start", []*fleet.Attempt{attempt(0, long), attempt(0, long), attempt(0, long), attempt(0, long)},
			func(c *State) { c.MayStart = func(*fleet.Job) bool { return false } }, nil},
		{"no more than the excess over the guarantee", []*fleet.Attempt{attempt(0, long), attempt(0, long), attempt(0, long), attempt(0, long)},
			func(c *State) { c.Machines[0].Attempts[0].Job.Team.Guaranteed = timeline.Capacity(5, 0, 0) }, []int{0}},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := cluster(t, x.running...)
			if x.change != nil {
				x.change(c)
			}
			plan := Plan(c)
			if len(plan) != len(x.want) {
				t.Fatalf("%d preemptions, want %d", len(plan), len(x.want))
			}
			for i, p := range plan {
				if p.Attempt != x.running[x.want[i]] {
					t.Errorf("preemption %d is not of attempt %d", i, x.want[i])
				}
				drain := time.Duration(0)
				if s := p.Attempt.Job.Spec; s.CheckpointInterval > 0 {
					drain = s.CheckpointTime + time.Second
				}
				if p.DrainTime != drain {
					t.Errorf("preemption %d: drain time %v, want %v", i, p.DrainTime, drain)
				}
			}
		})
	}
}
