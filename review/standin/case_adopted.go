package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["adopted-twice"] = adoptedTwice }

// siteTypes are the machine types of a small deployment, which boot quickly.
func siteTypes() []*machineType {
	return []*machineType{
		{name: "small-box", cpus: 8, memGB: 64, fetchRate: 5, price: 0.39, spot: 0.1, bootS: 2, halls: []string{"sofia-north", "sofia-south"}},
		{name: "wide-box", cpus: 32, memGB: 64, fetchRate: 5, price: 1.18, spot: 0.31, bootS: 2, halls: []string{"sofia-south", "plovdiv", "varna"}},
	}
}

// adoptedTwice refuses the connections between the controllers for 30 s. As long as the load balancer
// counts the two that do not lead as healthy, users who are connected to them submit jobs, ask at all
// nodes within milliseconds after they were accepted, and cancel at once at the leader.
func adoptedTwice(c *cluster) {
	c.start(0.05, siteTypes(), map[offer]int{{"wide-box", "plovdiv", true}: 1})
	c.submitUntilAccepted(&job{id: "wk-1", shards: 1, cpus: 31, memGB: 1, image: "img-01", imageGB: 1, service: true, spot: true})
	c.waitUntil("the first job runs", 30*time.Second, func() bool {
		_, v := c.poll(c.nodes[0], "wk-1")
		return v.Status == "running"
	})
	leader := c.leader()
	var others []*controller
	for _, n := range c.nodes {
		if n != leader {
			others = append(others, n)
		}
	}
	healthy := map[*controller]*atomic.Bool{}
	for _, n := range others {
		healthy[n] = c.probeHealth(n)
	}
	c.rec.add("leader is %s", leader.name)
	begin := time.Now()
	if c.trouble {
		c.rec.add("connections between controllers are refused")
		for _, l := range c.links {
			l.refuse()
		}
	}
	var users sync.WaitGroup
	for number := range 28 {
		at := others[number%2]
		if !healthy[at].Load() {
			break // the load balancer sends users elsewhere
		}
		j := c.addJob(&job{id: fmt.Sprintf("wk-%06d", 100+number), shards: 2, cpus: 2, memGB: 1, image: "img-01", imageGB: 1, run: 2 * time.Second, spot: true})
		users.Go(func() { c.closeLook(j, at, leader) })
		time.Sleep(240 * time.Millisecond)
	}
	time.Sleep(time.Until(begin.Add(30 * time.Second)))
	for _, l := range c.links {
		l.accept()
	}
	c.rec.add("connections are accepted again")
	users.Wait()
	time.Sleep(5 * time.Second)
}

// probeHealth probes a node as the load balancer does: it is unhealthy after two failures in a row.
func (c *cluster) probeHealth(n *controller) *atomic.Bool {
	healthy := &atomic.Bool{}
	healthy.Store(true)
	go func() {
		for failures := 0; failures < 2; {
			select {
			case <-c.done:
				return
			case <-time.After(time.Second):
			}
			if n.ready() {
				failures = 0
			} else {
				failures++
			}
		}
		healthy.Store(false)
		c.rec.add("load balancer: %s is unhealthy", n.name)
	}()
	return healthy
}

// closeLook is a user who submits a job at one node, asks at all nodes and cancels the job at once.
func (c *cluster) closeLook(j *job, at, leader *controller) {
	if s := c.submit(at, j); s != http.StatusCreated && s != http.StatusOK {
		return // the user gives up
	}
	var looks sync.WaitGroup
	for range 3 {
		for _, n := range c.nodes {
			looks.Go(func() { c.poll(n, j.id) })
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(9 * time.Millisecond)
	var told view
	for tries := 0; told.Status == ""; tries++ {
		if tries == 20 {
			return
		}
		n := leader
		if tries > 0 {
			n = c.nodes[tries%len(c.nodes)] // the load balancer finds another node for the next try
		}
		if status, v := c.cancel(n, j.id); status == http.StatusOK {
			told = v
		} else {
			time.Sleep(time.Second)
		}
	}
	looks.Wait()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, n := range c.nodes {
			if status, v := c.poll(n, j.id); status == http.StatusOK && v.Status != told.Status {
				c.rec.breach("%s was called %s, and then %s calls it %s", j.id, told.Status, n.name, v.Status)
			}
		}
	}
}
