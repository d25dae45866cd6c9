package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// flavor is one machine type of the catalog.
type flavor struct {
	Name        string   `json:"name"`
	VCPUs       float64  `json:"vcpus"`
	GPUs        float64  `json:"gpus"`
	MemGB       float64  `json:"memGb"`
	LocalGB     float64  `json:"localGb"`
	FetchGBPerS float64  `json:"fetchGbPerS"`
	Rate        float64  `json:"rate"`
	LowPrice    float64  `json:"lowPrice"`
	ReadyS      float64  `json:"readyS"`
	Halls       []string `json:"halls"`
}

// rented is one rented machine.
type rented struct {
	id     string
	flavor flavor
	hall   string
	spot   bool
	at     time.Time
	worker *worker // nil while it boots
	gone   time.Time
}

// cloud is a stand-in for the cloud of the protocol.
type cloud struct {
	mu       sync.Mutex
	world    *world
	flavors  []flavor
	machines map[string]*rented
	rentals  map[string][]string
	count    int
	capacity int             // machines that may exist at once
	full     map[string]bool // zones without capacity
	byType   map[string]int  // machines that may exist at once, by type; nil: no limit but capacity
	asked    map[string]int  // machines asked for by type
	refused  int             // requests for these zones
}

func newCloud(w *world, flavors []flavor, capacity int) *cloud {
	return &cloud{world: w, flavors: flavors, machines: map[string]*rented{}, rentals: map[string][]string{}, capacity: capacity, full: map[string]bool{}, asked: map[string]int{}}
}

// setFull leaves a zone without capacity.
func (c *cloud) setFull(hall string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.full[hall] = true
}

// ServeHTTP serves the cloud's protocol.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.URL.Path == "/catalog":
		writeBody(w, 200, map[string]any{"flavors": c.flavors})
	case r.URL.Path == "/machines" && r.Method == "POST":
		c.rent(w, body)
	case r.URL.Path == "/machines/release":
		var b struct{ Hosts []string }
		if json.Unmarshal(body, &b) != nil || len(b.Hosts) > 100 {
			writeBody(w, 400, map[string]string{"error": "malformed"})
			return
		}
		for _, h := range b.Hosts {
			c.end(h)
		}
		writeBody(w, 200, map[string]any{})
	case r.URL.Path == "/machines":
		c.list(w, r)
	default:
		writeBody(w, 400, map[string]string{"error": "malformed"})
	}
}

func (c *cloud) end(host string) {
	m := c.machines[host]
	if m == nil || !m.gone.IsZero() {
		return
	}
	m.gone = time.Now()
	c.world.rec.add("cloud: %s released", host)
	if m.worker != nil {
		m.worker.end()
	}
}

// running returns how many machines of a type exist, or of all types.
func (c *cloud) running(flavor string) (n int) {
	for _, m := range c.machines {
		if m.gone.IsZero() && (flavor == "" || m.flavor.Name == flavor) {
			n++
		}
	}
	return n
}

func (c *cloud) rent(w http.ResponseWriter, body []byte) {
	var b struct {
		Rental, Flavor, Hall string
		Reclaimable          bool
		HowMany              int
	}
	if json.Unmarshal(body, &b) != nil || b.HowMany < 1 || b.HowMany > 50 {
		writeBody(w, 400, map[string]string{"error": "malformed"})
		return
	}
	if hosts, ok := c.rentals[b.Rental]; ok {
		writeBody(w, 200, map[string]any{"hosts": hosts})
		return
	}
	c.asked[b.Flavor] += b.HowMany
	if c.full[b.Hall] {
		c.refused++
		c.world.rec.add("cloud: no capacity for %d %s in %s", b.HowMany, b.Flavor, b.Hall)
		writeBody(w, 503, map[string]string{"error": "no capacity"})
		return
	}
	n := min(b.HowMany, c.capacity-c.running(""))
	if c.byType != nil {
		n = min(n, c.byType[b.Flavor]-c.running(b.Flavor))
	}
	if n <= 0 {
		writeBody(w, 503, map[string]string{"error": "no capacity"})
		return
	}
	for _, f := range c.flavors {
		if f.Name != b.Flavor {
			continue
		}
		hosts := []string{}
		for range n {
			c.count++
			m := &rented{id: fmt.Sprintf("host-%06d", c.count), flavor: f, hall: b.Hall, spot: b.Reclaimable, at: time.Now()}
			c.machines[m.id] = m
			hosts = append(hosts, m.id)
			time.AfterFunc(time.Duration(f.ReadyS*float64(time.Second)), func() { c.boot(m) })
		}
		c.rentals[b.Rental] = hosts
		c.world.rec.add("cloud: rented %v as %s in %s", hosts, f.Name, b.Hall)
		writeBody(w, 200, map[string]any{"hosts": hosts})
		return
	}
	writeBody(w, 400, map[string]string{"error": "malformed"})
}

func (c *cloud) boot(m *rented) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.gone.IsZero() && m.worker == nil {
		m.worker = c.world.startWorker(m)
	}
}

// workers returns the workers of the machines that exist.
func (c *cloud) workers() (list []*worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.worker != nil && m.gone.IsZero() {
			list = append(list, m.worker)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].host < list[j].host })
	return list
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	var ids []string
	asOf := time.Now().Add(-listLag)
	for id, m := range c.machines {
		if id > r.URL.Query().Get("from") && m.at.Before(asOf) && (m.gone.IsZero() || m.gone.After(asOf)) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	truncated := len(ids) > limit
	hosts := []map[string]any{}
	for _, id := range ids[:min(limit, len(ids))] {
		m := c.machines[id]
		status, address := "starting", ""
		if m.worker != nil {
			status, address = "running", m.worker.address
		}
		hosts = append(hosts, map[string]any{"id": id, "address": address, "flavor": m.flavor.Name, "hall": m.hall, "reclaimable": m.spot,
			"status": status, "ageS": asOf.Sub(m.at).Seconds()})
	}
	writeBody(w, 200, map[string]any{"hosts": hosts, "truncated": truncated})
}
