package peer

import (
	"encoding/json"
	"hash/crc32"
	"io"

	"yewpass/internal/peermsg"
	"yewpass/internal/recordcodec"
	"yewpass/internal/relay"
	"yewpass/internal/replica"
	"yewpass/internal/request"
	"yewpass/internal/spec"
)

// kindPing is the kind of the keep-alive message, which is sent on idle links.
const kindPing peermsg.Kind = "ping"

// messageJSON is one line of the peer protocol. All versions of the program use the same JSON
// names.
type messageJSON struct {
	From   string            `json:"from"`
	Kind   peermsg.Kind      `json:"kind"`
	Term   uint64            `json:"term,omitempty"`
	Ref    uint64            `json:"ref,omitempty"`
	Op     request.Operation `json:"op,omitempty"`
	ID     string            `json:"id,omitempty"`
	Spec   *recordcodec.Spec `json:"spec,omitempty"`
	Answer *responseJSON     `json:"answer,omitempty"`

	Version uint64 `json:"speaks,omitempty"`

	Schedule  *request.ScheduleParams `json:"schedule,omitempty"`
	Config    *request.ConfigParams   `json:"config,omitempty"`
	Replica   *replicaLineJSON        `json:"copy,omitempty"`
	PeerState *peermsg.PeerState      `json:"know,omitempty"`
	Reports   *relay.Batch            `json:"reports,omitempty"`
	Replies   *relay.Replies          `json:"replies,omitempty"`
}

// responseJSON is the response to a user's request.
type responseJSON struct {
	Status  int           `json:"status"`
	RetryMS int64         `json:"retryMs,omitempty"`
	State   spec.JobState `json:"state,omitempty"`
	Done    int           `json:"done,omitempty"`
	Running int           `json:"running,omitempty"`
	Field   string        `json:"field,omitempty"`
	Reason  string        `json:"reason,omitempty"`

	ViewID   string          `json:"viewId,omitempty"`
	Document json.RawMessage `json:"doc,omitempty"`
	ETag     string          `json:"etag,omitempty"`
}

// replicaLineJSON is a line of a replica stream. Its checksum covers the encoded records, which
// detects corruption in transit or in this program.
type replicaLineJSON struct {
	Era      uint64       `json:"e,omitempty"`
	Term     uint64       `json:"t"`
	Session  uint64       `json:"s"`
	Number   uint64       `json:"n"`
	Seq      uint64       `json:"q,omitempty"`
	Complete bool         `json:"w,omitempty"`
	Puts     []recordJSON `json:"p,omitempty"`
	Drops    []string     `json:"d,omitempty"`
	Checksum uint32       `json:"x"`
}

type recordJSON struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"v"`
	Revision uint64          `json:"r,omitempty"`
}

func encodeMessage(from string, m *peermsg.Message) messageJSON {
	j := messageJSON{
		From:      from,
		Kind:      m.Kind,
		Term:      m.Term,
		Ref:       m.Ref,
		Op:        m.Op,
		ID:        m.ID,
		Version:   m.Version,
		Schedule:  m.Schedule,
		Config:    m.Config,
		PeerState: m.PeerState,
		Reports:   m.Heartbeats,
		Replies:   m.HeartbeatReplies,
	}
	if m.Replica != nil {
		j.Replica = encodeReplicaLine(m.Replica)
	}
	if m.Spec != nil {
		encoded := recordcodec.EncodeSpec(m.Spec)
		j.Spec = &encoded
	}
	if m.Response != nil {
		j.Answer = encodeResponse(m.Response)
	}
	return j
}

func encodeResponse(r *request.Response) *responseJSON {
	j := &responseJSON{
		Status:  r.Status,
		RetryMS: r.RetryAfter.Milliseconds(),
		State:   r.Job.State,
		Done:    r.Job.Done,
		Running: r.Job.Running,
		Field:   r.Field,
		Reason:  r.Reason,
		ViewID:  r.Job.ID,
		ETag:    r.ETag,
	}
	if r.Document != nil {
		j.Document, _ = json.Marshal(r.Document) // never fails: plain structs
	}
	return j
}

func encodeReplicaLine(line *replica.Line) *replicaLineJSON {
	j := &replicaLineJSON{
		Era:      line.Era,
		Term:     line.Term,
		Session:  line.Session,
		Number:   line.Number,
		Seq:      line.Seq,
		Complete: line.Complete,
		Drops:    line.Deletes,
	}
	for _, r := range line.Puts {
		j.Puts = append(j.Puts, recordJSON{r.Key, recordcodec.Encode(r.Value), r.Rev})
	}
	j.Checksum = j.checksum()
	return j
}

func (l *replicaLineJSON) checksum() uint32 {
	hash := crc32.NewIEEE()
	for i := range l.Puts {
		io.WriteString(hash, l.Puts[i].Key)
		hash.Write(l.Puts[i].Value)
	}
	for _, key := range l.Drops {
		io.WriteString(hash, key)
	}
	return hash.Sum32()
}
