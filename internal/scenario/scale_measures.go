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

// latencyHistogram is a histogram of durations with a resolution of 1 ms.
type latencyHistogram struct{ *hdrhistogram.Histogram }

func newLatencyHistogram() latencyHistogram {
	return latencyHistogram{hdrhistogram.New(1, int64(time.Hour/time.Millisecond), 3)}
}

func (l latencyHistogram) record(d time.Duration) { l.RecordValue(max(1, d.Milliseconds())) }

// Quantiles summarizes a latency distribution, in seconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

func (l latencyHistogram) quantiles() Quantiles {
	at := func(q float64) float64 { return float64(l.ValueAtQuantile(q)) / 1000 }
	return Quantiles{l.TotalCount(), at(50), at(99), at(99.9), float64(l.Max()) / 1000}
}

// processUsage is the resource usage of a process at one time.
type processUsage struct {
	pid    int
	cpu    time.Duration
	memory int64 // resident bytes
}

// clockTicks is the number of ticks per second in which /proc reports CPU time.
const clockTicks = 100

// readProcessUsage reads the resource usage of a process from /proc.
func readProcessUsage(pid int) (u processUsage, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	f := strings.Fields(rest)
	if len(f) < 22 {
		return u, fmt.Errorf("/proc/%d/stat has too few fields", pid)
	}
	ticks := 0
	for _, field := range f[11:13] { // utime and stime
		n, err := strconv.Atoi(field)
		if err != nil {
			return u, err
		}
		ticks += n
	}
	pages, err := strconv.ParseInt(f[21], 10, 64)
	return processUsage{pid, time.Duration(ticks) * time.Second / clockTicks, pages * int64(os.Getpagesize())}, err
}

// nodeUsage accumulates a controller's CPU time and memory during the hold.
type nodeUsage struct {
	lastSample         processUsage
	lastSampledAt      time.Time
	cpuTime            time.Duration // during the hold, over all processes of this controller
	peakCores          float64       // highest over one sample interval
	memory, peakMemory int64
	leaderTime         time.Duration // time as leader during the hold
}

// measurements are the raw data of a load test.
type measurements struct {
	acceptLatency    map[spec.Urgency]latencyHistogram
	startLatency     map[spec.Urgency]latencyHistogram
	lateUrgentStarts int64
	configAccepted   latencyHistogram // from sending a configuration change to its acknowledgement
	configApplied    latencyHistogram // from then until every reachable controller applied it
	nodes            map[string]*nodeUsage
	holding          bool
	atHoldStart      counters
	atHoldEnd        counters
}

// counters are the cumulative counts of the simulated services at one time.
type counters struct {
	at                         time.Time
	started, killed, running   int
	requests, writes, rejected int
	bytes, reports             map[string]int64 // by worker
	traffic                    map[string]tally
	recordsByKind              map[string]tally // in the key-value store
	writesByKind               map[string]int
}

func (m *measurements) init(r *scaleRun) {
	m.acceptLatency, m.startLatency = map[spec.Urgency]latencyHistogram{}, map[spec.Urgency]latencyHistogram{}
	for _, u := range []spec.Urgency{spec.Idle, spec.Standard, spec.Urgent} {
		m.acceptLatency[u], m.startLatency[u] = newLatencyHistogram(), newLatencyHistogram()
	}
	m.configAccepted, m.configApplied = newLatencyHistogram(), newLatencyHistogram()
	m.nodes = map[string]*nodeUsage{}
	for _, p := range r.processes {
		m.nodes[p.node.name] = &nodeUsage{}
	}
	r.with(func() { r.world.onStart = r.recordStart })
}

func (m *measurements) startHold(r *scaleRun) {
	m.atHoldStart = m.readCounters(r)
	m.holding = true
	m.sample(r)
}

func (m *measurements) endHold(r *scaleRun) {
	m.sample(r)
	m.holding = false
	m.atHoldEnd = m.readCounters(r)
}

func (m *measurements) readCounters(r *scaleRun) counters {
	c := counters{running: r.runningTasks(), bytes: map[string]int64{}, reports: map[string]int64{}, traffic: r.traffic.byKind()}
	r.with(func() {
		c.at, c.started, c.killed = r.now, r.world.started, r.expiredTasks
		c.requests, c.writes, c.rejected = r.store.requests, r.store.writes, r.store.refused
		c.recordsByKind, c.writesByKind = r.store.recordsByKind(), maps.Clone(r.store.writesByKind)
	})
	r.linksMu.Lock()
	defer r.linksMu.Unlock()
	for host, link := range r.links {
		c.bytes[host], c.reports[host] = link.bytes.Load(), link.reports.Load()
	}
	return c
}

// recordsByKind returns the number and size of the stored records by the type that they contain.
func (s *store) recordsByKind() map[string]tally {
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

// sample updates the controllers' resource usage. It does nothing outside the hold.
func (m *measurements) sample(r *scaleRun) {
	if !m.holding {
		return
	}
	for _, p := range r.processes {
		u := m.nodes[p.node.name]
		if !p.runs() {
			continue
		}
		now := time.Now()
		s, err := readProcessUsage(p.cmd.Process.Pid)
		if err != nil {
			continue // the process has just exited
		}
		if s.pid == u.lastSample.pid {
			if d := now.Sub(u.lastSampledAt); d > 500*time.Millisecond {
				u.peakCores = max(u.peakCores, (s.cpu-u.lastSample.cpu).Seconds()/d.Seconds())
			}
			u.cpuTime += s.cpu - u.lastSample.cpu
			if p.isLeader() {
				u.leaderTime += now.Sub(u.lastSampledAt)
			}
		}
		u.lastSample, u.lastSampledAt = s, now
		u.memory, u.peakMemory = s.memory, max(u.peakMemory, s.memory)
	}
}

// ratesPerWorker returns the increase per second of each worker's counter, in ascending order.
func ratesPerWorker(from, to map[string]int64, d time.Duration) []float64 {
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

// quantile returns the q-quantile of sorted values, or 0 if there are none.
func quantile(xs []float64, q float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	return xs[min(len(xs)-1, int(q*float64(len(xs))))]
}
