package liveconfig

import (
	"maps"
	"slices"
)

// Batch is a group of changes that are written in one transaction.
type Batch struct {
	After     *State          // the state once the batch has been written
	Processed int             // number of leading changes that were applied or rejected
	Results   []ChangeResult  // one per processed change
	changed   map[string]bool // names of the teams to write
}

// ChangeResult is the outcome of one change in a batch.
type ChangeResult struct {
	// Revision is the revision that contains the change: an earlier one if the state
	// already satisfied it.
	Revision uint64
	Err      error // an *Error if the change was rejected
}

// NewBatch applies waiting changes in order, as many as fit into the given number of writes:
// one for the head record and one for each distinct team. The first change is applied
// regardless of its size.
func NewBatch(state *State, waiting []*Change, writes int) *Batch {
	batch := &Batch{After: state.Clone(), changed: map[string]bool{}}
	for _, change := range waiting {
		if batch.Processed > 0 && batch.writesWith(change) > writes {
			break
		}
		batch.apply(change)
	}
	return batch
}

// writesWith returns the number of writes that the batch needs if change is added.
func (b *Batch) writesWith(change *Change) int {
	writes := len(b.changed) + 1 // the head record
	for _, team := range change.Teams {
		if !b.changed[team.Name] {
			writes++
		}
	}
	return writes
}

// apply applies a change to the state after the batch and appends the result.
func (b *Batch) apply(change *Change) {
	b.Processed++
	if b.After.IsSatisfied(change) { // a retry, for example because the reply was lost
		b.Results = append(b.Results, ChangeResult{Revision: b.After.lastRevision(change)})
		return
	}
	names, err := b.After.Apply(change)
	for _, name := range names {
		b.changed[name] = true
	}
	b.Results = append(b.Results, ChangeResult{Revision: b.After.Revision, Err: err})
}

// Records returns the team records to write, sorted by name. It is empty if the
// batch changes nothing.
func (b *Batch) Records() (records []TeamRecord) {
	for _, name := range b.Names() {
		records = append(records, b.After.changed[name])
	}
	return records
}

// Names returns the names of the teams that the batch changes, sorted.
func (b *Batch) Names() []string { return slices.Sorted(maps.Keys(b.changed)) }
