package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// task is a task that a worker knows. Its JSON form is that of the reports.
type task struct {
	Shard  string `json:"shard"`
	Try    uint64 `json:"try"`
	Status string `json:"status"`
	Cause  string `json:"cause,omitempty"`

	started time.Time // when it got its image
}

type order struct {
	Verb   string  `json:"verb"`
	Shard  string  `json:"shard"`
	Try    uint64  `json:"try"`
	DrainS float64 `json:"drainS"`
}

// maxBody is the longest request body, and the longest line of a response.
const maxBody = 64 << 10

// worker is a stand-in for the worker of one machine.
type worker struct {
	world   *world
	machine *rented
	host    string
	address string

	mu       sync.Mutex
	tenure   uint64
	counter  uint64
	epoch    uint64
	tasks    []*task
	answered time.Time // when the last answered report was sent, or the session began
	images   map[string]time.Time
	ended    bool
	cut      bool // reaches no controller, and nobody reaches it
	tooLong  bool // a report that did not fit has been recorded

	changed  chan struct{}
	listener net.Listener
}

func (w *world) startWorker(m *rented) *worker {
	ln, err := net.Listen("tcp", ownAddress+":0")
	if err != nil {
		w.rec.add("worker %s cannot listen: %v", m.id, err)
		return nil
	}
	k := &worker{world: w, machine: m, host: m.id, address: ln.Addr().String(), tenure: 1, answered: time.Now(),
		images: map[string]time.Time{}, changed: make(chan struct{}, 1), listener: ln}
	mux := http.NewServeMux()
	mux.HandleFunc("/do", k.serveDo)
	mux.HandleFunc("/status", func(rw http.ResponseWriter, _ *http.Request) {
		k.mu.Lock()
		k.counter++
		body := k.body()
		k.mu.Unlock()
		rw.Write(body)
	})
	go http.Serve(ln, mux)
	go k.report()
	go k.watchLease()
	w.rec.add("worker %s is up in %s", k.host, m.hall)
	return k
}

// end ends the worker together with its machine.
func (k *worker) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
	for _, t := range k.tasks {
		k.world.left(k, t, "machine gone")
	}
	k.tasks = nil
	k.listener.Close()
}

func (k *worker) notify() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// body encodes the report. The caller holds the lock and has set the counter.
func (k *worker) body() []byte {
	tasks := k.tasks
	if tasks == nil {
		tasks = []*task{}
	}
	data, _ := json.Marshal(map[string]any{"host": k.host, "address": k.address, "flavor": k.machine.flavor.Name, "hall": k.machine.hall,
		"reclaimable": k.machine.spot, "tenure": k.tenure, "counter": k.counter, "epoch": k.epoch, "warningS": nil, "shards": tasks})
	return data
}

// watchLease kills every task when the lease ends.
func (k *worker) watchLease() {
	for range time.Tick(50 * time.Millisecond) {
		k.mu.Lock()
		if k.ended {
			k.mu.Unlock()
			return
		}
		if time.Since(k.answered).Seconds() > leaseS {
			k.world.rec.add("worker %s: the lease of session %d ends with %d tasks", k.host, k.tenure, len(k.tasks))
			for _, t := range k.tasks {
				k.world.left(k, t, "lease ended")
			}
			k.tasks, k.answered = nil, time.Now()
			k.tenure++
			k.notify()
		}
		k.mu.Unlock()
	}
}

// report sends reports until the machine is gone.
func (k *worker) report() {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	node := rand.IntN(len(k.world.controllers))
	for {
		sent := time.Now()
		k.mu.Lock()
		if k.ended {
			k.mu.Unlock()
			return
		}
		k.counter++
		tenure, cut, body := k.tenure, k.cut, k.body()
		if len(body) > maxBody { // it must list all tasks, and must not be sent
			cut = true
			if !k.tooLong {
				k.tooLong = true
				k.world.reportTooLong(k, len(k.tasks), len(body))
			}
		}
		k.mu.Unlock()
		status, upstream, orders, epoch := 0, "", []order(nil), uint64(0)
		if !cut {
			status, upstream, orders, epoch = k.post(client, k.world.controllers[node], body)
		}
		next := time.Duration((0.75 + 0.5*rand.Float64()) * reportS * float64(time.Second))
		switch {
		case status == 200:
			k.accept(tenure, sent, epoch, orders)
		case status == 421 && upstream != "" && k.world.index(upstream) >= 0 && k.world.index(upstream) != node:
			node, next = k.world.index(upstream), time.Duration(rand.IntN(500))*time.Millisecond
			client.CloseIdleConnections()
		default:
			node, next = (node+1)%len(k.world.controllers), time.Second
			client.CloseIdleConnections()
			time.Sleep(next)
			continue
		}
		timer := time.NewTimer(time.Until(sent.Add(next))) // counted from report to report
		select {
		case <-timer.C:
		case <-k.changed:
			timer.Stop()
		}
		time.Sleep(max(0, 500*time.Millisecond-time.Since(sent)))
	}
}

func (k *worker) post(client *http.Client, c *controller, body []byte) (status int, upstream string, orders []order, epoch uint64) {
	resp, err := client.Post("http://"+c.client+"/hello", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, "", nil, 0
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", nil, 0
	}
	for _, line := range bytes.Split(data, []byte("\n")) {
		if len(line) > maxBody {
			k.world.longLine(k, len(line))
		}
	}
	var r struct {
		Epoch    uint64
		Upstream string
		Orders   []order
	}
	if json.Unmarshal(data, &r) != nil {
		return 0, "", nil, 0
	}
	return resp.StatusCode, r.Upstream, r.Orders, r.Epoch
}

// accept executes the orders of an answered report, unless its token is too low.
func (k *worker) accept(tenure uint64, sent time.Time, epoch uint64, orders []order) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ended || tenure != k.tenure || epoch < k.epoch || time.Since(sent) > 4*time.Second {
		return
	}
	if epoch > k.epoch {
		k.epoch = epoch
		k.notify()
	}
	k.answered = sent
	k.execute(orders)
}

func (k *worker) serveDo(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Epoch, Tenure *uint64
		Orders        []order
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil || b.Epoch == nil || b.Tenure == nil {
		rw.WriteHeader(400)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cut {
		return
	}
	k.counter++
	if *b.Epoch < k.epoch || *b.Tenure != k.tenure {
		rw.WriteHeader(409)
		rw.Write(k.body())
		return
	}
	if *b.Epoch > k.epoch {
		k.epoch = *b.Epoch
		k.notify()
	}
	k.execute(b.Orders)
	rw.Write(k.body())
}

// execute executes orders in their order. The caller holds the lock.
func (k *worker) execute(orders []order) {
	for _, o := range orders {
		t := k.find(o)
		switch o.Verb {
		case "start":
			if t == nil {
				k.start(o)
			}
		case "stop":
			if t != nil && t.Status != "exited" {
				k.world.left(k, t, "stopped")
				t.Status, t.Cause = "exited", "stopped"
			}
		case "reap":
			for i, x := range k.tasks {
				if x == t && t.Status == "exited" {
					k.tasks = append(k.tasks[:i:i], k.tasks[i+1:]...)
					break
				}
			}
		}
	}
	if len(orders) > 0 {
		k.notify()
	}
}

func (k *worker) find(o order) *task {
	for _, t := range k.tasks {
		if t.Shard == o.Shard && t.Try == o.Try {
			return t
		}
	}
	return nil
}

func (k *worker) start(o order) {
	t := &task{Shard: o.Shard, Try: o.Try, Status: "pulling"}
	k.tasks = append(k.tasks, t)
	id, _, _ := strings.Cut(o.Shard, "/")
	d, known := k.world.ordered(k, o)
	if !known {
		t.Status, t.Cause = "exited", "no_such"
		return
	}
	ready, ok := k.images[d.bundle]
	if !ok {
		ready = time.Now().Add(time.Duration(d.sizeGB / k.machine.flavor.FetchGBPerS * float64(time.Second)))
		k.images[d.bundle] = ready
	}
	time.AfterFunc(max(0, time.Until(ready)), func() { k.run(t, id, d.run) })
}

func (k *worker) run(t *task, id string, length time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.holds(t) || t.Status != "pulling" {
		return
	}
	t.Status, t.started = "running", time.Now()
	k.world.entered(k, t)
	k.notify()
	if length == 0 {
		return // a replica of a service
	}
	time.AfterFunc(length, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.holds(t) && t.Status == "running" {
			k.world.left(k, t, "done")
			k.world.completed(id, t.Shard)
			t.Status, t.Cause = "exited", "done"
			k.notify()
		}
	})
}

func (k *worker) holds(t *task) bool {
	for _, x := range k.tasks {
		if x == t {
			return true
		}
	}
	return false
}

// setCut cuts the machine from the network, or connects it again.
func (k *worker) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
}

// String names the worker.
func (k *worker) String() string { return fmt.Sprintf("worker %s", k.host) }
