package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// machineType is a machine type of the catalog.
type machineType struct {
	name        string
	cpus, memGB float64
	fetchRate   float64 // GB per second
	price, spot float64
	bootS       float64
	halls       []string
}

type offer struct {
	flavor, hall string
	spot         bool
}

// cloud rents machines, which boot after the time that the catalog states.
type cloud struct {
	c        *cluster
	types    []*machineType
	mu       sync.Mutex
	capacity map[offer]int
	rentals  map[string][]string
	machines []*worker // in order of creation
	asked    map[offer]int
}

func newCloud(c *cluster, types []*machineType, capacity map[offer]int) *cloud {
	return &cloud{c: c, types: types, capacity: capacity, rentals: map[string][]string{}, asked: map[offer]int{}}
}

func (cl *cloud) find(name string) *machineType {
	for _, t := range cl.types {
		if t.name == name {
			return t
		}
	}
	return nil
}

// ServeHTTP serves one request.
func (cl *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(50 * time.Millisecond)
	cl.mu.Lock()
	status, answer := cl.handle(r, body)
	cl.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(encode(answer))
}

func (cl *cloud) handle(r *http.Request, body []byte) (int, any) {
	switch {
	case r.URL.Path == "/catalog":
		list := []object{}
		for _, t := range cl.types {
			list = append(list, object{"name": t.name, "vcpus": t.cpus, "gpus": 0, "memGb": t.memGB, "localGb": 40, "fetchGbPerS": t.fetchRate,
				"rate": t.price, "lowPrice": t.spot, "readyS": t.bootS, "halls": t.halls})
		}
		return http.StatusOK, object{"flavors": list}
	case r.URL.Path == "/machines" && r.Method == http.MethodPost:
		return cl.rent(body)
	case r.URL.Path == "/machines/release":
		var q struct {
			Hosts []string `json:"hosts"`
		}
		if json.Unmarshal(body, &q) != nil || len(q.Hosts) > 100 {
			return http.StatusBadRequest, object{"error": "malformed"}
		}
		for _, h := range q.Hosts {
			for _, m := range cl.machines {
				if m.host == h && m.terminate() {
					cl.c.rec.add("cloud: %s released", h)
					cl.capacity[m.offer]++
				}
			}
		}
		return http.StatusOK, object{}
	case r.URL.Path == "/machines":
		return cl.list(r)
	}
	return http.StatusBadRequest, object{"error": "malformed"}
}

func (cl *cloud) rent(body []byte) (int, any) {
	var q struct {
		Rental      string `json:"rental"`
		Flavor      string `json:"flavor"`
		Hall        string `json:"hall"`
		Reclaimable bool   `json:"reclaimable"`
		HowMany     int    `json:"howMany"`
	}
	t := (*machineType)(nil)
	if json.Unmarshal(body, &q) == nil {
		t = cl.find(q.Flavor)
	}
	if t == nil || q.HowMany < 1 || q.HowMany > 50 {
		return http.StatusBadRequest, object{"error": "malformed"}
	}
	if hosts, ok := cl.rentals[q.Rental]; ok {
		return http.StatusOK, object{"hosts": hosts}
	}
	o := offer{q.Flavor, q.Hall, q.Reclaimable}
	cl.asked[o]++
	n := min(q.HowMany, cl.capacity[o])
	if n <= 0 {
		cl.c.rec.add("cloud: no capacity for %s in %s, spot %t", q.Flavor, q.Hall, q.Reclaimable)
		return http.StatusServiceUnavailable, object{"error": "no capacity"}
	}
	hosts := []string{}
	for range n {
		cl.capacity[o]--
		m := newWorker(cl.c, fmt.Sprintf("host-%06d", 1+len(cl.machines)), t, o)
		cl.machines = append(cl.machines, m)
		hosts = append(hosts, m.host)
		time.AfterFunc(time.Duration(t.bootS*float64(time.Second)), m.boot)
	}
	cl.rentals[q.Rental] = hosts
	cl.c.rec.add("cloud: rented %v, %s in %s, spot %t", hosts, q.Flavor, q.Hall, q.Reclaimable)
	return http.StatusOK, object{"hosts": hosts}
}

// startWith adds a machine that was rented some time before the case and is up.
func (cl *cloud) startWith(o offer, age time.Duration) *worker {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.capacity[o]--
	m := newWorker(cl.c, fmt.Sprintf("host-%06d", 1+len(cl.machines)), cl.find(o.flavor), o)
	m.created = time.Now().Add(-age)
	cl.machines = append(cl.machines, m)
	return m
}

// list answers with the machines as they were some seconds ago.
func (cl *cloud) list(r *http.Request) (int, any) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 || limit > 500 {
		limit = 500
	}
	at := time.Now().Add(-cl.c.site.listLag)
	hosts, more := []object{}, false
	for _, m := range cl.machines {
		created, booted, gone := m.times()
		if m.host <= r.URL.Query().Get("from") || created.After(at) || !gone.IsZero() && gone.Before(at) {
			continue
		}
		if len(hosts) == limit {
			more = true
			break
		}
		state := "starting"
		if !booted.IsZero() && (booted.Before(at) || created.Before(at.Add(-time.Minute))) {
			state = "running"
		}
		hosts = append(hosts, object{"id": m.host, "address": m.address, "flavor": m.typ.name, "hall": m.offer.hall, "reclaimable": m.offer.spot,
			"status": state, "ageS": at.Sub(created).Seconds()})
	}
	return http.StatusOK, object{"hosts": hosts, "truncated": more}
}
