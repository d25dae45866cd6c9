package scenario

import (
	"context"
	"errors"
	"testing"
	"time"
)

// TestScaleRun runs a small load test in which the leader is killed. All jobs must finish, and
// every figure must be measured.
func TestScaleRun(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	t.Parallel()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	plan := DefaultScalePlan()
	plan.Workers, plan.Controllers, plan.Tasks, plan.Jobs, plan.Running, plan.Teams = 100, 3, 40, 4, 400, 8
	plan.Ramp, plan.Hold, plan.Drain, plan.KillLeader = 3*time.Second, 15*time.Second, time.Minute, true
	plan.ChangeBurst = 100 // one sixth of them during the hold, the rest during the drain
	r, err := RunScaleTest(context.Background(), plan, []string{path}, t.Logf)
	if err != nil {
		t.Fatal(err)
	}
	if r.Failed() || r.NotAccepted > 0 || r.Unfinished > 0 {
		t.Errorf("violations %v, errors %v, %d of %d jobs not accepted, %d unfinished", r.Violations, r.Errors, r.NotAccepted, r.Jobs, r.Unfinished)
	}
	if r.Starts < plan.Tasks/4 || r.Accept["urgent"].Count == 0 || r.Worker.Bytes == 0 || r.State.Requests == 0 || r.Messages["peer reports"].Bytes == 0 {
		t.Errorf("missing measurements: %+v", r)
	}
	led := 0
	for _, c := range r.Controllers {
		if c.LeaderSeconds > 0 {
			led++
		}
		if c.CPU <= 0 || c.Memory <= 0 {
			t.Errorf("%s: missing measurements: %+v", c.Name, c)
		}
	}
	if r.ConfigAccepted.Count < 20 || r.ConfigApplied.Count < 20 || r.ConfigApplied.Max > 3 {
		t.Errorf("configuration changes: acknowledged %+v, applied %+v", r.ConfigAccepted, r.ConfigApplied)
	}
	if led < 2 {
		t.Errorf("%d controllers were leader, want at least 2 after a failover", led)
	}
}

// TestScalePlanValidate checks that Validate names the flag of an invalid field.
func TestScalePlanValidate(t *testing.T) {
	for field, change := range map[string]func(*ScalePlan){
		"workers": func(p *ScalePlan) { p.Workers = 0 }, "tasks": func(p *ScalePlan) { p.Tasks = -1 }, "jobs": func(p *ScalePlan) { p.Jobs = 2000 },
		"zones": func(p *ScalePlan) { p.Zones = p.Regions - 1 }, "controllers": func(p *ScalePlan) { p.Controllers = 51 },
		"cut-region": func(p *ScalePlan) { p.CutRegion = p.Hold + time.Second }, "hold": func(p *ScalePlan) { p.Hold = 0 },
	} {
		p := DefaultScalePlan()
		change(&p)
		var wrong *PlanError
		if err := p.Validate(); !errors.As(err, &wrong) || wrong.Field != field {
			t.Errorf("invalid %s: Validate returned %v", field, err)
		}
	}
	p := DefaultScalePlan()
	if err := p.Validate(); err != nil {
		t.Error(err)
	}
}

// TestScalePlanShrinkToFit checks that a plan too large for the machine is reduced, with a message.
func TestScalePlanShrinkToFit(t *testing.T) {
	p := DefaultScalePlan()
	if message := p.ShrinkToFit(24<<30, 20000); message != "" || p.Workers != 2700 {
		t.Errorf("want 2700 workers and no message, got %d: %q", p.Workers, message)
	}
	if message := p.ShrinkToFit(24<<30, 3000); message == "" || p.Workers > 1000 || p.Workers < 500 {
		t.Errorf("few open files: want 500 to 1000 workers and a message, got %d: %q", p.Workers, message)
	}
	p = DefaultScalePlan()
	if message := p.ShrinkToFit(4<<30, 20000); message == "" || p.Workers >= 2700 {
		t.Errorf("little memory: want fewer than 2700 workers and a message, got %d: %q", p.Workers, message)
	}
}

// TestScaleJobsDeterministic checks that only equal seeds generate equal jobs.
func TestScaleJobsDeterministic(t *testing.T) {
	jobs := func(seed uint64) (tasks []int) {
		p := DefaultScalePlan()
		g := newJobGenerator(&p, seed)
		for range 50 {
			j, _ := g.next()
			tasks = append(tasks, j.spec.Tasks)
		}
		return tasks
	}
	same, other := 0, 0
	a, b, c := jobs(1), jobs(1), jobs(2)
	for i := range a {
		if a[i] == b[i] {
			same++
		}
		if a[i] == c[i] {
			other++
		}
	}
	if same != len(a) || other > len(a)/2 {
		t.Errorf("%d of %d jobs are equal with the same seed, %d with another seed", same, len(a), other)
	}
}
