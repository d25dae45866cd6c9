package configmanager

import (
	"log/slog"
	"time"

	"yewpass/internal/peermsg"
)

const (
	// broadcastInterval is how often the leader sends its revision to other controllers.
	broadcastInterval = time.Second
	// propagationTarget is the time within which a change should reach every controller.
	propagationTarget = 3 * time.Second
)

// propagation tracks which revisions the other controllers have.
type propagation struct {
	peers           map[string]*peer // by host name
	inForceAt       time.Time        // when the current revision was applied at the leader
	propagationTime time.Duration    // from applying the last measured revision until all reachable controllers had it
	measuring       bool             // some reachable controller lacks the current revision
}

// peer is the last known state of another controller.
type peer struct {
	version    uint64    // of the protocol between controllers
	revision   uint64    // of its replica of the configuration
	upToDateAt time.Time // when it last reported the current revision
}

// broadcastRevision sends the current revision to the other controllers, now and at every
// broadcastInterval.
func (m *Manager) broadcastRevision() {
	m.sendRevision()
	m.scope.After(broadcastInterval, m.broadcastRevision)
}

// sendRevision sends the current revision to all connected controllers that support live
// configuration, unless the configuration was never changed.
func (m *Manager) sendRevision() {
	if m.state.Revision == 0 {
		return
	}
	m.requestPeerVersions()
	for _, seed := range m.cfg.Seeds {
		if p := m.peers[seed.HostName]; p != nil && p.version >= peermsg.Version && m.leader.IsLinked(seed.HostName) {
			m.engine.Emit(peermsg.Outgoing{To: seed.HostName, Msg: peermsg.Message{Kind: peermsg.ConfigRevision, Term: m.term, Ref: m.state.Revision}})
		}
	}
}

// requestPeerVersions announces the leader again to connected controllers whose protocol
// version is unknown. Their acknowledgement is lost if their connection to the leader was
// established after the leader's connection to them.
func (m *Manager) requestPeerVersions() {
	for _, seed := range m.cfg.Seeds {
		if m.peers[seed.HostName] == nil && m.leader.IsLinked(seed.HostName) {
			m.engine.Emit(peermsg.Outgoing{To: seed.HostName, Msg: peermsg.Message{Kind: peermsg.Leader, Term: m.term, Version: peermsg.Version}})
		}
	}
}

// RecordPeerVersion records the protocol version that another controller reported.
func (m *Manager) RecordPeerVersion(node string, version uint64) {
	if m.peers[node] == nil {
		m.peers[node] = &peer{}
	}
	m.peers[node].version = version
}

// RecordPeerRevision records the configuration revision that another controller reported.
// It ignores controllers whose protocol version is unknown.
func (m *Manager) RecordPeerRevision(node string, revision uint64) {
	if p := m.peers[node]; p != nil {
		p.revision = revision
		if p.revision >= m.state.Revision {
			p.upToDateAt = m.engine.Now
		}
		m.measurePropagation()
	}
}

// measurePropagation records the propagation time once all reachable controllers have the
// current revision.
func (m *Manager) measurePropagation() {
	if !m.measuring {
		return
	}
	for name, p := range m.peers {
		if m.leader.IsLinked(name) && p.version >= peermsg.Version && p.revision < m.state.Revision {
			return
		}
	}
	m.measuring, m.propagationTime = false, m.engine.Now.Sub(m.inForceAt)
	if m.propagationTime > propagationTarget {
		m.engine.Log(slog.LevelWarn, "configuration change exceeded the propagation target", "revision", m.state.Revision, "after", m.propagationTime)
	}
}
