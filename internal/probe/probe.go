// Package probe sends workers a new leader's fencing token and collects their reports.
//
// Probes speed up a failover: tasks accepted in earlier terms cannot start until every machine that
// may hold one is accounted for, and workers find a new leader by themselves only over a heartbeat
// interval and the time that redirects take. A probe is a command without orders. A worker that
// answers it rejects commands of earlier leaders from then on.
package probe

import (
	"time"

	"yewpass/internal/engine"
	"yewpass/internal/heartbeat"
)

// MaxInFlight is the maximum number of concurrent probes, and their sockets, per controller.
const MaxInFlight = 24

const replyTimeout = 1200 * time.Millisecond

// Send probes the worker at an address and calls f with the reply. Without a reply within the
// timeout, its outcome is rpc.Unknown.
func Send(e *engine.Engine, address string, token, incarnation uint64, f func(heartbeat.ProbeReply)) {
	e.ProbeWorker(heartbeat.Probe{Address: address, FencingToken: token, Incarnation: incarnation, Timeout: replyTimeout}, f)
}
