package zones

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Regions says which zones lie in which region. Zones that it does not name lie in none.
type Regions struct {
	regionOf map[string]string
	names    []string // sorted
}

// NewRegions returns the regions of a definition: the zones of each by its name. The error
// names the region that is wrong.
func NewRegions(def map[string][]string) (*Regions, error) {
	r := &Regions{regionOf: map[string]string{}, names: slices.Sorted(maps.Keys(def))}
	for _, region := range r.names {
		if len(def[region]) == 0 {
			return nil, fmt.Errorf("%s: has no zones", region)
		}
		for _, zone := range def[region] {
			if zone == "" {
				return nil, fmt.Errorf("%s: a zone has no name", region)
			}
			if other, ok := r.regionOf[zone]; ok {
				return nil, fmt.Errorf("%s: zone %q is in %s already", region, zone, other)
			}
			r.regionOf[zone] = region
		}
	}
	return r, nil
}

// RegionOf returns the region of a zone, or "".
func (r *Regions) RegionOf(zone string) string {
	if r == nil {
		return ""
	}
	return r.regionOf[zone]
}

// Region is what is known of one region, derived from its zones.
type Region struct {
	Name             string
	State            State
	Since            time.Time     // of the state
	Counts           MachineCounts // sum of its zones
	Zones            int           // number of zones that have machines
	UnreachableZones int           // of them, those that are doubtful or lost
}

// RegionChange is a region that goes from one state to another.
type RegionChange struct {
	Region   *Region
	From, To State
	Previous time.Duration // how long the former state lasted
}

// RegionTracker observes the regions.
type RegionTracker struct {
	membership *Regions
	regions    map[string]*Region
}

// NewRegionTracker returns a RegionWatch of the regions, of none if set is nil.
func NewRegionTracker(set *Regions) *RegionTracker {
	w := &RegionTracker{membership: set, regions: map[string]*Region{}}
	if set != nil {
		for _, name := range set.names {
			w.regions[name] = &Region{Name: name}
		}
	}
	return w
}

// All returns the regions by name.
func (w *RegionTracker) All() (rs []*Region) {
	for _, name := range slices.Sorted(maps.Keys(w.regions)) {
		rs = append(rs, w.regions[name])
	}
	return rs
}

// RegionOf returns the region of a zone, or nil.
func (w *RegionTracker) RegionOf(zone string) *Region { return w.regions[w.membership.RegionOf(zone)] }

// Observe derives the states of the regions from those of the zones and returns the changes. A
// region is unreachable when all its zones that have machines are, and there is more than
// one; the outage of a single zone is not that of a region.
func (w *RegionTracker) Observe(now time.Time, zones []*Zone) (changes []RegionChange) {
	lost := map[string]int{}
	returning := map[string]int{}
	for _, r := range w.regions {
		r.Zones, r.UnreachableZones, r.Counts = 0, 0, MachineCounts{}
	}
	for _, z := range zones {
		r := w.RegionOf(z.Name)
		if r == nil || z.State == Up && z.Counts.Reporting+z.Counts.Silent == 0 {
			continue
		}
		r.Zones++
		r.Counts.Reporting += z.Counts.Reporting
		r.Counts.Silent += z.Counts.Silent
		switch z.State {
		case Doubtful:
			r.UnreachableZones++
		case Lost:
			r.UnreachableZones++
			lost[r.Name]++
		case Returning:
			returning[r.Name]++
		}
	}
	for _, r := range w.All() {
		if r.Since.IsZero() {
			r.Since = now
		}
		if to := r.nextState(lost[r.Name], returning[r.Name]); to != r.State {
			changes = append(changes, RegionChange{Region: r, From: r.State, To: to, Previous: now.Sub(r.Since)})
			r.State, r.Since = to, now
		}
	}
	return changes
}

// nextState is the state that follows from those of the zones.
func (r *Region) nextState(lost, returning int) State {
	switch {
	case r.Zones > 1 && lost == r.Zones:
		return Lost
	case r.Zones > 1 && r.UnreachableZones == r.Zones:
		return Doubtful
	case r.State != Up && (r.UnreachableZones > 0 || returning > 0):
		return Returning // until the last of its zones is up
	}
	return Up
}

// Unreachable reports whether all of the region is taken to be cut off.
func (r *Region) Unreachable() bool { return r.State == Doubtful || r.State == Lost }
