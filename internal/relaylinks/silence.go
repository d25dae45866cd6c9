package relaylinks

import (
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/forwarder"
)

// WorkerRetryTimeout is the time until a worker tries the next controller after a heartbeat to a
// failed relay: the reply timeout plus the retry delay.
const WorkerRetryTimeout = 4*time.Second + time.Second

// MaxReconnectTime returns the time within which a healthy worker is heard from again after its
// relay has failed: its next heartbeat gets no reply and the one after goes to another
// controller.
func (l *Links) MaxReconnectTime() time.Duration {
	return l.heartbeatInterval()*5/4 + WorkerRetryTimeout
}

func (l *Links) heartbeatInterval() time.Duration { return l.cfg.Settings.Workers.Report.Duration() }

// MarkSilentRelays updates LastSilent of the relays that have missed their keep-alive batches. A
// healthy worker of such a relay must not be released before its next heartbeat has timed out and
// it has reported to another controller.
func (l *Links) MarkSilentRelays() {
	for _, s := range l.cfg.Seeds {
		if link := l.byName[s.HostName]; link != nil && l.engine.Now.Sub(link.LastBatch) > 3*forwarder.KeepAliveInterval {
			link.LastSilent = l.engine.Now
		}
	}
}

// IsOverdue reports whether a machine's next heartbeat is overdue. The limit allows for a quarter
// of the interval as jitter, and for the previous reply.
func (l *Links) IsOverdue(m *fleet.Machine) bool {
	return l.engine.Now.Sub(m.LastHeartbeat) > l.heartbeatInterval()*3/2
}

// MarkIsolatedRelays updates LastSilent of the relays that seem to be cut off from their workers
// while the leader still receives batches from them. overdue is the number of overdue workers per
// relay. A relay seems cut off if at least three, and more than a quarter, of its workers are
// overdue.
func (l *Links) MarkIsolatedRelays(overdue map[*fleet.RelayLink]int) {
	for link, n := range overdue {
		if n > 2 && 4*n > link.Workers {
			link.LastSilent = l.engine.Now
		}
	}
}

// SilenceLimit returns how long a machine may be silent. It extends limit to cover
// MaxReconnectTime if the machine's relay has been silent since the machine's last heartbeat.
func (l *Links) SilenceLimit(m *fleet.Machine, limit time.Duration) time.Duration {
	if m.Relay != nil && m.Relay.LastSilent.After(m.LastHeartbeat) {
		return max(limit, l.MaxReconnectTime()+time.Second)
	}
	return limit
}
