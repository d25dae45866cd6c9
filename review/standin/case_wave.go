package main

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

func init() { cases["zone-after-wave"] = zoneAfterWave }

// dayLength is how long after its beginning the day of zoneAfterWave ends. DAY_S lengthens it, to look
// at it by hand.
func dayLength() time.Duration {
	if s, err := strconv.Atoi(os.Getenv("DAY_S")); err == nil {
		return time.Duration(s) * time.Second
	}
	return 112 * time.Second
}

// zoneAfterWave has six spot machines in sofia-north, which are taken back at the same time, three of
// them without notice. Jobs that are bound to the zone come later. The cloud has machines for them.
func zoneAfterWave(c *cluster) {
	begin := time.Now()
	c.start(0, siteTypes(), map[offer]int{{"wide-box", "sofia-south", true}: 2, {"small-box", "sofia-south", true}: 7, {"small-box", "sofia-north", true}: 7, {"small-box", "sofia-north", false}: 2})
	c.submitUntilAccepted(&job{id: "wk-1", shards: 6, cpus: 7, memGB: 1, image: "img-01", imageGB: 1, run: 10 * time.Minute, spot: true, hall: "sofia-north"})
	c.waitUntil("the first job runs", 30*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		_, v := c.poll(c.nodes[0], "wk-1")
		return v.Running == 6
	})
	c.submitUntilAccepted(&job{id: "wk-2", shards: 1, cpus: 1, memGB: 1, image: "img-01", imageGB: 1, service: true, spot: true, hall: "sofia-south", flavors: []string{"wide-box"}})
	c.waitUntil("the service runs", 30*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		_, v := c.poll(c.nodes[0], "wk-2")
		return v.Running == 1
	})
	if c.trouble {
		c.cloud.mu.Lock()
		n := 0
		for _, m := range c.cloud.machines {
			if m.offer.hall == "sofia-north" && m.offer.spot {
				notice := time.Duration(0)
				if n++; n%2 == 0 {
					notice = 13 * time.Second
				}
				m.takeBack(notice)
			}
		}
		c.cloud.mu.Unlock()
	}
	time.Sleep(14 * time.Second)
	c.rec.add("the wave is over")
	ids := []string{"wk-11", "wk-12", "wk-13"}
	for _, id := range ids {
		c.submitUntilAccepted(&job{id: id, class: "outage-trace", shards: 4, cpus: 1, memGB: 1, image: "img-01", imageGB: 1, run: 3 * time.Second, spot: true, hall: "sofia-north"})
	}
	served := 0
	for time.Since(begin) < dayLength() {
		served = 0
		for i, id := range ids {
			if _, v := c.poll(c.nodes[i], id); v.Status == "done" {
				served++
			}
		}
		if served == len(ids) {
			c.rec.add("all jobs of outage-trace are done")
			return
		}
		time.Sleep(2 * time.Second)
	}
	c.cloud.mu.Lock()
	defer c.cloud.mu.Unlock()
	asked := ""
	for o, n := range c.cloud.asked {
		asked += fmt.Sprintf("; asked %d times for %s in %s, spot %t", n, o.flavor, o.hall, o.spot)
	}
	c.rec.add("the cloud has %d spot machines and %d others in sofia-north%s", c.cloud.capacity[offer{"small-box", "sofia-north", true}], c.cloud.capacity[offer{"small-box", "sofia-north", false}], asked)
	if 2*served < len(ids) {
		c.rec.breach("%d of %d jobs of the class outage-trace are served at the end of the day, although the cloud has had machines for them since the wave was over", served, len(ids))
	}
}
