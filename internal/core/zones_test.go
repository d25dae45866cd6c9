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

// newTwoZoneLeader returns a leader with n machines in each of zones a and b.
func newTwoZoneLeader(t *testing.T, n int) *Core {
	c := newLeader(t, n)
	c.leadership.autoscaler.InstanceTypes[0].Zones = []string{"a", "b"}
	for i := range n {
		m := c.leadership.inventory.Ensure(fmt.Sprintf("host-1%05d", i), "f0", "b", true)
		m.Reported, m.Record, m.Incarnation, m.FencingToken, m.LastHeartbeat = true, fleet.Recorded, 1, 1, t0
	}
	return c
}

// advanceWithoutZoneA advances the clock while only machines of zone b send heartbeats.
func advanceWithoutZoneA(c *Core, d time.Duration) {
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

func scaleOutZones(c *Core) (zs []string) {
	for _, o := range c.Outputs {
		if x, ok := o.(provider.Request); ok && x.Op == provider.ScaleOut {
			zs = append(zs, x.Zone)
		}
	}
	return zs
}

// TestZoneOutage checks that in an unreachable zone no capacity is reserved, added or released,
// and that a job restricted to the zone has a wait reason and does not prevent scale-out for other
// jobs.
func TestZoneOutage(t *testing.T) {
	c := newTwoZoneLeader(t, 12)
	rng := rand.New(rand.NewPCG(1, 2))
	pinned := newJob(c, 1, 50, rng)
	pinned.Spec.Zone = "a"
	c.leadership.placement.Reserve(pinned)
	advanceWithoutZoneA(c, 15*time.Second)
	if z := c.leadership.outages.Zones.Zone("a"); z.State != zones.Doubtful {
		t.Fatal("want a doubtful zone, got", z.State)
	}
	for _, m := range c.leadership.inventory.Machines() {
		if m.Zone == "a" && (m.Releasing || m.Schedulable() || len(m.Reservations) > 0) {
			t.Fatalf("%s: releasing %v, schedulable %v, %d reservations, want none of these", m.Host, m.Releasing, m.Schedulable(), len(m.Reservations))
		}
	}
	if r := c.leadership.outages.WaitReason(pinned); !strings.Contains(r, "zone a is doubtful") {
		t.Errorf("wait reason %q does not name the zone", r)
	}
	c.Outputs = nil
	other := newJob(c, 2, 20000, rng)
	other.Spec.Runtime, other.Spec.HasDeadline = time.Hour, false
	c.leadership.placement.Reserve(other)
	advanceWithoutZoneA(c, 30*time.Second)
	if zs := scaleOutZones(c); len(zs) == 0 {
		t.Error("a job that waits for the zone prevents scale-out for others")
	} else if strings.Contains(strings.Join(zs, ""), "a") {
		t.Error("scale-out in the lost zone:", zs)
	}
	for _, z := range c.clusterView().Zones {
		if z.Name == "a" && (z.State != "lost" || z.Silent != 12) {
			t.Errorf("zone %+v, want lost with 12 silent machines", z)
		}
	}
}

// TestSilenceLimitBehindQuietRelay checks that workers behind a silent relay get time to report
// through another node.
func TestSilenceLimitBehindQuietRelay(t *testing.T) {
	c := newTwoZoneLeader(t, 12)
	p := c.leadership.relays.Link("n1")
	m := c.leadership.inventory.Machines()[0]
	m.Relay, p.LastBatch = p, t0
	silent := 10 * time.Second
	if d := c.leadership.relays.SilenceLimit(m, silent); d != silent {
		t.Errorf("silence limit %v with a working relay, want the base limit", d)
	}
	p.LastSilent = t0.Add(time.Second)
	if d := c.leadership.relays.SilenceLimit(m, silent); d < c.heartbeatInterval*5/4+5*time.Second {
		t.Errorf("silence limit %v with a silent relay, want a longer one", d)
	}
	m.LastHeartbeat = t0.Add(2 * time.Second)
	if d := c.leadership.relays.SilenceLimit(m, silent); d != silent {
		t.Errorf("silence limit %v after reporting through another node, want the base limit", d)
	}
}

// TestGoneMachinesOfLostZone guards against a zone that stays lost because machines that no longer
// exist are kept to show its return: those that the cloud no longer lists are released, others kept.
func TestGoneMachinesOfLostZone(t *testing.T) {
	for _, test := range []struct {
		name     string
		listed   bool
		asOf     time.Duration // relative to when the machines were first seen
		released int
	}{
		{"no longer listed", false, time.Second, 4},
		{"listed", true, time.Second, 0},
		{"not listed yet", false, -time.Second, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTwoZoneLeader(t, 4)
			advanceWithoutZoneA(c, 40*time.Second)
			if z := c.leadership.outages.Zones.Zone("a"); z.State != zones.Lost {
				t.Fatal("want a lost zone, got", z.State)
			}
			firstSeen := c.leadership.inventory.Machines()[0].FirstSeen
			exists := func(host string) bool {
				return test.listed || c.leadership.inventory.Find(host).Zone == "b"
			}
			autoscalerInventory{c}.InstancesMissing(exists, firstSeen.Add(test.asOf))
			advanceWithoutZoneA(c, time.Second)
			released := 0
			for _, m := range c.leadership.inventory.Machines() {
				if m.Releasing {
					released++
				}
			}
			if released != test.released {
				t.Errorf("%d machines are being released, want %d", released, test.released)
			}
		})
	}
}
