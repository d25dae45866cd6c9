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

// maxRetryAfter is far above any time that an answer says to come back after.
const maxRetryAfter = time.Hour

// errPing says that a line is a ping, which is answered and not delivered.
var errPing = errors.New("ping")

// malformedError says why a line is none that a controller sends.
type malformedError struct {
	field  string
	reason string
}

// Error implements error.
func (e *malformedError) Error() string { return e.field + ": " + e.reason }

// decodeMessage reads a line. The core takes what passes as it is: a request without what
// its operation needs, or an answer that HTTP has no status for, would end the process
// that serves it.
func decodeMessage(line []byte, known map[string]bool) (peermsg.Received, error) {
	var j messageJSON
	if err := json.Unmarshal(line, &j); err != nil {
		return peermsg.Received{}, &malformedError{"not a message", err.Error()}
	}
	if !known[j.From] {
		return peermsg.Received{}, &malformedError{"from", "not one of the seeds"}
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
		PeerState:        j.Knowledge,
		Heartbeats:       j.Reports,
		HeartbeatReplies: j.Replies,
	}
	if err := j.decodeInto(&message); err != nil {
		return peermsg.Received{}, err
	}
	return peermsg.Received{From: j.From, Msg: message}, nil
}

// decodeInto checks a line by its kind and adds what has a form of its own on the wire.
func (j *messageJSON) decodeInto(message *peermsg.Message) (err error) {
	switch j.Kind {
	case kindPing:
		return errPing
	case peermsg.Replica, peermsg.LeaderlessJob:
		message.Replica, err = j.Replica.decode()
		return err
	case peermsg.PeerStateResponse:
		return j.checkKnowledge()
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
			return &malformedError{"reports", "none of a term"}
		}
		return nil
	case peermsg.HeartbeatReplies:
		if j.Replies == nil || !validTerm(j.Term) || !j.Replies.Valid() {
			return &malformedError{"replies", "not what a leader says"}
		}
		return nil
	}
	return &malformedError{"kind", "no such kind"}
}

func validTerm(term uint64) bool { return term > 0 && term <= record.MaxTerm }

func (j *messageJSON) checkKnowledge() error {
	k := j.Knowledge
	if k == nil || !validTerm(j.Term) || k.Term > record.MaxTerm || k.ReplicaTerm > record.MaxTerm {
		return &malformedError{"tell", "out of range"}
	}
	return nil
}

func (j *messageJSON) decodeRequest(message *peermsg.Message) error {
	if j.Spec != nil {
		job, ok := j.Spec.Decode()
		if !ok {
			return &malformedError{"spec", "not a job"}
		}
		message.Spec = &job
	}
	if !message.Valid() {
		return &malformedError{"op", "not a call that a node forwards"}
	}
	return nil
}

func (r *responseJSON) decode() (*request.Response, error) {
	if !r.valid() {
		return nil, &malformedError{"answer", "not one that a node gives"}
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
		return nil, &malformedError{"copy", "no line"}
	}
	damaged := &malformedError{"copy", "damaged"}
	if !validTerm(l.Term) || l.Session == 0 || l.Checksum != l.checksum() {
		return nil, damaged
	}
	line := &replica.Line{
		Era:      l.Era,
		Term:     l.Term,
		Session:  l.Session,
		Number:   l.Number,
		Seq:      l.Seq,
		Complete: l.Complete,
		Drops:    l.Drops,
	}
	for _, r := range l.Puts {
		value := recordcodec.Decode(r.Key, r.Value)
		if value == nil {
			return nil, damaged
		}
		line.Puts = append(line.Puts, replica.Record{Key: r.Key, Value: value, Rev: r.Revision})
	}
	return line, nil
}
