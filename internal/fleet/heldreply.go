package fleet

import (
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/relay"
)

// RelayLink is the leader's end of its link to a relay.
type RelayLink struct {
	Decoder    relay.Decoder
	LastBatch  time.Time     // when its last batch was decoded
	LastSilent time.Time     // when it was last found to be silent
	Workers    int           // that report through it
	Replies    []relay.Reply // not yet sent
	Weight     int           // of Replies
}

// HeartbeatKey identifies a heartbeat whose reply is held. Ref is unique per session only.
type HeartbeatKey struct {
	Via heartbeat.RelaySession
	Ref uint64
}

// HeldReply is a heartbeat whose reply is held until there is something to say.
type HeldReply struct {
	HeartbeatKey
	Since  time.Time
	Report heartbeat.Report // if it came in on our own socket: forwarded to the next leader
}
