package relay

import "slices"

// Node is a controller that workers can report to.
type Node struct {
	Name     string
	Zone     string
	Workers  int
	Capacity int // in workers
}

// load returns the load of a node for a worker in a zone. Nodes of other zones count double,
// because a partition between zones would cut the worker off.
func (n *Node) load(zone string) int {
	if n.Zone == zone {
		return n.Workers
	}
	return 2 * n.Workers
}

// LeastLoaded returns the name of the node that a worker in a zone should report to, or "" if all
// nodes are full. Ties are broken by name.
func LeastLoaded(nodes []Node, zone string) string {
	best, least := "", 0
	for _, n := range nodes {
		if n.Workers >= n.Capacity {
			continue
		}
		n.Workers++ // including the new worker
		load := n.load(zone)
		if best == "" || load < least || load == least && n.Name < best {
			best, least = n.Name, load
		}
	}
	return best
}

// Imbalanced reports whether a worker in a zone should be redirected from one node to another to
// balance their load. The difference must exceed a quarter plus a constant, so that workers do not
// move back and forth, unless from is above its capacity.
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

// MaxClientConnections returns how many connections of users and workers a controller accepts,
// given its limit on open sockets. The rest is for controllers, the store, the cloud and probes.
func MaxClientConnections(sockets int) int { return max(16, sockets*9/10-64) }
