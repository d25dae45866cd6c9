package replica

import "errors"

// Line is one message of a replica stream. It carries a part of the snapshot or a change.
type Line struct {
	Era      uint64   // of the replica
	Term     uint64   // of the replica
	Session  uint64   // identifies the stream; never 0
	Number   uint64   // position in the stream, starting at 1
	Seq      uint64   // of the replica after the line is applied
	Complete bool     // this line or an earlier one has completed the snapshot
	Puts     []Record // records to set, with their revisions
	Deletes  []string // keys to delete, after Puts
}

// Sender is the sending end of a stream to one receiver.
type Sender struct {
	session, number uint64
	remainingKeys   []string // snapshot keys that have not been sent
	complete        bool
}

// NewSender returns a sender of r. The session number must not be 0 or have been used before.
func NewSender(session uint64, r *Replica) *Sender {
	return &Sender{session: session, remainingKeys: r.Keys("")}
}

// Session returns the session number.
func (s *Sender) Session() uint64 { return s.session }

// Complete reports whether the whole snapshot has been sent.
func (s *Sender) Complete() bool { return s.complete }

// NextSnapshotLine returns the next part of the snapshot, with at most maxRecords records of at
// most maxBytes in total as computed by size. A larger record is sent alone. Once the whole
// snapshot has been sent, line is empty and more is false.
func (s *Sender) NextSnapshotLine(r *Replica, maxRecords, maxBytes int, size func(Record) int) (line Line, more bool) {
	if s.complete {
		return Line{}, false
	}
	n := 0
	for ; n < min(maxRecords, len(s.remainingKeys)); n++ {
		rec, ok := r.Get(s.remainingKeys[n])
		if !ok {
			continue // deleted since the stream started
		}
		if maxBytes -= size(rec); maxBytes < 0 && len(line.Puts) > 0 {
			break
		}
		line.Puts = append(line.Puts, rec)
	}
	s.remainingKeys = s.remainingKeys[n:]
	s.complete = len(s.remainingKeys) == 0
	return s.stamp(r, line), true
}

// ChangeLine returns the line for a change. Call it right after applying the change to the replica.
func (s *Sender) ChangeLine(r *Replica, puts []Record, deletes []string) Line {
	return s.stamp(r, Line{Puts: puts, Deletes: deletes})
}

// stamp sets a line's session, number and version fields.
func (s *Sender) stamp(r *Replica, line Line) Line {
	s.number++
	line.Era, line.Term, line.Seq = r.Era, r.Term, r.Seq
	line.Session, line.Number, line.Complete = s.session, s.number, s.complete
	return line
}

// Receiver is the receiving end of successive streams. It keeps a complete replica until the next
// one is complete. The zero value is ready to use.
type Receiver struct {
	session, number uint64
	incoming        *Replica // of the current stream; nil after a gap
	complete        *Replica // last complete replica; may be the same as incoming
}

// ErrGap is returned for a line that does not follow the previous one. The sender must then start a
// new stream.
var ErrGap = errors.New("lines are missing from the replica stream")

// Replica returns the last complete replica, or nil.
func (rc *Receiver) Replica() *Replica { return rc.complete }

// Receive applies a line, or returns ErrGap. Line 1 of another session starts a replica with the
// given bounds. Duplicate lines and lines of an earlier term than the complete replica are ignored.
func (rc *Receiver) Receive(line *Line, boundedPrefix string, boundedMax int) error {
	if line.Number == 1 && line.Session != 0 && line.Session != rc.session {
		if rc.isOutdated(line) {
			return nil
		}
		rc.session, rc.number, rc.incoming = line.Session, 0, New(line.Era, line.Term, boundedPrefix, boundedMax)
	}
	r := rc.incoming
	if r == nil || !rc.follows(line) {
		if line.Session == rc.session && line.Number <= rc.number || rc.isOutdated(line) {
			return nil
		}
		rc.incoming = nil
		if rc.complete != nil && line.Session == rc.session {
			rc.session = 0 // abandon the stream and keep the complete replica
		}
		return ErrGap
	}
	rc.number, r.Seq = line.Number, line.Seq
	for _, rec := range line.Puts {
		r.Put(rec.Key, rec.Value, rec.Rev)
	}
	for _, key := range line.Deletes {
		r.Delete(key)
	}
	if line.Complete && rc.complete != r {
		r.InheritBounded(rc.complete)
		rc.complete = r
	}
	return nil
}

// follows reports whether a line directly continues the incoming replica.
func (rc *Receiver) follows(line *Line) bool {
	r := rc.incoming
	return line.Session == rc.session && line.Number == rc.number+1 && line.Term == r.Term && line.Era == r.Era && line.Seq >= r.Seq
}

func (rc *Receiver) isOutdated(line *Line) bool {
	return rc.complete != nil && line.Term < rc.complete.Term
}
