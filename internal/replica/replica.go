// Package replica keeps replicas of the records in the key-value store. The leader keeps
// one of what it has read and committed, and streams it to the other controllers: first a
// snapshot, then each change. After a data loss the newest replica restores the store.
//
// The package does no I/O: package peer puts lines on the wire, each with a checksum. The
// invariant: a replica never counts as complete that lacks a line, has applied one twice,
// or mixes the lines of two streams.
package replica

import (
	"hash/fnv"
	"slices"
	"strings"
)

// Record is a key of the store with its value, which must not be modified.
type Record struct {
	Key   string
	Value any
	Rev   uint64 // the revision at which the store has it; 0 if it is not known to have it
}

// Version orders replicas by how new they are.
type Version struct {
	Term uint64 // of the leader that wrote it
	Seq  uint64 // changes since that term began
}

// After reports whether v is newer than o.
func (v Version) After(o Version) bool { return v.Term > o.Term || v.Term == o.Term && v.Seq > o.Seq }

// Replica holds the records as the leader of a term has left them. Of the records under
// one prefix, the bounded ones, it keeps only the latest.
type Replica struct {
	Era uint64 // of the store's data, see package recovery
	Version

	records       map[string]*Record
	boundedPrefix string
	boundedMax    int
	boundedKeys   []string // the oldest first
}

// New returns an empty replica that keeps at most boundedMax records whose keys begin with
// boundedPrefix.
func New(era, term uint64, boundedPrefix string, boundedMax int) *Replica {
	return &Replica{Era: era, Version: Version{Term: term}, records: map[string]*Record{}, boundedPrefix: boundedPrefix, boundedMax: boundedMax}
}

// Put sets a record.
func (r *Replica) Put(key string, value any, rev uint64) {
	if old := r.records[key]; old != nil {
		old.Value, old.Rev = value, rev
		return
	}
	r.records[key] = &Record{Key: key, Value: value, Rev: rev}
	if !strings.HasPrefix(key, r.boundedPrefix) {
		return
	}
	r.boundedKeys = append(r.boundedKeys, key)
	for len(r.boundedKeys) > r.boundedMax {
		delete(r.records, r.boundedKeys[0])
		r.boundedKeys = r.boundedKeys[1:]
	}
}

// Drop removes a record.
func (r *Replica) Drop(key string) {
	if r.records[key] == nil {
		return
	}
	delete(r.records, key)
	if strings.HasPrefix(key, r.boundedPrefix) {
		r.boundedKeys = slices.DeleteFunc(r.boundedKeys, func(k string) bool { return k == key })
	}
}

// InheritBounded adds the bounded records of an earlier replica, as the oldest. They never
// change, and a leader that began with few of them would otherwise lose the rest.
func (r *Replica) InheritBounded(earlier *Replica) {
	if earlier == nil || earlier == r {
		return
	}
	var inherited []string
	for _, key := range earlier.boundedKeys {
		if r.records[key] == nil {
			inherited = append(inherited, key)
		}
	}
	inherited = inherited[max(0, len(inherited)+len(r.boundedKeys)-r.boundedMax):]
	for _, key := range inherited {
		r.records[key] = &Record{Key: key, Value: earlier.records[key].Value}
	}
	r.boundedKeys = append(inherited, r.boundedKeys...)
}

// Get returns the record of a key.
func (r *Replica) Get(key string) (Record, bool) {
	if rec := r.records[key]; rec != nil {
		return *rec, true
	}
	return Record{}, false
}

// Keys returns the keys with a prefix, sorted.
func (r *Replica) Keys(prefix string) []string {
	keys := make([]string, 0, len(r.records))
	for key := range r.records {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// BoundedKeys returns the keys of the bounded records, the oldest first. The slice must not
// be modified.
func (r *Replica) BoundedKeys() []string { return r.boundedKeys }

// Digest identifies a set of keys: replicas with equal digests have the same keys.
type Digest struct {
	Count int    `json:"c"`
	Hash  uint64 `json:"h"`
}

// Add adds a key, in any order.
func (d *Digest) Add(key string) {
	h := fnv.New64a()
	h.Write([]byte(key))
	d.Count++
	d.Hash ^= h.Sum64()
}

// Digest returns the digest of the keys with a prefix.
func (r *Replica) Digest(prefix string) (d Digest) {
	for key := range r.records {
		if strings.HasPrefix(key, prefix) {
			d.Add(key)
		}
	}
	return d
}

// DigestOf returns the digest of the keys of a list of records.
func DigestOf(records []Record) (d Digest) {
	for _, rec := range records {
		d.Add(rec.Key)
	}
	return d
}

// NewerThan reports whether r is to be preferred to o. Either may be nil.
func (r *Replica) NewerThan(o *Replica) bool {
	return r != nil && (o == nil || r.After(o.Version))
}
