// Package probe shows workers a new leader's fencing token.
//
// Probes speed up a failover: tasks accepted in earlier terms wait until every machine
// that may hold one is accounted for, and left to themselves workers find the new leader
// over a whole heartbeat interval and the time that redirects take. A probe is a command
// without orders. Its answer is the report of a worker that has seen the new fencing
// token, and so drops whatever an earlier leader still sends.
package probe

import (
	"time"

	"yewpass/internal/engine"
	"yewpass/internal/heartbeat"
)

// MaxInFlight is how many probes a controller has on their way at a time: each takes a
// socket.
const MaxInFlight = 24

const timeout = 1200 * time.Millisecond

// Send probes the worker at an address and has f called with its answer.
func Send(e *engine.Engine, address string, token, incarnation uint64, f func(heartbeat.ProbeReply)) {
	e.ProbeWorker(heartbeat.Probe{Address: address, FencingToken: token, Incarnation: incarnation, Timeout: timeout}, f)
}
