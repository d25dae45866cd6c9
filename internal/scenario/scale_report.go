package scenario

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"yewpass/internal/spec"
)

// ScaleReport is the result of a load test. Figures cover the hold unless noted otherwise.
type ScaleReport struct {
	Plan           ScalePlan            `json:"plan"`
	HoldSeconds    float64              `json:"holdSeconds"`
	Accept         map[string]Quantiles `json:"acceptSeconds"` // by urgency, for jobs submitted during the hold
	Start          map[string]Quantiles `json:"startSeconds"`  // from the first submission to the task's start
	UrgentLate     float64              `json:"urgentLate"`    // fraction of urgent tasks that missed urgentStartTarget
	Starts         float64              `json:"startsPerSecond"`
	Running        int                  `json:"running"` // at the end of the hold
	Killed         int                  `json:"killedByLease"`
	Jobs           int                  `json:"jobs"` // of the whole run
	NotAccepted    int                  `json:"jobsNotAccepted"`
	Unfinished     int                  `json:"jobsUnfinished"` // accepted, but not finished after the drain
	ConfigAccepted Quantiles            `json:"changeSeconds"`  // from sending a configuration change to its acknowledgement
	ConfigApplied  Quantiles            `json:"inForceSeconds"` // from then until every reachable controller applied it
	Controllers    []ControllerUsage    `json:"controllers"`
	State          StoreUsage           `json:"state"`
	Worker         WorkerUsage          `json:"worker"`
	Messages       map[string]tally     `json:"messages"` // per second, by kind
	Records        map[string]tally     `json:"records"`  // in the key-value store at the end of the hold, by kind
	Violations     []string             `json:"violations"`
	Errors         []string             `json:"errors"`
}

// ControllerUsage is the resource usage of a controller.
type ControllerUsage struct {
	Name          string  `json:"name"`
	LeaderSeconds float64 `json:"ledSeconds"`
	CPU           float64 `json:"cores"`
	PeakCPU       float64 `json:"coresPeak"` // highest over about a second
	Memory        float64 `json:"memoryMB"`  // resident, at the end of the hold
	PeakMB        float64 `json:"memoryPeakMB"`
}

// StoreUsage is the load on the key-value store.
type StoreUsage struct {
	Requests float64            `json:"requestsPerSecond"`
	Writes   float64            `json:"changesPerSecond"`
	Rejected float64            `json:"refusedPerSecond"`
	ByKind   map[string]float64 `json:"changesByKind"` // writes per second, by kind of record
}

// WorkerUsage is the control traffic of a worker.
type WorkerUsage struct {
	Heartbeats float64       `json:"reportsPerSecond"` // mean
	Bytes      float64       `json:"bytesPerSecond"`   // mean, both directions, with HTTP headers
	BytesP99   float64       `json:"bytesPerSecondP99"`
	BytesMax   float64       `json:"bytesPerSecondMost"`
	OverBudget float64       `json:"overBudget"` // fraction of workers above workerBytesBudget
	Cost       HeartbeatCost `json:"reportCost"`
}

// workerBytesBudget is the planned control traffic of a worker, in bytes per second.
const workerBytesBudget = 4 << 10

// fractionAbove returns the fraction of sorted values at or above a bound.
func fractionAbove(xs []float64, bound float64) float64 {
	i, _ := slices.BinarySearch(xs, bound)
	return float64(len(xs)-i) / float64(max(1, len(xs)))
}

// Failed reports whether a rule was violated or an error occurred.
func (r *ScaleReport) Failed() bool { return len(r.Violations) > 0 || len(r.Errors) > 0 }

func (r *scaleRun) report() *ScaleReport {
	m := &r.measures
	hold := m.atHoldEnd.at.Sub(m.atHoldStart.at)
	out := &ScaleReport{Plan: r.plan, HoldSeconds: hold.Seconds(), Accept: map[string]Quantiles{}, Start: map[string]Quantiles{}, Messages: map[string]tally{}}
	perSecond := func(n int) float64 { return float64(n) / hold.Seconds() }
	r.with(func() {
		for _, j := range r.jobOrder {
			out.Jobs++
			switch {
			case !j.accepted:
				out.NotAccepted++
			case j.finalState == "":
				out.Unfinished++
				r.checkJobKnown(j)
			}
			if j.accepted && !j.firstSubmitted.Before(r.holdStart) && j.firstSubmitted.Before(r.holdEnd) {
				m.acceptLatency[j.spec.Urgency].record(j.acceptedAt.Sub(j.firstSubmitted))
			}
		}
		if r.world.started == 0 {
			r.fail("nothing_ran", "no task was started")
		}
		out.Violations = slices.Clone(r.violations)
	})
	for u, l := range m.acceptLatency {
		out.Accept[u.String()], out.Start[u.String()] = l.quantiles(), m.startLatency[u].quantiles()
	}
	out.UrgentLate = float64(m.lateUrgentStarts) / float64(max(1, m.startLatency[spec.Urgent].TotalCount()))
	out.ConfigAccepted, out.ConfigApplied = m.configAccepted.quantiles(), m.configApplied.quantiles()
	out.Starts, out.Running, out.Killed = perSecond(m.atHoldEnd.started-m.atHoldStart.started), m.atHoldEnd.running, m.atHoldEnd.killed-m.atHoldStart.killed
	for _, p := range r.processes {
		u := m.nodes[p.node.name]
		out.Controllers = append(out.Controllers, ControllerUsage{p.node.name, u.leaderTime.Seconds(), u.cpuTime.Seconds() / hold.Seconds(), u.peakCores, megabytes(u.memory), megabytes(u.peakMemory)})
	}
	out.State = StoreUsage{perSecond(m.atHoldEnd.requests - m.atHoldStart.requests), perSecond(m.atHoldEnd.writes - m.atHoldStart.writes), perSecond(m.atHoldEnd.rejected - m.atHoldStart.rejected), map[string]float64{}}
	for kind, n := range m.atHoldEnd.writesByKind {
		out.State.ByKind[kind] = perSecond(n - m.atHoldStart.writesByKind[kind])
	}
	out.Records = m.atHoldEnd.recordsByKind
	bytes := ratesPerWorker(m.atHoldStart.bytes, m.atHoldEnd.bytes, hold)
	out.Worker = WorkerUsage{Heartbeats: mean(ratesPerWorker(m.atHoldStart.reports, m.atHoldEnd.reports, hold)), Bytes: mean(bytes), BytesP99: quantile(bytes, 0.99), BytesMax: quantile(bytes, 1), OverBudget: fractionAbove(bytes, workerBytesBudget)}
	for kind, x := range m.atHoldEnd.traffic {
		before := m.atHoldStart.traffic[kind]
		out.Messages[kind] = tally{int64(perSecond(int(x.Messages - before.Messages))), int64(perSecond(int(x.Bytes - before.Bytes)))}
	}
	r.errorsMu.Lock()
	out.Errors = slices.Clone(r.errors)
	r.errorsMu.Unlock()
	return out
}

// maxPollGap bounds the time since the last answered poll of an unfinished job at the end of the
// run.
const maxPollGap = 75 * time.Second

// checkJobKnown checks that polls of an accepted, unfinished job are still answered.
func (r *scaleRun) checkJobKnown(j *userJob) {
	if r.now.Sub(laterOf(j.lastAnswered, j.acceptedAt)) > maxPollGap {
		r.fail("forgotten", "polls of job %s are no longer answered", j.spec.ID)
	}
}

func printTallyRows(w io.Writer, tallies map[string]tally) {
	for _, kind := range slices.Sorted(maps.Keys(tallies)) {
		fmt.Fprintf(w, "%s\t%d\t%d\t\n", kind, tallies[kind].Messages, tallies[kind].Bytes)
	}
}

func printQuantilesRow(w io.Writer, name string, q Quantiles) {
	fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t\n", name, q.Count, q.P50, q.P99, q.P999, q.Max)
}

func megabytes(n int64) float64 { return float64(n) / (1 << 20) }

// Print writes the report as text tables.
func (r *ScaleReport) Print(out io.Writer) {
	p := &r.Plan
	fmt.Fprintf(out, "%d workers in %d zones of %d regions, %d controllers, %d teams; hold of %.0f s, seed %d\n", p.Workers, p.Zones, p.Regions, p.Controllers, p.Teams, r.HoldSeconds, p.Seed)
	fmt.Fprintf(out, "starts %.0f a second (planned %.0f), running %d (planned %d), killed by their lease %d\n", r.Starts, p.Tasks, r.Running, p.Running, r.Killed)
	fmt.Fprintf(out, "jobs %d, not accepted %d, unfinished after the drain %d; urgent tasks later than %s: %.2f%%\n\n", r.Jobs, r.NotAccepted, r.Unfinished, urgentStartTarget, 100*r.UrgentLate)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\tcount\tp50 s\tp99 s\tp99.9 s\tmax s\t")
	for _, kind := range []struct {
		name string
		of   map[string]Quantiles
	}{{"accepted", r.Accept}, {"started", r.Start}} {
		for _, u := range []spec.Urgency{spec.Urgent, spec.Standard, spec.Idle} {
			printQuantilesRow(w, kind.name+" "+u.String(), kind.of[u.String()])
		}
	}
	if r.ConfigAccepted.Count > 0 {
		printQuantilesRow(w, "changes told", r.ConfigAccepted)
		printQuantilesRow(w, "and in force", r.ConfigApplied)
	}
	fmt.Fprintln(w, "\n\tled s\tcores\tpeak\tMB\tpeak MB\t")
	for _, c := range r.Controllers {
		fmt.Fprintf(w, "%s\t%.0f\t%.3f\t%.3f\t%.0f\t%.0f\t\n", c.Name, c.LeaderSeconds, c.CPU, c.PeakCPU, c.Memory, c.PeakMB)
	}
	w.Flush()
	fmt.Fprintf(out, "\nstate service: %.1f requests, %.1f changes, %.1f refused a second\n", r.State.Requests, r.State.Writes, r.State.Rejected)
	for _, kind := range slices.Sorted(maps.Keys(r.State.ByKind)) {
		fmt.Fprintf(out, "  %s %.1f\n", kind, r.State.ByKind[kind])
	}
	fmt.Fprintf(out, "a worker: %.2f reports, %.0f bytes a second, p99 %.0f, most %.0f; %.1f%% of them above %d\n",
		r.Worker.Heartbeats, r.Worker.Bytes, r.Worker.BytesP99, r.Worker.BytesMax, 100*r.Worker.OverBudget, workerBytesBudget)
	if c := r.Worker.Cost; c.Heartbeats > 0 {
		fmt.Fprintf(out, "a report with %d tasks costs a worker %.0f us of a core: %.3f%% of a core at that rate; its process holds %.0f MB\n",
			c.Tasks, 1e6*c.Seconds, 100*c.Seconds*r.Worker.Heartbeats, c.MemoryMB)
	}
	w = tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\nmessages\ta second\tbytes a second\t")
	printTallyRows(w, r.Messages)
	fmt.Fprintln(w, "\nrecords\tnumber\tbytes\t")
	printTallyRows(w, r.Records)
	w.Flush()
	for _, v := range r.Violations {
		fmt.Fprintf(out, "rule violated at %s\n", v)
	}
	for _, e := range r.Errors {
		fmt.Fprintf(out, "error: %s\n", e)
	}
}
