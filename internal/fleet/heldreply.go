package fleet

import (
	"time"
	"yewpass/internal/heartbeat"
	"yewpass/internal/relay"
)

// RelayLink is a relay as the leader sees it.
type RelayLink struct {
	Decoder    relay.Decoder
	LastBatch  time.Time
	LastSilent time.Time // when it was last found to say nothing
	Workers    int       // that report to it
	Replies    []relay.Reply
	Weight     int // of them
}

// HeartbeatKey identifies a report whose reply is held. Ref is unique per link only.
type HeartbeatKey struct {
	Via heartbeat.RelaySession
	Ref uint64
}

// HeldReply is a report whose reply waits for something to say.
type HeldReply struct {
	HeartbeatKey
	Since  time.Time
	Report heartbeat.Report // of our own socket: whoever leads next is told of it
}
