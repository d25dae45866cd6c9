package replication

import (
	"strings"
	"time"

	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/recovery"
	"yewpass/internal/replica"
	"yewpass/internal/rpc"
	"yewpass/internal/writebatch"
)

// ScrubInterval is how often the scrubber reads a page.
const ScrubInterval = 2 * time.Second

const scrubPageSize = 100 // records

var scrubbedPrefixes = []string{record.LivePrefix, record.SchedulePrefix}

// ScrubHost is what the scrubber needs of the controller.
type ScrubHost interface {
	// AdmitScrub reports whether a page and a record may be read now, and takes both reads from
	// the allowance if so.
	AdmitScrub() bool
	// StoreRevision returns the highest revision of the store that was observed.
	StoreRevision() uint64
	// ReportDataLoss is called when the store has lost data.
	ReportDataLoss(reason string)
}

// Scrubber compares the store with the leader's replica, a page at a time, over and over: a
// store that loses single records under a living leader does not report it, and the term
// stands. What is missing there is a data loss like any other, which the next leader repairs
// from the replicas. Of the records of ended jobs, of which there may be any number, one
// that the replica has is looked up each time.
type Scrubber struct {
	publisher *Publisher
	writes    *writebatch.Batcher
	host      ScrubHost

	prefix    int    // the scrubbed prefix that is next
	from      string // the last key that was read under it
	nextFinal int    // the final record that is next
}

// NewScrubber returns a scrubber for the publisher's replica. writes is asked for changes that
// are not known to be committed.
func NewScrubber(publisher *Publisher, writes *writebatch.Batcher, host ScrubHost) *Scrubber {
	return &Scrubber{publisher: publisher, writes: writes, host: host}
}

// Run reads the next page, now and every ScrubInterval until the leadership ends.
func (s *Scrubber) Run() {
	s.publisher.scope.After(ScrubInterval, s.Run)
	own := s.publisher.Replica()
	if own == nil || !s.host.AdmitScrub() {
		return
	}
	s.readPage(own)
	if keys := own.BoundedKeys(); len(keys) > 0 {
		s.nextFinal = (s.nextFinal + 1) % len(keys)
		s.verify(own, keys[s.nextFinal])
	}
}

// readPage lists the next page and verifies the first record that seems to be missing from it.
func (s *Scrubber) readPage(own *replica.Replica) {
	prefix, asked := scrubbedPrefixes[s.prefix], s.host.StoreRevision()
	s.publisher.scope.CallStore(kv.Request{Op: kv.List, Key: prefix, From: s.from, Limit: scrubPageSize}, func(r kv.Response) {
		if r.Outcome != rpc.OK || s.publisher.Replica() != own {
			return
		}
		page := recovery.ListPage{Prefix: prefix, From: s.from, RequestRevision: asked}
		for _, e := range r.Entries {
			page.Listed = append(page.Listed, replica.Record{Key: e.Key, Rev: e.Rev})
		}
		if n := len(r.Entries); r.More && n > 0 {
			page.To = r.Entries[n-1].Key
		} else {
			s.prefix = (s.prefix + 1) % len(scrubbedPrefixes)
		}
		s.from = page.To
		if missing := recovery.MissingKeys(own, page, s.writes.HasUncommitted); len(missing) > 0 {
			s.verify(own, missing[0])
		}
	})
}

// verify looks up a record. If it is missing or old, and no change of ours explains that, data
// was lost.
func (s *Scrubber) verify(own *replica.Replica, key string) {
	before, ok := own.Get(key)
	if !ok || before.Rev == 0 || s.writes.HasUncommitted(key) {
		return
	}
	s.publisher.scope.CallStore(kv.Request{Op: kv.Get, Key: key}, func(r kv.Response) {
		now, present := own.Get(key)
		lost := r.Outcome == rpc.NotFound || r.Outcome == rpc.OK && r.Entries[0].Rev < before.Rev
		if lost && present && now.Rev == before.Rev && s.publisher.Replica() == own && !s.writes.HasUncommitted(key) {
			s.host.ReportDataLoss("a record is missing or old that a copy has: " + strings.TrimPrefix(key, record.Root))
		}
	})
}
