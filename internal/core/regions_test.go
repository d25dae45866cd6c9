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

// TestRegionOutageWarnsOnce checks that the outage of a region causes one warning instead of one
// per zone and is shown in the cluster view.
func TestRegionOutageWarnsOnce(t *testing.T) {
	c := newLeader(t, 12)
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
	var warnings []string
	for _, o := range c.Outputs {
		if n, ok := o.(engine.LogEntry); ok && n.Level >= slog.LevelWarn {
			warnings = append(warnings, n.Text)
		}
	}
	if strings.Join(warnings, ",") != "region doubtful" {
		t.Errorf("warnings %v, want one for the region", warnings)
	}
	if v := c.regionViews(); len(v) != 1 || v[0].State != "doubtful" || v[0].ZonesUnreachable != 4 || v[0].Silent != 12 {
		t.Errorf("regions %+v, want one doubtful with 4 zones away and 12 silent machines", v)
	}
	if s := c.Stats(); s.RegionsUnreachable != 1 || s.ZonesUnreachable != 4 {
		t.Errorf("%d regions and %d zones away, want 1 and 4", s.RegionsUnreachable, s.ZonesUnreachable)
	}
}
