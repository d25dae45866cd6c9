package fleet

import (
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/relay"
)

// RelayLink is the leader's state of a connected relay, which aggregates the heartbeats of many
// workers.
type RelayLink struct {
	Decoder    relay.Decoder
	LastBatch  time.Time     // when the last batch was decoded
	LastSilent time.Time     // when the relay was last found silent
	Workers    int           // workers that report through the relay
	Replies    []relay.Reply // not yet sent
	Weight     int           // total weight of Replies, see relay.Reply.Weight
}

// HeartbeatKey identifies a heartbeat whose reply is held. Ref is unique only within one relay
// session.
type HeartbeatKey struct {
	Via heartbeat.RelaySession
	Ref uint64
}

// HeldReply is a heartbeat that the leader has not answered yet because there are no orders for the
// machine (long polling).
type HeldReply struct {
	HeartbeatKey
	Since  time.Time
	Report heartbeat.Report // set if the node received it directly; forwarded to the next leader
}
