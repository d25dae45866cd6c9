// Package probe sends workers a new leader's fencing token and collects their reports.
//
// Probes speed up a failover. Tasks accepted in earlier terms cannot start until every machine
// that may hold one is accounted for. Without probes, this takes a full heartbeat interval plus
// the time for workers to be redirected to the new leader. A probe is a command without orders.
// A worker that answers it has seen the new fencing token and rejects commands of earlier
// leaders.
package probe

import (
	"time"

	"yewpass/internal/engine"
	"yewpass/internal/heartbeat"
)

// MaxInFlight is the maximum number of concurrent probes per controller. Each probe uses a
// socket.
const MaxInFlight = 24

const replyTimeout = 1200 * time.Millisecond

// Send probes the worker at an address and calls f with the reply. The outcome of the reply is
// rpc.Unknown if none arrives within the timeout.
func Send(e *engine.Engine, address string, token, incarnation uint64, f func(heartbeat.ProbeReply)) {
	e.ProbeWorker(heartbeat.Probe{Address: address, FencingToken: token, Incarnation: incarnation, Timeout: replyTimeout}, f)
}
