package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a machine and the worker on it, as the protocol describes them.
type worker struct {
	c       *cluster
	host    string
	address string
	typ     *machineType
	offer   offer
	client  *http.Client

	mu                     sync.Mutex
	created, booted, gone  time.Time
	tenure, counter, epoch uint64
	node                   int
	tasks                  []*task
	images                 map[string]time.Time // when each is there
	lastAnswered           time.Time            // send time of the last answered report
	lastToken              time.Time            // when a higher token last counted as a change
	wake                   chan struct{}        // something has changed
	sickUntil              time.Time            // until then every task that starts fails
}

// task is one attempt of a task on a machine.
type task struct {
	shard  string
	job    *job
	try    uint64
	status string
	cause  string
}

func newWorker(c *cluster, host string, t *machineType, o offer) *worker {
	m := &worker{c: c, host: host, typ: t, offer: o, created: time.Now(), images: map[string]time.Time{}, wake: make(chan struct{}, 1),
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", m.serveDo)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.alive() {
			w.Write(m.report())
		} else {
			panic(http.ErrAbortHandler)
		}
	})
	m.address = c.serve(mux)
	m.node = rand.IntN(1 << 20)
	return m
}

func (m *worker) times() (created, booted, gone time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.created, m.booted, m.gone
}

func (m *worker) alive() bool { return !m.booted.IsZero() && m.gone.IsZero() }

// terminate ends the machine with all that is on it. It returns false if it is gone already.
func (m *worker) terminate() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.gone.IsZero() {
		return false
	}
	m.gone = time.Now()
	m.tasks = nil
	return true
}

func (m *worker) boot() {
	m.mu.Lock()
	if !m.gone.IsZero() {
		m.mu.Unlock()
		return
	}
	m.booted, m.lastAnswered, m.tenure = time.Now(), time.Now(), 1
	m.mu.Unlock()
	m.c.rec.add("%s is up", m.host)
	go m.watchLease()
	m.reportLoop()
}

// watchLease ends the session when the lease runs out.
func (m *worker) watchLease() {
	for {
		select {
		case <-m.c.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		m.mu.Lock()
		if !m.alive() {
			m.mu.Unlock()
			return
		}
		if time.Since(m.lastAnswered) > m.c.site.lease {
			m.c.rec.add("%s: lease expired, %d tasks forgotten", m.host, len(m.tasks))
			m.tenure++
			m.tasks, m.lastAnswered = nil, time.Now()
			m.changed()
		}
		m.mu.Unlock()
	}
}

// changed makes the next report due at once.
func (m *worker) changed() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *worker) reportLoop() {
	for {
		m.mu.Lock()
		if !m.alive() {
			m.mu.Unlock()
			return
		}
		select {
		case <-m.wake:
		default:
		}
		body, sent, tenure := m.report(), time.Now(), m.tenure
		node := m.c.nodes[m.node%len(m.c.nodes)]
		m.mu.Unlock()
		wait := m.send(node, body, sent, tenure)
		if wait == 0 {
			next := time.Duration((0.75 + 0.5*rand.Float64()) * float64(m.c.site.report))
			select {
			case <-time.After(time.Until(sent.Add(next))):
			case <-m.wake:
				time.Sleep(time.Until(sent.Add(500 * time.Millisecond)))
			case <-m.c.done:
				return
			}
			continue
		}
		select {
		case <-time.After(wait):
		case <-m.c.done:
			return
		}
	}
}

// report returns the body of a report and counts it. The caller holds the lock.
func (m *worker) report() []byte {
	m.counter++
	shards := []object{}
	for _, t := range m.tasks {
		o := object{"shard": t.shard, "try": t.try, "status": t.status}
		if t.status == "exited" {
			o["cause"] = t.cause
		}
		shards = append(shards, o)
	}
	return encode(object{"host": m.host, "address": m.address, "flavor": m.typ.name, "hall": m.offer.hall, "reclaimable": m.offer.spot,
		"tenure": m.tenure, "counter": m.counter, "epoch": m.epoch, "warningS": nil, "shards": shards})
}

type orders []struct {
	Verb   string  `json:"verb"`
	Shard  string  `json:"shard"`
	Try    uint64  `json:"try"`
	DrainS float64 `json:"drainS"`
}

// send sends a report and processes the response. It returns how long to wait before the next
// report after a failure, or 0.
func (m *worker) send(n *controller, body []byte, sent time.Time, tenure uint64) time.Duration {
	resp, err := m.client.Post("http://"+n.client+"/hello", "application/json", bytes.NewReader(body))
	var data []byte
	if err == nil {
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil && resp.StatusCode == http.StatusMisdirectedRequest {
		var a struct {
			Upstream string `json:"upstream"`
		}
		json.Unmarshal(data, &a)
		i := slices.IndexFunc(m.c.nodes, func(x *controller) bool { return x.name == a.Upstream })
		if i >= 0 && i != m.node%len(m.c.nodes) {
			m.node = i
			return time.Millisecond + time.Duration(rand.Int64N(int64(500*time.Millisecond)))
		}
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		m.node++
		return time.Second
	}
	var a struct {
		Epoch  uint64 `json:"epoch"`
		Orders orders `json:"orders"`
	}
	if json.Unmarshal(data, &a) != nil || a.Epoch < m.epoch || tenure != m.tenure || !m.alive() {
		return 0
	}
	m.lastAnswered = sent
	m.sawToken(a.Epoch)
	for _, o := range a.Orders {
		m.execute(o.Verb, o.Shard, o.Try)
	}
	return 0
}

func (m *worker) sawToken(epoch uint64) {
	if epoch > m.epoch {
		m.epoch = epoch
		if time.Since(m.lastToken) > m.c.site.lease/2 {
			m.lastToken = time.Now()
			m.changed()
		}
	}
}

func (m *worker) serveDo(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Epoch, Tenure *uint64
		Orders        orders
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil || q.Epoch == nil || q.Tenure == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.alive() {
		panic(http.ErrAbortHandler) // a machine that is gone answers nothing
	}
	if *q.Epoch < m.epoch || *q.Tenure != m.tenure {
		w.WriteHeader(http.StatusConflict)
	} else {
		m.sawToken(*q.Epoch)
		for _, o := range q.Orders {
			m.execute(o.Verb, o.Shard, o.Try)
		}
	}
	w.Write(m.report())
}

func (m *worker) execute(verb, shard string, try uint64) {
	i := slices.IndexFunc(m.tasks, func(t *task) bool { return t.shard == shard && t.try == try })
	switch {
	case verb == "start" && i < 0:
		m.start(shard, try)
		m.changed()
	case verb == "stop" && i >= 0 && m.tasks[i].status != "exited":
		m.exit(m.tasks[i], "stopped")
	case verb == "reap" && i >= 0 && m.tasks[i].status == "exited":
		m.tasks = slices.Delete(m.tasks, i, i+1)
		m.changed()
	}
}

func (m *worker) exit(t *task, cause string) {
	t.status, t.cause = "exited", cause
	m.c.rec.add("%s: %s try %d exited, %s", m.host, t.shard, t.try, cause)
	m.changed()
}

func (m *worker) start(shard string, try uint64) {
	id, index, _ := strings.Cut(shard, "/")
	t := &task{shard: shard, try: try, status: "pulling", job: m.c.findJob(id)}
	n, err := strconv.Atoi(index)
	m.c.rec.add("%s: %s try %d ordered to start", m.host, shard, try)
	busy, cpus, mem := false, 0.0, 0.0
	for _, x := range m.tasks {
		if x.status != "exited" {
			busy = busy || x.shard == shard
			cpus, mem = cpus+x.job.cpus, mem+x.job.memGB
		}
	}
	m.tasks = append(m.tasks, t)
	switch {
	case t.job == nil || err != nil || n >= t.job.shards:
		m.exit(t, "no_such")
		return
	case busy:
		m.exit(t, "busy")
		return
	case cpus+t.job.cpus > m.typ.cpus || mem+t.job.memGB > m.typ.memGB:
		m.exit(t, "no_room")
		return
	}
	ready, ok := m.images[t.job.image]
	if !ok {
		ready = time.Now().Add(time.Duration(t.job.imageGB / m.typ.fetchRate * float64(time.Second)))
		m.images[t.job.image] = ready
	}
	m.later(t, time.Until(ready), func() { m.run(t) })
}

// later calls f with the lock held, unless the task has ended by then.
func (m *worker) later(t *task, d time.Duration, f func()) {
	time.AfterFunc(max(d, 0), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.alive() && slices.Contains(m.tasks, t) && t.status != "exited" {
			f()
		}
	})
}

func (m *worker) run(t *task) {
	t.status = "running"
	m.c.rec.add("%s: %s try %d runs", m.host, t.shard, t.try)
	m.changed()
	switch {
	case time.Now().Before(m.sickUntil):
		m.later(t, 300*time.Millisecond, func() { m.exit(t, "error") })
	case t.job.isDone(t.shard):
		m.exit(t, "done")
	case !t.job.service:
		m.later(t, t.job.run, func() {
			t.job.setDone(t.shard)
			m.exit(t, "done")
		})
	}
}

// used returns the CPUs of the tasks on the machine, and whether it is up.
func (m *worker) used() (cpus float64, up bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.tasks {
		if t.status != "exited" {
			cpus += t.job.cpus
		}
	}
	return cpus, m.alive()
}
