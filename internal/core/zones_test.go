package core

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/provider"
	"yewpass/internal/zones"
)

// twoZones returns a leader with n machines in each of zones a and b.
func twoZones(t *testing.T, n int) *Core {
	c := leaderOf(t, n)
	c.leadership.autoscaler.InstanceTypes[0].Zones = []string{"a", "b"}
	for i := range n {
		m := c.leadership.inventory.Ensure(fmt.Sprintf("host-1%05d", i), "f0", "b", true)
		m.Reported, m.Record, m.Incarnation, m.FencingToken, m.LastHeartbeat = true, fleet.Recorded, 1, 1, t0
	}
	return c
}

// silence lets time pass in which only machines of zone b report.
func silence(c *Core, d time.Duration) {
	for end := c.Now.Add(d); c.Now.Before(end); {
		c.Now = c.Now.Add(500 * time.Millisecond)
		for _, m := range c.leadership.inventory.Machines() {
			if m.Zone == "b" {
				m.LastHeartbeat = c.Now
			}
		}
		c.tickFleet()
	}
}

func rentals(c *Core) (zs []string) {
	for _, o := range c.Outputs {
		if x, ok := o.(provider.Request); ok && x.Op == provider.ScaleOut {
			zs = append(zs, x.Zone)
		}
	}
	return zs
}

// TestLostZone: nothing is booked on, or rented for, or returned from a zone that is cut
// off; whoever may run only there is told so, and does not keep others from renting.
func TestLostZone(t *testing.T) {
	c := twoZones(t, 12)
	rng := rand.New(rand.NewPCG(1, 2))
	pinned := newJob(c, 1, 50, rng)
	pinned.Spec.Zone = "a"
	c.leadership.placement.Reserve(pinned)
	silence(c, 15*time.Second)
	if z := c.leadership.outages.Zones.Zone("a"); z.State != zones.Doubtful {
		t.Fatal("the zone is", z.State)
	}
	for _, m := range c.leadership.inventory.Machines() {
		if m.Zone == "a" && (m.Releasing || m.Schedulable() || len(m.Reservations) > 0) {
			t.Fatalf("%s: released %v, usable %v, %d bookings", m.Host, m.Releasing, m.Schedulable(), len(m.Reservations))
		}
	}
	if r := c.leadership.outages.WaitReason(pinned); !strings.Contains(r, "zone a is doubtful") {
		t.Errorf("its user is told %q", r)
	}
	c.Outputs = nil
	other := newJob(c, 2, 20000, rng)
	other.Spec.Runtime, other.Spec.HasDeadline = time.Hour, false
	c.leadership.placement.Reserve(other)
	silence(c, 30*time.Second)
	if zs := rentals(c); len(zs) == 0 {
		t.Error("a job that waits for the zone keeps others from renting")
	} else if strings.Contains(strings.Join(zs, ""), "a") {
		t.Error("rented in the lost zone:", zs)
	}
	for _, z := range c.clusterView().Zones {
		if z.Name == "a" && (z.State != "lost" || z.Silent != 12) {
			t.Errorf("%+v", z)
		}
	}
}

// TestQuietRelay: a worker whose relay went quiet has to find that out first, by a report
// without an answer, before it can be heard by another.
func TestQuietRelay(t *testing.T) {
	c := twoZones(t, 12)
	p := c.leadership.relays.Link("n1")
	m := c.leadership.inventory.Machines()[0]
	m.Relay, p.LastBatch = p, t0
	silent := 10 * time.Second
	if d := c.leadership.relays.SilenceLimit(m, silent); d != silent {
		t.Errorf("%v with a relay in order", d)
	}
	p.LastSilent = t0.Add(time.Second)
	if d := c.leadership.relays.SilenceLimit(m, silent); d < c.heartbeatInterval*5/4+5*time.Second {
		t.Errorf("%v with a quiet one", d)
	}
	m.LastHeartbeat = t0.Add(2 * time.Second)
	if d := c.leadership.relays.SilenceLimit(m, silent); d != silent {
		t.Errorf("%v once it has found another way", d)
	}
}
