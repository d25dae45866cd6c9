package inventory

import (
	"math/rand/v2"
	"testing"
	"time"

	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/lease"
	"yewpass/internal/provider"
	"yewpass/internal/timeline"
	"yewpass/internal/zones"
)

var t0 = time.Unix(1_900_000_000, 0)

const workerLease = 30 * time.Second

// newInventory returns an empty inventory and its catalog, which the test may fill.
func newInventory(t *testing.T) (*Inventory, *engine.Engine, map[string]*provider.InstanceType) {
	t.Helper()
	e := engine.New(rand.New(rand.NewPCG(1, 1)), 1)
	e.Now = t0
	catalog := map[string]*provider.InstanceType{}
	v := New(e, zones.New(zones.Settings{}), workerLease, func(name string) *provider.InstanceType { return catalog[name] })
	return v, e, catalog
}

func TestEnsure(t *testing.T) {
	v, _, catalog := newInventory(t)
	catalog["f0"] = &provider.InstanceType{Name: "f0", Capacity: timeline.Capacity(4, 0, 16)}
	for _, host := range []string{"h2", "h3", "h1"} {
		m := v.Ensure(host, "f0", "a", true)
		if m.Host != host || m.InstanceType != catalog["f0"] || m.Timeline.Capacity() != catalog["f0"].Capacity || !m.Spot || m.Place == nil || m.ZoneState == nil {
			t.Errorf("machine %s: unexpected identity or capacity: %+v", host, m.Identity)
		}
		if again := v.Ensure(host, "f1", "b", false); again != m || m.Zone != "a" {
			t.Errorf("second Ensure of %s changed the machine", host)
		}
		if v.Find(host) != m {
			t.Errorf("Find did not return machine %s", host)
		}
	}
	v.Remove(v.Find("h2"))
	var hosts []string
	for _, m := range v.Machines() {
		hosts = append(hosts, m.Host)
	}
	if len(hosts) != 2 || hosts[0] != "h1" || hosts[1] != "h3" || v.Find("h2") != nil {
		t.Errorf("machines %v, want h1 and h3", hosts)
	}
	if v.MarkReleased("h2"); !v.Released("h2") || v.Released("h1") {
		t.Error("want h2 released and h1 not")
	}
}

// TestSetInstanceType checks that attempts are entered into a machine's timeline once its capacity
// is known, and that a known capacity does not change.
func TestSetInstanceType(t *testing.T) {
	v, _, catalog := newInventory(t)
	m := v.Ensure("h1", "f0", "a", false)
	if m.InstanceType != nil || m.Timeline.Capacity() != (timeline.Resources{}) {
		t.Fatal("machine has a capacity although its type is not in the catalog")
	}
	need := timeline.Need(4, 0, 1)
	m.Attempts = append(m.Attempts, &fleet.Attempt{Reservation: &timeline.Booking{Start: t0, End: t0.Add(time.Minute), Need: need, Count: 1}}, &fleet.Attempt{})
	catalog["f0"] = &provider.InstanceType{Name: "f0", Capacity: timeline.Capacity(4, 0, 16)}
	v.SetInstanceType(m)
	if start, ok := m.Timeline.EarliestStart(t0, time.Second, need); !ok || !start.Equal(t0.Add(time.Minute)) {
		t.Errorf("earliest start after %v, want 1m0s, when the attempt ends", start.Sub(t0))
	}
	catalog["f0"] = &provider.InstanceType{Name: "f0", Capacity: timeline.Capacity(8, 0, 16)}
	if v.SetInstanceType(m); m.Timeline.Capacity().CPU != 4000 {
		t.Error("known capacity of the machine has changed")
	}
}

func TestLeaseExpiry(t *testing.T) {
	answered := t0.Add(lease.WithDrift(workerLease))
	for _, test := range []struct {
		name                string
		unaccounted, probed bool
		lastReply           time.Time
		earlier, want       time.Time
		unknown             bool
	}{
		{name: "never answered", earlier: t0, unknown: true},
		{name: "answered", lastReply: t0, earlier: t0.Add(time.Hour), want: answered},
		{name: "unaccounted, never answered", unaccounted: true, earlier: t0.Add(time.Hour), want: t0.Add(time.Hour)},
		{name: "unaccounted, earlier leases last longer", unaccounted: true, lastReply: t0, earlier: t0.Add(time.Hour), want: t0.Add(time.Hour)},
		{name: "unaccounted, own lease lasts longer", unaccounted: true, lastReply: t0, earlier: t0, want: answered},
		{name: "probed", probed: true, earlier: t0.Add(time.Hour), want: t0.Add(time.Hour)},
	} {
		t.Run(test.name, func(t *testing.T) {
			v, _, _ := newInventory(t)
			m := v.Ensure("h1", "f0", "a", false)
			m.Probed, m.LastReply = test.probed, test.lastReply
			if test.unaccounted {
				v.unaccounted["h1"] = true
			}
			got, ok := v.LeaseExpiry(m, test.earlier)
			if ok == test.unknown || ok && !got.Equal(test.want) {
				t.Errorf("lease expires %v after t0 (ok %v), want %v", got.Sub(t0), ok, test.want.Sub(t0))
			}
		})
	}
}

func TestMarkAccounted(t *testing.T) {
	v, _, _ := newInventory(t)
	v.unaccounted["h1"] = true
	if !v.IsUnaccounted("h1") || v.AllAccounted() || v.UnaccountedCount() != 1 {
		t.Error("h1 should be the only unaccounted machine")
	}
	if !v.MarkAccounted("h1") || v.MarkAccounted("h1") || !v.AllAccounted() {
		t.Error("MarkAccounted should return true only the first time")
	}
}
