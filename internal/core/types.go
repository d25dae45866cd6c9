// Package core is the controller as a state machine: inputs go in, what to
// send, write and answer comes out. It does no I/O, starts no goroutines, reads
// no clock and draws no randomness but from the seed it was given.
package core

import (
	"log/slog"

	"yewpass/internal/heartbeat"
	"yewpass/internal/liveconfig"
	"yewpass/internal/record"
	"yewpass/internal/recovery"
	"yewpass/internal/relay"
	"yewpass/internal/replica"
	"yewpass/internal/request"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
)

// A term has so many attempts, and ends while there are some left: more than can go
// out between two ticks.
const (
	maxAttempts   = 1<<record.AttemptBits - 1
	spareAttempts = 1 << 20
)

// The phases that workers report.
const (
	Ordered = heartbeat.Phase("ordered") // a start is in a reply that is not yet answered for
)

// ---- inputs

// PeerIn is a message from another controller.
type PeerIn struct {
	From string
	Msg  PeerMsg
}

// PeerLink tells that our link to a peer came up or went down.
type PeerLink struct {
	Name string
	Up   bool
}

// PeerKind says what a peer message is.
type PeerKind string

// The kinds of peer messages.
const (
	PeerLeader PeerKind = "leader" // the sender leads the term
	PeerAck    PeerKind = "ack"    // the sender has taken note of the term
	PeerCall   PeerKind = "call"   // a user's request, forwarded
	PeerAnswer PeerKind = "answer" // its answer

	PeerCopy  PeerKind = "copy"  // a line of a copy of the records
	PeerAlone PeerKind = "alone" // a job that the sender has accepted without a leader
	PeerAgain PeerKind = "again" // lines of that stream are missing: the copy is wanted anew
	PeerAsk   PeerKind = "ask"   // the sender has begun the term, and asks what is known
	PeerTell  PeerKind = "tell"  // the answer
	PeerWant  PeerKind = "want"  // the copy that was told of is wanted

	PeerConfig PeerKind = "config" // which revision of the configuration is in force, and which one the other has

	PeerReports PeerKind = "reports" // of workers, from a relay to the leader
	PeerReplies PeerKind = "replies" // to them
)

// PeerMsg is what controllers say to each other.
type PeerMsg struct {
	Kind   PeerKind
	Term   uint64
	Ref    uint64
	Op     request.Operation
	ID     string
	Spec   *spec.Job
	Answer *request.Response

	Version uint64 // of leader and ack: the version that the sender talks in

	Schedule *request.ScheduleParams
	Config   *request.ConfigParams
	Reports  *relay.Batch
	Replies  *relay.Replies
	Copy     *replica.Line
	Know     *Knowledge
}

// Knowledge is what a controller tells a new leader of the state service's past.
type Knowledge struct {
	recovery.Observed
	CopyEra  uint64         `json:"copyEra,omitempty"` // of the copy that it has
	CopyTerm uint64         `json:"copyTerm,omitempty"`
	CopySeq  uint64         `json:"copySeq,omitempty"`
	Live     replica.Digest `json:"live"` // of its records under LivePrefix
}

// Sound reports whether a call of a peer carries what its operation asks for, as the
// interface to users makes sure of for our own.
func (m *PeerMsg) Sound() bool {
	if request.IsConfig(m.Op) {
		return m.soundConfig()
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
		return schedule.ValidName(q.Name) && q.Request != ""
	case request.ScheduleGet, request.ScheduleDelete, request.SchedulePause, request.ScheduleResume, request.ScheduleUpcoming, request.ScheduleHistory:
		return schedule.ValidName(q.Name)
	}
	return false
}

func (m *PeerMsg) soundConfig() bool {
	q := m.Config
	if q == nil || m.Spec != nil || m.Schedule != nil || m.ID != "" || q.Count < 0 || q.Count > request.MaxCount {
		return false
	}
	return m.Op != request.ConfigGet || liveconfig.ValidName(q.Name)
}

// Tick lets the core act on the passing of time.
type Tick struct{}

// ---- outputs

// PeerSend sends a message to a peer.
type PeerSend struct {
	To  string
	Msg PeerMsg
}

// Note is a line for the operators' log.
type Note struct {
	Level slog.Level
	Text  string
	Attrs []any
}

// ---- records in the state service
