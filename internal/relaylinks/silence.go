package relaylinks

import (
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/forwarder"
)

// WorkerRetryTimeout is how long a worker waits for a reply, and until it then asks the
// next controller: it may have sent its heartbeat to a relay that had just gone silent.
const WorkerRetryTimeout = 4*time.Second + time.Second

// MaxReconnectTime returns within which time a worker that is well is heard again although
// its next heartbeat has no reply and the one after goes to another controller.
func (l *Links) MaxReconnectTime() time.Duration {
	return l.heartbeatInterval()*5/4 + WorkerRetryTimeout
}

func (l *Links) heartbeatInterval() time.Duration { return l.cfg.Settings.Workers.Report.Duration() }

// MarkSilentRelays notes which relays are silent. A worker of theirs is not silent by itself:
// it finds out when its next heartbeat has had no reply for long, and goes elsewhere
// then. Released before that it would have lost its tasks for nothing.
func (l *Links) MarkSilentRelays() {
	for _, s := range l.cfg.Seeds {
		if link := l.byName[s.HostName]; link != nil && l.engine.Now.Sub(link.LastBatch) > 3*forwarder.KeepAliveInterval {
			link.LastSilent = l.engine.Now
		}
	}
}

// IsOverdue reports whether a machine's heartbeat is overdue: they come up to a quarter
// late, and have waited for their replies before.
func (l *Links) IsOverdue(m *fleet.Machine) bool {
	return l.engine.Now.Sub(m.LastHeartbeat) > l.heartbeatInterval()*3/2
}

// MarkIsolatedRelays notes which relays have lost their workers while we hear the relays
// themselves, given how many of the workers of each are overdue. One machine of many is
// rather gone itself. A quarter of a relay's falling silent together have lost the relay,
// and find out as those of a silent one do.
func (l *Links) MarkIsolatedRelays(overdue map[*fleet.RelayLink]int) {
	for link, n := range overdue {
		if n > 2 && 4*n > link.Workers {
			link.LastSilent = l.engine.Now
		}
	}
}

// SilenceLimit returns how long a machine may be silent, given how long one with a relay
// in order may be.
func (l *Links) SilenceLimit(m *fleet.Machine, limit time.Duration) time.Duration {
	if m.ReportsVia != nil && m.ReportsVia.LastSilent.After(m.LastHeartbeat) {
		return max(limit, l.MaxReconnectTime()+time.Second)
	}
	return limit
}
