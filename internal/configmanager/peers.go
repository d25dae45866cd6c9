package configmanager

import (
	"log/slog"
	"time"

	"yewpass/internal/peermsg"
)

const (
	// broadcastInterval is how often the leader tells the other controllers which
	// revision is in force.
	broadcastInterval = time.Second
	// propagationTarget is within what time a change is to be in force at every controller.
	propagationTarget = 3 * time.Second
)

// propagation is how revisions become known to the other controllers.
type propagation struct {
	peers        map[string]*peer
	inForceAt    time.Time     // when the present revision came into force here
	propagatedIn time.Duration // how long the last one took to be known to all in reach
	measuring    bool          // the present revision has not become known to all yet
}

// peer is what the leader knows of another controller.
type peer struct {
	version  uint64 // of the protocol between controllers
	revision uint64 // of the configuration that it has
	newestAt time.Time
}

// broadcastRevision tells the other controllers which revision is in force, now and
// regularly.
func (m *Manager) broadcastRevision() {
	m.sendRevision()
	m.scope.After(broadcastInterval, m.broadcastRevision)
}

// sendRevision tells the other controllers which revision is in force, unless nothing
// was ever changed.
func (m *Manager) sendRevision() {
	if m.state.Revision == 0 {
		return
	}
	m.askPeerVersions()
	for _, seed := range m.cfg.Seeds {
		if p := m.peers[seed.HostName]; p != nil && p.version >= peermsg.Version && m.leader.HasLink(seed.HostName) {
			m.engine.Emit(peermsg.Outgoing{To: seed.HostName, Msg: peermsg.Message{Kind: peermsg.ConfigRevision, Term: m.term, Ref: m.state.Revision}})
		}
	}
}

// askPeerVersions asks the controllers for their version that have not acknowledged this
// leader's term: their link to the leader may have come up after the leader's to them.
func (m *Manager) askPeerVersions() {
	for _, seed := range m.cfg.Seeds {
		if m.peers[seed.HostName] == nil && m.leader.HasLink(seed.HostName) {
			m.engine.Emit(peermsg.Outgoing{To: seed.HostName, Msg: peermsg.Message{Kind: peermsg.Leader, Term: m.term, Version: peermsg.Version}})
		}
	}
}

// NotePeerVersion notes the protocol version of another controller.
func (m *Manager) NotePeerVersion(node string, version uint64) {
	if m.peers[node] == nil {
		m.peers[node] = &peer{}
	}
	m.peers[node].version = version
}

// NotePeerRevision notes the revision of the configuration that another controller has.
func (m *Manager) NotePeerRevision(node string, revision uint64) {
	if p := m.peers[node]; p != nil {
		p.revision = revision
		if p.revision >= m.state.Revision {
			p.newestAt = m.engine.Now
		}
		m.measurePropagation()
	}
}

// measurePropagation measures how long a revision takes to be known to all controllers
// in reach.
func (m *Manager) measurePropagation() {
	if !m.measuring {
		return
	}
	for name, p := range m.peers {
		if m.leader.HasLink(name) && p.version >= peermsg.Version && p.revision < m.state.Revision {
			return
		}
	}
	m.measuring, m.propagatedIn = false, m.engine.Now.Sub(m.inForceAt)
	if m.propagatedIn > propagationTarget {
		m.engine.Log(slog.LevelWarn, "configuration change propagated slowly", "revision", m.state.Revision, "after", m.propagatedIn)
	}
}
