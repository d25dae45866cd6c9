package relaylinks

import (
	"time"

	"yewpass/internal/config"
	"yewpass/internal/fleet"
	"yewpass/internal/relay"
)

// relayTimeout is after which time without a batch from a relay no worker is redirected
// to it.
const relayTimeout = 3 * time.Second

// Nodes returns the relays that can take workers now. The slice is valid until the next
// call.
func (l *Links) Nodes() []relay.Node {
	l.nodes = l.nodes[:0]
	for _, s := range l.cfg.Seeds {
		if l.AcceptsWorkers(s.HostName) {
			l.nodes = append(l.nodes, relay.Node{Name: s.HostName, Zone: s.Site, Workers: l.byName[s.HostName].Workers, Capacity: nodeCapacity(l.cfg)})
		}
	}
	return l.nodes
}

// AcceptsWorkers reports whether workers can report through a relay now.
func (l *Links) AcceptsWorkers(name string) bool {
	link := l.byName[name]
	return link != nil && l.leader.IsLinked(name) && link.Decoder.Session() != 0 && l.engine.Now.Sub(link.LastBatch) < relayTimeout
}

// nodeCapacity returns how many workers a controller takes: their part of the
// connections that it accepts. The rest is for users.
func nodeCapacity(cfg *config.Config) int {
	if n := cfg.Settings.Limits.MaxConnections; n > 0 {
		return max(4, relay.MaxClientConnections(n)*5/6)
	}
	return 1 << 30
}

// MaxFleetSize returns how many machines the controllers can serve together. The leader
// takes no workers itself while there are others, and one of those may be away.
func MaxFleetSize(cfg *config.Config) int {
	return nodeCapacity(cfg) * max(1, len(cfg.Seeds)-1)
}

// RedirectTarget returns to which controller a machine that has just reported through a
// relay should be redirected, or "" while it stays. first says that the machine was
// heard of for the first time.
//
// Workers are redirected one at a time, so that no storm comes of it. Only a machine
// that nobody has heard of before is redirected at once, as it has nothing to lose. A
// machine that comes back had a reason: the other controller is out of its reach.
func (l *Links) RedirectTarget(m *fleet.Machine, via string, first bool) string {
	now := l.engine.Now
	if len(l.cfg.Seeds) == 0 || !l.leader.MayRedirect() || m.Releasing || now.Sub(m.LastMoved) < 3*l.cfg.Settings.Workers.Lease.Duration() {
		return ""
	}
	first = first && via == ""
	if !first && (now.Before(l.nextRedirectAt) || m.FencingToken != l.term) {
		return ""
	}
	nodes := l.Nodes()
	to := relay.LeastLoaded(nodes, m.Zone)
	if to == "" || to == via || via != "" && !relay.Imbalanced(nodes, via, to, m.Zone) {
		return ""
	}
	if !first {
		l.nextRedirectAt = now.Add(time.Second / time.Duration(4+l.leader.FleetSize()/50))
	}
	m.LastMoved = now
	return to
}
