// Package peer carries messages between controllers: JSON lines over TCP. Each
// node dials every other one and sends on the connection it dialled; what it
// receives comes on those that others dialled.
package peer

import (
	"bufio"
	"encoding/json"
	"hash/crc32"
	"io"
	"log/slog"
	"net"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/peermsg"
	"yewpass/internal/record"
	"yewpass/internal/recordcodec"
	"yewpass/internal/relay"
	"yewpass/internal/replica"
	"yewpass/internal/request"
	"yewpass/internal/spec"
)

type messageJSON struct {
	From   string            `json:"from"`
	Kind   peermsg.Kind      `json:"kind"`
	Term   uint64            `json:"term,omitempty"`
	Ref    uint64            `json:"ref,omitempty"`
	Op     request.Operation `json:"op,omitempty"`
	ID     string            `json:"id,omitempty"`
	Spec   *recordcodec.Spec `json:"spec,omitempty"`
	Answer *answerJSON       `json:"answer,omitempty"`

	Speaks uint64 `json:"speaks,omitempty"`

	Schedule *request.ScheduleParams `json:"schedule,omitempty"`
	Config   *request.ConfigParams   `json:"config,omitempty"`
	Copy     *lineJSON               `json:"copy,omitempty"`
	Know     *peermsg.Knowledge      `json:"know,omitempty"`
	Reports  *relay.Batch            `json:"reports,omitempty"`
	Replies  *relay.Replies          `json:"replies,omitempty"`
}

type answerJSON struct {
	Status  int           `json:"status"`
	RetryMS int64         `json:"retryMs,omitempty"`
	State   spec.JobState `json:"state,omitempty"`
	Done    int           `json:"done,omitempty"`
	Running int           `json:"running,omitempty"`
	Field   string        `json:"field,omitempty"`
	Reason  string        `json:"reason,omitempty"`

	ViewID string          `json:"viewId,omitempty"`
	Doc    json.RawMessage `json:"doc,omitempty"`
	ETag   string          `json:"etag,omitempty"`
}

// lineJSON is a line of a copy of the records. Its checksum is that of the records as they
// are written: what is damaged on the way, or by us, must not become a record.
type lineJSON struct {
	Era     uint64       `json:"e,omitempty"`
	Term    uint64       `json:"t"`
	Session uint64       `json:"s"`
	Number  uint64       `json:"n"`
	Seq     uint64       `json:"q,omitempty"`
	Whole   bool         `json:"w,omitempty"`
	Puts    []recordJSON `json:"p,omitempty"`
	Drops   []string     `json:"d,omitempty"`
	Sum     uint32       `json:"x"`
}

type recordJSON struct {
	K string          `json:"k"`
	V json.RawMessage `json:"v"`
	R uint64          `json:"r,omitempty"`
}

func (l *lineJSON) sum() uint32 {
	h := crc32.NewIEEE()
	for i := range l.Puts {
		io.WriteString(h, l.Puts[i].K)
		h.Write(l.Puts[i].V)
	}
	for _, k := range l.Drops {
		io.WriteString(h, k)
	}
	return h.Sum32()
}

func encodeLine(l *replica.Line) *lineJSON {
	j := &lineJSON{Era: l.Era, Term: l.Term, Session: l.Session, Number: l.Number, Seq: l.Seq, Whole: l.Complete, Drops: l.Drops}
	for _, r := range l.Puts {
		j.Puts = append(j.Puts, recordJSON{r.Key, recordcodec.Encode(r.Value), r.Rev})
	}
	j.Sum = j.sum()
	return j
}

func (l *lineJSON) decode() (*replica.Line, bool) {
	if l.Term == 0 || l.Term > record.MaxTerm || l.Session == 0 || l.Sum != l.sum() {
		return nil, false
	}
	out := &replica.Line{Era: l.Era, Term: l.Term, Session: l.Session, Number: l.Number, Seq: l.Seq, Complete: l.Whole, Drops: l.Drops}
	for _, r := range l.Puts {
		v := recordcodec.Decode(r.K, r.V)
		if v == nil {
			return nil, false
		}
		out.Puts = append(out.Puts, replica.Record{Key: r.K, Value: v, Rev: r.R})
	}
	return out, true
}

const (
	kindPing = "ping" // keeps an idle link known to be alive

	maxLine   = 512 << 10 // a line of reports, with names as long as may be
	pingEvery = 500 * time.Millisecond
	deadAfter = 2500 * time.Millisecond
)

// Mesh is the actor that holds the links.
type Mesh struct {
	self  string
	inbox chan<- any
	out   map[string]chan messageJSON
}

// New starts links to the seeds and accepts theirs on ln.
func New(self string, seeds []config.Seed, ln net.Listener, inbox chan<- any) *Mesh {
	m := &Mesh{self: self, inbox: inbox, out: map[string]chan messageJSON{}}
	known := map[string]bool{}
	for _, s := range seeds {
		known[s.HostName] = true
		ch := make(chan messageJSON, 1024)
		m.out[s.HostName] = ch
		go m.dial(s, ch)
	}
	go m.accept(ln, known)
	return m
}

// Send queues a message; it is lost when the link is down or its queue full.
func (m *Mesh) Send(p peermsg.Outgoing) {
	ch := m.out[p.To]
	if ch == nil {
		return
	}
	j := messageJSON{From: m.self, Kind: p.Msg.Kind, Term: p.Msg.Term, Ref: p.Msg.Ref, Op: p.Msg.Op, ID: p.Msg.ID, Speaks: p.Msg.Version, Schedule: p.Msg.Schedule, Config: p.Msg.Config, Reports: p.Msg.Reports, Replies: p.Msg.Replies, Know: p.Msg.Knowledge}
	if p.Msg.Replica != nil {
		j.Copy = encodeLine(p.Msg.Replica)
	}
	if p.Msg.Spec != nil {
		s := recordcodec.EncodeSpec(p.Msg.Spec)
		j.Spec = &s
	}
	if a := p.Msg.Answer; a != nil {
		j.Answer = &answerJSON{a.Status, a.RetryAfter.Milliseconds(), a.View.State, a.View.Done, a.View.Running, a.Field, a.Reason, a.View.ID, nil, a.ETag}
		if a.Doc != nil {
			j.Answer.Doc, _ = json.Marshal(a.Doc) // plain structs of ours: cannot fail
		}
	}
	select {
	case ch <- j:
	default:
	}
}

// dial keeps a link to one peer.
func (m *Mesh) dial(s config.Seed, ch chan messageJSON) {
	for {
		conn, err := net.DialTimeout("tcp", s.Endpoint, time.Second)
		if err == nil {
			m.write(s.HostName, conn, ch)
			conn.Close()
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// write sends what is queued until the link breaks. The other end sends only
// pings back, which show that it is there.
func (m *Mesh) write(name string, conn net.Conn, ch chan messageJSON) {
	for len(ch) > 0 { // left over from a link that has broken
		<-ch
	}
	broken := make(chan struct{})
	go func() {
		defer close(broken)
		buf := make([]byte, 64)
		for {
			conn.SetReadDeadline(time.Now().Add(deadAfter))
			if _, err := conn.Read(buf); err != nil {
				return
			}
		}
	}()
	w := bufio.NewWriter(conn)
	enc := json.NewEncoder(w)
	up := false
	defer func() {
		if up {
			m.inbox <- peermsg.LinkChange{Name: name}
		}
	}()
	tick := time.NewTicker(pingEvery)
	defer tick.Stop()
	msg := messageJSON{From: m.self, Kind: kindPing}
	for {
		conn.SetWriteDeadline(time.Now().Add(deadAfter))
		if enc.Encode(msg) != nil {
			return
		}
		if len(ch) == 0 && w.Flush() != nil {
			return
		}
		if !up {
			up = true
			m.inbox <- peermsg.LinkChange{Name: name, Up: true}
		}
		select {
		case msg = <-ch:
		case <-tick.C:
			msg = messageJSON{From: m.self, Kind: kindPing}
		case <-broken:
			return
		}
	}
}

func (m *Mesh) accept(ln net.Listener, known map[string]bool) {
	slots := make(chan struct{}, 4*len(known)+4)
	for {
		conn, err := ln.Accept()
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		select {
		case slots <- struct{}{}:
			go func() {
				m.read(conn, known)
				conn.Close()
				<-slots
			}()
		default:
			conn.Close()
		}
	}
}

// read takes messages in. Anything that is not one ends the connection.
func (m *Mesh) read(conn net.Conn, known map[string]bool) {
	sc := bufio.NewScanner(conn)
	sc.Buffer(make([]byte, 0, 4<<10), maxLine)
	for {
		conn.SetReadDeadline(time.Now().Add(deadAfter))
		if !sc.Scan() {
			if err := sc.Err(); err == bufio.ErrTooLong {
				slog.Warn("malformed message on the peer port, connection closed", "remote", conn.RemoteAddr().String(), "reason", err)
			}
			return
		}
		in, ping, reason := parse(sc.Bytes(), known)
		if reason != "" {
			slog.Warn("malformed message on the peer port, connection closed", "remote", conn.RemoteAddr().String(), "reason", reason)
			return
		}
		if ping {
			conn.SetWriteDeadline(time.Now().Add(deadAfter))
			if _, err := io.WriteString(conn, "\n"); err != nil {
				return
			}
			continue
		}
		m.inbox <- in
	}
}

// parse reads a line; reason says why it is none that a controller sends. The core
// takes what passes as it is: a call without what it asks for, or an answer that HTTP
// has no status for, would end the process that serves it.
func parse(line []byte, known map[string]bool) (in peermsg.Received, ping bool, reason string) {
	var j messageJSON
	if err := json.Unmarshal(line, &j); err != nil {
		return in, false, "not a message: " + err.Error()
	}
	if !known[j.From] {
		return in, false, "from: not one of the seeds"
	}
	in = peermsg.Received{From: j.From, Msg: peermsg.Message{Kind: j.Kind, Term: j.Term, Ref: j.Ref, Op: j.Op, ID: j.ID, Version: j.Speaks, Schedule: j.Schedule, Config: j.Config, Reports: j.Reports, Replies: j.Replies, Knowledge: j.Know}}
	switch j.Kind {
	case kindPing:
		return in, true, ""
	case peermsg.Replica, peermsg.LeaderlessJob:
		if j.Copy == nil {
			return in, false, "copy: no line"
		}
		line, ok := j.Copy.decode()
		if !ok {
			return in, false, "copy: damaged"
		}
		in.Msg.Replica = line
	case peermsg.TellKnowledge:
		if k := j.Know; k == nil || j.Term == 0 || j.Term > record.MaxTerm || k.Term > record.MaxTerm || k.ReplicaTerm > record.MaxTerm {
			return in, false, "tell: out of range"
		}
	case peermsg.Leader, peermsg.Ack, peermsg.AskKnowledge, peermsg.WantReplica, peermsg.ReplicaRestart, peermsg.ConfigRevision:
		if j.Term == 0 || j.Term > record.MaxTerm {
			return in, false, "term: out of range"
		}
	case peermsg.Request:
		if j.Spec != nil {
			s, ok := j.Spec.Decode()
			if !ok {
				return in, false, "spec: not a job"
			}
			in.Msg.Spec = &s
		}
		if !in.Msg.Sound() {
			return in, false, "op: not a call that a node forwards"
		}
	case peermsg.Response:
		a := j.Answer
		if a == nil || a.Status < 200 || a.Status > 599 || a.RetryMS < 0 || a.RetryMS > maxRetry.Milliseconds() || a.Done < 0 || a.Running < 0 || !a.State.Known() {
			return in, false, "answer: not one that a node gives"
		}
		in.Msg.Answer = &request.Response{Status: a.Status, RetryAfter: time.Duration(a.RetryMS) * time.Millisecond,
			View: request.JobStatus{ID: a.ViewID, State: a.State, Done: a.Done, Running: a.Running}, Field: a.Field, Reason: a.Reason, ETag: a.ETag}
		if len(a.Doc) > 0 {
			in.Msg.Answer.Doc = a.Doc
		}
	case peermsg.Heartbeats:
		if j.Reports == nil || j.Term == 0 || j.Term > record.MaxTerm {
			return in, false, "reports: none of a term"
		}
	case peermsg.HeartbeatReplies:
		if j.Replies == nil || j.Term == 0 || j.Term > record.MaxTerm || !j.Replies.Valid() {
			return in, false, "replies: not what a leader says"
		}
	default:
		return in, false, "kind: no such kind"
	}
	return in, false, ""
}

// maxRetry is far above any time that an answer says to come back after.
const maxRetry = time.Hour
