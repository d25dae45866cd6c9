// Package recovery decides what to do when the store may have lost data: whether it has
// (Observed.LossReason), which replica to restore from (NewestOf), and which records there
// are after all (Merge).
//
// It is pure: package core makes the calls. The invariants: a record known to have been in
// the store is never taken for one that never was, and an older replica never wins over a
// newer one.
package recovery

import (
	"yewpass/internal/replica"
)

// Observed is what a controller has seen of the store. None of it decreases while the store
// keeps its data.
type Observed struct {
	Era             uint64 `json:"era,omitempty"` // redrawn after each data loss; stored with the term
	Term            uint64 `json:"term,omitempty"`
	ProcessID       uint64 `json:"life,omitempty"` // of the process that led the term
	Revision        uint64 `json:"rev,omitempty"`  // of the whole store
	HighestPastTerm uint64 `json:"old,omitempty"`  // the highest term of earlier eras
}

// AdvanceTo returns what is known once an era and a term of it have been read from the store.
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
	// Revisions may have begun again, terms must not have.
	return Observed{Era: era, Term: term, ProcessID: processID, HighestPastTerm: max(o.HighestPastTerm, o.Term)}
}

// HasHigherTerm reports whether the given term, led by the given process, is not above all
// terms that were led before it: then terms have begun again.
func (o Observed) HasHigherTerm(era, term, processID uint64) bool {
	return o.HighestPastTerm >= term || o.Term > term || o.Term == term && (o.ProcessID != processID || o.Era != era)
}

// TermRead is the result of reading the term's record.
type TermRead struct {
	Missing       bool
	Era, Term     uint64 // 0 if the record has none or cannot be read
	StoreRevision uint64 // of the whole store at the time of the read
}

// LossReason says why the result of the read proves a data loss, or returns "". The revision
// in o must have been observed before the read was sent, as responses may be reordered.
func (o Observed) LossReason(read TermRead) string {
	switch {
	case read.StoreRevision > 0 && read.StoreRevision < o.Revision:
		return "the state service's revision has fallen"
	case read.Missing && o.Term > 0:
		return "no term is on record, and one was"
	case !read.Missing && read.Term > 0 && read.Term < o.Term:
		return "the term on record is older than one that was"
	case !read.Missing && read.Era != 0 && o.Era != 0 && read.Era != o.Era && read.Term <= o.Term:
		return "the era on record is another"
	}
	return ""
}

// Merge adds what another controller has observed.
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
	Source string // the controller that has it; "" for this one
	replica.Version
}

// NewestOf returns the newest of the offered replicas. Term 0 stands for no replica; found is
// false if there is none. The newest may be of a term well before the last one, whose leader
// did not get to replicate; the jobs that have ended since are looked up in the store before
// the replica's records of them count as live.
func NewestOf(offers []Offer) (newest Offer, found bool) {
	for _, o := range offers {
		if o.Term != 0 && (!found || o.After(newest.Version)) {
			newest, found = o, true
		}
	}
	return newest, found
}
