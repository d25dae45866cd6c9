package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/spec"
)

// ScalePlan describes a load test. Equal plans generate the same jobs at the same times.
type ScalePlan struct {
	Workers     int           // machines, all running from the start
	Tasks       float64       // task starts per second at the full rate
	Jobs        float64       // submissions per second at the full rate
	Running     int           // tasks running at the full rate
	Teams       int           // each with a CPU guarantee and limit
	Regions     int           // the zones are spread over them
	Zones       int           // in total
	Controllers int           // spread over the zones, the first ones over the regions
	Ramp        time.Duration // time to reach the full rate
	Hold        time.Duration // measured time at the full rate
	Drain       time.Duration // maximum time for the remaining jobs to finish
	StateRPS    float64       // request rate limit of the key-value store, per second
	StateWrites float64       // write rate limit of the key-value store, per second
	MemoryMB    float64       // memory limit of a controller
	KillLeader  bool          // after a third of the hold; it restarts after three seconds
	CutRegion   time.Duration // how long a region without the leader is partitioned; 0: never
	ReportBytes float64       // control traffic limit per worker, in bytes per second; 0: unlimited
	ChangesADay float64       // changes of team limits, evenly spaced over the hold
	ChangeBurst int           // more changes within one minute, after a third of the hold
	Seed        uint64
}

// DefaultScalePlan returns a plan of the size of the target deployment.
func DefaultScalePlan() ScalePlan {
	return ScalePlan{Workers: 2700, Tasks: 1100, Jobs: 4.4, Running: 43000, Teams: 110, Regions: 8, Zones: 30, Controllers: 6,
		Ramp: 45 * time.Second, Hold: 2 * time.Minute, Drain: 3 * time.Minute, StateRPS: 350, StateWrites: 80, MemoryMB: 322, Seed: 1}
}

// PlanError reports an invalid plan. Field is the name of the flag.
type PlanError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *PlanError) Error() string { return e.Field + ": " + e.Reason }

// Validate returns a *PlanError if a field is out of range.
func (p *ScalePlan) Validate() error {
	between := func(field string, v, low, high float64) error {
		if !(v >= low && v <= high) {
			return &PlanError{field, fmt.Sprintf("must be %g to %g, is %g", low, high, v)}
		}
		return nil
	}
	for _, err := range []error{
		between("workers", float64(p.Workers), 1, 20000),
		between("tasks", p.Tasks, 0.1, 10000),
		between("jobs", p.Jobs, 0.01, 1000),
		between("running", float64(p.Running), 1, 200000),
		between("teams", float64(p.Teams), 1, 1000),
		between("regions", float64(p.Regions), 1, 100),
		between("zones", float64(p.Zones), float64(p.Regions), 1000),
		between("controllers", float64(p.Controllers), 1, 50),
		between("ramp", p.Ramp.Seconds(), 0, 3600),
		between("hold", p.Hold.Seconds(), 5, 3600),
		between("drain", p.Drain.Seconds(), 0, 3600),
		between("state-rps", p.StateRPS, 10, 1e6),
		between("state-writes", p.StateWrites, 5, 1e6),
		between("memory-mb", p.MemoryMB, 50, 1e5),
		between("report-bytes", p.ReportBytes, 0, 1e9),
		between("changes-a-day", p.ChangesADay, 0, 1e7),
		between("change-burst", float64(p.ChangeBurst), 0, 1e5),
		between("cut-region", p.CutRegion.Seconds(), 0, p.Hold.Seconds()),
	} {
		if err != nil {
			return err
		}
	}
	if p.Jobs > p.Tasks {
		return &PlanError{"jobs", "must not exceed the task rate"}
	}
	return nil
}

// Limits and estimates of a load test's resource usage.
const (
	maxMemoryFraction = 0.5      // fraction of the machine's memory
	workerBytes       = 90 << 10 // of the simulator, per worker with its connection
	taskBytes         = 2 << 10  // of the simulator, per task
	simulatorBytes    = 200 << 20
	filesPerWorker    = 2 // per worker: its connection, and one for probes
	reservedFiles     = 1000
)

// ShrinkToFit reduces the plan until it fits the memory and the number of open files. It describes
// the reduction, or returns "" if the plan fits.
func (p *ScalePlan) ShrinkToFit(memoryBytes uint64, files uint64) string {
	requested := *p
	for {
		requiredBytes := float64(simulatorBytes) + float64(p.Workers)*workerBytes + (float64(p.Running)+p.Tasks*p.Hold.Seconds())*taskBytes +
			float64(p.Controllers)*p.MemoryMB*(1<<20)
		openFiles := uint64(p.Workers*filesPerWorker + reservedFiles)
		if requiredBytes <= maxMemoryFraction*float64(memoryBytes) && openFiles <= files || p.Workers == 1 {
			break
		}
		p.Workers = max(1, p.Workers*9/10)
		p.Tasks *= 0.9
		p.Jobs *= 0.9
		p.Running = max(1, p.Running*9/10)
	}
	if p.Workers == requested.Workers {
		return ""
	}
	return fmt.Sprintf("%d workers exceed half of %d MB of memory or %d open files: reduced to %d workers, %.0f tasks per second, %d running tasks",
		requested.Workers, memoryBytes>>20, files, p.Workers, p.Tasks, p.Running)
}

// machineLimits returns the machine's memory in bytes and this process's open-file limit.
func machineLimits() (memory, files uint64) {
	memory = 4 << 30
	if data, err := os.ReadFile("/proc/meminfo"); err == nil {
		var kb uint64
		if _, err := fmt.Sscanf(string(data), "MemTotal: %d kB", &kb); err == nil {
			memory = kb << 10
		}
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		files = limit.Cur
	}
	return memory, files
}

// scaleClass is a job class of the generated load.
type scaleClass struct {
	name      string
	urgency   spec.Urgency
	taskShare float64 // fraction of all tasks
	jobShare  float64 // fraction of all jobs
	cpus      float64
	memory    float64 // GB
	seconds   float64 // task run time, before scaling to the plan
	deadline  time.Duration
}

// scaleClasses have the proportions of a large deployment.
var scaleClasses = []scaleClass{
	{name: "alert", urgency: spec.Urgent, taskShare: 0.46, jobShare: 0.65, cpus: 1, memory: 1.6, seconds: 18, deadline: 2 * time.Minute},
	{name: "ingest", urgency: spec.Standard, taskShare: 0.35, jobShare: 0.09, cpus: 2, memory: 2.7, seconds: 25},
	{name: "rollup", urgency: spec.Idle, taskShare: 0.19, jobShare: 0.26, cpus: 4, memory: 5.8, seconds: 50},
}

// urgentStartTarget is the service-level objective for the start latency of urgent tasks.
const urgentStartTarget = 5600 * time.Millisecond

const (
	cancelShare       = 0.02 // fraction of jobs that their users cancel
	targetUtilization = 0.75 // fraction of the machines' CPUs in use at the full rate
	quotaLimitFactor  = 10   // a team's limit, as a multiple of its mean usage
	runtimeVariation  = 0.25 // of the run times of an array's tasks
	maxArrayFactor    = 5    // a class's largest array, as a multiple of its mean
	guaranteeFactor   = 0.5  // a team's guarantee, as a multiple of its mean usage
	imageGB           = 1.0
	fetchGBps         = 0.4
	heartbeatInterval = 5 * time.Second
	leaseDuration     = 29 * time.Second
	cancelTimeout     = 54 * time.Second
	cloudRPS          = 12
	maxValueKB        = 16
	maxTxnOps         = 12
)

// runtimeFactor scales the classes' run times to yield the planned number of running tasks.
func (p *ScalePlan) runtimeFactor() float64 {
	mean := 0.0
	for _, c := range scaleClasses {
		mean += c.taskShare * c.seconds
	}
	return float64(p.Running) / p.Tasks / mean
}

func (p *ScalePlan) cpusInUse() (cpus float64) {
	for _, c := range scaleClasses {
		cpus += c.taskShare * p.Tasks * c.seconds * p.runtimeFactor() * c.cpus
	}
	return cpus
}

func (p *ScalePlan) teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

func regionName(i int) string { return fmt.Sprintf("r%d", i+1) }

// zoneName returns the name of a zone. Zones are assigned to regions round-robin.
func (p *ScalePlan) zoneName(i int) string {
	return fmt.Sprintf("%s-z%d", regionName(i%p.Regions), i/p.Regions+1)
}

func (p *ScalePlan) zonesOf(region string) (names []string) {
	for i := range p.Zones {
		if name := p.zoneName(i); strings.HasPrefix(name, region+"-") {
			names = append(names, name)
		}
	}
	return names
}

// script returns a scenario script with the plan's machines and settings.
func (p *ScalePlan) script() (*script, error) {
	cpus := math.Ceil(p.cpusInUse() / targetUtilization / float64(p.Workers))
	var sb strings.Builder
	fmt.Fprintf(&sb, "type node cpus=%g mem=%g rate=1 low=0.3 ready=20s fetch=%g\n", cpus, 4*cpus, fetchGBps)
	for i := range p.Zones {
		n := p.Workers / p.Zones
		if i < p.Workers%p.Zones {
			n++
		}
		if n > 0 {
			fmt.Fprintf(&sb, "capacity node %s n=%d\nmachines node %s n=%d\n", p.zoneName(i), n, p.zoneName(i), n)
		}
	}
	s, err := parseScript(sb.String())
	if err != nil {
		return nil, err
	}
	s.clock.rng = newClock(p.Seed).rng
	set := &s.cfg.Settings
	set.Nodes, set.Zones = p.Controllers, nil
	for i := range p.Zones {
		set.Zones = append(set.Zones, p.zoneName(i))
	}
	cpusPerTeam := p.cpusInUse() / float64(p.Teams)
	for i := range p.Teams {
		set.Teams = append(set.Teams, config.Team{Name: p.teamName(i), CPUs: math.Ceil(cpusPerTeam * guaranteeFactor), CPUsMax: math.Ceil(cpusPerTeam*quotaLimitFactor) + 64})
	}
	set.Objectives = []config.Objective{
		{Kind: "deadline", Class: "alert", Share: 0.97, Times: 1},
		{Kind: "wait", Class: "alert", Within: config.Seconds(urgentStartTarget.Seconds()), Share: 0.95},
		{Kind: "finished", Class: "ingest", Within: 200, Share: 0.96},
		{Kind: "finished", Class: "rollup", Within: 250, Share: 0.97},
	}
	set.Workers = config.Workers{Report: config.Seconds(heartbeatInterval.Seconds()), Lease: config.Seconds(leaseDuration.Seconds()), Cancel: config.Seconds(cancelTimeout.Seconds())}
	set.State = config.State{RPS: p.StateRPS, WriteRPS: p.StateWrites, ValueKB: maxValueKB, TxnOps: maxTxnOps}
	set.Cloud = config.Cloud{RPS: cloudRPS, ListLag: 0.5}
	set.Limits.MaxConnections = p.Workers + 500
	return s, nil
}

// jobGenerator generates the plan's jobs from a seed.
type jobGenerator struct {
	plan      *ScalePlan
	rng       *rand.Rand
	generated int
}

func newJobGenerator(plan *ScalePlan, seed uint64) jobGenerator {
	return jobGenerator{plan: plan, rng: rand.New(rand.NewPCG(seed, 7))}
}

// next returns a job and the time until the next submission at the full rate.
func (g *jobGenerator) next() (*userJob, time.Duration) {
	p := g.plan
	g.generated++
	x, class := g.rng.Float64(), &scaleClasses[0]
	for i := range scaleClasses {
		if class = &scaleClasses[i]; x < class.jobShare {
			break
		}
		x -= class.jobShare
	}
	mean := p.Tasks / p.Jobs * class.taskShare / class.jobShare
	tasks := max(1, min(spec.MaxTasks, int(math.Round(min(maxArrayFactor, g.rng.ExpFloat64())*mean))))
	runs := time.Duration(class.seconds * p.runtimeFactor() * (0.7 + 0.6*g.rng.Float64()) * float64(time.Second))
	j := &userJob{runtime: runs, runtimeJitter: runtimeVariation, jobProgress: newJobProgress()}
	j.spec = spec.Job{ID: fmt.Sprintf("wk-%07d", g.generated), Class: class.name, Owner: p.teamName(g.rng.IntN(p.Teams)), Urgency: class.urgency,
		Tasks: tasks, CPUs: class.cpus, MemGB: class.memory, Image: "image-" + class.name, ImageGB: imageGB, Runtime: runs.Round(time.Second)}
	if class.deadline > 0 {
		j.spec.Deadline, j.spec.HasDeadline = class.deadline+runs, true
	}
	return j, time.Duration(g.rng.ExpFloat64() / p.Jobs * float64(time.Second))
}
