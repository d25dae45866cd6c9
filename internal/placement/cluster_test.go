package placement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/liveconfig"
	"yewpass/internal/provider"
	"yewpass/internal/quota"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
	"yewpass/internal/topology"
	"yewpass/internal/zones"
)

var t0 = time.Unix(1_900_000_000, 0)

// cluster is a scheduler together with its machines, jobs and teams. It implements Leader.
type cluster struct {
	*Scheduler
	engine   *engine.Engine
	cfg      *config.Config
	machines []*fleet.Machine
	jobs     map[string]*fleet.Job
	teams    map[string]*quota.Account
}

func (c *cluster) IsActive() bool                    { return true }
func (c *cluster) Machines() []*fleet.Machine        { return c.machines }
func (c *cluster) IsUnaccounted(string) bool         { return false }
func (c *cluster) UnaccountedCount() int             { return 0 }
func (c *cluster) RequestDispatchAll()               {}
func (c *cluster) Backlog() (time.Duration, float64) { return 0, 0 }

// newCluster returns a cluster of n machines of three types that all send heartbeats.
func newCluster(n int) *cluster {
	cfg := &config.Config{HostName: "n0"}
	cfg.Settings.Workers = config.Workers{Report: 5, Lease: 29, Cancel: 54}
	cfg.Settings.Objectives = []config.Objective{{Kind: "finished", Class: "c", Within: 200}, {Kind: "wait", Class: "u", Within: 6}}
	e := engine.New(testRand(), 1)
	e.Now = t0
	c := &cluster{engine: e, cfg: cfg, jobs: map[string]*fleet.Job{}, teams: map[string]*quota.Account{}}
	c.teams["t"] = quota.New(liveconfig.Team{Name: "t", CPUs: 100})
	c.Scheduler = New(e, e.NewScope(), cfg, c, 1)
	c.EstimateMargin, c.AnyGuarantee = 0.15, true
	var types []*provider.InstanceType
	for i, cpus := range []float64{4, 8, 32} {
		types = append(types, &provider.InstanceType{Name: fmt.Sprint("f", i), Capacity: timeline.Capacity(cpus, 0, 4*cpus), CPUs: cpus, ImageGBps: 0.4, OnDemandRate: cpus, SpotRate: cpus / 3, BootTime: 20 * time.Second, Zones: []string{"a"}})
	}
	zone := &zones.Zone{Name: "a"}
	for i := range n {
		f := types[i%3]
		m := fleet.NewMachine(fleet.Identity{Host: fmt.Sprintf("host-%06d", i), TypeName: f.Name, Zone: "a", Spot: true, InstanceType: f, ZoneState: zone}, t0)
		m.Timeline = timeline.New(f.Capacity)
		m.Reported, m.Record, m.Incarnation, m.FencingToken, m.LastHeartbeat = true, fleet.Recorded, 1, 1, t0
		c.machines = append(c.machines, m)
	}
	return c
}

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// addJob adds a job without pending tasks.
func (c *cluster) addJob(job spec.Job) *fleet.Job {
	j := &fleet.Job{
		Spec: job, Need: job.TaskResources(), Submitted: c.engine.Now, Team: c.teams[job.Owner], LatencySensitive: c.IsLatencySensitive(job.Class),
		Progress: fleet.NewProgress(job.Tasks), FailureHistory: fleet.NewFailureHistory(),
		Placement: topology.Job{Key: job.ID, Tasks: job.Tasks},
	}
	c.jobs[job.ID] = j
	return j
}

// newJob adds a random job with all tasks pending and no reservations.
func (c *cluster) newJob(id, tasks int, rng *rand.Rand) *fleet.Job {
	job := spec.Job{
		ID: fmt.Sprintf("wk-%06d", id), Class: "c", Owner: "t", Urgency: spec.Standard, Tasks: tasks, CPUs: float64(1 + rng.IntN(4)), MemGB: 1,
		Image: fmt.Sprint("img", rng.IntN(6)), ImageGB: 1, AllowSpot: true, Runtime: time.Duration(10+rng.IntN(60)) * time.Second,
	}
	if rng.IntN(2) == 0 {
		job.Class, job.HasDeadline, job.Deadline = "u", true, time.Duration(5+rng.IntN(200))*time.Second
	}
	j := c.addJob(job)
	for i := range tasks {
		j.Pending.Add(i)
		j.Waiting++
	}
	return j
}

// fill runs single-CPU tasks on all free CPUs of a machine.
func (c *cluster) fill(m *fleet.Machine) {
	j := c.jobs["wk-1"]
	if j == nil {
		j = c.addJob(spec.Job{ID: "wk-1", Class: "r", Owner: "t", Tasks: spec.MaxTasks, CPUs: 1, MemGB: 1, Image: "img0", AllowSpot: true, Runtime: time.Minute})
		j.AnyCompleted = true
	}
	for range m.FreeResources().CPU / 1000 {
		a := &fleet.Attempt{ID: heartbeat.TaskID{Job: "wk-1", Index: len(j.Attempts)}, Number: uint64(len(j.Attempts) + 1), Machine: m, Phase: heartbeat.Running, OrderedAt: t0, StartedAt: t0}
		m.Attempts = append(m.Attempts, a)
		c.Allocate(a, j)
	}
}
