package zones

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Regions maps zones to regions. A zone may belong to no region.
type Regions struct {
	regionOf map[string]string
	names    []string // sorted
}

// NewRegions returns the Regions for a map from region names to their zones, or an error that names
// a region without zones, with an unnamed zone or with a zone of another region.
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
				return nil, fmt.Errorf("%s: zone %q is already in %s", region, zone, other)
			}
			r.regionOf[zone] = region
		}
	}
	return r, nil
}

// RegionOf returns the name of a zone's region, or "" if it has none.
func (r *Regions) RegionOf(zone string) string {
	if r == nil {
		return ""
	}
	return r.regionOf[zone]
}

// Region holds the state of a region, derived from its zones.
type Region struct {
	Name             string
	State            State
	Since            time.Time // when the state was entered
	Counts           MachineCounts
	Zones            int // zones that have machines
	UnreachableZones int // those that are doubtful or lost
}

// RegionChange is a state change of a region.
type RegionChange struct {
	Region           *Region
	From, To         State
	PreviousDuration time.Duration // time spent in state From
}

// RegionTracker tracks the states of all regions.
type RegionTracker struct {
	membership *Regions
	regions    map[string]*Region
}

// NewRegionTracker returns a RegionTracker with all regions Up. A nil argument means no regions.
func NewRegionTracker(regions *Regions) *RegionTracker {
	t := &RegionTracker{membership: regions, regions: map[string]*Region{}}
	if regions != nil {
		for _, name := range regions.names {
			t.regions[name] = &Region{Name: name}
		}
	}
	return t
}

// All returns the regions, sorted by name.
func (t *RegionTracker) All() (list []*Region) {
	for _, name := range slices.Sorted(maps.Keys(t.regions)) {
		list = append(list, t.regions[name])
	}
	return list
}

// RegionOf returns the region of a zone, or nil if it has none.
func (t *RegionTracker) RegionOf(zone string) *Region { return t.regions[t.membership.RegionOf(zone)] }

// Observe derives the states of the regions from those of the zones and returns the changes. A
// region is unreachable when more than one of its zones have machines and all of those are
// unreachable.
func (t *RegionTracker) Observe(now time.Time, zones []*Zone) (changes []RegionChange) {
	lost := map[string]int{}
	returning := map[string]int{}
	for _, r := range t.regions {
		r.Zones, r.UnreachableZones, r.Counts = 0, 0, MachineCounts{}
	}
	for _, z := range zones {
		r := t.RegionOf(z.Name)
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
	for _, r := range t.All() {
		if r.Since.IsZero() {
			r.Since = now
		}
		if to := r.nextState(lost[r.Name], returning[r.Name]); to != r.State {
			changes = append(changes, RegionChange{Region: r, From: r.State, To: to, PreviousDuration: now.Sub(r.Since)})
			r.State, r.Since = to, now
		}
	}
	return changes
}

// nextState returns the region's next state, given its lost and returning zones.
func (r *Region) nextState(lost, returning int) State {
	switch {
	case r.Zones > 1 && lost == r.Zones:
		return Lost
	case r.Zones > 1 && r.UnreachableZones == r.Zones:
		return Doubtful
	case r.State != Up && (r.UnreachableZones > 0 || returning > 0):
		return Returning // until all its zones are up
	}
	return Up
}

// Unreachable reports whether the region is Doubtful or Lost.
func (r *Region) Unreachable() bool { return r.State == Doubtful || r.State == Lost }
