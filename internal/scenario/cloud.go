package scenario

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"time"
)

// instanceType is a machine type of a scenario.
type instanceType struct {
	name      string
	cpus, mem float64
	gpus      float64
	rate, low float64
	ready     time.Duration
	fetch     float64
	zones     []string
}

type offerKey struct {
	flavor, zone string
	spot         bool
}

// cloudSim is the stand-in of the cloud API. It speaks the protocol's JSON.
type cloudSim struct {
	*clock
	w             *world
	instanceTypes []*instanceType
	capacity      map[offerKey]int
	made          int
	requests      map[string][]string // what a request name returned
	asked         map[string]string   // and what it asked for
	machines      []*worker           // all there ever were, in order
	lag           time.Duration
	down          time.Time
	deaf          time.Time                    // until then it answers releases and carries none out
	boots         func() (time.Duration, bool) // factor of the boot time in percent; false: never
	calls         int
}

func (c *cloudSim) instanceType(name string) *instanceType {
	for _, f := range c.instanceTypes {
		if f.name == name {
			return f
		}
	}
	return nil
}

func (c *cloudSim) create(k offerKey, ready time.Duration) *worker {
	f := c.instanceType(k.flavor)
	m := &worker{world: c.w, host: fmt.Sprintf("host-%06d", c.made), instanceType: f, zone: k.zone, spot: k.spot,
		created: c.now, images: map[string]time.Time{}, workerFaults: workerFaults{speed: 1}, workerSession: workerSession{node: c.made}}
	c.made++
	c.machines = append(c.machines, m)
	c.w.workers[m.host] = m
	c.w.net.joins(m.host, m.zone)
	if ready >= 0 {
		c.after(ready, m.boot)
	}
	return m
}

func (c *cloudSim) live(k offerKey) int {
	n := 0
	for _, m := range c.machines {
		if m.gone.IsZero() && m.instanceType.name == k.flavor && m.zone == k.zone && m.spot == k.spot {
			n++
		}
	}
	return n
}

func (c *cloudSim) serve(method, path string, body []byte, answer func(int, []byte)) {
	c.calls++
	if c.now.Before(c.down) {
		answer(503, encode(object{"error": "trouble"}))
		return
	}
	u, _ := url.Parse(path)
	switch {
	case u.Path == "/catalog":
		var fs []any
		for _, f := range c.instanceTypes {
			fs = append(fs, object{"name": f.name, "vcpus": f.cpus, "gpus": f.gpus, "memGb": f.mem, "localGb": 50, "fetchGbPerS": f.fetch,
				"rate": f.rate, "lowPrice": f.low, "readyS": f.ready.Seconds(), "halls": f.zones})
		}
		answer(200, encode(object{"flavors": fs}))
	case u.Path == "/machines" && method == "POST":
		c.rent(body, answer)
	case u.Path == "/machines/release":
		var r struct{ Hosts []string }
		if json.Unmarshal(body, &r) != nil || len(r.Hosts) > 100 {
			answer(400, nil)
			return
		}
		for _, h := range r.Hosts {
			if m := c.w.workers[h]; m != nil && !c.now.Before(c.deaf) {
				m.end()
			}
		}
		answer(200, encode(object{}))
	case u.Path == "/machines":
		seen := c.now.Add(-time.Duration(float64(c.lag) * 2 * c.rng.Float64()))
		hosts := []any{}
		for _, m := range c.machines {
			if m.created.After(seen) || !m.gone.IsZero() && m.gone.Before(seen) || m.host <= u.Query().Get("from") {
				continue
			}
			status := "starting"
			if !m.up.IsZero() && m.up.Before(seen) {
				status = "running"
			}
			hosts = append(hosts, object{"id": m.host, "address": "10.1.0.1:9000", "flavor": m.instanceType.name, "hall": m.zone,
				"reclaimable": m.spot, "status": status, "ageS": seen.Sub(m.created).Seconds()})
		}
		answer(200, encode(object{"hosts": hosts, "truncated": false}))
	default:
		answer(400, nil)
	}
}

func (c *cloudSim) rent(body []byte, answer func(int, []byte)) {
	var r struct {
		Rental, Flavor, Hall string
		Reclaimable          bool
		HowMany              int
	}
	if json.Unmarshal(body, &r) != nil || r.HowMany < 1 || r.HowMany > 50 || c.instanceType(r.Flavor) == nil ||
		!strings.Contains(","+strings.Join(c.instanceType(r.Flavor).zones, ",")+",", ","+r.Hall+",") {
		c.w.fail("misuse", "malformed rental request: %s", body)
		answer(400, nil)
		return
	}
	if was, ok := c.asked[r.Rental]; ok && was != string(body) {
		c.w.fail("misuse", "a rental's name is used again: %s, before: %s", body, was)
	}
	c.asked[r.Rental] = string(body)
	if got, ok := c.requests[r.Rental]; ok {
		answer(200, encode(object{"hosts": got}))
		return
	}
	k := offerKey{r.Flavor, r.Hall, r.Reclaimable}
	n := min(r.HowMany, c.capacity[k]-c.live(k))
	if n <= 0 {
		answer(503, encode(object{"error": "no capacity"}))
		return
	}
	hosts := []string{}
	for range n {
		ready := time.Duration(-1)
		if part, ok := c.boots(); ok {
			ready = c.instanceType(r.Flavor).ready * part / 100
		}
		hosts = append(hosts, c.create(k, ready).host)
	}
	c.requests[r.Rental] = hosts
	answer(200, encode(object{"hosts": hosts}))
}
