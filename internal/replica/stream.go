package replica

import "errors"

// Line is one message of a stream that carries a replica: a part of the snapshot, or a
// change.
type Line struct {
	Era      uint64   // of the replica
	Term     uint64   // of the replica
	Session  uint64   // identifies the stream; never 0
	Number   uint64   // 1, 2, 3… within the stream; the first begins a new replica
	Seq      uint64   // of the replica once the line is applied
	Complete bool     // whether this line or an earlier one has completed the snapshot
	Puts     []Record // with their revisions
	Drops    []string
}

// Sender is the sending end of a stream to one receiver.
type Sender struct {
	session, number uint64
	remainingKeys   []string // of the snapshot
	complete        bool
}

// NewSender returns a sender for a new stream. The session must not have been used before.
func NewSender(session uint64, r *Replica) *Sender {
	return &Sender{session: session, remainingKeys: r.Keys("")}
}

// Session returns the number that identifies the stream.
func (s *Sender) Session() uint64 { return s.session }

// Complete reports whether the whole snapshot has been sent.
func (s *Sender) Complete() bool { return s.complete }

// NextSnapshotLine returns the next part of the snapshot: at most maxRecords records whose
// sizes add up to at most maxBytes, but at least one record. more is false, and the line
// empty, once the whole snapshot has been sent.
func (s *Sender) NextSnapshotLine(r *Replica, maxRecords, maxBytes int, size func(Record) int) (line Line, more bool) {
	if s.complete {
		return Line{}, false
	}
	n := 0
	for ; n < min(maxRecords, len(s.remainingKeys)); n++ {
		rec, ok := r.Get(s.remainingKeys[n])
		if !ok {
			continue // dropped since; the others go as they are now
		}
		if maxBytes -= size(rec); maxBytes < 0 && len(line.Puts) > 0 {
			break
		}
		line.Puts = append(line.Puts, rec)
	}
	s.remainingKeys = s.remainingKeys[n:]
	s.complete = len(s.remainingKeys) == 0
	return s.inSequence(r, line), true
}

// ChangeLine returns the line for a change that has just been applied to the replica.
func (s *Sender) ChangeLine(r *Replica, puts []Record, drops []string) Line {
	return s.inSequence(r, Line{Puts: puts, Drops: drops})
}

// inSequence gives a line its place in the stream.
func (s *Sender) inSequence(r *Replica, line Line) Line {
	s.number++
	line.Era, line.Term, line.Seq = r.Era, r.Term, r.Seq
	line.Session, line.Number, line.Complete = s.session, s.number, s.complete
	return line
}

// Receiver is the receiving end. It keeps the last complete replica until the next one is
// complete.
type Receiver struct {
	session, number uint64
	incoming        *Replica
	complete        *Replica
}

// ErrGap is returned for a line that does not follow the one before it: the replica cannot
// be completed, and the stream must begin anew.
var ErrGap = errors.New("lines of the copy are missing")

// Replica returns the last complete replica, or nil.
func (h *Receiver) Replica() *Replica { return h.complete }

// Receive applies a line. boundedPrefix and boundedMax are as for New. Lines that are
// repeated, or older than the complete replica, are ignored.
func (h *Receiver) Receive(line *Line, boundedPrefix string, boundedMax int) error {
	if line.Number == 1 && line.Session != 0 && line.Session != h.session {
		if h.isOutdated(line) {
			return nil
		}
		h.session, h.number, h.incoming = line.Session, 0, New(line.Era, line.Term, boundedPrefix, boundedMax)
	}
	r := h.incoming
	if r == nil || !h.follows(line) {
		if line.Session == h.session && line.Number <= h.number || h.isOutdated(line) {
			return nil
		}
		h.incoming = nil
		if h.complete != nil && line.Session == h.session {
			h.session = 0 // the complete replica stays, whatever else comes of this stream
		}
		return ErrGap
	}
	h.number, r.Seq = line.Number, line.Seq
	for _, rec := range line.Puts {
		r.Put(rec.Key, rec.Value, rec.Rev)
	}
	for _, key := range line.Drops {
		r.Drop(key)
	}
	if line.Complete && h.complete != r {
		r.InheritBounded(h.complete)
		h.complete = r
	}
	return nil
}

// follows reports whether a line is the next one of the incoming replica.
func (h *Receiver) follows(line *Line) bool {
	r := h.incoming
	return line.Session == h.session && line.Number == h.number+1 && line.Term == r.Term && line.Era == r.Era && line.Seq >= r.Seq
}

// isOutdated reports whether a line is of a leader before the one whose replica is complete.
func (h *Receiver) isOutdated(line *Line) bool {
	return h.complete != nil && line.Term < h.complete.Term
}
