package main

import (
	"time"
)

func init() { cases["after-errors"] = afterErrors }

// afterErrors has one ordinary machine in plovdiv, with a service on it, which for a few seconds
// fails every task that it starts. A job that is bound to plovdiv and comes later waits.
func afterErrors(c *cluster) {
	c.start(0, siteTypes(), map[offer]int{{"wide-box", "plovdiv", false}: 1, {"small-box", "sofia-north", true}: 7, {"small-box", "sofia-south", true}: 7})
	c.submitUntilAccepted(&job{id: "wk-1", shards: 1, cpus: 2, memGB: 1, image: "img-01", imageGB: 1, service: true, hall: "plovdiv"})
	c.waitUntil("the service runs", 30*time.Second, func() bool {
		_, v := c.poll(c.nodes[0], "wk-1")
		return v.Status == "running"
	})
	c.cloud.mu.Lock()
	m := c.cloud.machines[0]
	c.cloud.mu.Unlock()
	if c.trouble {
		m.mu.Lock()
		m.sickUntil = time.Now().Add(5 * time.Second)
		m.mu.Unlock()
		c.rec.add("%s fails every task that it starts, for 5 s", m.host)
	}
	c.submitUntilAccepted(&job{id: "wk-2", shards: 1, cpus: 1, memGB: 1, image: "img-01", imageGB: 1, run: time.Second, hall: "plovdiv"})
	time.Sleep(6 * time.Second)
	c.rec.add("the troubles are over")
	later := &job{id: "wk-3", shards: 4, cpus: 1, memGB: 1, image: "img-01", imageGB: 1, run: time.Second, hall: "plovdiv"}
	c.submitUntilAccepted(later)
	var since time.Time // since when jobs wait while the machine has room
	for end := time.Now().Add(100 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		_, first := c.poll(c.nodes[0], "wk-2")
		_, second := c.poll(c.nodes[1], "wk-3")
		if first.Status == "done" && second.Status == "done" {
			c.rec.add("both jobs are done")
			return
		}
		cpus, up := m.used()
		switch {
		case !up || cpus > 16:
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case time.Since(since) > 90*time.Second:
			c.rec.add("%s is up and has %g of its %g CPUs in use", m.host, cpus, m.typ.cpus)
			c.rec.breach("wk-2 is %s and wk-3 is %s; they have waited for %.0f s while %s, which fits, had room", first.Status, second.Status, time.Since(since).Seconds(), m.host)
			return
		}
	}
}
