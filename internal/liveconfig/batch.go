package liveconfig

import (
	"maps"
	"slices"
)

// Batch is the result of several changes that are written in one transaction.
type Batch struct {
	After   *State // the state once the batch has been written
	Taken   int    // how many changes, from the first on, have been decided
	Each    []Made // the result of each of these
	changed map[string]bool
}

// Made is the result of a change in a batch.
type Made struct {
	// Revision is the revision that contains the change. If the state had everything
	// that it requests before, it is an earlier one.
	Revision uint64
	Err      error // an *Error if the change was rejected
}

// NewBatch applies waiting changes in their order, as many as fit into the given
// number of writes: one for the head record, and one for each team that changes,
// even if several changes change it. The first change is applied in any case.
func NewBatch(state *State, waiting []*Change, writes int) *Batch {
	batch := &Batch{After: state.Clone(), changed: map[string]bool{}}
	for _, change := range waiting {
		if batch.Taken > 0 && batch.writesWith(change) > writes {
			break
		}
		batch.take(change)
	}
	return batch
}

// writesWith returns how many writes the batch would need with one more change.
func (b *Batch) writesWith(change *Change) int {
	writes := len(b.changed) + 1 // the head record
	for _, team := range change.Teams {
		if !b.changed[team.Name] {
			writes++
		}
	}
	return writes
}

func (b *Batch) take(change *Change) {
	b.Taken++
	if b.After.Says(change) { // a repeated request, perhaps because the reply was lost
		b.Each = append(b.Each, Made{Revision: b.After.lastRevision(change)})
		return
	}
	names, err := b.After.Apply(change)
	for _, name := range names {
		b.changed[name] = true
	}
	b.Each = append(b.Each, Made{Revision: b.After.Revision, Err: err})
}

// Records returns the team records to write, sorted by name; none if the batch
// changes nothing.
func (b *Batch) Records() (records []TeamRecord) {
	for _, name := range b.Names() {
		records = append(records, b.After.changed[name])
	}
	return records
}

// Names returns the names of the teams that the batch changes, sorted.
func (b *Batch) Names() []string { return slices.Sorted(maps.Keys(b.changed)) }
