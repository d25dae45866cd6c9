package scenario

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"time"
)

// instanceType is a machine type of the simulated cloud.
type instanceType struct {
	name             string
	cpus, mem        float64
	gpus             float64
	price, spotPrice float64
	bootTime         time.Duration
	fetchRate        float64
	zones            []string
}

type offerKey struct {
	instanceType, zone string
	spot               bool
}

// cloudSim simulates the cloud API, including the JSON of its protocol.
type cloudSim struct {
	*clock
	w                    *world
	instanceTypes        []*instanceType
	capacity             map[offerKey]int
	machineCount         int
	rentals              map[string][]string // hosts returned, by rental name
	rentalBodies         map[string]string   // request bodies, by rental name
	machines             []*worker           // all machines ever created, in order of creation
	lag                  time.Duration
	downUntil            time.Time
	ignoresReleasesUntil time.Time                    // until then it confirms releases without executing them
	bootPercent          func() (time.Duration, bool) // returns a percentage of the type's boot time, or false: never boots
	calls                int
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
	f := c.instanceType(k.instanceType)
	m := &worker{world: c.w, host: fmt.Sprintf("host-%06d", c.machineCount), instanceType: f, zone: k.zone, spot: k.spot,
		created: c.now, images: map[string]time.Time{}, workerFaults: workerFaults{slowdown: 1}, workerSession: workerSession{nodeIndex: c.machineCount}}
	c.machineCount++
	c.machines = append(c.machines, m)
	c.w.workers[m.host] = m
	c.w.net.addHost(m.host, m.zone)
	if ready >= 0 {
		c.after(ready, m.boot)
	}
	return m
}

func (c *cloudSim) liveCount(k offerKey) int {
	n := 0
	for _, m := range c.machines {
		if m.terminatedAt.IsZero() && m.instanceType.name == k.instanceType && m.zone == k.zone && m.spot == k.spot {
			n++
		}
	}
	return n
}

func (c *cloudSim) serve(method, path string, body []byte, answer func(int, []byte)) {
	c.calls++
	if c.now.Before(c.downUntil) {
		answer(503, encode(object{"error": "trouble"}))
		return
	}
	u, _ := url.Parse(path)
	switch {
	case u.Path == "/catalog":
		var fs []any
		for _, f := range c.instanceTypes {
			fs = append(fs, object{"name": f.name, "vcpus": f.cpus, "gpus": f.gpus, "memGb": f.mem, "localGb": 50, "fetchGbPerS": f.fetchRate,
				"rate": f.price, "lowPrice": f.spotPrice, "readyS": f.bootTime.Seconds(), "halls": f.zones})
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
			if m := c.w.workers[h]; m != nil && !c.now.Before(c.ignoresReleasesUntil) {
				m.terminate()
			}
		}
		answer(200, encode(object{}))
	case u.Path == "/machines":
		seen := c.now.Add(-time.Duration(float64(c.lag) * 2 * c.rng.Float64()))
		hosts := []any{}
		for _, m := range c.machines {
			if m.created.After(seen) || !m.terminatedAt.IsZero() && m.terminatedAt.Before(seen) || m.host <= u.Query().Get("from") {
				continue
			}
			status := "starting"
			if !m.bootedAt.IsZero() && m.bootedAt.Before(seen) {
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
	if was, ok := c.rentalBodies[r.Rental]; ok && was != string(body) {
		c.w.fail("misuse", "rental name reused for a different request: %s, before: %s", body, was)
	}
	c.rentalBodies[r.Rental] = string(body)
	if got, ok := c.rentals[r.Rental]; ok {
		answer(200, encode(object{"hosts": got}))
		return
	}
	k := offerKey{r.Flavor, r.Hall, r.Reclaimable}
	n := min(r.HowMany, c.capacity[k]-c.liveCount(k))
	if n <= 0 {
		answer(503, encode(object{"error": "no capacity"}))
		return
	}
	hosts := []string{}
	for range n {
		ready := time.Duration(-1)
		if part, ok := c.bootPercent(); ok {
			ready = c.instanceType(r.Flavor).bootTime * part / 100
		}
		hosts = append(hosts, c.create(k, ready).host)
	}
	c.rentals[r.Rental] = hosts
	answer(200, encode(object{"hosts": hosts}))
}
