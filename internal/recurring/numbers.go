package recurring

import (
	"log/slog"
	"slices"

	"yewpass/internal/engine"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/rpc"
	"yewpass/internal/schedule"
	"yewpass/internal/writebatch"
)

// numberBlockSize is the number of schedule numbers reserved in one write.
const numberBlockSize = 50

// numberAllocator allocates schedule numbers that have never been used. It reserves them in
// blocks in the key-value store; the unused rest of a block is lost when a leadership ends.
type numberAllocator struct {
	engine  *engine.Engine
	scope   *engine.Scope
	records Records

	waiters    []func(number uint64, ok bool)
	next, last uint64 // available numbers are next+1 to last
	reserving  bool   // a block is being reserved
	revision   uint64 // last known revision of the record of schedule numbers
}

// allocate calls f with a new number, or with false if none could be reserved.
func (a *numberAllocator) allocate(f func(number uint64, ok bool)) {
	a.waiters = append(a.waiters, f)
	a.serveWaiters()
}

// serveWaiters assigns available numbers to the waiters and reserves a new block when the
// numbers run out.
func (a *numberAllocator) serveWaiters() {
	for len(a.waiters) > 0 && a.next < a.last {
		f := a.waiters[0]
		a.waiters = slices.Delete(a.waiters, 0, 1)
		a.next++
		f(a.next, true)
	}
	if len(a.waiters) == 0 || a.reserving {
		return
	}
	a.reserving = true
	a.scope.CallStore(kv.Request{Op: kv.Get, Key: record.ScheduleNumberKey}, func(r kv.Response) {
		switch r.Outcome {
		case rpc.OK:
			rec, _ := r.Entries[0].Value.(*record.ScheduleNumber)
			if rec == nil || rec.Number+numberBlockSize > schedule.MaxNumber {
				a.engine.Log(slog.LevelError, "schedule numbers are exhausted or their record is unreadable", "key", record.ScheduleNumberKey)
				a.fail()
				return
			}
			a.reserveBlock(rec.Number, r.Entries[0].Rev)
		case rpc.NotFound:
			a.reserveBlock(0, 0)
		default:
			a.fail()
		}
	})
}

// reserveBlock reserves the numbers from+1 to from+numberBlockSize. revision is that of the
// record of schedule numbers.
func (a *numberAllocator) reserveBlock(from, revision uint64) {
	a.records.Write(&writebatch.Change{
		Conditions: []kv.Condition{{Key: record.ScheduleNumberKey, Rev: revision}},
		Writes:     []kv.Write{{Key: record.ScheduleNumberKey, Value: &record.ScheduleNumber{Number: from + numberBlockSize}}},
		OnCommit: func(revision uint64) {
			a.revision = revision
			a.next, a.last, a.reserving = from, from+numberBlockSize, false
			a.serveWaiters()
		},
		OnConflict: func() { // an earlier attempt was applied; reserve the next block
			a.reserving = false
			a.serveWaiters()
		},
		OnReject: a.fail,
	})
}

// fail reports to all waiters that no number is available.
func (a *numberAllocator) fail() {
	a.reserving = false
	waiters := a.waiters
	a.waiters = nil
	for _, f := range waiters {
		f(0, false)
	}
}
