package replication

import (
	"yewpass/internal/record"
	"yewpass/internal/replica"
)

// FinalRecordFetch receives the replica of another controller in the background, after failover,
// for the final records of ended jobs. The store may have lost some of them undetected, and a
// newly started leader has none in memory.
type FinalRecordFetch struct {
	source   string // host name of the controller, or "" if no fetch is in progress
	receiver replica.Receiver
}

// SetSource sets the controller whose replica is received. An empty name disables the fetch.
func (f *FinalRecordFetch) SetSource(name string) { f.source = name }

// Source returns the controller whose replica is received, or "" if no fetch is in progress.
func (f *FinalRecordFetch) Source() string { return f.source }

// Receive applies a line of the source's replica. It returns the replica and ends the fetch
// once the replica is complete, and nil before. Missing lines are not requested again because
// the leader does not depend on this fetch.
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
// publisher's replica, with revision 0 because the store may not have them. Schedules are
// outside the key range that a new leader compares, so their loss could go undetected.
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
