// Package peermsg holds the messages between controllers. Package peer puts them on the wire.
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

// LinkChange tells that our link to a peer came up or went down.
type LinkChange struct {
	Name string
	Up   bool
}

// Kind says what a peer message is.
type Kind string

// The kinds of peer messages.
const (
	Leader   Kind = "leader" // the sender leads the term
	Ack      Kind = "ack"    // the sender has taken note of the term
	Request  Kind = "call"   // a user's request, forwarded
	Response Kind = "answer" // its answer

	Replica           Kind = "copy"  // a line of a copy of the records
	LeaderlessJob     Kind = "alone" // a job that the sender has accepted without a leader
	ReplicaRestart    Kind = "again" // lines of that stream are missing: the copy is wanted anew
	PeerStateRequest  Kind = "ask"   // the sender has begun the term, and asks what is known
	PeerStateResponse Kind = "tell"  // the answer
	ReplicaRequest    Kind = "want"  // the copy that was told of is wanted

	ConfigRevision Kind = "config" // which revision of the configuration is in force, and which one the other has

	Heartbeats       Kind = "reports" // of workers, from a relay to the leader
	HeartbeatReplies Kind = "replies" // to them
)

// Version is the version of the protocol between controllers. Controllers that are older
// than its first version tell none, which counts as 0.
const Version = 1

// VersionRequest as the reference of an Ack asks the leader to tell its version again.
// Leaders that tell none take it for an ordinary one.
const VersionRequest = 1

// Message is what controllers say to each other.
type Message struct {
	Kind     Kind
	Term     uint64
	Ref      uint64
	Op       request.Operation
	ID       string
	Spec     *spec.Job
	Response *request.Response

	Version uint64 // of leader and ack: the version that the sender talks in

	Schedule         *request.ScheduleParams
	Config           *request.ConfigParams
	Heartbeats       *relay.Batch
	HeartbeatReplies *relay.Replies
	Replica          *replica.Line
	PeerState        *PeerState
}

// PeerState is what a controller tells a new leader of the state service's past.
type PeerState struct {
	recovery.Observed
	ReplicaEra  uint64         `json:"copyEra,omitempty"` // of the copy that it has
	ReplicaTerm uint64         `json:"copyTerm,omitempty"`
	ReplicaSeq  uint64         `json:"copySeq,omitempty"`
	LiveDigest  replica.Digest `json:"live"` // of its records under LivePrefix
}

// Valid reports whether a call of a peer carries what its operation asks for, as the
// interface to users makes sure of for our own.
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

// Outgoing sends a message to a peer.
type Outgoing struct {
	To  string
	Msg Message
}
