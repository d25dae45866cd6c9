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

// scaleRun is a running load test.
type scaleRun struct {
	*loopback
	plan      ScalePlan
	gen       jobGenerator
	progress  func(format string, args ...any)
	holdStart time.Time
	holdEnd   time.Time
	measures  measurements
	errorsMu  sync.Mutex
	errors    []string // errors of the test driver, not of the controllers
}

// baseOperatorSettings keeps idle machines rented, so that the fleet keeps its planned size.
const baseOperatorSettings = "[policy]\nidle_return_s = \"86400.0\"\n"

// operatorsFile returns the plan's operators' settings file. It contains only settings that the
// plan uses, since older programs reject unknown ones.
func (p *ScalePlan) operatorsFile() []byte {
	text := baseOperatorSettings
	if p.ReportBytes > 0 {
		text += fmt.Sprintf("report_bytes_s = \"%.1f\"\n", p.ReportBytes)
	}
	return []byte(text)
}

// RunScaleTest runs a load test with real controller processes, which it stops before it returns.
// Controller i runs programs[i%len(programs)], which allows a mix of versions.
func RunScaleTest(ctx context.Context, plan ScalePlan, programs []string, progress func(format string, args ...any)) (*ScaleReport, error) {
	if err := plan.Validate(); err != nil {
		return nil, err
	}
	if short := plan.ShrinkToFit(machineLimits()); short != "" {
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
	r.gen = newJobGenerator(&r.plan, plan.Seed)
	r.loopback = newLoopback(s, dir, r.recordError)
	defer r.close()
	r.startControllers(launchOptions{count: plan.Controllers, arguments: []string{"--operators", operators}, logLevel: "error", relayPeers: true,
		program:      func(i int) string { return programs[i%len(programs)] },
		zone:         func(i int) string { return plan.zoneName(i % plan.Zones) },
		editSettings: func(f *extraSettings) { f.cpuShare, f.memMB = 1, plan.MemoryMB }})
	r.measures.init(r)
	if err := r.runPhases(ctx); err != nil {
		return nil, err
	}
	return r.report(), nil
}

func (r *scaleRun) recordError(format string, args ...any) {
	r.errorsMu.Lock()
	defer r.errorsMu.Unlock()
	r.errors = append(r.errors, fmt.Sprintf(format, args...))
}

// runPhases runs the ramp, hold and drain phases.
func (r *scaleRun) runPhases(ctx context.Context) error {
	if err := r.waitFor(ctx, time.Minute, "a leader and all controllers ready", r.allReady); err != nil {
		return err
	}
	from := time.Now()
	r.holdStart, r.holdEnd = from.Add(r.plan.Ramp), from.Add(r.plan.Ramp+r.plan.Hold)
	r.with(func() {
		r.after(time.Second, r.pollUnknownJobs)
		r.submitJobs(from)
	})
	r.progress("ramp phase: %s", r.plan.Ramp)
	if err := r.sampleFor(ctx, r.plan.Ramp); err != nil {
		return err
	}
	r.progress("hold phase: %s, %d tasks running", r.plan.Hold, r.runningTasks())
	r.measures.startHold(r)
	r.with(r.startConfigChanges)
	if err := r.sampleFor(ctx, r.plan.Hold/3); err != nil {
		return err
	}
	r.injectFaults()
	if err := r.sampleFor(ctx, time.Until(r.holdEnd)); err != nil {
		return err
	}
	r.measures.endHold(r)
	r.progress("drain phase: at most %s, %d tasks running", r.plan.Drain, r.runningTasks())
	return r.waitFor(ctx, r.plan.Drain, "", func() bool { return r.unfinishedJobs() == 0 })
}

// sampleFor samples the controllers' resource usage every second for d.
func (r *scaleRun) sampleFor(ctx context.Context, d time.Duration) error {
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

// waitFor polls cond until it is true. A timeout is an error unless what is empty.
func (r *scaleRun) waitFor(ctx context.Context, timeout time.Duration, what string, cond func() bool) error {
	for end := time.Now().Add(timeout); !cond(); {
		if time.Now().After(end) {
			if what == "" {
				return nil
			}
			return fmt.Errorf("timed out waiting for %s", what)
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

// leader returns the first process that is leader, or nil.
func (r *scaleRun) leader() *process {
	for _, p := range r.processes {
		if p.isLeader() {
			return p
		}
	}
	return nil
}

// submitJobs submits a job and schedules the next submission. During the ramp, it skips random jobs
// so that the rate rises linearly.
func (r *scaleRun) submitJobs(from time.Time) {
	if !r.now.Before(r.holdEnd) {
		return
	}
	j, gap := r.gen.next()
	r.after(gap, func() { r.submitJobs(from) })
	if r.rng.Float64()*r.plan.Ramp.Seconds() > r.now.Sub(from).Seconds() {
		return
	}
	r.submit(j)
	if r.rng.Float64() < cancelShare {
		r.after(time.Duration(r.rng.Int64N(int64(30*time.Second))), func() { r.cancelAccepted(j) })
	}
}

// cancelAccepted cancels a job if its user knows that it was accepted and of no final state.
func (r *scaleRun) cancelAccepted(j *userJob) {
	if j.accepted && j.finalState == "" {
		r.cancel(j)
	}
}

func (r *scaleRun) injectFaults() {
	l := r.leader()
	if r.plan.KillLeader && l != nil {
		r.progress("killing the leader, %s", l.node.name)
		l.kill()
		go func() {
			time.Sleep(3 * time.Second)
			l.start()
		}()
	}
	if r.plan.CutRegion > 0 {
		r.partitionRegion(l)
	}
	if n := r.plan.ChangeBurst; n > 0 {
		r.progress("applying %d configuration changes within one minute", n)
		r.with(func() {
			for i := range n {
				r.after(time.Duration(i)*time.Minute/time.Duration(n), r.changeTeamLimit)
			}
		})
	}
}

// partitionRegion partitions the first region, or the second one if the leader is in the first.
func (r *scaleRun) partitionRegion(leader *process) {
	region := regionName(0)
	if leader == r.processes[0] && r.plan.Regions > 1 {
		region = regionName(1)
	}
	zones := r.plan.zonesOf(region)
	r.with(func() {
		isolated := map[string]bool{}
		for _, m := range r.cloud.machines {
			for _, zone := range zones {
				isolated[m.host] = isolated[m.host] || m.zone == zone
			}
		}
		for _, p := range r.processes {
			for _, zone := range zones {
				isolated[p.node.name] = isolated[p.node.name] || p.zone == zone
			}
		}
		r.net.addPartition(isolated, nil, true, r.plan.CutRegion, zones...)
	})
	r.progress("partitioning region %s (%d zones) for %s", region, len(zones), r.plan.CutRegion)
}

func (r *scaleRun) runningTasks() (n int) {
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

// unfinishedJobs returns the number of jobs without a final answer to the submission, or accepted
// but without a final state.
func (r *scaleRun) unfinishedJobs() (n int) {
	r.with(func() {
		for _, j := range r.jobOrder {
			if j.accepted && j.finalState == "" || !j.accepted && j.status == 0 {
				n++
			}
		}
	})
	return n
}

// recordStart records the start latency of a task if its job was submitted during the hold.
func (r *scaleRun) recordStart(t *task) {
	if t.job.firstSubmitted.Before(r.holdStart) || t.job.firstSubmitted.After(r.holdEnd) {
		return
	}
	if t.job.startedTasks == nil {
		t.job.startedTasks = map[int]bool{}
	}
	if !t.job.startedTasks[t.id.Index] { // count only the first start of a task
		t.job.startedTasks[t.id.Index] = true
		r.measures.startLatency[t.job.spec.Urgency].record(r.now.Sub(t.job.firstSubmitted))
		if t.job.spec.Urgency == spec.Urgent && r.now.Sub(t.job.firstSubmitted) > urgentStartTarget {
			r.measures.lateUrgentStarts++
		}
	}
}
