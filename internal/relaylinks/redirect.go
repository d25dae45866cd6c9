package relaylinks

import (
	"time"

	"yewpass/internal/config"
	"yewpass/internal/fleet"
	"yewpass/internal/relay"
)

// relayTimeout is how long after its last batch a relay still accepts redirected workers.
const relayTimeout = 3 * time.Second

// Nodes returns the relays that accept workers. The slice is valid until the next call.
func (l *Links) Nodes() []relay.Node {
	l.nodes = l.nodes[:0]
	for _, s := range l.cfg.Seeds {
		if l.AcceptsWorkers(s.HostName) {
			l.nodes = append(l.nodes, relay.Node{Name: s.HostName, Zone: s.Site, Workers: l.byName[s.HostName].Workers, Capacity: nodeCapacity(l.cfg)})
		}
	}
	return l.nodes
}

// AcceptsWorkers reports whether workers can be redirected to a relay now: it is linked, has an
// open session and has sent a batch recently.
func (l *Links) AcceptsWorkers(name string) bool {
	link := l.byName[name]
	return link != nil && l.leader.IsLinked(name) && link.Decoder.Session() != 0 && l.engine.Now.Sub(link.LastBatch) < relayTimeout
}

// nodeCapacity returns the number of workers that a controller can serve beside users.
func nodeCapacity(cfg *config.Config) int {
	if n := cfg.Settings.Limits.MaxConnections; n > 0 {
		return max(4, relay.MaxClientConnections(n)*5/6)
	}
	return 1 << 30
}

// MaxFleetSize returns the number of machines that the controllers can serve together, without the
// leader and with one other controller down.
func MaxFleetSize(cfg *config.Config) int {
	return nodeCapacity(cfg) * max(1, len(cfg.Seeds)-1)
}

// RedirectTarget returns the controller to which a machine that has just reported through the relay
// via should be redirected, or "" if it should stay. first is true for the first heartbeat ever
// received from the machine.
//
// Redirects are rate-limited so that workers do not reconnect all at once. A new machine that
// reports directly to the leader is exempt, since it has no tasks to lose. A machine redirected
// recently is not redirected again, since it may be unable to reach the other controller.
func (l *Links) RedirectTarget(m *fleet.Machine, via string, first bool) string {
	now := l.engine.Now
	if len(l.cfg.Seeds) == 0 || !l.leader.MayRedirect() || m.Releasing || now.Sub(m.LastRedirect) < 3*l.cfg.Settings.Workers.Lease.Duration() {
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
	m.LastRedirect = now
	return to
}
