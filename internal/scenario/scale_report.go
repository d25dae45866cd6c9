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

// ScaleReport is what a scale run has measured, over the hold unless said otherwise.
type ScaleReport struct {
	Plan        ScalePlan            `json:"plan"`
	HoldSeconds float64              `json:"holdSeconds"`
	Accept      map[string]Quantiles `json:"acceptSeconds"` // by urgency, of jobs submitted in the hold
	Start       map[string]Quantiles `json:"startSeconds"`  // from the first submission to the task on its machine
	UrgentLate  float64              `json:"urgentLate"`    // part of the urgent tasks that started later than planned
	Starts      float64              `json:"startsPerSecond"`
	Running     int                  `json:"running"` // as the hold ended
	Killed      int                  `json:"killedByLease"`
	Jobs        int                  `json:"jobs"` // of the whole run
	NotAccepted int                  `json:"jobsNotAccepted"`
	Unfinished  int                  `json:"jobsUnfinished"` // accepted, and not over after the drain
	Changes     Quantiles            `json:"changeSeconds"`  // of configuration, until its user was told
	InForce     Quantiles            `json:"inForceSeconds"` // from then on, until every controller in reach had it
	Controllers []ControllerUse      `json:"controllers"`
	State       StateUse             `json:"state"`
	Worker      WorkerUse            `json:"worker"`
	Messages    map[string]tally     `json:"messages"` // a second, by kind
	Records     map[string]tally     `json:"records"`  // in the state service as the hold ended: number and bytes
	Violations  []string             `json:"violations"`
	Errors      []string             `json:"errors"`
}

// ControllerUse is what a controller took.
type ControllerUse struct {
	Name     string  `json:"name"`
	Led      float64 `json:"ledSeconds"`
	CPU      float64 `json:"cores"`
	CPUPeak  float64 `json:"coresPeak"` // over about a second
	Memory   float64 `json:"memoryMB"`  // resident, as the hold ended
	MemoryHi float64 `json:"memoryPeakMB"`
}

// StateUse is what the state service was asked for, a second.
type StateUse struct {
	Requests float64            `json:"requestsPerSecond"`
	Changes  float64            `json:"changesPerSecond"`
	Refused  float64            `json:"refusedPerSecond"`
	ByKind   map[string]float64 `json:"changesByKind"` // a second
}

// WorkerUse is what control takes of a worker.
type WorkerUse struct {
	Reports   float64    `json:"reportsPerSecond"` // mean
	Bytes     float64    `json:"bytesPerSecond"`   // mean, both ways with HTTP's headers
	BytesP99  float64    `json:"bytesPerSecondP99"`
	BytesMost float64    `json:"bytesPerSecondMost"`
	Over      float64    `json:"overBudget"` // part of the workers above the plan's bytes a second
	Cost      ReportCost `json:"reportCost"`
}

// bytesBudget is what the plan allows control to take of a worker's network, a second.
const bytesBudget = 4 << 10

// partAbove is the part of sorted numbers that are above a bound.
func partAbove(xs []float64, bound float64) float64 {
	i, _ := slices.BinarySearch(xs, bound)
	return float64(len(xs)-i) / float64(max(1, len(xs)))
}

// Broken reports whether a rule was broken or something was lost.
func (r *ScaleReport) Broken() bool { return len(r.Violations) > 0 || len(r.Errors) > 0 }

// report makes the report of a run that is over.
func (r *scaleRun) report() *ScaleReport {
	m := &r.measures
	hold := m.over.at.Sub(m.at.at)
	out := &ScaleReport{Plan: r.plan, HoldSeconds: hold.Seconds(), Accept: map[string]Quantiles{}, Start: map[string]Quantiles{}, Messages: map[string]tally{}}
	per := func(n int) float64 { return float64(n) / hold.Seconds() }
	r.with(func() {
		for _, j := range r.jobOrder {
			out.Jobs++
			switch {
			case !j.accepted:
				out.NotAccepted++
			case j.finalState == "":
				out.Unfinished++
				r.checkKnown(j)
			}
			if j.accepted && !j.firstSubmitted.Before(r.began) && j.firstSubmitted.Before(r.ended) {
				m.accepts[j.spec.Urgency].record(j.acceptedAt.Sub(j.firstSubmitted))
			}
		}
		if r.world.started == 0 {
			r.fail("nothing_ran", "no task was started")
		}
		out.Violations = slices.Clone(r.violations)
	})
	for u, l := range m.accepts {
		out.Accept[u.String()], out.Start[u.String()] = l.quantiles(), m.starts[u].quantiles()
	}
	out.UrgentLate = float64(m.urgentLate) / float64(max(1, m.starts[spec.Urgent].TotalCount()))
	out.Changes, out.InForce = m.changes.quantiles(), m.inForce.quantiles()
	out.Starts, out.Running, out.Killed = per(m.over.started-m.at.started), m.over.running, m.over.killed-m.at.killed
	for _, p := range r.processes {
		u := m.nodes[p.n.name]
		out.Controllers = append(out.Controllers, ControllerUse{p.n.name, u.ledFor.Seconds(), u.used.Seconds() / hold.Seconds(), u.peak, megabytes(u.memory), megabytes(u.memMax)})
	}
	out.State = StateUse{per(m.over.requests - m.at.requests), per(m.over.puts - m.at.puts), per(m.over.refused - m.at.refused), map[string]float64{}}
	for kind, n := range m.over.changed {
		out.State.ByKind[kind] = per(n - m.at.changed[kind])
	}
	out.Records = m.over.records
	bytes := perSecond(m.at.bytes, m.over.bytes, hold)
	out.Worker = WorkerUse{Reports: mean(perSecond(m.at.reports, m.over.reports, hold)), Bytes: mean(bytes), BytesP99: quantile(bytes, 0.99), BytesMost: quantile(bytes, 1), Over: partAbove(bytes, bytesBudget)}
	for kind, x := range m.over.traffic {
		was := m.at.traffic[kind]
		out.Messages[kind] = tally{int64(per(int(x.Messages - was.Messages))), int64(per(int(x.Bytes - was.Bytes)))}
	}
	r.errorsMu.Lock()
	out.Errors = slices.Clone(r.errors)
	r.errorsMu.Unlock()
	return out
}

// knownWithin is how long before the end a poll of an unfinished job must have been answered.
const knownWithin = 75 * time.Second

// checkKnown holds that an accepted job that is not over is still known.
func (r *scaleRun) checkKnown(j *userJob) {
	if r.now.Sub(laterOf(j.lastAnswered, j.acceptedAt)) > knownWithin {
		r.fail("forgotten", "no poll of %s is answered any more", j.spec.ID)
	}
}

func tallyRows(w io.Writer, tallies map[string]tally) {
	for _, kind := range slices.Sorted(maps.Keys(tallies)) {
		fmt.Fprintf(w, "%s\t%d\t%d\t\n", kind, tallies[kind].Messages, tallies[kind].Bytes)
	}
}

func quantilesRow(w io.Writer, name string, q Quantiles) {
	fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t\n", name, q.Count, q.P50, q.P99, q.P999, q.Max)
}

func megabytes(n int64) float64 { return float64(n) / (1 << 20) }

// Print writes the report as a table.
func (r *ScaleReport) Print(out io.Writer) {
	p := &r.Plan
	fmt.Fprintf(out, "%d workers in %d zones of %d regions, %d controllers, %d teams; hold of %.0f s, seed %d\n", p.Workers, p.Zones, p.Regions, p.Controllers, p.Teams, r.HoldSeconds, p.Seed)
	fmt.Fprintf(out, "starts %.0f a second (planned %.0f), running %d (planned %d), killed by their lease %d\n", r.Starts, p.Tasks, r.Running, p.Running, r.Killed)
	fmt.Fprintf(out, "jobs %d, not accepted %d, unfinished after the drain %d; urgent tasks later than %s: %.2f%%\n\n", r.Jobs, r.NotAccepted, r.Unfinished, urgentWithin, 100*r.UrgentLate)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\tcount\tp50 s\tp99 s\tp99.9 s\tmax s\t")
	for _, kind := range []struct {
		name string
		of   map[string]Quantiles
	}{{"accepted", r.Accept}, {"started", r.Start}} {
		for _, u := range []spec.Urgency{spec.Urgent, spec.Standard, spec.Idle} {
			quantilesRow(w, kind.name+" "+u.String(), kind.of[u.String()])
		}
	}
	if r.Changes.Count > 0 {
		quantilesRow(w, "changes told", r.Changes)
		quantilesRow(w, "and in force", r.InForce)
	}
	fmt.Fprintln(w, "\n\tled s\tcores\tpeak\tMB\tpeak MB\t")
	for _, c := range r.Controllers {
		fmt.Fprintf(w, "%s\t%.0f\t%.3f\t%.3f\t%.0f\t%.0f\t\n", c.Name, c.Led, c.CPU, c.CPUPeak, c.Memory, c.MemoryHi)
	}
	w.Flush()
	fmt.Fprintf(out, "\nstate service: %.1f requests, %.1f changes, %.1f refused a second\n", r.State.Requests, r.State.Changes, r.State.Refused)
	for _, kind := range slices.Sorted(maps.Keys(r.State.ByKind)) {
		fmt.Fprintf(out, "  %s %.1f\n", kind, r.State.ByKind[kind])
	}
	fmt.Fprintf(out, "a worker: %.2f reports, %.0f bytes a second, p99 %.0f, most %.0f; %.1f%% of them above %d\n",
		r.Worker.Reports, r.Worker.Bytes, r.Worker.BytesP99, r.Worker.BytesMost, 100*r.Worker.Over, bytesBudget)
	if c := r.Worker.Cost; c.Reports > 0 {
		fmt.Fprintf(out, "a report with %d tasks costs a worker %.0f us of a core: %.3f%% of a core at that rate; its process holds %.0f MB\n",
			c.Tasks, 1e6*c.Seconds, 100*c.Seconds*r.Worker.Reports, c.MemoryMB)
	}
	w = tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\nmessages\ta second\tbytes a second\t")
	tallyRows(w, r.Messages)
	fmt.Fprintln(w, "\nrecords\tnumber\tbytes\t")
	tallyRows(w, r.Records)
	w.Flush()
	for _, v := range r.Violations {
		fmt.Fprintf(out, "rule broken at %s\n", v)
	}
	for _, e := range r.Errors {
		fmt.Fprintf(out, "error: %s\n", e)
	}
}
