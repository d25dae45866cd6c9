// Package peermsg defines the messages between controllers. Package peer encodes and sends them.
package peermsg

import (
	"yewpass/internal/liveconfig"
	"yewpass/internal/recovery"
	"yewpass/internal/relay"
	"yewpass/internal/replica"
	"yewpass/internal/request"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
)

// Received is a message from another controller.
type Received struct {
	From string
	Msg  Message
}

// LinkChange is the input that the connection to a peer was established or lost.
type LinkChange struct {
	Name string
	Up   bool
}

// Kind is the type of a message.
type Kind string

// Kinds of messages. The values are sent on the wire.
const (
	Leader   Kind = "leader" // the sender is the leader of the term
	Ack      Kind = "ack"    // the sender acknowledges the term
	Request  Kind = "call"   // a forwarded user request
	Response Kind = "answer" // the response to a Request

	Replica           Kind = "copy"  // a part of a replica of the records
	LeaderlessJob     Kind = "alone" // a job that the sender accepted while it knew no leader
	ReplicaRestart    Kind = "again" // the sender has lost parts of the replica stream and requests a new one
	PeerStateRequest  Kind = "ask"   // a new leader requests the PeerState of the receiver
	PeerStateResponse Kind = "tell"  // the response to a PeerStateRequest
	ReplicaRequest    Kind = "want"  // the sender requests the replica announced in the PeerState

	ConfigRevision Kind = "config" // the revision of the configuration in force, or the one that the sender has

	Heartbeats       Kind = "reports" // worker heartbeats, from a relay to the leader
	HeartbeatReplies Kind = "replies" // the replies to Heartbeats
)

// Version is the version of the protocol between controllers. Older controllers send no
// version, which is decoded as 0.
const Version = 1

// VersionRequest is a value of Message.Ref in an Ack that asks the leader for its version. Leaders
// without a version treat the message as an ordinary Ack.
const VersionRequest = 1

// Message is a message between controllers. Kind determines which fields it uses.
type Message struct {
	Kind     Kind
	Term     uint64
	Ref      uint64
	Op       request.Operation
	ID       string
	Spec     *spec.Job
	Response *request.Response

	Version uint64 // Leader and Ack: protocol version of the sender

	Schedule         *request.ScheduleParams
	Config           *request.ConfigParams
	Heartbeats       *relay.Batch
	HeartbeatReplies *relay.Replies
	Replica          *replica.Line
	PeerState        *PeerState
}

// PeerState is what a controller knows about earlier states of the key-value store. A new leader
// uses it to detect and repair data loss.
type PeerState struct {
	recovery.Observed
	ReplicaEra  uint64         `json:"copyEra,omitempty"`  // era, term and sequence number of its replica
	ReplicaTerm uint64         `json:"copyTerm,omitempty"` // 0 if it has no replica
	ReplicaSeq  uint64         `json:"copySeq,omitempty"`
	LiveDigest  replica.Digest `json:"live"` // digest of the replica's records under record.LivePrefix
}

// Valid reports whether a forwarded request has valid parameters for its operation. Package api
// validates the requests of users.
func (m *Message) Valid() bool {
	if request.IsConfig(m.Op) {
		return m.validConfig()
	}
	if m.Config != nil {
		return false
	}
	switch m.Op {
	case request.Submit:
		return m.Schedule == nil && m.Spec != nil && m.Spec.ID == m.ID
	case request.Get, request.Cancel:
		return m.Schedule == nil && m.Spec == nil && spec.ValidID(m.ID)
	}
	if request.IsCluster(m.Op) {
		return m.Schedule == nil && m.Spec == nil && m.ID == ""
	}
	q := m.Schedule
	if q == nil || m.Spec != nil || q.Count < 0 || q.Count > request.MaxCount {
		return false
	}
	switch m.Op {
	case request.ScheduleList:
		return true
	case request.SchedulePut:
		return schedule.ValidName(q.Name) && q.File != nil
	case request.ScheduleRun:
		return schedule.ValidName(q.Name) && q.IdempotencyKey != ""
	case request.ScheduleGet, request.ScheduleDelete, request.SchedulePause, request.ScheduleResume, request.ScheduleUpcoming, request.ScheduleHistory:
		return schedule.ValidName(q.Name)
	}
	return false
}

func (m *Message) validConfig() bool {
	q := m.Config
	if q == nil || m.Spec != nil || m.Schedule != nil || m.ID != "" || q.Count < 0 || q.Count > request.MaxCount {
		return false
	}
	return m.Op != request.ConfigGet || liveconfig.ValidName(q.Name)
}

// Outgoing is an output that sends a message to a peer.
type Outgoing struct {
	To  string
	Msg Message
}
