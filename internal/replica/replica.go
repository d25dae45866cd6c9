// Package replica keeps a copy of what the state service holds: the leader's own, and
// those that it passes on to other controllers, as one base and then changes.
//
// It knows neither sockets nor encodings: package peer puts lines on the wire, with a
// checksum each. What must never happen here: that a copy counts as whole which lacks a
// line, has one twice, or has lines of two streams.
package replica

import (
	"errors"
	"hash/fnv"
	"slices"
	"strings"
)

// Record is a key of the state service with its value, which must not be changed.
type Record struct {
	Key   string
	Value any
	Rev   uint64 // at which the service has it; 0: it is not known to have it
}

// Version tells how new a copy is.
type Version struct {
	Term uint64 // whose leader it is of
	Seq  uint64 // changes since that term began
}

// After reports whether a copy of this age is newer than one of another.
func (a Version) After(b Version) bool { return a.Term > b.Term || a.Term == b.Term && a.Seq > b.Seq }

// Replica is a copy of the records, as the leader of a term has left them.
type Replica struct {
	Era uint64 // of the state service's data, see package rebuild
	Version

	records       map[string]*Record
	boundedPrefix string   // prefix of records of which only the latest are kept
	boundedMax    int      // so many
	order         []string // theirs, the oldest first
}

// New returns an empty copy, in which at most so many records with the prefix spare are
// kept: the latest.
func New(era, term uint64, spare string, most int) *Replica {
	return &Replica{Era: era, Version: Version{Term: term}, records: map[string]*Record{}, boundedPrefix: spare, boundedMax: most}
}

// Put takes in a record.
func (c *Replica) Put(key string, value any, rev uint64) {
	if r := c.records[key]; r != nil {
		r.Value, r.Rev = value, rev
		return
	}
	c.records[key] = &Record{key, value, rev}
	if !strings.HasPrefix(key, c.boundedPrefix) {
		return
	}
	c.order = append(c.order, key)
	for len(c.order) > c.boundedMax {
		delete(c.records, c.order[0])
		c.order = c.order[1:]
	}
}

// Drop takes a record out.
func (c *Replica) Drop(key string) {
	if c.records[key] == nil {
		return
	}
	delete(c.records, key)
	if strings.HasPrefix(key, c.boundedPrefix) {
		c.order = slices.DeleteFunc(c.order, func(k string) bool { return k == key })
	}
}

// InheritBounded takes over the spare records of a copy before this one, as the oldest: what has
// ended never changes, and a leader that began with little memory knows of less of it.
func (c *Replica) InheritBounded(before *Replica) {
	if before == nil || before == c {
		return
	}
	var older []string
	for _, k := range before.order {
		if c.records[k] == nil {
			older = append(older, k)
		}
	}
	older = older[max(0, len(older)+len(c.order)-c.boundedMax):]
	for _, k := range older {
		r := before.records[k]
		c.records[k] = &Record{k, r.Value, 0}
	}
	c.order = append(older, c.order...)
}

// Get returns the record of a key.
func (c *Replica) Get(key string) (Record, bool) {
	if r := c.records[key]; r != nil {
		return *r, true
	}
	return Record{}, false
}

// Keys returns the keys with a prefix in their order.
func (c *Replica) Keys(prefix string) []string {
	ks := make([]string, 0, len(c.records))
	for k := range c.records {
		if strings.HasPrefix(k, prefix) {
			ks = append(ks, k)
		}
	}
	slices.Sort(ks)
	return ks
}

// BoundedKeys returns the keys of the spare records, the oldest first; not to be changed.
func (c *Replica) BoundedKeys() []string { return c.order }

// Digest tells sets of keys apart: two copies whose digests are equal have the same keys.
type Digest struct {
	Count int    `json:"c"`
	Hash  uint64 `json:"h"`
}

// Add takes a key into a digest, in any order.
func (d *Digest) Add(key string) {
	h := fnv.New64a()
	h.Write([]byte(key))
	d.Count++
	d.Hash ^= h.Sum64()
}

// Digest returns the digest of the keys with a prefix.
func (c *Replica) Digest(prefix string) (d Digest) {
	for k := range c.records {
		if strings.HasPrefix(k, prefix) {
			d.Add(k)
		}
	}
	return d
}

// NewerThan reports whether c is to be preferred to another copy, which may be nil.
func (c *Replica) NewerThan(than *Replica) bool {
	return c != nil && (than == nil || c.After(than.Version))
}

// Line is a part of a copy on its way to who holds one.
type Line struct {
	Era      uint64   // of the copy
	Term     uint64   // of the copy
	Session  uint64   // one stream of lines; never 0
	Number   uint64   // 1, 2, 3… within it; the first begins a copy anew
	Seq      uint64   // of the copy, with this line
	Complete bool     // with this line, or one before it, the base is complete
	Puts     []Record // a record's Rev goes along
	Drops    []string
}

// Sender is the leader's end of a stream to one holder.
type Sender struct {
	session, number uint64
	keys            []string // of the base, that have not gone
	complete        bool
}

// NewSender begins a stream, whose number must not have been used before.
func NewSender(session uint64, c *Replica) *Sender {
	return &Sender{session: session, keys: c.Keys("")}
}

// Session returns the number of the stream.
func (s *Sender) Session() uint64 { return s.session }

// Complete reports whether the whole base has gone out.
func (s *Sender) Complete() bool { return s.complete }

// NextSnapshotLine returns the next part of the base, until there is none: at most so many records, of
// at most so many bytes together by what size says of each, but one at the least.
func (s *Sender) NextSnapshotLine(c *Replica, most, bytes int, size func(Record) int) (l Line, more bool) {
	if s.complete {
		return Line{}, false
	}
	n := 0
	for ; n < min(most, len(s.keys)); n++ {
		r, ok := c.Get(s.keys[n])
		if !ok {
			continue // dropped meanwhile; what is there goes as it is now
		}
		if bytes -= size(r); bytes < 0 && len(l.Puts) > 0 {
			break
		}
		l.Puts = append(l.Puts, r)
	}
	s.keys = s.keys[n:]
	s.complete = len(s.keys) == 0
	return s.next(c, l), true
}

// ChangeLine returns the line that tells of a change the copy has just taken in.
func (s *Sender) ChangeLine(c *Replica, puts []Record, drops []string) Line {
	return s.next(c, Line{Puts: puts, Drops: drops})
}

func (s *Sender) next(c *Replica, l Line) Line {
	s.number++
	l.Era, l.Term, l.Session, l.Number, l.Seq, l.Complete = c.Era, c.Term, s.session, s.number, c.Seq, s.complete
	return l
}

// Receiver is the other end: it keeps the last copy that was whole until the next one is.
type Receiver struct {
	session, number uint64
	incoming        *Replica
	complete        *Replica
}

// ErrGap says that a line does not follow the one before: the copy is not whole, and
// has to be sent anew.
var ErrGap = errors.New("lines of the copy are missing")

// Replica returns the last whole copy, or nil.
func (h *Receiver) Replica() *Replica { return h.complete }

// Receive takes in a line; spare and most are as for New.
func (h *Receiver) Receive(l *Line, spare string, most int) error {
	if l.Number == 1 && l.Session != 0 && l.Session != h.session {
		if h.complete != nil && l.Term < h.complete.Term {
			return nil // of a leader before the one whose copy this is
		}
		h.session, h.number, h.incoming = l.Session, 0, New(l.Era, l.Term, spare, most)
	}
	c := h.incoming
	if c == nil || l.Session != h.session || l.Number != h.number+1 || l.Term != c.Term || l.Era != c.Era || l.Seq < c.Seq {
		if l.Session == h.session && l.Number <= h.number || h.complete != nil && l.Term < h.complete.Term {
			return nil // once more, or older than what there is
		}
		h.incoming = nil
		if h.complete != nil && l.Session == h.session {
			h.session = 0 // what is whole stays as it is
		}
		return ErrGap
	}
	h.number, c.Seq = l.Number, l.Seq
	for _, r := range l.Puts {
		c.Put(r.Key, r.Value, r.Rev)
	}
	for _, k := range l.Drops {
		c.Drop(k)
	}
	if l.Complete && h.complete != c {
		c.InheritBounded(h.complete)
		h.complete = c
	}
	return nil
}
