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

// ScrubInterval is the time between two pages that the scrubber reads.
const ScrubInterval = 2 * time.Second

const scrubPageSize = 100 // records

var scrubbedPrefixes = []string{record.LivePrefix, record.SchedulePrefix}

// ScrubHost is the view that a Scrubber has of its controller.
type ScrubHost interface {
	// AdmitScrub reports whether the rate limit permits two reads now, and consumes their tokens if
	// so.
	AdmitScrub() bool
	// StoreRevision returns the highest observed revision of the store.
	StoreRevision() uint64
	// ReportDataLoss is called with a description when the store has lost data.
	ReportDataLoss(reason string)
}

// Scrubber continuously compares the store with the leader's replica, one page at a time. It
// detects the loss of single records, which the next leader restores. Final records are not listed,
// as their number is unbounded; each run looks up one that the replica has.
type Scrubber struct {
	publisher *Publisher
	writes    *writebatch.Batcher
	host      ScrubHost

	prefixIndex int    // of the current prefix in scrubbedPrefixes
	lastKey     string // last key of the previous page, or "" to start at the first
	finalIndex  int    // of the last verified key in the replica's bounded keys
}

// NewScrubber returns a scrubber that skips records with uncommitted changes in writes.
func NewScrubber(publisher *Publisher, writes *writebatch.Batcher, host ScrubHost) *Scrubber {
	return &Scrubber{publisher: publisher, writes: writes, host: host}
}

// Run reads the next page now and every ScrubInterval until the publisher's scope is closed.
func (s *Scrubber) Run() {
	s.publisher.scope.After(ScrubInterval, s.Run)
	own := s.publisher.Replica()
	if own == nil || !s.host.AdmitScrub() {
		return
	}
	s.readPage(own)
	if keys := own.BoundedKeys(); len(keys) > 0 {
		s.finalIndex = (s.finalIndex + 1) % len(keys)
		s.verify(own, keys[s.finalIndex])
	}
}

// readPage lists the next page and verifies the first record that seems to be missing.
func (s *Scrubber) readPage(own *replica.Replica) {
	prefix, requestRevision := scrubbedPrefixes[s.prefixIndex], s.host.StoreRevision()
	s.publisher.scope.CallStore(kv.Request{Op: kv.List, Key: prefix, From: s.lastKey, Limit: scrubPageSize}, func(r kv.Response) {
		if r.Outcome != rpc.OK || s.publisher.Replica() != own {
			return
		}
		page := recovery.ListPage{Prefix: prefix, From: s.lastKey, RequestRevision: requestRevision}
		for _, e := range r.Entries {
			page.Listed = append(page.Listed, replica.Record{Key: e.Key, Rev: e.Rev})
		}
		if n := len(r.Entries); r.More && n > 0 {
			page.To = r.Entries[n-1].Key
		} else {
			s.prefixIndex = (s.prefixIndex + 1) % len(scrubbedPrefixes)
		}
		s.lastKey = page.To
		if missing := recovery.MissingKeys(own, page, s.writes.HasUncommitted); len(missing) > 0 {
			s.verify(own, missing[0])
		}
	})
}

// verify reads a record from the store and reports a data loss if it is missing or has an
// older revision than the replica, unless a write by this leader explains the difference.
func (s *Scrubber) verify(own *replica.Replica, key string) {
	before, ok := own.Get(key)
	if !ok || before.Rev == 0 || s.writes.HasUncommitted(key) {
		return
	}
	s.publisher.scope.CallStore(kv.Request{Op: kv.Get, Key: key}, func(r kv.Response) {
		now, present := own.Get(key)
		lost := r.Outcome == rpc.NotFound || r.Outcome == rpc.OK && r.Entries[0].Rev < before.Rev
		if lost && present && now.Rev == before.Rev && s.publisher.Replica() == own && !s.writes.HasUncommitted(key) {
			s.host.ReportDataLoss("record is missing from the store or older than its replica: " + strings.TrimPrefix(key, record.Root))
		}
	})
}
