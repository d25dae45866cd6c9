package autoscaler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/provider"
	"yewpass/internal/quota"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
	"yewpass/internal/zones"
)

var start = time.Unix(1_900_000_000, 0)

// leader implements State and Inventory for tests.
type leader struct {
	machines    []*fleet.Machine
	queue       fleet.Queue
	zones       *zones.Watch
	maxMachines int
	started     []string
	released    []string
	dropped     int
}

func (l *leader) Machines() []*fleet.Machine          { return l.machines }
func (l *leader) Queue() fleet.Queue                  { return l.queue }
func (l *leader) Zone(name string) *zones.Zone        { return l.zones.Zone(name) }
func (l *leader) Estimate(j *fleet.Job) time.Duration { return j.Spec.Runtime }
func (l *leader) CanAct() bool                        { return true }
func (l *leader) MaxMachines() int                    { return l.maxMachines }
func (l *leader) Term() (term, era uint64)            { return 3, 0xa }
func (l *leader) InstanceTypesChanged()               {}
func (l *leader) InstanceStarted(host string, _ Offer, _ time.Time) {
	l.started = append(l.started, host)
}
func (l *leader) InstanceListed(provider.Instance) {}
func (l *leader) InstanceReleased(host string)     { l.released = append(l.released, host) }
func (l *leader) DropReservations(*fleet.Machine)  { l.dropped++ }
func (l *leader) Dispatch()                        {}

// newAutoscaler returns an autoscaler over a small and a large instance type in zones a and b.
func newAutoscaler(t *testing.T) (*Autoscaler, *leader) {
	t.Helper()
	l := &leader{zones: zones.New(zones.Settings{}), maxMachines: 1000}
	e := engine.New(rand.New(rand.NewPCG(1, 2)), 0)
	e.Begin(start)
	var types []provider.InstanceType
	for i, name := range []string{"small", "large"} {
		cpus := []float64{4, 32}[i]
		types = append(types, provider.InstanceType{Name: name, Capacity: timeline.Capacity(cpus, 0, 0), CPUs: cpus,
			OnDemandRate: cpus, SpotRate: cpus / 3, BootTime: 20 * time.Second, Zones: []string{"a", "b"}})
	}
	a := New(Config{Engine: e, Scope: e.NewScope(), State: l, Inventory: l, Teams: map[string]*quota.Account{}, InstanceTypes: types, CloudRPS: 100})
	return a, l
}

// addMachine adds a machine that has reported and uses some of its CPUs.
func (l *leader) addMachine(a *Autoscaler, typeName string, used float64) *fleet.Machine {
	m := &fleet.Machine{}
	m.Host, m.TypeName, m.Zone, m.Spot = fmt.Sprint("h", len(l.machines)), typeName, "a", true
	m.InstanceType, m.Reported, m.RentedAt = a.InstanceType(typeName), true, start.Add(-time.Hour)
	m.Timeline, m.Allocated = timeline.New(m.InstanceType.Capacity), timeline.Capacity(used, 0, 0)
	l.machines = append(l.machines, m)
	return m
}

// addJob adds a job of tasks of one CPU that wait without a machine.
func (l *leader) addJob(tasks int, runtime time.Duration, s spec.Job) *fleet.Job {
	s.Tasks, s.CPUs, s.Runtime = tasks, 1, runtime
	j := &fleet.Job{Spec: s, Need: s.Need(), Team: &quota.Account{}}
	j.Waiting = tasks
	j.Reservations = []*fleet.Reservation{{Job: j}}
	l.queue = append(l.queue, j)
	return j
}

// calls returns the requests to the cloud of a kind that were sent since the last look.
func calls(a *Autoscaler, op provider.Op) (list []provider.Request) {
	for _, o := range a.Outputs {
		if r, ok := o.(provider.Request); ok && r.Op == op {
			list = append(list, r)
		}
	}
	a.Outputs = nil
	return list
}

func TestScaleOut(t *testing.T) {
	for _, x := range []struct {
		name      string
		job       spec.Job
		change    func(*Autoscaler, *leader)
		wantTypes []string
		wantSpot  bool
	}{
		{name: "spot first", job: spec.Job{AllowSpot: true}, wantTypes: []string{"small", "large"}, wantSpot: true},
		{name: "on-demand where spot is not allowed", job: spec.Job{}, wantTypes: []string{"small", "large"}},
		{name: "the type that the job names", job: spec.Job{AllowSpot: true, InstanceTypes: []string{"large"}}, wantTypes: []string{"large"}, wantSpot: true},
		{name: "none beyond what the controllers serve", job: spec.Job{AllowSpot: true}, change: func(_ *Autoscaler, l *leader) { l.maxMachines = 0 }},
		{name: "none for a zone that is cut off", job: spec.Job{AllowSpot: true, Zone: "a"}, change: func(_ *Autoscaler, l *leader) { l.zones.Zone("a").State = zones.Lost }},
		{name: "none of an unknown catalog", job: spec.Job{AllowSpot: true}, change: func(a *Autoscaler, _ *leader) { a.InstanceTypes = nil }},
	} {
		t.Run(x.name, func(t *testing.T) {
			a, l := newAutoscaler(t)
			l.addJob(8, time.Hour, x.job)
			if x.change != nil {
				x.change(a, l)
			}
			a.ScaleOut(time.Minute, time.Hour)
			list := calls(a, provider.ScaleOut)
			if (len(list) > 0) != (x.wantTypes != nil) {
				t.Fatalf("%d requests: %+v", len(list), list)
			}
			for i, r := range list {
				known := false
				for _, name := range x.wantTypes {
					known = known || r.InstanceType == name
				}
				if !known || r.Spot != x.wantSpot {
					t.Errorf("request %d: %+v", i, r)
				}
			}
			if len(list) > 0 && list[0].IdempotencyKey != "t3-1-a" {
				t.Errorf("named %q", list[0].IdempotencyKey)
			}
		})
	}
}

// TestRequestOutcomes: a refused offer is left alone for a while, a lost response is followed
// by the same request, and what has started is taken in.
func TestRequestOutcomes(t *testing.T) {
	a, l := newAutoscaler(t)
	job := l.addJob(8, time.Hour, spec.Job{AllowSpot: true})
	job.Reservations[0].Machine = l.addMachine(a, "small", 4) // which is full
	request := func() provider.Request {
		t.Helper()
		a.ScaleOut(time.Minute, time.Hour)
		list := calls(a, provider.ScaleOut)
		if len(list) != 1 {
			t.Fatalf("%d requests", len(list))
		}
		return list[0]
	}
	first := request()
	a.HandleCloud(provider.Response{Ref: first.Ref, Outcome: rpc.Refused})
	second := request()
	if second.InstanceType == first.InstanceType && second.Zone == first.Zone {
		t.Errorf("refused, and requested again: %+v", second)
	}
	a.HandleCloud(provider.Response{Ref: second.Ref, Outcome: rpc.Unknown})
	if a.ScaleOut(time.Minute, time.Hour); len(calls(a, provider.ScaleOut)) > 0 {
		t.Error("a request whose outcome is unknown does not count")
	}
	a.Begin(start.Add(4 * time.Second))
	a.RunTimers()
	again := calls(a, provider.ScaleOut)
	if len(again) != 1 || again[0].IdempotencyKey != second.IdempotencyKey {
		t.Fatalf("sent again: %+v", again)
	}
	a.HandleCloud(provider.Response{Ref: again[0].Ref, Outcome: rpc.OK, Hosts: []string{"x", "y"}})
	if len(l.started) != 2 || a.requested() != 0 {
		t.Errorf("started %v, %d requested", l.started, a.requested())
	}
	job.Waiting = 0
	if a.UpdateLoad(); a.Backlog() != 0 {
		t.Errorf("a backlog of %v", a.Backlog())
	}
}

// TestScaleIn: the emptiest machine of the most expensive kind drains while the others have
// room, and none while work waits.
func TestScaleIn(t *testing.T) {
	a, l := newAutoscaler(t)
	full := l.addMachine(a, "small", 4)
	half := l.addMachine(a, "small", 2)
	empty := l.addMachine(a, "small", 0)
	l.addMachine(a, "large", 0)
	if a.ScaleIn(false); empty.Draining {
		t.Error("drains while machines are unaccounted for")
	}
	a.ScaleIn(true)
	if !empty.Draining || l.machines[3].Draining || full.Draining || half.Draining || l.dropped != 1 {
		t.Errorf("draining: %v %v %v, %d dropped", full.Draining, half.Draining, empty.Draining, l.dropped)
	}
	l.addJob(1000, time.Hour, spec.Job{AllowSpot: true})
	a.UpdateLoad()
	a.ScaleIn(true)
	for _, m := range l.machines {
		if m.Draining {
			t.Errorf("%s drains while work waits", m.Host)
		}
	}
}

// TestReleases: a release goes on until the cloud has confirmed it, once per machine.
func TestReleases(t *testing.T) {
	a, l := newAutoscaler(t)
	m := l.addMachine(a, "small", 0)
	a.Release(m)
	a.Release(m)
	for _, outcome := range []rpc.Outcome{rpc.Unknown, rpc.OK} {
		a.SendReleases()
		a.SendReleases()
		list := calls(a, provider.Release)
		if len(list) != 1 || len(list[0].Hosts) != 1 || list[0].Hosts[0] != m.Host {
			t.Fatalf("calls: %+v", list)
		}
		a.HandleCloud(provider.Response{Ref: list[0].Ref, Outcome: outcome})
	}
	if a.SendReleases(); len(calls(a, provider.Release)) > 0 || len(l.released) != 1 {
		t.Errorf("released %v", l.released)
	}
}

// TestBootTimeout: timeouts of a type grow while its instances exceed them, up to a bound,
// and fall back once one has booted.
func TestBootTimeout(t *testing.T) {
	a, l := newAutoscaler(t)
	m := l.addMachine(a, "small", 0)
	for _, want := range []time.Duration{60 * time.Second, 75 * time.Second} {
		if got := a.BootTimeout(m); got != want {
			t.Errorf("%v, want %v", got, want)
		}
		a.BootTimedOut("small")
	}
	for range 20 {
		a.BootTimedOut("small")
	}
	if got := a.BootTimeout(m); got != 6*time.Minute {
		t.Errorf("%v at the most", got)
	}
	if a.Booted("small"); a.BootTimeout(m) != time.Minute {
		t.Errorf("%v after a boot", a.BootTimeout(m))
	}
}
