// Package recovery decides what follows when the state service may have lost data: whether
// it has (Known), whose copy of the records to go by (Best), and which records there are
// after all (Merge).
//
// It makes no calls and keeps no clock. Package core asks it, and carries out what it says.
// What must never happen here: that a record which was seen to be there is taken for one
// that never was, or that an older copy goes above a newer one.
package recovery

import (
	"slices"
	"strings"

	"yewpass/internal/replica"
)

// Observed is what a controller has seen of the state service. None of it can become less
// while the service keeps its data.
type Observed struct {
	Era             uint64 `json:"era,omitempty"` // drawn anew whenever data was lost, on record with the term
	Term            uint64 `json:"term,omitempty"`
	ProcessID       uint64 `json:"life,omitempty"` // of the process that led it
	Revision        uint64 `json:"rev,omitempty"`  // of the whole store
	HighestPastTerm uint64 `json:"old,omitempty"`  // the highest term of the eras before
}

// AdvanceTo returns what is known once another era and its term are on record.
func (k Observed) AdvanceTo(era, term, life uint64) Observed {
	if era == 0 || era == k.Era || k.Era == 0 {
		if era != 0 {
			k.Era = era
		}
		if term >= k.Term {
			k.Term, k.ProcessID = term, life
		}
		return k
	}
	// Revisions may have begun again, and terms must not have.
	return Observed{Era: era, Term: term, ProcessID: life, HighestPastTerm: max(k.HighestPastTerm, k.Term)}
}

// HasHigherTerm reports whether terms have begun again: whether the term that a process of that
// life leads is none above all those that were before it.
func (k Observed) HasHigherTerm(era, term, life uint64) bool {
	return k.HighestPastTerm >= term || k.Term > term || k.Term == term && (k.ProcessID != life || k.Era != era)
}

// TermRead is what a read of the term's record has found.
type TermRead struct {
	Missing       bool
	Era, Term     uint64 // 0 where the record has none or cannot be read
	StoreRevision uint64 // of the store, when it was read
}

// LossReason says why what was found shows that data was lost, or "". The revision in k must
// have been seen before the read was sent; answers overtake each other.
func (k Observed) LossReason(f TermRead) string {
	switch {
	case f.StoreRevision > 0 && f.StoreRevision < k.Revision:
		return "the state service's revision has fallen"
	case f.Missing && k.Term > 0:
		return "no term is on record, and one was"
	case !f.Missing && f.Term > 0 && f.Term < k.Term:
		return "the term on record is older than one that was"
	case !f.Missing && f.Era != 0 && k.Era != 0 && f.Era != k.Era && f.Term <= k.Term:
		return "the era on record is another"
	}
	return ""
}

// Merge adds what somebody else has seen.
func (k Observed) Merge(o Observed) Observed {
	if o.Term >= k.Term && o.Era != 0 {
		k.Era = o.Era
	}
	if o.Term >= k.Term {
		k.ProcessID = o.ProcessID
	}
	return Observed{Era: k.Era, Term: max(k.Term, o.Term), ProcessID: k.ProcessID, Revision: max(k.Revision, o.Revision), HighestPastTerm: max(k.HighestPastTerm, o.HighestPastTerm)}
}

// NewestOf returns the place of the copy to go by, by how new those are that are offered, or -1:
// the newest. An offer of term 0 is none. It may be of a term well
// before the last one, whose leader has not come to pass a copy on; what has ended since is
// asked of the service before anything in it is believed to be live.
func NewestOf(offers []replica.Version) int {
	best := -1
	for i, o := range offers {
		if o.Term != 0 && (best < 0 || o.After(offers[best])) {
			best = i
		}
	}
	return best
}

// Schema tells what a key is of. Other keys count for themselves.
type Schema struct {
	Job, Final func(key string) (id string, ok bool)  // a job while it is not over, and how it ended
	Progress   func(key string) (job string, ok bool) // progress of a job
	Machines   func(key string) bool                  // machines that may hold tasks

	// Join makes one value of the service's and the copy's, which is the newer one or
	// not; differ says that it is not the service's own.
	Join func(stored, copied any, older bool) (joined any, differ bool)
}

// MergeResult is what there is after all.
type MergeResult struct {
	Records []replica.Record // in the order of their keys
	Writes  []replica.Record // of them, what the service does not have so; Rev is what it has, 0 for none
	Drops   []string         // on record, and long over
}

// Merge makes one set of records of what the service has and what a copy has. When nothing
// shows that the service went back in time (older is false) its own values stand and the
// copy adds what is missing; else the copy's values stand, since they are newer.
//
// A job that has ended by either is over: jobs never come back. Machines and progress of
// both count, since neither can be wrong about what has been.
func Merge(stored []replica.Record, c *replica.Replica, older bool, k Schema) MergeResult {
	over := map[string]bool{}
	have := make(map[string]replica.Record, len(stored))
	for _, r := range stored {
		have[r.Key] = r
		if id, ok := k.Final(r.Key); ok {
			over[id] = true
		}
	}
	keys := c.Keys("")
	for _, key := range keys {
		if id, ok := k.Final(key); ok {
			over[id] = true
		}
	}
	ended := func(key string) bool { // of a job that is over
		id, ok := k.Job(key)
		if !ok {
			id, ok = k.Progress(key)
		}
		return ok && over[id]
	}
	var res MergeResult
	put := func(key string, value any, rev uint64) {
		have[key] = replica.Record{Key: key, Value: value, Rev: rev}
		res.Writes = append(res.Writes, have[key])
	}
	for _, key := range keys {
		if ended(key) {
			continue
		}
		r, _ := c.Get(key)
		s, stands := have[key]
		switch {
		case !stands:
			put(key, r.Value, 0)
		case k.Machines(key): // one list may name machines that the other does not
			if older {
				put(key+"~", r.Value, 0)
			}
		default:
			if joined, differ := k.Join(s.Value, r.Value, older); differ {
				put(key, joined, s.Rev)
			}
		}
	}
	for key, r := range have {
		if ended(key) {
			if r.Rev != 0 {
				res.Drops = append(res.Drops, key)
			}
			continue
		}
		res.Records = append(res.Records, r)
	}
	slices.SortFunc(res.Records, func(a, b replica.Record) int { return strings.Compare(a.Key, b.Key) })
	slices.Sort(res.Drops)
	return res
}
