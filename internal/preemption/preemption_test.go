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

// cluster returns a full machine of 8 CPUs on which a team without a guarantee runs tasks of
// 2 CPUs, and a job of another team that waits for 4 CPUs of its guarantee.
func cluster(t *testing.T, running ...*fleet.Attempt) *Cluster {
	t.Helper()
	m := &fleet.Machine{}
	m.Host, m.Reported, m.InstanceType = "h", true, &provider.InstanceType{}
	m.Timeline = timeline.New(timeline.Capacity(8, 0, 0))
	borrower := &quota.Account{}
	for _, r := range running {
		r.Need, r.Occupies, r.Phase, r.Machine = timeline.Capacity(2, 0, 0), true, heartbeat.Running, m
		r.Job.Team = borrower
		m.Attempts = append(m.Attempts, r)
		m.Allocated = m.Allocated.Add(r.Need, 1)
		borrower.Allocated = borrower.Allocated.Add(r.Need, 1)
	}
	owner := &quota.Account{Guaranteed: timeline.Capacity(4, 0, 0)}
	waits := &fleet.Job{Team: owner, Need: timeline.Capacity(1, 0, 0), Submitted: now.Add(-time.Minute)}
	waits.Reserved = 6
	return &Cluster{
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
		change  func(*Cluster)
		want    []int // of the running attempts, in order
	}{
		{"the least loss first", []*fleet.Attempt{attempt(20*time.Second, long), attempt(time.Minute, saves), attempt(time.Second, long), attempt(time.Minute, saves)}, nil, []int{2, 1}},
		{"nearly done goes on", []*fleet.Attempt{attempt(time.Minute, spec.Job{Runtime: 2 * time.Minute}), attempt(0, spec.Job{Service: true}), attempt(time.Minute, spec.Job{Runtime: 2 * time.Minute}), attempt(time.Minute, spec.Job{Runtime: 2 * time.Minute})}, nil, []int{1}},
		{"room is free", []*fleet.Attempt{attempt(0, long), attempt(0, long)}, nil, nil},
		{"half is being vacated", []*fleet.Attempt{attempt(0, long), attempt(0, long), attempt(0, long), attempt(0, long)},
			func(c *Cluster) { c.Machines[0].Attempts[0].StopRequested = true }, []int{1}},
		{"found running", []*fleet.Attempt{attempt(0, long), attempt(0, long), attempt(0, long), attempt(0, long)},
			func(c *Cluster) { c.Machines[0].Attempts[1].FoundRunning = true }, []int{0, 2}},
		{"within the grace time", []*fleet.Attempt{attempt(0, long), attempt(0, long), attempt(0, long), attempt(0, long)},
			func(c *Cluster) { c.Queue[0].Submitted = now.Add(-guaranteeGrace + 1) }, nil},
		{"a job that may not start", []*fleet.Attempt{attempt(0, long), attempt(0, long), attempt(0, long), attempt(0, long)},
			func(c *Cluster) { c.MayStart = func(*fleet.Job) bool { return false } }, nil},
		{"no more than is borrowed", []*fleet.Attempt{attempt(0, long), attempt(0, long), attempt(0, long), attempt(0, long)},
			func(c *Cluster) { c.Machines[0].Attempts[0].Job.Team.Guaranteed = timeline.Capacity(5, 0, 0) }, []int{0}},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := cluster(t, x.running...)
			if x.change != nil {
				x.change(c)
			}
			stops := Plan(c)
			if len(stops) != len(x.want) {
				t.Fatalf("%d stops, want %d", len(stops), len(x.want))
			}
			for i, stop := range stops {
				if stop.Attempt != x.running[x.want[i]] {
					t.Errorf("stop %d is not of attempt %d", i, x.want[i])
				}
				drain := time.Duration(0)
				if s := stop.Attempt.Job.Spec; s.CheckpointInterval > 0 {
					drain = s.CheckpointTime + time.Second
				}
				if stop.DrainTime != drain {
					t.Errorf("stop %d: drains for %v, want %v", i, stop.DrainTime, drain)
				}
			}
		})
	}
}
