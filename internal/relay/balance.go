package relay

import "slices"

// Node is a controller that workers can report to.
type Node struct {
	Name     string
	Zone     string
	Workers  int // that report to it
	Capacity int // how many it can take
}

// load returns how full a node is for workers in a zone. A node counts as half as full
// for workers of its own zone: a partition between zones then takes no worker from its
// tasks that could have been served inside its zone.
func (n *Node) load(zone string) int {
	if n.Zone == zone {
		return n.Workers
	}
	return 2 * n.Workers
}

// LeastLoaded returns the name of the node that a worker in a zone should report to, the
// first by name among equals, or "" when none has room.
func LeastLoaded(nodes []Node, zone string) string {
	best, least := "", 0
	for _, n := range nodes {
		if n.Workers >= n.Capacity {
			continue
		}
		n.Workers++ // with this one
		load := n.load(zone)
		if best == "" || load < least || load == least && n.Name < best {
			best, least = n.Name, load
		}
	}
	return best
}

// Imbalanced reports whether a worker in a zone should be redirected from one node to
// another to balance their load. That takes a clear difference, a quarter and at least
// eight workers, so that no worker moves back and forth.
func Imbalanced(nodes []Node, from, to, zone string) bool {
	i := slices.IndexFunc(nodes, func(n Node) bool { return n.Name == from })
	j := slices.IndexFunc(nodes, func(n Node) bool { return n.Name == to })
	if i < 0 || j < 0 || i == j {
		return false
	}
	a, b := &nodes[i], &nodes[j]
	if a.Workers > a.Capacity && b.Workers < b.Capacity {
		return true
	}
	x, y := a.load(zone), b.load(zone)
	return x > y+y/4+16
}

// MaxClientConnections returns how many connections of users and workers a controller
// accepts that may have so many sockets: what is left after other controllers, the
// key-value store, the cloud and probes, and some spare.
func MaxClientConnections(sockets int) int { return max(16, sockets*9/10-64) }
