// Package topology models the locations of machines and checks the placement rules of jobs. Places
// form a tree of zones, operator-defined levels such as racks, and machines as leaves. Counting a
// task or checking a rule takes time proportional to the depth of the tree. The package does no
// I/O.
package topology

import (
	"fmt"
	"net/netip"
	"path"
	"slices"

	"github.com/gaissmai/bart"
)

// Zone and Machine are the names of the topmost and the lowest level.
const (
	Zone    = "zone"
	Machine = "machine"
)

// FieldError reports an invalid field of a topology definition.
type FieldError struct{ Field, Reason string }

// Error returns the field and the reason, separated by a colon.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Definition is the topology as configured by operators.
type Definition struct {
	Levels []string // between zone and machine, topmost first
	Places []PlaceDefinition
}

// PlaceDefinition configures which machines are located in a place.
type PlaceDefinition struct {
	Zone       string
	Names      []string // by level, topmost first
	Networks   []string // CIDR prefixes of machine addresses, such as 10.1.4.0/22
	Hosts      []string // glob patterns of host names, such as host-0001*
	UplinkMbps float64  // bandwidth shared by its machines; 0 if unknown
}

// Place is a node of the topology tree.
type Place struct {
	Name       string
	Level      int // 0 for a zone
	Parent     *Place
	UplinkMbps float64
	children   map[string]*Place
}

// String returns the names from the zone down to the place, separated by slashes.
func (p *Place) String() string {
	if p.Parent == nil {
		return p.Name
	}
	return p.Parent.String() + "/" + p.Name
}

// Ancestor returns the ancestor of p at a level, or p itself if that is its level. It returns nil
// if the place at the level is unknown.
func (p *Place) Ancestor(level int) *Place {
	for p != nil && p.Level > level {
		p = p.Parent
	}
	if p == nil || p.Level != level {
		return nil
	}
	return p
}

// child returns the child with the given name, creating it if needed.
func (p *Place) child(name string, level int) *Place {
	c := p.children[name]
	if c == nil {
		c = &Place{Name: name, Level: level, Parent: p}
		if p.children == nil {
			p.children = map[string]*Place{}
		}
		p.children[name] = c
	}
	return c
}

// Tree holds all places. It is not safe for concurrent use.
type Tree struct {
	levels   []string // level names from zone to machine
	zones    map[string]*Place
	networks bart.Table[*Place]
	hosts    []hostPattern
	machines map[string]*Place
}

// hostPattern assigns the machines with matching host names to a place.
type hostPattern struct {
	pattern string
	place   *Place
}

// New builds the tree of a definition, or returns a *FieldError if the definition is invalid. The
// zero definition has zones and machines only.
func New(def Definition) (*Tree, error) {
	t := &Tree{levels: append([]string{Zone}, def.Levels...), zones: map[string]*Place{}, machines: map[string]*Place{}}
	t.levels = append(t.levels, Machine)
	for i, l := range t.levels {
		if l == "" || slices.Contains(t.levels[:i], l) {
			return nil, fieldErrorf("levels", "level name %q is empty, duplicate or one of the reserved names %s and %s", l, Zone, Machine)
		}
	}
	seen := map[netip.Prefix]bool{}
	for i, d := range def.Places {
		field := func(name string) string { return fmt.Sprintf("places[%d].%s", i, name) }
		if d.Zone == "" {
			return nil, fieldErrorf(field(Zone), "missing")
		}
		if len(d.Names) > len(def.Levels) {
			return nil, fieldErrorf(field("names"), "%d names for %d levels", len(d.Names), len(def.Levels))
		}
		p := t.zone(d.Zone)
		for k, name := range d.Names {
			if name == "" {
				return nil, fieldErrorf(field(def.Levels[k]), "missing, but a level below it is set")
			}
			p = p.child(name, k+1)
		}
		if !(d.UplinkMbps >= 0) {
			return nil, fieldErrorf(field("uplink_mbps"), "must be a number of at least 0")
		}
		if d.UplinkMbps > 0 {
			p.UplinkMbps = d.UplinkMbps
		}
		for _, s := range d.Networks {
			n, err := netip.ParsePrefix(s)
			if err != nil {
				return nil, fieldErrorf(field("networks"), "%q is not a CIDR prefix such as 10.1.4.0/22", s)
			}
			if n = n.Masked(); seen[n] {
				return nil, fieldErrorf(field("networks"), "%s is already assigned to a place", n)
			}
			seen[n] = true
			t.networks.Insert(n, p)
		}
		for _, s := range d.Hosts {
			if _, err := path.Match(s, ""); err != nil {
				return nil, fieldErrorf(field("hosts"), "%q is not a valid host name pattern such as host-0001*", s)
			}
			t.hosts = append(t.hosts, hostPattern{pattern: s, place: p})
		}
	}
	return t, nil
}

// zone returns the zone with the given name, creating it if needed.
func (t *Tree) zone(name string) *Place {
	z := t.zones[name]
	if z == nil {
		z = &Place{Name: name}
		t.zones[name] = z
	}
	return z
}

// Level returns the index of the named level, 0 for the zone, and whether the level exists.
func (t *Tree) Level(name string) (int, bool) {
	i := slices.Index(t.levels, name)
	return i, i >= 0
}

// Locate returns the leaf of a machine, creating it if needed. The first matching host pattern
// determines its place, or else the longest network prefix that contains its address. If neither
// matches, or the place found is not in the zone that the cloud reports, only the zone is used. In
// the latter case mismatch is the ignored place.
func (t *Tree) Locate(host, address, zone string) (leaf, mismatch *Place) {
	if p := t.machines[host]; p != nil {
		return p, nil
	}
	at := t.find(host, address)
	if at != nil && at.Ancestor(0).Name != zone {
		at, mismatch = nil, at
	}
	if at == nil {
		at = t.zone(zone)
	}
	leaf = &Place{Name: host, Level: len(t.levels) - 1, Parent: at}
	t.machines[host] = leaf
	return leaf, mismatch
}

// find returns the place that the definition assigns to a machine, or nil.
func (t *Tree) find(host, address string) *Place {
	for _, h := range t.hosts {
		if ok, _ := path.Match(h.pattern, host); ok {
			return h.place
		}
	}
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil
	}
	p, _ := t.networks.Lookup(ap.Addr().Unmap())
	return p
}

// Remove removes the leaf of a machine. A later Locate determines the place again.
func (t *Tree) Remove(host string) { delete(t.machines, host) }
