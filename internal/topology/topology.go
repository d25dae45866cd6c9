// Package topology models where machines are located and decides whether a task may start on a
// machine under the placement rules of its job. It is pure. Places form a tree: zones, below
// them the levels that operators name, and machines as leaves. Counting a task and checking
// a rule cost the depth of the tree, however many machines and jobs there are.
package topology

import (
	"fmt"
	"net/netip"
	"path"
	"slices"

	"github.com/gaissmai/bart"
)

// Zone is the name of the topmost level, and Machine that of the lowest.
const (
	Zone    = "zone"
	Machine = "machine"
)

// FieldError is an error in a field of a Definition.
type FieldError struct{ Field, Reason string }

// Error returns the field and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// fieldErrorf returns a FieldError.
func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Definition is the topology as operators define it.
type Definition struct {
	Levels []string // below the zone, from the top: switch, rack
	Places []PlaceDefinition
}

// PlaceDefinition defines which machines are located in a place.
type PlaceDefinition struct {
	Zone       string
	Names      []string // of the place at each level, from the top
	Networks   []string // of its machines' addresses, such as 10.1.4.0/22
	Hosts      []string // patterns of its machines' names, such as host-0001*
	UplinkMbps float64  // bandwidth that its machines share; 0 if not defined
}

// Place is a node of the tree. Two machines share it if both are below it.
type Place struct {
	Name       string
	Level      int // 0: a zone
	Parent     *Place
	UplinkMbps float64
	children   map[string]*Place
}

// String returns the path of the place from its zone.
func (p *Place) String() string {
	if p.Parent == nil {
		return p.Name
	}
	return p.Parent.String() + "/" + p.Name
}

// Ancestor returns the ancestor of p at a level, or p itself. It is nil at levels at which the place of
// a machine is not known.
func (p *Place) Ancestor(level int) *Place {
	for p != nil && p.Level > level {
		p = p.Parent
	}
	if p == nil || p.Level != level {
		return nil
	}
	return p
}

// child returns the child of a name, made if need be.
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

// Tree is all places. It is not safe for concurrent use.
type Tree struct {
	levels   []string // from the zone to the machine
	zones    map[string]*Place
	networks bart.Table[*Place]
	hosts    []hostPattern
	machines map[string]*Place
}

// hostPattern assigns machines to a place by their names.
type hostPattern struct {
	pattern string
	place   *Place
}

// New returns the tree of a definition. The error is a *FieldError. A zero definition gives a
// tree of zones and machines.
func New(def Definition) (*Tree, error) {
	t := &Tree{levels: append([]string{Zone}, def.Levels...), zones: map[string]*Place{}, machines: map[string]*Place{}}
	t.levels = append(t.levels, Machine)
	for i, l := range t.levels {
		if l == "" || slices.Contains(t.levels[:i], l) {
			return nil, fieldErrorf("levels", "%q is empty, stands twice, or is one of %s and %s, which are always there", l, Zone, Machine)
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
				return nil, fieldErrorf(field(def.Levels[k]), "missing, and a level below it is named")
			}
			p = p.child(name, k+1)
		}
		if !(d.UplinkMbps >= 0) {
			return nil, fieldErrorf(field("uplink_mbps"), "must not be below 0")
		}
		if d.UplinkMbps > 0 {
			p.UplinkMbps = d.UplinkMbps
		}
		for _, s := range d.Networks {
			n, err := netip.ParsePrefix(s)
			if err != nil {
				return nil, fieldErrorf(field("networks"), "%q is no network such as 10.1.4.0/22", s)
			}
			if n = n.Masked(); seen[n] {
				return nil, fieldErrorf(field("networks"), "%s is that of another place", n)
			}
			seen[n] = true
			t.networks.Insert(n, p)
		}
		for _, s := range d.Hosts {
			if _, err := path.Match(s, ""); err != nil {
				return nil, fieldErrorf(field("hosts"), "%q is no pattern such as host-0001*", s)
			}
			t.hosts = append(t.hosts, hostPattern{pattern: s, place: p})
		}
	}
	return t, nil
}

// zone returns the zone of a name, made if need be.
func (t *Tree) zone(name string) *Place {
	z := t.zones[name]
	if z == nil {
		z = &Place{Name: name}
		t.zones[name] = z
	}
	return z
}

// Level returns the number of a level by its name, 0 for the zone, and false if there is none.
func (t *Tree) Level(name string) (int, bool) {
	i := slices.Index(t.levels, name)
	return i, i >= 0
}

// Locate returns the leaf of a machine. It is located where the first matching pattern of host
// names says, or else the longest network that contains its address; failing both, only its
// zone is known. A place in another zone than the cloud provider's is a contradiction: it is
// ignored, and returned so that it can be reported.
func (t *Tree) Locate(host, address, zone string) (leaf, contradiction *Place) {
	if p := t.machines[host]; p != nil {
		return p, nil
	}
	at := t.find(host, address)
	if at != nil && at.Ancestor(0).Name != zone {
		at, contradiction = nil, at
	}
	if at == nil {
		at = t.zone(zone)
	}
	leaf = &Place{Name: host, Level: len(t.levels) - 1, Parent: at}
	t.machines[host] = leaf
	return leaf, contradiction
}

// find returns the place that the definition gives a machine, or nil.
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

// Remove removes a machine that is gone.
func (t *Tree) Remove(host string) { delete(t.machines, host) }
