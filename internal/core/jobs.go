package core

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"yewpass/internal/bitset"
	"yewpass/internal/fleet"
	"yewpass/internal/jobstore"
	"yewpass/internal/kv"
	"yewpass/internal/quota"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/spec"
	"yewpass/internal/topology"
	"yewpass/internal/writebatch"
)

// addJob takes a job into memory.
func (c *Core) addJob(rec *record.Job, earlier bool) *fleet.Job {
	s := rec.Spec
	j := &fleet.Job{
		Spec: s, Need: s.Need(), Record: rec, FromEarlierTerm: earlier,
		Submitted: c.Now.Add(rec.Submitted.Sub(c.Now.Round(0))),
		Team:      c.leadership.teams[s.Owner], StartsAtOnce: c.leadership.placement.MustStartAtOnce(s.Class),
		Progress: fleet.NewProgress(s.Tasks), FailureHistory: fleet.FailureHistory{FailedOn: map[string]bool{}}, Ending: fleet.Ending{Cancelled: rec.Cancelled},
	}
	j.Placement = topology.Job{Key: s.ID, Tasks: s.Tasks}
	if s.SamePlace {
		j.Placement.Rules = append(j.Placement.Rules, topology.SamePlace)
	}
	if s.Apart {
		j.Placement.Rules = append(j.Placement.Rules, topology.Apart)
	}
	if j.Team == nil { // the team has left the settings: its jobs still run
		j.Team = &quota.Account{}
		c.leadership.teams[s.Owner] = j.Team
	}
	c.leadership.jobs[s.ID] = j
	j.Team.JobCount++
	return j
}

// queueJob makes a job's tasks wait for machines, once its progress is known.
func (c *Core) queueJob(j *fleet.Job) {
	for i := range j.Spec.Tasks {
		if j.Done.Has(i) {
			j.Remaining--
			j.HasRun = true
		} else if j.Attempts[i] == nil {
			j.Pending.Add(i)
			j.Waiting++
		}
	}
	if j.Cancelled {
		c.finishIfOver(j)
		return
	}
	if j.Remaining == 0 && !j.Spec.Service {
		c.finishIfOver(j)
		return
	}
	c.leadership.placement.ReserveSoon(j)
}

// completeTask marks a task complete. It is not written yet: progress goes in bulk.
func (c *Core) completeTask(j *fleet.Job, i int) {
	if i >= j.Spec.Tasks || j.Spec.Service {
		return
	}
	if j.Done.Has(i) {
		c.recordProgressSoon(j, i) // a worker still has it: write again, so that it may forget
		return
	}
	if j.Pending.Has(i) {
		j.Pending.Remove(i)
		j.Waiting--
		c.leadership.placement.DropExcessReservation(j)
	}
	j.Done.Add(i)
	j.HasRun = true
	j.Remaining--
	j.AnyCompleted = true
	j.Failures = 0
	j.RetryAt = time.Time{}
	if j.Remaining == 0 {
		c.finishIfOver(j)
		return
	}
	c.recordProgressSoon(j, i)
}

// recordProgressSoon has the progress around task i written. One change a chunk waits at
// a time and is filled in when it goes: however slow the writes, the news of
// many seconds go in one. The final record makes most of them needless.
func (c *Core) recordProgressSoon(j *fleet.Job, i int) {
	chunk := i / bitset.ChunkSize
	if j.DirtyChunks[chunk] {
		return
	}
	j.DirtyChunks[chunk] = true
	c.afterWhileLeading(time.Second, func() { c.recordProgress(j, chunk) })
}

// requeue makes a task wait again.
func (c *Core) requeue(j *fleet.Job, i int) {
	if j.Halted() || i >= j.Spec.Tasks || j.Done.Has(i) || j.Pending.Has(i) || j.Attempts[i] != nil {
		return
	}
	j.Pending.Add(i)
	j.Waiting++
	c.leadership.placement.ReserveSoon(j)
}

// recordProgress writes the progress of one chunk of a job.
func (c *Core) recordProgress(j *fleet.Job, chunk int) {
	key := record.ProgressKey(j.Spec.ID, chunk)
	var had bitset.Set
	ch := &writebatch.Change{
		Priority: writebatch.Bulk, Size: 300 + 4*min(j.Spec.Tasks, bitset.ChunkSize)/3/8,
		Writes: []kv.Write{{Key: key}},
		OnCommit: func(rev uint64) {
			j.ChunkRevisions[chunk] = rev
			c.progressRecorded(j, chunk, had)
		},
		OnConflict: func() {
			// A write of ours whose outcome was not known has been applied.
			c.readBack(key, func(e kv.Entry, _ bool) {
				j.ChunkRevisions[chunk] = e.Rev // 0 if there is none
				if c.leadership.jobs[j.Spec.ID] == j && !j.Halted() {
					c.recordProgress(j, chunk)
				}
			})
		},
	}
	ch.Prepare = func() bool {
		if j.Halted() || j.Remaining == 0 {
			return false
		}
		delete(j.DirtyChunks, chunk)
		had = j.Done.CloneChunk(chunk)
		ch.Conditions = []kv.Condition{{Key: key, Rev: j.ChunkRevisions[chunk]}}
		ch.Writes[0].Value = &record.Progress{Ranges: j.Done.EncodeChunk(chunk * bitset.ChunkSize)}
		return true
	}
	c.leadership.writes.Add(ch)
}

// progressRecorded lets workers forget the tasks that the state service now knows
// to be done. Until then their reports repeat it to any successor.
func (c *Core) progressRecorded(j *fleet.Job, chunk int, saved bitset.Set) {
	j.Completed = slices.DeleteFunc(j.Completed, func(r *fleet.Attempt) bool {
		if r.ID.Index/bitset.ChunkSize == chunk && saved.Has(r.ID.Index%bitset.ChunkSize) {
			r.Forgettable = true
		}
		return r.Forgettable
	})
}

// finishIfOver writes the final record of a job that is over. A cancelled job
// stays on record until none of its tasks can be on any machine, because its
// tasks still count for its team.
func (c *Core) finishIfOver(j *fleet.Job) {
	l := c.leadership
	if j.Finishing || j.Cancelling {
		return
	}
	final := record.Final{State: spec.Done, Done: j.Spec.Tasks}
	switch {
	case j.Cancelled:
		if len(j.Attempts) > 0 || (j.FromEarlierTerm && !l.allAccounted()) {
			return
		}
		final = record.Final{State: spec.Cancelled, Done: j.Spec.Tasks - j.Remaining}
	case j.Spec.Service || j.Remaining > 0:
		return
	}
	j.Finishing = true
	ch := &writebatch.Change{
		Writes:   []kv.Write{{Key: record.FinalPrefix + j.Spec.ID, Value: &final}, {Key: record.JobPrefix + j.Spec.ID}},
		OnCommit: func(uint64) { c.jobFinished(j, final) },
	}
	j.EndingChange = ch
	drops := make([]*writebatch.Change, 0, 1)
	for _, chunk := range slices.Sorted(maps.Keys(j.ChunkRevisions)) {
		if j.ChunkRevisions[chunk] == 0 {
			continue
		}
		w := kv.Write{Key: record.ProgressKey(j.Spec.ID, chunk)}
		if len(ch.Writes) < c.cfg.Settings.State.TxnOps {
			ch.Writes = append(ch.Writes, w)
		} else {
			drops = append(drops, &writebatch.Change{Writes: []kv.Write{w}, Priority: writebatch.Bulk})
		}
	}
	l.writes.Add(ch)
	for _, d := range drops {
		l.writes.Add(d)
	}
}

// jobFinished follows the commit of a final record.
func (c *Core) jobFinished(j *fleet.Job, f record.Final) {
	l := c.leadership
	c.jobs.Remember(j.Spec.ID, f)
	c.replicateDrop(record.JobPrefix + j.Spec.ID) // however we have learned that it is over
	delete(l.jobs, j.Spec.ID)
	j.Team.JobCount--
	c.leadership.placement.DropReservations(j)
	for _, r := range j.Completed {
		r.Forgettable = true
	}
	j.Completed = nil
	c.answerCancelWaiters(j, request.Response{Status: 200, View: jobstore.FinalStatus(j.Spec.ID, f)})
	l.recurring.JobFinished(j, f.State)
	c.Log(slog.LevelDebug, "job finished", "job", j.Spec.ID, "state", f.State)
}

// answerCancelWaiters answers everybody who waits for the end of a job to be recorded.
func (c *Core) answerCancelWaiters(j *fleet.Job, a request.Response) {
	for _, call := range j.CancelWaiters {
		c.answer(call, a)
	}
	j.CancelWaiters = nil
}

// cancelJob records a cancellation and answers once it is committed.
func (c *Core) cancelJob(j *fleet.Job, call request.Request) {
	if j.Cancelled {
		c.answer(call, request.Response{Status: 200, View: j.View()})
		return
	}
	j.CancelWaiters = append(j.CancelWaiters, call)
	if j.Cancelling || j.Finishing {
		return
	}
	j.Cancelling = true
	// Whatever becomes of the record, its user wants nothing of it any more. Others may read
	// it and tell before we know that it is committed: what renews leases meanwhile, with
	// authority or without, has to carry the stops.
	for _, r := range j.Attempts {
		c.leadership.dispatcher.Request(r.Machine)
	}
	c.recordCancelled(j, c.leaseTiming.CancelSafeAfter(c.Now, c.leadership.electedAt.Add(c.leadership.earlierLeaderLag)))
}

// recordCancelled writes a cancellation, not before a time unless nothing of the job can be
// on any machine: where the settings leave no room a lease may last longer than tasks of a
// cancelled job may.
func (c *Core) recordCancelled(j *fleet.Job, from time.Time) {
	if from.After(c.Now) && (len(j.Attempts) > 0 || j.FromEarlierTerm && !c.leadership.allAccounted()) {
		for _, call := range j.CancelWaiters { // once for each: who asks again is told again
			no := request.Unavailable("the tasks are being stopped")
			no.RetryAfter = from.Sub(c.Now)
			c.answer(call, no)
		}
		j.CancelWaiters = nil
		c.afterWhileLeading(min(from.Sub(c.Now), tickEvery), func() { c.recordCancelled(j, from) })
		return
	}
	rec := *j.Record
	rec.Cancelled = true
	ch := &writebatch.Change{
		Size: record.JobSize(&rec.Spec),
		// A try that is applied late must not bring back a job that is over.
		Conditions: []kv.Condition{{Key: record.FinalPrefix + j.Spec.ID, Rev: 0}},
		Writes:     []kv.Write{{Key: record.JobPrefix + j.Spec.ID, Value: &rec}},
		OnConflict: func() {
			c.answerCancelWaiters(j, request.Unavailable("the job has just ended, try again"))
			c.readBack(record.FinalPrefix+j.Spec.ID, func(e kv.Entry, _ bool) {
				if f, _ := e.Value.(*record.Final); f != nil && c.leadership.jobs[j.Spec.ID] == j {
					c.jobFinished(j, *f)
				}
			})
		},
		OnCommit: func(uint64) {
			j.Cancelling, j.Cancelled, j.Record, j.EndingChange = false, true, &rec, nil
			c.leadership.placement.DropReservations(j)
			c.Log(slog.LevelDebug, "job cancelled", "job", j.Spec.ID)
			c.answerCancelWaiters(j, request.Response{Status: 200, View: j.View()})
			c.finishIfOver(j)
		},
	}
	j.EndingChange = ch
	c.leadership.writes.Add(ch)
}

// endingTimeout is how long a question about a job waits for the record of its end: shorter
// than one that was passed on to us does.
const endingTimeout = 600 * time.Millisecond

// waitForEnding has a question about a job wait if its end may be on record without our knowing.
// Whoever reads the record may have told the user, who must hear nothing older from us.
func (c *Core) waitForEnding(j *fleet.Job, call request.Request) bool {
	if j.EndingChange == nil || !j.EndingChange.Sent {
		return false
	}
	j.CancelWaiters = append(j.CancelWaiters, call)
	c.afterWhileLeading(endingTimeout, func() {
		if i := slices.IndexFunc(j.CancelWaiters, func(x request.Request) bool { return x.From == call.From && x.Ref == call.Ref }); i >= 0 {
			j.CancelWaiters = slices.Delete(j.CancelWaiters, i, i+1)
			c.answer(call, request.Unavailable("its end is being recorded"))
		}
	})
	return true
}

// fitsValue reports whether a record of so many bytes fits into a value of the state
// service.
func (c *Core) fitsValue(size int) bool {
	return jobstore.FitsValue(size, c.cfg.Settings.State)
}
