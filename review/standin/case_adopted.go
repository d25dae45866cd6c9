package main

import (
	"fmt"
	"net/http"
	"sync"
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

// adoptedTwice refuses the connections between one controller and the others for four seconds at a
// time. Users who are connected to it submit jobs, ask at all nodes within milliseconds after they
// were accepted, and cancel at once at another node.
func adoptedTwice(c *cluster) {
	c.start(0.05, siteTypes(), map[offer]int{{"wide-box", "plovdiv", true}: 1})
	c.submitUntilAccepted(&job{id: "wk-1", shards: 1, cpus: 31, memGB: 1, image: "img-01", imageGB: 1, service: true, spot: true})
	c.waitUntil("the first job runs", 30*time.Second, func() bool {
		_, v := c.poll(c.nodes[0], "wk-1")
		return v.Status == "running"
	})
	var users sync.WaitGroup
	number := 100
	for range 8 {
		leader := c.leader()
		var alone, other *controller
		for _, n := range c.nodes {
			if n != leader {
				alone, other = n, alone
			}
		}
		c.rec.add("leader is %s", leader.name)
		if c.trouble {
			c.rec.add("connections between %s and the other controllers are refused", alone.name)
		}
		for names, l := range c.links {
			if c.trouble && (names[0] == alone.name || names[1] == alone.name) {
				l.refuse()
			}
		}
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
			if alone.ready() { // the load balancer still sends users there
				number++
				j := c.addJob(&job{id: fmt.Sprintf("wk-%06d", number), shards: 2, cpus: 2, memGB: 1, image: "img-01", imageGB: 1, run: 2 * time.Second, spot: true})
				users.Go(func() { c.closeLook(j, alone, leader, other) })
			}
		}
		for _, l := range c.links {
			l.accept()
		}
		c.rec.add("connections are accepted again")
		time.Sleep(5 * time.Second)
	}
	users.Wait()
}

// closeLook is a user who submits a job at one node, asks at all nodes and cancels the job at once.
func (c *cluster) closeLook(j *job, at, leader, other *controller) {
	if s := c.submit(at, j); s != http.StatusCreated && s != http.StatusOK {
		return // the user gives up
	}
	var looks sync.WaitGroup
	for i, n := range []*controller{leader, other, leader, other, at, leader} {
		looks.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			c.poll(n, j.id)
		})
	}
	time.Sleep(10 * time.Millisecond)
	var told view
	for tries := 0; told.Status == ""; tries++ {
		if tries == 20 {
			return
		}
		if status, v := c.cancel([]*controller{leader, other}[tries%2], j.id); status == http.StatusOK {
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
