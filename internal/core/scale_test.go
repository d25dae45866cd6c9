package core

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/config"
	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/kv"
	"yewpass/internal/policy"
	"yewpass/internal/provider"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
)

var t0 = time.Unix(1_900_000_000, 0)

// newLeader returns a leader with n reporting machines of three instance types.
func newLeader(tb testing.TB, n int) *Core {
	tb.Helper()
	return newLeaderInTerm(tb, n, 1)
}

// newLeaderInTerm is newLeader in a given term.
func newLeaderInTerm(tb testing.TB, n int, term uint64) *Core {
	tb.Helper()
	cfg := &config.Config{HostName: "n0"}
	s := &cfg.Settings
	s.Workers = config.Workers{Report: 5, Lease: 29, Cancel: 54}
	s.State = config.State{RPS: 250, WriteRPS: 60, ValueKB: 16, TxnOps: 12}
	s.Cloud = config.Cloud{RPS: 10, ListLag: 4}
	s.Teams = []config.Team{{Name: "t", CPUs: 100}}
	s.Objectives = []config.Objective{{Kind: "finished", Class: "c", Within: 200}, {Kind: "wait", Class: "u", Within: 6}}
	pol, err := policy.Parse(nil)
	if err != nil {
		tb.Fatal(err)
	}
	c := New(cfg, pol, calendar.NewSet(nil), 7)
	c.Now = t0
	c.becomeLeader(term, 1, 1, t0, 0)
	c.Outputs = nil
	l := c.leadership
	l.loaded, l.placement.EstimateMargin, l.expiresAt = true, 0.15, t0.Add(1000*time.Hour)
	for i, cpus := range []float64{4, 8, 32} {
		l.autoscaler.InstanceTypes = append(l.autoscaler.InstanceTypes, provider.InstanceType{Name: fmt.Sprint("f", i), Capacity: timeline.Capacity(cpus, 0, 4*cpus), CPUs: cpus, ImageGBps: 0.4, OnDemandRate: cpus, SpotRate: cpus / 3, BootTime: 20 * time.Second, Zones: []string{"a"}})
	}
	l.autoscaler.CatalogLoaded = true
	for i := range n {
		m := c.leadership.inventory.Ensure(fmt.Sprintf("host-%06d", i), fmt.Sprint("f", i%3), "a", true)
		m.Reported, m.Record, m.Incarnation, m.FencingToken, m.LastHeartbeat = true, fleet.Recorded, 1, 1, t0
	}
	return c
}

// newJob adds a queued job with random needs, without reserving capacity for it.
func newJob(c *Core, id int, tasks int, rng *rand.Rand) *fleet.Job {
	spec := spec.Job{ID: fmt.Sprintf("wk-%06d", id), Class: "c", Owner: "t", Urgency: spec.Standard, Tasks: tasks, CPUs: float64(1 + rng.IntN(4)), MemGB: 1,
		Image: fmt.Sprint("img", rng.IntN(6)), ImageGB: 1, AllowSpot: true, Runtime: time.Duration(10+rng.IntN(60)) * time.Second}
	if rng.IntN(2) == 0 {
		spec.Class, spec.HasDeadline, spec.Deadline = "u", true, time.Duration(5+rng.IntN(200))*time.Second
	}
	j := c.leadership.lifecycle.Add(&record.Job{Spec: spec, Submitted: c.Now.Round(0)}, false)
	for i := range tasks {
		j.Pending.Add(i)
		j.Waiting++
	}
	return j
}

// benchmarkFleetSizes runs a benchmark with several numbers of machines and waiting jobs.
func benchmarkFleetSizes(b *testing.B, f func(b *testing.B, c *Core, rng *rand.Rand)) {
	for _, machines := range []int{100, 1200, 5200} {
		for _, jobs := range []int{5, 200} {
			b.Run(fmt.Sprintf("machines=%d/jobs=%d", machines, jobs), func(b *testing.B) {
				rng := rand.New(rand.NewPCG(1, 2))
				c := newLeader(b, machines)
				for _, m := range c.leadership.inventory.Machines() { // leaves no free capacity
					c.fillMachine(m)
				}
				for i := range jobs {
					c.leadership.placement.Reserve(newJob(c, 1000+i, 100, rng))
				}
				b.ReportAllocs()
				b.ResetTimer()
				f(b, c, rng)
			})
		}
	}
}

func (c *Core) fillMachine(m *fleet.Machine) {
	j := c.leadership.jobs["wk-1"]
	if j == nil {
		j = c.leadership.lifecycle.Add(&record.Job{Spec: spec.Job{ID: "wk-1", Class: "r", Owner: "t", Tasks: spec.MaxTasks, CPUs: 1, MemGB: 1, Image: "img0", AllowSpot: true, Runtime: time.Minute}, Submitted: t0}, false)
		j.AnyCompleted = true
	}
	for range m.FreeResources().CPU / 1000 {
		r := &fleet.Attempt{ID: heartbeat.TaskID{Job: "wk-1", Index: len(j.Attempts)}, Number: uint64(len(j.Attempts) + 1), Machine: m, Phase: heartbeat.Running, OrderedAt: c.Now, StartedAt: c.Now}
		m.Attempts = append(m.Attempts, r)
		c.leadership.placement.Allocate(r, j)
	}
}

// nextReport returns the next heartbeat of a machine with its attempts unchanged.
func nextReport(m *fleet.Machine) heartbeat.Report {
	r := heartbeat.Report{Host: m.Host, Address: m.Address, InstanceType: m.TypeName, Zone: m.Zone, Spot: true, Incarnation: m.Incarnation, Counter: m.Counter + 1, FencingToken: 1}
	for _, x := range m.Attempts {
		r.Tasks = append(r.Tasks, heartbeat.Task{ID: x.ID, Attempt: x.Number, Phase: x.Phase})
	}
	return r
}

func BenchmarkHeartbeat(b *testing.B) {
	benchmarkFleetSizes(b, func(b *testing.B, c *Core, _ *rand.Rand) {
		for i := range b.N {
			m := c.leadership.inventory.Machines()[i%len(c.leadership.inventory.Machines())]
			c.Step(t0.Add(time.Duration(i)*time.Microsecond), heartbeat.Received{Ref: uint64(i), Report: nextReport(m)})
		}
	})
}

func BenchmarkReserveJobArray(b *testing.B) {
	benchmarkFleetSizes(b, func(b *testing.B, c *Core, rng *rand.Rand) {
		j := newJob(c, 1, 1800, rng)
		for range b.N {
			c.leadership.placement.Reserve(j)
			c.leadership.placement.DropReservations(j)
		}
	})
}

func BenchmarkJobStatus(b *testing.B) {
	benchmarkFleetSizes(b, func(b *testing.B, c *Core, _ *rand.Rand) {
		for i := range b.N {
			c.Step(t0, request.Request{Ref: uint64(i), Op: request.Get, ID: "wk-001000"})
		}
	})
}

func BenchmarkFleetTick(b *testing.B) {
	benchmarkFleetSizes(b, func(b *testing.B, c *Core, _ *rand.Rand) {
		for range b.N {
			c.Outputs = c.Outputs[:0]
			c.tickFleet()
		}
	})
}

// BenchmarkFailover loads the records of a fleet and handles the first heartbeat of every machine.
func BenchmarkFailover(b *testing.B) {
	for _, machines := range []int{100, 1200, 5200} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			former := newLeader(b, machines)
			var entries []kv.Entry
			for i := range 200 {
				j := newJob(former, i, 100, rng)
				entries = append(entries, kv.Entry{Key: record.JobPrefix + j.Spec.ID, Value: j.Record, Rev: 1})
			}
			rec := &record.Machines{}
			for _, m := range former.leadership.inventory.Machines() {
				former.fillMachine(m)
				rec.Machines = append(rec.Machines, record.Machine{Host: m.Host, InstanceType: m.TypeName, Zone: m.Zone, Spot: true})
			}
			entries = append(entries, kv.Entry{Key: record.MachinePrefix + "1-1", Value: rec, Rev: 1})
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				c := newLeader(b, 0)
				for _, e := range entries {
					c.loadRecord(e)
				}
				c.startTermWork()
				for i, m := range former.leadership.inventory.Machines() {
					c.Step(t0, heartbeat.Received{Ref: uint64(i), Report: nextReport(m)})
				}
			}
		})
	}
}

// loadSchedule loads a schedule that is due at a time of day into a leader.
func loadSchedule(tb testing.TB, c *Core, i int, at string) {
	tb.Helper()
	file := fmt.Sprintf(`{"name":"s%05d","zone":"Europe/Sofia","rule":"FREQ=MONTHLY;BYMONTHDAY=-1","at":["%s"],"due_at":"06:00","job":{"jobclass":"c","owner":"t",
"shape":"array","urgency":"urgent","shards":16,"vcpus":1,"gpus":0,"memGb":1,"bundle":"img","sizeGb":1,"samePlace":false,"apart":false,"reclaimable":true,
"runtimeS":60,"snapshotEveryS":0,"snapshotS":0}}`, i, at)
	rec := &schedule.Record{Number: uint64(i + 1), Seq: 1, File: []byte(file), Cursor: schedule.Cursor{Nominal: t0.UTC()}}
	for range schedule.HistoryLength {
		rec.AddOccurrence(schedule.Entry{Job: schedule.JobID(rec.Number, t0), Planned: t0, Deadline: t0, Made: t0, Started: t0, Ended: t0, State: schedule.StateDone})
	}
	name := fmt.Sprintf("s%05d", i)
	outputs := len(c.Outputs)
	c.leadership.recurring.LoadRecord(kv.Entry{Key: record.SchedulePrefix + name, Value: rec, Rev: 1})
	if !c.leadership.recurring.Has(name) {
		tb.Fatal("the schedule is not loaded")
	}
	for _, output := range c.Outputs[outputs:] {
		if entry, ok := output.(engine.LogEntry); ok && entry.Text == "schedule disabled" {
			tb.Fatal(entry.Attrs...)
		}
	}
}

// BenchmarkScheduleTick measures the leader's periodic work and the memory per schedule.
func BenchmarkScheduleTick(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for _, n := range []int{0, 100, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newLeader(b, 100)
			before := heap()
			for i := range n {
				loadSchedule(b, c, i, fmt.Sprintf("%02d:%02d", i%24, i%60))
			}
			c.Outputs = nil
			heapGrowth := heap() - before
			for b.Loop() {
				c.tickFleet()
				c.leadership.recurring.Tick()
				c.leadership.writes.Flush()
				c.Outputs = c.Outputs[:0]
			}
			b.ReportMetric(float64(heapGrowth)/float64(max(n, 1)), "bytes/schedule")
		})
	}
}
