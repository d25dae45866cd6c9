package relay

import "slices"

// Node is a controller that can take workers.
type Node struct {
	Name    string
	Zone    string
	Workers int // that report to it
	Most    int // that it can take
}

// load is how full a node is for workers in a zone. One in their own counts as half as
// full: a cut between zones then takes no worker from its tasks that could have been
// served inside.
func (n *Node) load(zone string) int {
	if n.Zone == zone {
		return n.Workers
	}
	return 2 * n.Workers
}

// Spread says which of the nodes a worker in a zone should report to, the names
// deciding between equals; "" when none has room.
func Spread(nodes []Node, zone string) string {
	best, least := "", 0
	for _, n := range nodes {
		if n.Workers >= n.Most {
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

// Uneven says whether a worker in a zone should be led from one node to another for
// the sake of even numbers. It takes a clear difference, so that nothing moves to
// and fro: a quarter, and at least eight.
func Uneven(nodes []Node, from, to, zone string) bool {
	i := slices.IndexFunc(nodes, func(n Node) bool { return n.Name == from })
	j := slices.IndexFunc(nodes, func(n Node) bool { return n.Name == to })
	if i < 0 || j < 0 || i == j {
		return false
	}
	a, b := &nodes[i], &nodes[j]
	if a.Workers > a.Most && b.Workers < b.Most {
		return true
	}
	x, y := a.load(zone), b.load(zone)
	return x > y+y/4+16
}

// Clients returns how many connections of users and workers a node lets in that may
// have so many sockets: what is left after other controllers, the state service, the
// cloud and probes, and some spare.
func Clients(sockets int) int { return max(16, sockets*9/10-64) }
