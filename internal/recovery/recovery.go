// Package recovery implements the decisions of recovery from a data loss in the key-value store:
// whether data was lost (Observed.LossReason), which replica to restore from (NewestOf), and which
// records result (Merge).
//
// The functions are pure. Invariants: a record known to have been in the store is never treated as
// nonexistent, and an older replica never takes precedence over a newer one.
package recovery

import (
	"yewpass/internal/replica"
)

// Observed is the state of the store that a controller has observed. Within an era, Term and
// Revision never decrease unless the store loses data.
type Observed struct {
	Era             uint64 `json:"era,omitempty"` // random; changed after each data loss and stored with the term
	Term            uint64 `json:"term,omitempty"`
	ProcessID       uint64 `json:"life,omitempty"` // process that led the term
	Revision        uint64 `json:"rev,omitempty"`  // revision of the whole store
	HighestPastTerm uint64 `json:"old,omitempty"`  // highest term of earlier eras
}

// AdvanceTo returns o updated with an era and a term read from the store. A new era resets the
// revision and moves the earlier terms to HighestPastTerm.
func (o Observed) AdvanceTo(era, term, processID uint64) Observed {
	if era == 0 || era == o.Era || o.Era == 0 {
		if era != 0 {
			o.Era = era
		}
		if term >= o.Term {
			o.Term, o.ProcessID = term, processID
		}
		return o
	}
	// In a new era the store's revisions may have restarted; terms must not.
	return Observed{Era: era, Term: term, ProcessID: processID, HighestPastTerm: max(o.HighestPastTerm, o.Term)}
}

// HasHigherTerm reports whether o contains a term that conflicts with the given term of the given
// process: a higher one, or the same one led by another process or in another era. Terms have then
// restarted after a data loss.
func (o Observed) HasHigherTerm(era, term, processID uint64) bool {
	return o.HighestPastTerm >= term || o.Term > term || o.Term == term && (o.ProcessID != processID || o.Era != era)
}

// TermRead is the result of reading the term record.
type TermRead struct {
	Missing       bool
	Era, Term     uint64 // 0 if not set in the record or unreadable
	StoreRevision uint64 // revision of the whole store at the time of the read
}

// LossReason returns why the result of a read proves a data loss, or "". The revision in o must
// have been observed before the read was sent, because responses may be reordered.
func (o Observed) LossReason(read TermRead) string {
	switch {
	case read.StoreRevision > 0 && read.StoreRevision < o.Revision:
		return "the state service's revision has fallen"
	case read.Missing && o.Term > 0:
		return "the term record is missing"
	case !read.Missing && read.Term > 0 && read.Term < o.Term:
		return "the stored term is older than an observed one"
	case !read.Missing && read.Era != 0 && o.Era != 0 && read.Era != o.Era && read.Term <= o.Term:
		return "the stored era differs from the observed one"
	}
	return ""
}

// Merge returns o combined with the observations of another controller.
func (o Observed) Merge(other Observed) Observed {
	if other.Term >= o.Term && other.Era != 0 {
		o.Era = other.Era
	}
	if other.Term >= o.Term {
		o.ProcessID = other.ProcessID
	}
	o.Term = max(o.Term, other.Term)
	o.Revision = max(o.Revision, other.Revision)
	o.HighestPastTerm = max(o.HighestPastTerm, other.HighestPastTerm)
	return o
}

// Offer is a replica that the store may be restored from.
type Offer struct {
	Source string // controller that holds it; "" for this one
	replica.Version
}

// NewestOf returns the newest of the offered replicas. Offers of term 0 are skipped; found is false
// if there is no other. Later leaders may not have replicated, so the caller must look up the final
// records of the replica's jobs before treating the jobs as live.
func NewestOf(offers []Offer) (newest Offer, found bool) {
	for _, o := range offers {
		if o.Term != 0 && (!found || o.After(newest.Version)) {
			newest, found = o, true
		}
	}
	return newest, found
}
