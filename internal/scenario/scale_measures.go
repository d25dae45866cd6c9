package scenario

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"yewpass/internal/spec"
)

// latencies is a distribution of times.
type latencies struct{ *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3)}
}

func (l latencies) record(d time.Duration) { l.RecordValue(max(1, d.Milliseconds())) }

// Quantiles are of a distribution, in seconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

func (l latencies) quantiles() Quantiles {
	at := func(q float64) float64 { return float64(l.ValueAtQuantile(q)) / 1000 }
	return Quantiles{l.TotalCount(), at(50), at(99), at(99.9), float64(l.Max()) / 1000}
}

// usageSample is what a process had used at a time.
type usageSample struct {
	pid    int
	cpu    time.Duration
	memory int64 // resident bytes
}

// clockTicks is how many ticks of processor time the system counts a second.
const clockTicks = 100

// sampleProcess reads what a process of this system has used.
func sampleProcess(pid int) (u usageSample, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	f := strings.Fields(rest)
	if len(f) < 22 {
		return u, fmt.Errorf("/proc/%d/stat: too short", pid)
	}
	ticks := 0
	for _, field := range f[11:13] { // user and system time
		n, err := strconv.Atoi(field)
		if err != nil {
			return u, err
		}
		ticks += n
	}
	pages, err := strconv.ParseInt(f[21], 10, 64)
	return usageSample{pid, time.Duration(ticks) * time.Second / clockTicks, pages * int64(os.Getpagesize())}, err
}

// nodeUsage follows a controller's processor time and memory through the hold.
type nodeUsage struct {
	last           usageSample
	at             time.Time
	used           time.Duration // in the hold, over all processes of that name
	peak           float64       // cores, over a sample
	memory, memMax int64
	ledFor         time.Duration // of the hold
}

// measures is what a run measures.
type measures struct {
	accepts    map[spec.Urgency]latencies
	starts     map[spec.Urgency]latencies
	urgentLate int64
	changes    latencies // of configuration, until their users are told
	inForce    latencies // from then on, until every controller in reach has them
	nodes      map[string]*nodeUsage
	holding    bool
	at         counters // as the hold began
	over       counters // as it ended
}

// counters are those of the world at a time.
type counters struct {
	at                       time.Time
	started, killed, running int
	requests, puts, refused  int
	bytes, reports           map[string]int64 // by worker
	traffic                  map[string]tally
	records                  map[string]tally // in the state service, by kind
	changed                  map[string]int   // changes there, by kind
}

func (m *measures) begin(r *scaleRun) {
	m.accepts, m.starts = map[spec.Urgency]latencies{}, map[spec.Urgency]latencies{}
	for _, u := range []spec.Urgency{spec.Idle, spec.Standard, spec.Urgent} {
		m.accepts[u], m.starts[u] = newLatencies(), newLatencies()
	}
	m.changes, m.inForce = newLatencies(), newLatencies()
	m.nodes = map[string]*nodeUsage{}
	for _, p := range r.processes {
		m.nodes[p.n.name] = &nodeUsage{}
	}
	r.with(func() { r.world.onStart = r.started })
}

func (m *measures) holdBegins(r *scaleRun) {
	m.at = m.count(r)
	m.holding = true
	m.sample(r)
}

func (m *measures) holdEnds(r *scaleRun) {
	m.sample(r)
	m.holding = false
	m.over = m.count(r)
}

func (m *measures) count(r *scaleRun) counters {
	c := counters{running: r.running(), bytes: map[string]int64{}, reports: map[string]int64{}, traffic: r.traffic.byKind()}
	r.with(func() {
		c.at, c.started, c.killed = r.now, r.world.started, r.expiredTasks
		c.requests, c.puts, c.refused = r.store.requests, r.store.writes, r.store.refused
		c.records, c.changed = r.store.byKind(), maps.Clone(r.store.writesByKind)
	})
	r.linksMu.Lock()
	defer r.linksMu.Unlock()
	for host, link := range r.links {
		c.bytes[host], c.reports[host] = link.bytes.Load(), link.reports.Load()
	}
	return c
}

// byKind counts the records that the service has, with their bytes, by the kind that they
// say they are of.
func (s *store) byKind() map[string]tally {
	kinds := map[string]tally{}
	for key, e := range s.keys {
		var tag struct{ Type string }
		if json.Unmarshal(e.value, &tag) != nil || tag.Type == "" {
			tag.Type = "other"
		}
		t := kinds[tag.Type]
		t.Messages++
		t.Bytes += int64(len(key) + len(e.value))
		kinds[tag.Type] = t
	}
	return kinds
}

// sample reads what the controllers use.
func (m *measures) sample(r *scaleRun) {
	if !m.holding {
		return
	}
	for _, p := range r.processes {
		u := m.nodes[p.n.name]
		if !p.runs() {
			continue
		}
		now := time.Now()
		s, err := sampleProcess(p.cmd.Process.Pid)
		if err != nil {
			continue // it has just ended
		}
		if s.pid == u.last.pid {
			if d := now.Sub(u.at); d > 500*time.Millisecond {
				u.peak = max(u.peak, (s.cpu-u.last.cpu).Seconds()/d.Seconds())
			}
			u.used += s.cpu - u.last.cpu
			if p.leads() {
				u.ledFor += now.Sub(u.at)
			}
		}
		u.last, u.at = s, now
		u.memory, u.memMax = s.memory, max(u.memMax, s.memory)
	}
}

// perSecond returns each worker's amount a second over the hold, sorted.
func perSecond(from, to map[string]int64, d time.Duration) []float64 {
	var out []float64
	for host, n := range to {
		out = append(out, float64(n-from[host])/d.Seconds())
	}
	slices.Sort(out)
	return out
}

func mean(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum / float64(max(1, len(xs)))
}

// quantile is of sorted numbers.
func quantile(xs []float64, q float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	return xs[min(len(xs)-1, int(q*float64(len(xs))))]
}
