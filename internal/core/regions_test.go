package core

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"yewpass/internal/engine"
	"yewpass/internal/zones"
)

// TestRegionToldOnce: a region of four zones that falls silent is one warning, and the
// cluster's view says so; the zones' own lines are there for whoever looks closer.
func TestRegionToldOnce(t *testing.T) {
	c := leaderOf(t, 12)
	set, err := zones.NewRegions(map[string][]string{"r1": {"r1-0", "r1-1", "r1-2", "r1-3"}})
	if err != nil {
		t.Fatal(err)
	}
	c.leadership.outages.Regions = zones.NewRegionTracker(set)
	for zone := range 4 {
		for i := range 3 {
			m := c.leadership.inventory.Ensure(fmt.Sprintf("host-1%d%d", zone, i), "f0", fmt.Sprintf("r1-%d", zone), false)
			m.Reported, m.LastHeartbeat = true, t0
		}
	}
	c.Now = t0.Add(20 * time.Second)
	for _, m := range c.leadership.inventory.Machines()[:12] {
		m.LastHeartbeat = c.Now
	}
	c.Outputs = nil
	c.leadership.outages.Observe()
	var warned []string
	for _, o := range c.Outputs {
		if n, ok := o.(engine.LogEntry); ok && n.Level >= slog.LevelWarn {
			warned = append(warned, n.Text)
		}
	}
	if strings.Join(warned, ",") != "region doubtful" {
		t.Errorf("warned of %v", warned)
	}
	if v := c.regionViews(); len(v) != 1 || v[0].State != "doubtful" || v[0].ZonesUnreachable != 4 || v[0].Silent != 12 {
		t.Errorf("%+v", v)
	}
	if s := c.Stats(); s.RegionsUnreachable != 1 || s.ZonesUnreachable != 4 {
		t.Errorf("%d regions, %d zones away", s.RegionsUnreachable, s.ZonesUnreachable)
	}
}
