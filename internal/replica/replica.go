// Package replica implements in-memory replicas of the records in the key-value store, and the
// stream that copies a replica to another controller: a snapshot followed by changes. After a data
// loss the store is restored from the newest replica.
//
// The package does no I/O; package peer encodes and checksums the lines of a stream. Invariant: a
// replica is complete only if every line of exactly one stream has been applied exactly once.
package replica

import (
	"hash/fnv"
	"slices"
	"strings"
)

// Record is a key of the store with its value. The value must not be modified.
type Record struct {
	Key   string
	Value any
	Rev   uint64 // modification revision in the store; 0 if the store is not known to have the record
}

// Version identifies a state of a replica. Versions are ordered by term, then by sequence number.
type Version struct {
	Term uint64 // of the leader that wrote the replica
	Seq  uint64 // number of changes in that term
}

// After reports whether v is newer than o.
func (v Version) After(o Version) bool { return v.Term > o.Term || v.Term == o.Term && v.Seq > o.Seq }

// Replica holds the records as of a version. Of the records under one prefix, only the most
// recently added ones are kept. A Replica is not safe for concurrent use.
type Replica struct {
	Era uint64 // of the store's data; see package recovery
	Version

	records       map[string]*Record
	boundedPrefix string
	boundedMax    int
	boundedKeys   []string // oldest first
}

// New returns an empty replica that keeps at most boundedMax records under boundedPrefix.
func New(era, term uint64, boundedPrefix string, boundedMax int) *Replica {
	return &Replica{Era: era, Version: Version{Term: term}, records: map[string]*Record{}, boundedPrefix: boundedPrefix, boundedMax: boundedMax}
}

// Put sets a record. Adding a bounded record beyond the limit evicts the oldest one.
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

// Delete removes a record if it exists.
func (r *Replica) Delete(key string) {
	if r.records[key] == nil {
		return
	}
	delete(r.records, key)
	if strings.HasPrefix(key, r.boundedPrefix) {
		r.boundedKeys = slices.DeleteFunc(r.boundedKeys, func(k string) bool { return k == key })
	}
}

// InheritBounded adds the bounded records of an earlier replica that r lacks, as the oldest and
// with revision 0, up to the limit. Bounded records are immutable, so the earlier values are valid.
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

// Get returns the record with a key and whether it exists.
func (r *Replica) Get(key string) (Record, bool) {
	if rec := r.records[key]; rec != nil {
		return *rec, true
	}
	return Record{}, false
}

// Keys returns the keys with a prefix in ascending order.
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

// BoundedKeys returns the keys of the bounded records, oldest first, for reading only.
func (r *Replica) BoundedKeys() []string { return r.boundedKeys }

// Digest summarizes a set of keys. Sets with equal digests are considered equal.
type Digest struct {
	Count int    `json:"c"`
	Hash  uint64 `json:"h"`
}

// Add adds a key, in any order. Each key must be added only once.
func (d *Digest) Add(key string) {
	h := fnv.New64a()
	h.Write([]byte(key))
	d.Count++
	d.Hash ^= h.Sum64()
}

// Digest returns the digest of the replica's keys with a prefix.
func (r *Replica) Digest(prefix string) (d Digest) {
	for key := range r.records {
		if strings.HasPrefix(key, prefix) {
			d.Add(key)
		}
	}
	return d
}

// DigestOf returns the digest of the records' keys.
func DigestOf(records []Record) (d Digest) {
	for _, rec := range records {
		d.Add(rec.Key)
	}
	return d
}

// NewerThan reports whether r has a higher version than o. A nil replica is older than any other.
func (r *Replica) NewerThan(o *Replica) bool {
	return r != nil && (o == nil || r.After(o.Version))
}
