package election

import "time"

// links tracks the connections to the other controllers.
type links struct {
	up           map[string]bool
	leaderLostAt time.Time // when the link to the known leader went down
}

// IsLinked reports whether the link to peer is up.
func (l *links) IsLinked(peer string) bool { return l.up[peer] }

// LinkLostAt returns when the link to the known leader went down. It is meaningless while the link
// is up.
func (l *links) LinkLostAt() time.Time { return l.leaderLostAt }

// IsLinkedToAny reports whether the link to at least one other controller is up.
func (l *links) IsLinkedToAny() bool {
	for _, up := range l.up {
		if up {
			return true
		}
	}
	return false
}

// IsLinkedToLeader reports whether the leader is known and the link to it is up.
func (e *Election) IsLinkedToLeader() bool { return e.leader != "" && e.up[e.leader] }

// SetLink records whether the link to peer is up. Call it on every change.
func (e *Election) SetLink(peer string, up bool) {
	if peer == e.leader && e.up[peer] {
		e.leaderLostAt = e.engine.Now
	}
	e.up[peer] = up
}
