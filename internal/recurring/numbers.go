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

// numberBlockSize is how many numbers are taken from the store at a time.
const numberBlockSize = 50

// numberAllocator hands out numbers that no schedule ever had. They are taken from the
// store in blocks; what is left of a block when a leadership ends is not used.
type numberAllocator struct {
	engine  *engine.Engine
	scope   *engine.Scope
	records Records

	waiters    []func(number uint64, ok bool)
	next, last uint64 // the numbers at hand are those after next, up to last
	allocating bool   // a block is being taken
	revision   uint64 // of the record of the numbers, as last known
}

// allocate calls f with a new number, or with false if the store does not answer.
func (a *numberAllocator) allocate(f func(number uint64, ok bool)) {
	a.waiters = append(a.waiters, f)
	a.handOut()
}

// handOut serves those who wait, and takes a new block if the numbers run out.
func (a *numberAllocator) handOut() {
	for len(a.waiters) > 0 && a.next < a.last {
		f := a.waiters[0]
		a.waiters = slices.Delete(a.waiters, 0, 1)
		a.next++
		f(a.next, true)
	}
	if len(a.waiters) == 0 || a.allocating {
		return
	}
	a.allocating = true
	a.scope.CallStore(kv.Request{Op: kv.Get, Key: record.ScheduleNumberKey}, func(r kv.Response) {
		switch r.Outcome {
		case rpc.OK:
			rec, _ := r.Entries[0].Value.(*record.ScheduleNumber)
			if rec == nil || rec.Number+numberBlockSize > schedule.MaxNumber {
				a.engine.Log(slog.LevelError, "schedule numbers exhausted", "key", record.ScheduleNumberKey)
				a.fail()
				return
			}
			a.takeBlock(rec.Number, r.Entries[0].Rev)
		case rpc.NotFound:
			a.takeBlock(0, 0)
		default:
			a.fail()
		}
	})
}

// takeBlock takes the block of numbers after from; revision is that of the record.
func (a *numberAllocator) takeBlock(from, revision uint64) {
	a.records.Write(&writebatch.Change{
		Conditions: []kv.Condition{{Key: record.ScheduleNumberKey, Rev: revision}},
		Writes:     []kv.Write{{Key: record.ScheduleNumberKey, Value: &record.ScheduleNumber{Number: from + numberBlockSize}}},
		OnCommit: func(revision uint64) {
			a.revision = revision
			a.next, a.last, a.allocating = from, from+numberBlockSize, false
			a.handOut()
		},
		OnConflict: func() { // an earlier try was applied: take the next block
			a.allocating = false
			a.handOut()
		},
		OnReject: a.fail,
	})
}

// fail tells all who wait that there is no number for them.
func (a *numberAllocator) fail() {
	a.allocating = false
	waiters := a.waiters
	a.waiters = nil
	for _, f := range waiters {
		f(0, false)
	}
}
