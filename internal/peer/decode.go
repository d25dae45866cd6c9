package peer

import (
	"encoding/json"
	"errors"
	"time"

	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/recordcodec"
	"yewpass/internal/replica"
	"yewpass/internal/request"
)

// maxRetryAfter bounds the retry delay of a response.
const maxRetryAfter = time.Hour

// errPing is returned for a ping, which is answered at once and not delivered.
var errPing = errors.New("ping")

// malformedError describes why a line is not a valid message.
type malformedError struct {
	field  string
	reason string
}

// Error names the invalid field and the reason.
func (e *malformedError) Error() string { return e.field + ": " + e.reason }

// decodeMessage decodes and validates a line from one of the known peers. The core relies on this:
// it would panic on a request without the parameters of its operation or on an invalid HTTP status.
func decodeMessage(line []byte, knownPeers map[string]bool) (peermsg.Received, error) {
	var j messageJSON
	if err := json.Unmarshal(line, &j); err != nil {
		return peermsg.Received{}, &malformedError{"message", err.Error()}
	}
	if !knownPeers[j.From] {
		return peermsg.Received{}, &malformedError{"from", "not a known peer"}
	}
	message := peermsg.Message{
		Kind:             j.Kind,
		Term:             j.Term,
		Ref:              j.Ref,
		Op:               j.Op,
		ID:               j.ID,
		Version:          j.Version,
		Schedule:         j.Schedule,
		Config:           j.Config,
		PeerState:        j.PeerState,
		Heartbeats:       j.Reports,
		HeartbeatReplies: j.Replies,
	}
	if err := j.decodeInto(&message); err != nil {
		return peermsg.Received{}, err
	}
	return peermsg.Received{From: j.From, Msg: message}, nil
}

// decodeInto validates a line by its kind and decodes the parts whose wire format differs from
// peermsg.Message.
func (j *messageJSON) decodeInto(message *peermsg.Message) (err error) {
	switch j.Kind {
	case kindPing:
		return errPing
	case peermsg.Replica, peermsg.LeaderlessJob:
		message.Replica, err = j.Replica.decode()
		return err
	case peermsg.PeerStateResponse:
		return j.validatePeerState()
	case peermsg.Leader, peermsg.Ack, peermsg.PeerStateRequest, peermsg.ReplicaRequest, peermsg.ReplicaRestart, peermsg.ConfigRevision:
		if !validTerm(j.Term) {
			return &malformedError{"term", "out of range"}
		}
		return nil
	case peermsg.Request:
		return j.decodeRequest(message)
	case peermsg.Response:
		message.Response, err = j.Answer.decode()
		return err
	case peermsg.Heartbeats:
		if j.Reports == nil || !validTerm(j.Term) {
			return &malformedError{"reports", "missing, or term out of range"}
		}
		return nil
	case peermsg.HeartbeatReplies:
		if j.Replies == nil || !validTerm(j.Term) || !j.Replies.Valid() {
			return &malformedError{"replies", "missing or invalid, or term out of range"}
		}
		return nil
	}
	return &malformedError{"kind", "unknown message kind"}
}

func validTerm(term uint64) bool { return term > 0 && term <= record.MaxTerm }

func (j *messageJSON) validatePeerState() error {
	k := j.PeerState
	if k == nil || !validTerm(j.Term) || k.Term > record.MaxTerm || k.ReplicaTerm > record.MaxTerm {
		return &malformedError{"know", "missing, or term out of range"}
	}
	return nil
}

func (j *messageJSON) decodeRequest(message *peermsg.Message) error {
	if j.Spec != nil {
		job, ok := j.Spec.Decode()
		if !ok {
			return &malformedError{"spec", "not a valid job"}
		}
		message.Spec = &job
	}
	if !message.Valid() {
		return &malformedError{"op", "unknown operation or invalid parameters"}
	}
	return nil
}

func (r *responseJSON) decode() (*request.Response, error) {
	if !r.valid() {
		return nil, &malformedError{"answer", "missing or out of range"}
	}
	response := &request.Response{
		Status:     r.Status,
		RetryAfter: time.Duration(r.RetryMS) * time.Millisecond,
		Job:        request.JobStatus{ID: r.ViewID, State: r.State, Done: r.Done, Running: r.Running},
		Field:      r.Field,
		Reason:     r.Reason,
		ETag:       r.ETag,
	}
	if len(r.Document) > 0 {
		response.Document = r.Document
	}
	return response, nil
}

func (r *responseJSON) valid() bool {
	return r != nil &&
		r.Status >= 200 && r.Status <= 599 &&
		r.RetryMS >= 0 && r.RetryMS <= maxRetryAfter.Milliseconds() &&
		r.Done >= 0 && r.Running >= 0 &&
		r.State.Known()
}

func (l *replicaLineJSON) decode() (*replica.Line, error) {
	if l == nil {
		return nil, &malformedError{"copy", "missing"}
	}
	invalid := &malformedError{"copy", "invalid record, session, term or checksum"}
	if !validTerm(l.Term) || l.Session == 0 || l.Checksum != l.checksum() {
		return nil, invalid
	}
	line := &replica.Line{
		Era:      l.Era,
		Term:     l.Term,
		Session:  l.Session,
		Number:   l.Number,
		Seq:      l.Seq,
		Complete: l.Complete,
		Deletes:  l.Drops,
	}
	for _, r := range l.Puts {
		value := recordcodec.Decode(r.Key, r.Value)
		if value == nil {
			return nil, invalid
		}
		line.Puts = append(line.Puts, replica.Record{Key: r.Key, Value: value, Rev: r.Revision})
	}
	return line, nil
}
