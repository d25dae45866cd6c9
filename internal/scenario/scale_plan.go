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

// ScalePlan says what a scale run plays. The same plan with the same seed plays the same
// jobs at the same times.
type ScalePlan struct {
	Workers     int           // machines, all up from the start
	Tasks       float64       // starts a second at the full rate
	Jobs        float64       // submissions a second at the full rate
	Running     int           // tasks running at the full rate
	Teams       int           // with a guarantee and a limit each
	Regions     int           // the zones are spread over them
	Zones       int           // in all
	Controllers int           // the first ones stand in a region each
	Ramp        time.Duration // from nothing to the full rate
	Hold        time.Duration // at the full rate, measured
	Drain       time.Duration // at most, for what is left to end
	StateRPS    float64       // requests a second that the state service takes
	StateWrites float64       // changes a second that it takes
	MemoryMB    float64       // of a controller
	KillLeader  bool          // a third into the hold, back after three seconds
	CutRegion   time.Duration // a region without the leader is cut off for so long; 0: none
	ReportBytes float64       // a second that control may take of a worker; 0: no bound
	ChangesADay float64       // of teams' limits, evenly through the hold
	ChangeBurst int           // more of them within a minute, a third into the hold
	Seed        uint64
}

// PlannedSize is the size that the operators plan for.
func PlannedSize() ScalePlan {
	return ScalePlan{Workers: 2700, Tasks: 1100, Jobs: 4.4, Running: 43000, Teams: 110, Regions: 8, Zones: 30, Controllers: 6,
		Ramp: 45 * time.Second, Hold: 2 * time.Minute, Drain: 3 * time.Minute, StateRPS: 350, StateWrites: 80, MemoryMB: 322, Seed: 1}
}

// PlanError names what is wrong with a plan.
type PlanError struct {
	Field  string
	Reason string
}

// Error names the field, then the reason.
func (e *PlanError) Error() string { return e.Field + ": " + e.Reason }

// Check returns a *PlanError for a plan that cannot be played.
func (p *ScalePlan) Check() error {
	between := func(field string, v, least, most float64) error {
		if !(v >= least && v <= most) {
			return &PlanError{field, fmt.Sprintf("must be %g to %g, is %g", least, most, v)}
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
		return &PlanError{"jobs", "more jobs than tasks a second"}
	}
	return nil
}

// Bounds of what a run may take of the machine.
const (
	memoryShare    = 0.5      // of the machine's memory
	workerBytes    = 90 << 10 // of the stand-ins, for a worker with its connection
	taskBytes      = 2 << 10  // of the stand-ins, for a task
	standInBytes   = 200 << 20
	filesPerWorker = 2 // in this process: its connection, and a command's
	filesSpare     = 1000
)

// Fit makes a plan smaller until the machine can carry it, and says in one line what did
// not fit, or "".
func (p *ScalePlan) Fit(memoryBytes uint64, files uint64) string {
	asked := *p
	for {
		need := float64(standInBytes) + float64(p.Workers)*workerBytes + (float64(p.Running)+p.Tasks*p.Hold.Seconds())*taskBytes +
			float64(p.Controllers)*p.MemoryMB*(1<<20)
		open := uint64(p.Workers*filesPerWorker + filesSpare)
		if need <= memoryShare*float64(memoryBytes) && open <= files || p.Workers == 1 {
			break
		}
		p.Workers = max(1, p.Workers*9/10)
		p.Tasks *= 0.9
		p.Jobs *= 0.9
		p.Running = max(1, p.Running*9/10)
	}
	if p.Workers == asked.Workers {
		return ""
	}
	return fmt.Sprintf("%d workers do not fit into half of %d MB and %d open files: playing %d workers, %.0f tasks a second, %d running",
		asked.Workers, memoryBytes>>20, files, p.Workers, p.Tasks, p.Running)
}

// machineBounds returns the memory of this machine and how many files this process may open.
func machineBounds() (memory, files uint64) {
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

// scaleClass is a class of jobs of the generator.
type scaleClass struct {
	name    string
	urgency spec.Urgency
	share   float64 // of the tasks
	jobs    float64 // of the jobs
	cpus    float64
	memory  float64 // GB
	seconds float64 // of a task, before it is scaled to the plan
	due     time.Duration
}

// The classes have the proportions of a large deployment: few large arrays and many of
// middling size, a part of them urgent.
var scaleClasses = []scaleClass{
	{name: "alert", urgency: spec.Urgent, share: 0.46, jobs: 0.65, cpus: 1, memory: 1.6, seconds: 18, due: 2 * time.Minute},
	{name: "ingest", urgency: spec.Standard, share: 0.35, jobs: 0.09, cpus: 2, memory: 2.7, seconds: 25},
	{name: "rollup", urgency: spec.Idle, share: 0.19, jobs: 0.26, cpus: 4, memory: 5.8, seconds: 50},
}

// urgentWithin is the plan's aim on the start of urgent tasks.
const urgentWithin = 5600 * time.Millisecond

const (
	cancelShare  = 0.02 // of the jobs are called off by their users
	fullPart     = 0.75 // of the machines' CPUs is used at the full rate
	limitFactor  = 10   // a team's limit, as a multiple of its mean use
	taskSpread   = 0.25 // of the run times of an array's tasks
	largestArray = 5    // a class's largest array, as a multiple of its mean
	guaranteed   = 0.5  // a team's guarantee, likewise
	imageGB      = 1.0
	fetchGBps    = 0.4
	reportEvery  = 5 * time.Second
	leaseTime    = 29 * time.Second
	cancelTime   = 54 * time.Second
	cloudRPS     = 12
	valueKB      = 16
	changesInTxn = 12
)

// stretch is the factor on the classes' run times that makes the planned number run.
func (p *ScalePlan) stretch() float64 {
	mean := 0.0
	for _, c := range scaleClasses {
		mean += c.share * c.seconds
	}
	return float64(p.Running) / p.Tasks / mean
}

// cpusInUse is what the tasks take at the full rate.
func (p *ScalePlan) cpusInUse() (cpus float64) {
	for _, c := range scaleClasses {
		cpus += c.share * p.Tasks * c.seconds * p.stretch() * c.cpus
	}
	return cpus
}

func (p *ScalePlan) teamName(i int) string { return fmt.Sprintf("team-%03d", i) }

func regionName(i int) string { return fmt.Sprintf("r%d", i+1) }

// zoneName names a zone; they go round the regions.
func (p *ScalePlan) zoneName(i int) string {
	return fmt.Sprintf("%s-z%d", regionName(i%p.Regions), i/p.Regions+1)
}

// zonesOf are the zones of a region.
func (p *ScalePlan) zonesOf(region string) (names []string) {
	for i := range p.Zones {
		if name := p.zoneName(i); strings.HasPrefix(name, region+"-") {
			names = append(names, name)
		}
	}
	return names
}

// script returns the world of the plan.
func (p *ScalePlan) script() (*script, error) {
	cpus := math.Ceil(p.cpusInUse() / fullPart / float64(p.Workers))
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
	each := p.cpusInUse() / float64(p.Teams)
	for i := range p.Teams {
		set.Teams = append(set.Teams, config.Team{Name: p.teamName(i), CPUs: math.Ceil(each * guaranteed), CPUsMax: math.Ceil(each*limitFactor) + 64})
	}
	set.Objectives = []config.Objective{
		{Kind: "deadline", Class: "alert", Share: 0.97, Times: 1},
		{Kind: "wait", Class: "alert", Within: config.Seconds(urgentWithin.Seconds()), Share: 0.95},
		{Kind: "finished", Class: "ingest", Within: 200, Share: 0.96},
		{Kind: "finished", Class: "rollup", Within: 250, Share: 0.97},
	}
	set.Workers = config.Workers{Report: config.Seconds(reportEvery.Seconds()), Lease: config.Seconds(leaseTime.Seconds()), Cancel: config.Seconds(cancelTime.Seconds())}
	set.State = config.State{RPS: p.StateRPS, WriteRPS: p.StateWrites, ValueKB: valueKB, TxnOps: changesInTxn}
	set.Cloud = config.Cloud{RPS: cloudRPS, ListLag: 0.5}
	set.Limits.MaxConnections = p.Workers + 500
	return s, nil
}

// generator makes the plan's jobs.
type generator struct {
	plan *ScalePlan
	rng  *rand.Rand
	made int
}

func newGenerator(plan *ScalePlan, seed uint64) generator {
	return generator{plan: plan, rng: rand.New(rand.NewPCG(seed, 7))}
}

// next returns a job and the time until the one after it at the full rate.
func (g *generator) next() (*userJob, time.Duration) {
	p := g.plan
	g.made++
	x, class := g.rng.Float64(), &scaleClasses[0]
	for i := range scaleClasses {
		if class = &scaleClasses[i]; x < class.jobs {
			break
		}
		x -= class.jobs
	}
	mean := p.Tasks / p.Jobs * class.share / class.jobs
	tasks := max(1, min(spec.MaxTasks, int(math.Round(min(largestArray, g.rng.ExpFloat64())*mean))))
	runs := time.Duration(class.seconds * p.stretch() * (0.7 + 0.6*g.rng.Float64()) * float64(time.Second))
	j := &userJob{runs: runs, varies: taskSpread, jobProgress: newJobProgress()}
	j.spec = spec.Job{ID: fmt.Sprintf("wk-%07d", g.made), Class: class.name, Owner: p.teamName(g.rng.IntN(p.Teams)), Urgency: class.urgency,
		Tasks: tasks, CPUs: class.cpus, MemGB: class.memory, Image: "image-" + class.name, ImageGB: imageGB, Runtime: runs.Round(time.Second)}
	if class.due > 0 {
		j.spec.Deadline, j.spec.HasDeadline = class.due+runs, true
	}
	return j, time.Duration(g.rng.ExpFloat64() / p.Jobs * float64(time.Second))
}
