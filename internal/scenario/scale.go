package scenario

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"yewpass/internal/spec"
)

// scaleRun is a plan as it is played.
type scaleRun struct {
	*loopback
	plan     ScalePlan
	gen      generator
	progress func(format string, args ...any)
	began    time.Time // of the hold
	ended    time.Time
	measures measures
	errorsMu sync.Mutex
	errors   []string // of this side of the sockets
}

// operatorsText keeps the fleet as large as planned: machines without work stay.
const operatorsText = "[policy]\nidle_return_s = \"86400.0\"\n"

// operatorsFile is the operators' file of a plan. Programs of versions that do not know a
// setting refuse it, so only what the plan asks for is in it.
func (p *ScalePlan) operatorsFile() []byte {
	text := operatorsText
	if p.ReportBytes > 0 {
		text += fmt.Sprintf("report_bytes_s = \"%.1f\"\n", p.ReportBytes)
	}
	return []byte(text)
}

// Scale plays a plan with real processes of the programs, which the controllers take in turn,
// and returns what was measured.
// It ends all processes that it has started, also when ctx ends.
func Scale(ctx context.Context, plan ScalePlan, programs []string, progress func(format string, args ...any)) (*ScaleReport, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	if short := plan.Fit(machineBounds()); short != "" {
		progress("%s", short)
	}
	s, err := plan.script()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "yewlab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	operators := filepath.Join(dir, "operators.toml")
	if err := os.WriteFile(operators, plan.operatorsFile(), 0o644); err != nil {
		return nil, err
	}
	r := &scaleRun{plan: plan, progress: progress}
	r.gen = newGenerator(&r.plan, plan.Seed)
	r.loopback = newLoopback(s, dir, r.complained)
	defer r.close()
	r.startControllers(launch{count: plan.Controllers, arguments: []string{"--operators", operators}, logLevel: "error", relayed: true,
		program:  func(i int) string { return programs[i%len(programs)] },
		site:     func(i int) string { return plan.zoneName(i % plan.Zones) },
		settings: func(f *settingsFile) { f.cpuShare, f.memMB = 1, plan.MemoryMB }})
	r.measures.begin(r)
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	return r.report(), nil
}

func (r *scaleRun) complained(format string, args ...any) {
	r.errorsMu.Lock()
	defer r.errorsMu.Unlock()
	r.errors = append(r.errors, fmt.Sprintf(format, args...))
}

// play plays ramp, hold and drain.
func (r *scaleRun) play(ctx context.Context) error {
	if err := r.await(ctx, time.Minute, "a leader and all controllers ready", r.allReady); err != nil {
		return err
	}
	from := time.Now()
	r.began, r.ended = from.Add(r.plan.Ramp), from.Add(r.plan.Ramp+r.plan.Hold)
	r.with(func() {
		r.after(time.Second, r.pollUnknownJobs)
		r.arrive(from)
	})
	r.progress("ramp of %s", r.plan.Ramp)
	if err := r.pause(ctx, r.plan.Ramp); err != nil {
		return err
	}
	r.progress("hold of %s: %d tasks on machines", r.plan.Hold, r.running())
	r.measures.holdBegins(r)
	r.with(r.configure)
	if err := r.pause(ctx, r.plan.Hold/3); err != nil {
		return err
	}
	r.fault()
	if err := r.pause(ctx, time.Until(r.ended)); err != nil {
		return err
	}
	r.measures.holdEnds(r)
	r.progress("drain of at most %s: %d tasks on machines", r.plan.Drain, r.running())
	return r.await(ctx, r.plan.Drain, "", func() bool { return r.unfinished() == 0 })
}

// pause waits while the run is sampled.
func (r *scaleRun) pause(ctx context.Context, d time.Duration) error {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(min(time.Second, time.Until(end))):
		}
		r.measures.sample(r)
	}
	return nil
}

// await waits until something is true; it is an error if that never comes, unless what is "".
func (r *scaleRun) await(ctx context.Context, most time.Duration, what string, cond func() bool) error {
	for end := time.Now().Add(most); !cond(); {
		if time.Now().After(end) {
			if what == "" {
				return nil
			}
			return fmt.Errorf("waited in vain for %s", what)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(200 * time.Millisecond):
		}
	}
	return nil
}

func (r *scaleRun) allReady() bool {
	ready := 0
	r.with(func() {
		for _, p := range r.processes {
			if p.healthy {
				ready++
			}
		}
	})
	return ready == len(r.processes) && r.leader() != nil
}

// leader returns the process that leads, or nil.
func (r *scaleRun) leader() *process {
	for _, p := range r.processes {
		if p.leads() {
			return p
		}
	}
	return nil
}

// arrive submits a job and plans the next. During the ramp only some of the arrivals of the
// full rate come about.
func (r *scaleRun) arrive(from time.Time) {
	if !r.now.Before(r.ended) {
		return
	}
	j, gap := r.gen.next()
	r.after(gap, func() { r.arrive(from) })
	if r.rng.Float64()*r.plan.Ramp.Seconds() > r.now.Sub(from).Seconds() {
		return
	}
	r.submit(j)
	if r.rng.Float64() < cancelShare {
		r.after(time.Duration(r.rng.Int64N(int64(30*time.Second))), func() { r.cancelAccepted(j) })
	}
}

// cancelAccepted has the user call a job off that is accepted and not known to be over.
func (r *scaleRun) cancelAccepted(j *userJob) {
	if j.accepted && j.finalState == "" {
		r.cancel(j)
	}
}

// fault brings the planned trouble about.
func (r *scaleRun) fault() {
	l := r.leader()
	if r.plan.KillLeader && l != nil {
		r.progress("the leader, %s, is killed", l.n.name)
		l.kill()
		go func() {
			time.Sleep(3 * time.Second)
			l.start()
		}()
	}
	if r.plan.CutRegion > 0 {
		r.cutRegion(l)
	}
	if n := r.plan.ChangeBurst; n > 0 {
		r.progress("%d changes of configuration within a minute", n)
		r.with(func() {
			for i := range n {
				r.after(time.Duration(i)*time.Minute/time.Duration(n), r.changeTeam)
			}
		})
	}
}

// cutRegion cuts off a region in which a controller stands that does not lead, if there is one.
func (r *scaleRun) cutRegion(leader *process) {
	region := regionName(0)
	if leader == r.processes[0] && r.plan.Regions > 1 {
		region = regionName(1)
	}
	zones := r.plan.zonesOf(region)
	r.with(func() {
		behind := map[string]bool{}
		for _, m := range r.cloud.machines {
			for _, zone := range zones {
				behind[m.host] = behind[m.host] || m.zone == zone
			}
		}
		for _, p := range r.processes {
			for _, zone := range zones {
				behind[p.n.name] = behind[p.n.name] || p.site == zone
			}
		}
		r.net.addPartition(behind, nil, true, r.plan.CutRegion, zones...)
	})
	r.progress("region %s (%d zones) is cut off for %s", region, len(zones), r.plan.CutRegion)
}

// running counts the tasks on machines.
func (r *scaleRun) running() (n int) {
	r.with(func() {
		for _, j := range r.jobOrder {
			for _, t := range j.heldTasks {
				if t.active() {
					n++
				}
			}
		}
	})
	return n
}

// unfinished counts the accepted jobs whose users have not been told of their end.
func (r *scaleRun) unfinished() (n int) {
	r.with(func() {
		for _, j := range r.jobOrder {
			if j.accepted && j.finalState == "" || !j.accepted && j.status == 0 {
				n++
			}
		}
	})
	return n
}

// started takes note of a task's start.
func (r *scaleRun) started(t *task) {
	if t.job.firstSubmitted.Before(r.began) || t.job.firstSubmitted.After(r.ended) {
		return
	}
	if t.job.startedTasks == nil {
		t.job.startedTasks = map[int]bool{}
	}
	if !t.job.startedTasks[t.id.Index] { // a task that is started again has been late already
		t.job.startedTasks[t.id.Index] = true
		r.measures.starts[t.job.spec.Urgency].record(r.now.Sub(t.job.firstSubmitted))
		if t.job.spec.Urgency == spec.Urgent && r.now.Sub(t.job.firstSubmitted) > urgentWithin {
			r.measures.urgentLate++
		}
	}
}
