package replication

import (
	"yewpass/internal/record"
	"yewpass/internal/replica"
)

// FinalsFetch receives the replica of another controller beside the work of the term, for how
// jobs have ended: the store may have lost some of that unnoticed, and a process that has
// just begun remembers none.
type FinalsFetch struct {
	source   string // "": nobody is asked
	receiver replica.Receiver
}

// SetSource sets the controller whose replica is received.
func (f *FinalsFetch) SetSource(name string) { f.source = name }

// Source returns the controller whose replica is received, or "".
func (f *FinalsFetch) Source() string { return f.source }

// Receive applies a line of the source's replica and returns that replica once it is
// complete; the fetch is then over. Missing lines are not asked for again: the leader can do
// without.
func (f *FinalsFetch) Receive(line *replica.Line, finalsLimit int) *replica.Replica {
	if f.receiver.Receive(line, record.FinalPrefix, finalsLimit) != nil {
		return nil
	}
	fetched := f.receiver.Replica()
	if fetched != nil {
		f.source = ""
	}
	return fetched
}

// Adopt adds to the publisher's replica how jobs have ended by another replica, and the
// schedules that it lacks, as records that the store is not known to have. Schedules lie
// apart from the records that a new leader compares, so that some may be lost unnoticed.
func (p *Publisher) Adopt(fetched *replica.Replica) {
	own := p.Replica()
	own.InheritBounded(fetched)
	for _, key := range fetched.Keys(record.SchedulesPrefix) {
		if _, ok := own.Get(key); !ok {
			rec, _ := fetched.Get(key)
			own.Put(key, rec.Value, 0)
		}
	}
}
