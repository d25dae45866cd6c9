package election

import "time"

// links are the links to the other controllers.
type links struct {
	up           map[string]bool
	leaderLostAt time.Time // since when there is no link to the known leader
}

// IsLinked reports whether there is a link to a peer.
func (l *links) IsLinked(peer string) bool { return l.up[peer] }

// LinkLostAt returns since when there has been no link to the known leader. It means
// nothing while there is one.
func (l *links) LinkLostAt() time.Time { return l.leaderLostAt }

// IsLinkedToAny reports whether there is a link to any other controller.
func (l *links) IsLinkedToAny() bool {
	for _, up := range l.up {
		if up {
			return true
		}
	}
	return false
}

// IsLinkedToLeader reports whether it is known who leads and there is a link to it.
func (e *Election) IsLinkedToLeader() bool { return e.leader != "" && e.up[e.leader] }

// SetLink notes that the link to a peer has come up or gone down.
func (e *Election) SetLink(peer string, up bool) {
	if peer == e.leader && e.up[peer] {
		e.leaderLostAt = e.engine.Now
	}
	e.up[peer] = up
}
