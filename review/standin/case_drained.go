package main

import (
	"fmt"
	"time"
)

func init() { cases["after-burst"] = afterBurst }

// afterBurst has one ordinary big-node, which is up from the start and runs a service. Jobs of another
// class then come several times as often for a few seconds. A job that needs the big-node comes later.
func afterBurst(c *cluster) {
	c.site = furrowline
	types := []*machineType{
		{name: "tiny-node", cpus: 4, memGB: 16, fetchRate: 5, price: 0.27, spot: 0.09, bootS: 2, halls: []string{"hartford"}},
		{name: "mid-node", cpus: 8, memGB: 16, fetchRate: 5, price: 0.5, spot: 0.17, bootS: 2, halls: []string{"hartford", "worcester"}},
		{name: "big-node", cpus: 32, memGB: 256, fetchRate: 5, price: 2.4, spot: 0.86, bootS: 2, halls: []string{"hartford"}},
	}
	big := offer{"big-node", "hartford", false}
	capacity := map[offer]int{{"tiny-node", "hartford", true}: 17, {"mid-node", "hartford", true}: 3, {"mid-node", "worcester", true}: 3, big: 1}
	var m *worker
	c.beforeLaunch = func() {
		m = c.cloud.startWith(big, 5*time.Minute)
		go m.boot()
	}
	c.start(0, types, capacity)
	onBig := func(id string, shards int, cpus float64, run time.Duration) *job {
		return &job{id: id, class: "fault-alert", owner: "dealer-care", shards: shards, cpus: cpus, memGB: 1.6, image: "img-01", imageGB: 1, run: run, hall: "hartford", flavors: []string{"big-node"}}
	}
	service := onBig("wk-1", 1, 2, 0)
	service.service = true
	c.submitUntilAccepted(service)
	c.waitUntil("the service runs", 30*time.Second, func() bool {
		_, v := c.poll(c.nodes[0], "wk-1")
		return v.Running == 1
	})
	ingest := func(id string, shards int) *job {
		return &job{id: id, class: "track-ingest", owner: "tenant-ops", shards: shards, cpus: 2, memGB: 2.7, image: "img-02", imageGB: 0.9, run: 4 * time.Second, guess: 8 * time.Second, spot: true}
	}
	jobs := 1
	if c.trouble {
		jobs = 4
		c.rec.add("jobs of the class track-ingest come four times as often")
	}
	for i := range jobs {
		c.submitUntilAccepted(ingest(fmt.Sprintf("wk-2%d", i), 20))
		time.Sleep(500 * time.Millisecond)
	}
	for i := range jobs {
		c.waitUntil("the jobs of track-ingest are done", 60*time.Second, func() bool {
			time.Sleep(200 * time.Millisecond)
			_, v := c.poll(c.nodes[i%3], fmt.Sprintf("wk-2%d", i))
			return v.Status == "done"
		})
	}
	time.Sleep(2 * time.Second)
	c.rec.add("the burst is over")
	c.submitUntilAccepted(onBig("wk-3", 2, 1, 3*time.Second))
	since := time.Now()
	for end := time.Now().Add(95 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		_, v := c.poll(c.nodes[0], "wk-3")
		cpus, up := m.used()
		switch {
		case v.Status == "done":
			c.rec.add("wk-3 is done")
			return
		case !up || cpus > 16:
			since = time.Now()
		case time.Since(since) > 90*time.Second:
			c.rec.add("%s is up and has %g of its %g CPUs in use", m.host, cpus, m.typ.cpus)
			c.rec.breach("wk-3 is %s; it has waited for %.0f s while %s, which fits, had room and its team was under its limit", v.Status, time.Since(since).Seconds(), m.host)
			return
		}
	}
}
