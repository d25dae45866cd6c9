package replication

import (
	"yewpass/internal/record"
	"yewpass/internal/replica"
)

// FinalRecordFetch receives another controller's replica after failover, for final records that the
// store has lost undetected or that a newly started leader does not have in memory.
type FinalRecordFetch struct {
	source   string // host name of the controller, or "" if no fetch is in progress
	receiver replica.Receiver
}

// SetSource sets the controller whose replica is received. An empty name disables the fetch.
func (f *FinalRecordFetch) SetSource(name string) { f.source = name }

// Source returns the name passed to SetSource, or "" once the fetch has ended.
func (f *FinalRecordFetch) Source() string { return f.source }

// Receive applies a line of the source's replica. It returns the replica and ends the fetch once
// the replica is complete, and nil before. Missing lines are not requested again: the leader does
// not depend on them.
func (f *FinalRecordFetch) Receive(line *replica.Line, maxFinalRecords int) *replica.Replica {
	if f.receiver.Receive(line, record.FinalPrefix, maxFinalRecords) != nil {
		return nil
	}
	fetched := f.receiver.Replica()
	if fetched != nil {
		f.source = ""
	}
	return fetched
}

// MergeFetched adds the final records and the missing schedules of another replica to the
// publisher's replica, with revision 0 because the store may not have them. A new leader does not
// compare schedules, so their loss could go undetected.
func (p *Publisher) MergeFetched(fetched *replica.Replica) {
	own := p.Replica()
	own.InheritBounded(fetched)
	for _, key := range fetched.Keys(record.SchedulesPrefix) {
		if _, ok := own.Get(key); !ok {
			rec, _ := fetched.Get(key)
			own.Put(key, rec.Value, 0)
		}
	}
}
