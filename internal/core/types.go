// Package core is the controller as a state machine: inputs go in, what to
// send, write and answer comes out. It does no I/O, starts no goroutines, reads
// no clock and draws no randomness but from the seed it was given.
package core

import (
	"log/slog"
	"time"

	"yewpass/internal/heartbeat"
	"yewpass/internal/liveconfig"
	"yewpass/internal/record"
	"yewpass/internal/recovery"
	"yewpass/internal/relay"
	"yewpass/internal/replica"
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

// UserOp is what a user asks for.
type UserOp string

// The operations of the user interface.
const (
	OpSubmit UserOp = "submit"
	OpGet    UserOp = "get"
	OpCancel UserOp = "cancel"

	OpCluster  UserOp = "cluster"
	OpHandOver UserOp = "hand over"

	OpConfigSet    UserOp = "config set"
	OpConfigGet    UserOp = "config get"
	OpConfigList   UserOp = "config list"
	OpConfigStatus UserOp = "config status"
	OpConfigHere   UserOp = "config here" // what the node has that is asked, whoever leads

	OpSchedulePut      UserOp = "schedule put"
	OpScheduleGet      UserOp = "schedule get"
	OpScheduleList     UserOp = "schedule list"
	OpScheduleDelete   UserOp = "schedule delete"
	OpSchedulePause    UserOp = "schedule pause"
	OpScheduleResume   UserOp = "schedule resume"
	OpScheduleRun      UserOp = "schedule run"
	OpScheduleUpcoming UserOp = "schedule upcoming"
	OpScheduleHistory  UserOp = "schedule history"
)

// ScheduleCall is what a user asks of a schedule, next to the operation.
type ScheduleCall struct {
	Name    string         `json:"name,omitempty"`
	File    *schedule.File `json:"file,omitempty"`    // of put
	IfMatch string         `json:"ifMatch,omitempty"` // the ETag it is based on; "" any, "new" none
	After   string         `json:"after,omitempty"`   // of list: the name before
	Count   int            `json:"count,omitempty"`   // of list and upcoming: how many at the most
	Request string         `json:"request,omitempty"` // of run: the caller's name for it
}

// UserCall is a user's request, from this node's own socket or forwarded by a
// peer.
type UserCall struct {
	Ref  uint64
	From string // the peer that forwarded it, empty for our own user
	Op   UserOp
	ID   string
	Spec *spec.Job

	Schedule *ScheduleCall
	Config   *ConfigCall
}

// IsJob reports whether the call is about one job.
func (u *UserCall) IsJob() bool { return u.Schedule == nil && u.Config == nil && !ofCluster(u.Op) }

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
	Op     UserOp
	ID     string
	Spec   *spec.Job
	Answer *AnswerUser

	Version uint64 // of leader and ack: the version that the sender talks in

	Schedule *ScheduleCall
	Config   *ConfigCall
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
	if ofConfig(m.Op) {
		return m.soundConfig()
	}
	if m.Config != nil {
		return false
	}
	switch m.Op {
	case OpSubmit:
		return m.Schedule == nil && m.Spec != nil && m.Spec.ID == m.ID
	case OpGet, OpCancel:
		return m.Schedule == nil && m.Spec == nil && spec.ValidID(m.ID)
	}
	if ofCluster(m.Op) {
		return m.Schedule == nil && m.Spec == nil && m.ID == ""
	}
	q := m.Schedule
	if q == nil || m.Spec != nil || q.Count < 0 || q.Count > MaxCount {
		return false
	}
	switch m.Op {
	case OpScheduleList:
		return true
	case OpSchedulePut:
		return schedule.ValidName(q.Name) && q.File != nil
	case OpScheduleRun:
		return schedule.ValidName(q.Name) && q.Request != ""
	case OpScheduleGet, OpScheduleDelete, OpSchedulePause, OpScheduleResume, OpScheduleUpcoming, OpScheduleHistory:
		return schedule.ValidName(q.Name)
	}
	return false
}

// ofConfig reports whether an operation is about the configuration.
func ofConfig(op UserOp) bool {
	return op == OpConfigSet || op == OpConfigGet || op == OpConfigList || op == OpConfigStatus
}

func (m *PeerMsg) soundConfig() bool {
	q := m.Config
	if q == nil || m.Spec != nil || m.Schedule != nil || m.ID != "" || q.Count < 0 || q.Count > MaxCount {
		return false
	}
	return m.Op != OpConfigGet || liveconfig.ValidName(q.Name)
}

// MaxCount bounds what one answer lists.
const MaxCount = 200

// Tick lets the core act on the passing of time.
type Tick struct{}

// ---- outputs

// JobView is what a user is told of a job.
type JobView struct {
	ID            string
	State         spec.JobState
	Done, Running int
}

// AnswerUser answers a UserCall.
type AnswerUser struct {
	Ref        uint64
	Status     int
	RetryAfter time.Duration
	View       JobView
	Field      string
	Reason     string
	Doc        any    // a document in JSON instead of the view
	ETag       string // of the document
}

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
