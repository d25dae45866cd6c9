package core

import (
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"yewpass/internal/bitset"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
	"yewpass/internal/topology"
)

// job is an accepted job that is not over.
type job struct {
	spec            spec.Job
	need            timeline.Resources
	submitted       time.Time // on the core's clock
	record          *record.Job
	fromEarlierTerm bool         // accepted in an earlier term: its tasks may be anywhere
	placement       topology.Job // its rules on places
	team            *team
	startsAtOnce    bool // must start at once

	done      bitset.Set       // completed
	pending   bitset.Set       // neither done nor on a machine
	waiting   int              // members of pending
	remaining int              // tasks not done
	attempts  map[int]*attempt // tasks on machines, or that may be

	reserved       int // members of pending that have a place in the queue
	chunkRevisions map[int]uint64
	dirtyChunks    map[int]bool // chunks with news not yet on their way

	cancelling    bool              // a cancellation has been begun
	cancelled     bool              // and has been committed
	finishing     bool              // the final record is on its way
	endingChange  *change           // whichever of the two is on its way
	cancelWaiters []request.Request // who waits for it

	failedOn           map[string]bool // machines on which its tasks failed
	failures           int             // since a task last completed
	retryAt            time.Time       // not before this, after failures
	anyCompleted       bool            // a task has completed
	missedUntil        time.Time       // aims up to this are out of reach
	runtime            runtimeAverage  // seconds that its tasks took
	reservations       []*reservation  // places in the queue, in order
	queueTime          time.Time       // of the first, while queued
	queued             bool
	reservationPending bool       // to be booked soon
	lastRereserved     time.Time  // when its bookings were last looked at again
	imageLocalUntil    time.Time  // until then it starts only where its image is
	running            int        // tasks that workers report as running or saving
	completed          []*attempt // completed, and not known to be on record
	hasRun             bool       // a task of it has run, or is done
	startNoted         bool       // and has been noted to have started
}

// addJob takes a job into memory.
func (c *Core) addJob(rec *record.Job, earlier bool) *job {
	s := rec.Spec
	j := &job{
		spec: s, need: s.Need(), record: rec, fromEarlierTerm: earlier, cancelled: rec.Cancelled,
		submitted: c.Now.Add(rec.Submitted.Sub(c.Now.Round(0))),
		done:      bitset.New(s.Tasks), pending: bitset.New(s.Tasks), remaining: s.Tasks,
		attempts: map[int]*attempt{}, chunkRevisions: map[int]uint64{}, dirtyChunks: map[int]bool{}, failedOn: map[string]bool{},
		team: c.leadership.teams[s.Owner], startsAtOnce: c.mustStartAtOnce(s.Class),
	}
	j.placement = topology.Job{Key: s.ID, Tasks: s.Tasks}
	if s.SamePlace {
		j.placement.Rules = append(j.placement.Rules, topology.SamePlace)
	}
	if s.Apart {
		j.placement.Rules = append(j.placement.Rules, topology.Apart)
	}
	if j.team == nil { // the team has left the settings: its jobs still run
		j.team = &team{}
		c.leadership.teams[s.Owner] = j.team
	}
	c.leadership.jobs[s.ID] = j
	j.team.jobCount++
	return j
}

// queueJob makes a job's tasks wait for machines, once its progress is known.
func (c *Core) queueJob(j *job) {
	for i := range j.spec.Tasks {
		if j.done.Has(i) {
			j.remaining--
			j.hasRun = true
		} else if j.attempts[i] == nil {
			j.pending.Add(i)
			j.waiting++
		}
	}
	if j.cancelled {
		c.finishIfOver(j)
		return
	}
	if j.remaining == 0 && !j.spec.Service {
		c.finishIfOver(j)
		return
	}
	c.reserveSoon(j)
}

// halted reports whether no task of the job may start any more.
func (j *job) halted() bool { return j.cancelled || j.cancelling || j.finishing }

func (j *job) view() request.JobStatus {
	v := request.JobStatus{ID: j.spec.ID, State: spec.Queued, Done: j.spec.Tasks - j.remaining, Running: j.running}
	switch {
	case j.cancelled:
		v.State = spec.Cancelled
	case v.Running > 0:
		v.State = spec.Running
	}
	return v
}

// completeTask marks a task complete. It is not written yet: progress goes in bulk.
func (c *Core) completeTask(j *job, i int) {
	if i >= j.spec.Tasks || j.spec.Service {
		return
	}
	if j.done.Has(i) {
		c.recordProgressSoon(j, i) // a worker still has it: write again, so that it may forget
		return
	}
	if j.pending.Has(i) {
		j.pending.Remove(i)
		j.waiting--
		c.dropExcessReservation(j)
	}
	j.done.Add(i)
	j.hasRun = true
	j.remaining--
	j.anyCompleted = true
	j.failures = 0
	j.retryAt = time.Time{}
	if j.remaining == 0 {
		c.finishIfOver(j)
		return
	}
	c.recordProgressSoon(j, i)
}

// recordProgressSoon has the progress around task i written. One change a chunk waits at
// a time and is filled in when it goes: however slow the writes, the news of
// many seconds go in one. The final record makes most of them needless.
func (c *Core) recordProgressSoon(j *job, i int) {
	chunk := i / bitset.ChunkSize
	if j.dirtyChunks[chunk] {
		return
	}
	j.dirtyChunks[chunk] = true
	c.afterWhileLeading(time.Second, func() { c.recordProgress(j, chunk) })
}

// requeue makes a task wait again.
func (c *Core) requeue(j *job, i int) {
	if j.halted() || i >= j.spec.Tasks || j.done.Has(i) || j.pending.Has(i) || j.attempts[i] != nil {
		return
	}
	j.pending.Add(i)
	j.waiting++
	c.reserveSoon(j)
}

func chunkKey(id string, chunk int) string {
	return record.ProgressPrefix + id + "/" + strconv.Itoa(chunk)
}

func splitChunkKey(s string) (string, int) {
	id, num, _ := strings.Cut(s, "/")
	n, err := strconv.Atoi(num)
	if err != nil {
		n = -1
	}
	return id, n
}

// recordProgress writes the progress of one chunk of a job.
func (c *Core) recordProgress(j *job, chunk int) {
	key := chunkKey(j.spec.ID, chunk)
	var had bitset.Set
	ch := &change{
		priority: priorityBulk, size: 300 + 4*min(j.spec.Tasks, bitset.ChunkSize)/3/8,
		writes: []kv.Write{{Key: key}},
		onCommit: func(rev uint64) {
			j.chunkRevisions[chunk] = rev
			c.progressRecorded(j, chunk, had)
		},
		onConflict: func() {
			// A write of ours whose outcome was not known has been applied.
			c.readBack(key, func(e kv.Entry, _ bool) {
				j.chunkRevisions[chunk] = e.Rev // 0 if there is none
				if c.leadership.jobs[j.spec.ID] == j && !j.halted() {
					c.recordProgress(j, chunk)
				}
			})
		},
	}
	ch.prepare = func() bool {
		if j.halted() || j.remaining == 0 {
			return false
		}
		delete(j.dirtyChunks, chunk)
		had = j.done.CloneChunk(chunk)
		ch.conditions = []kv.Condition{{Key: key, Rev: j.chunkRevisions[chunk]}}
		ch.writes[0].Value = &record.Progress{Ranges: j.done.EncodeChunk(chunk * bitset.ChunkSize)}
		return true
	}
	c.leadership.writes.add(ch)
}

// progressRecorded lets workers forget the tasks that the state service now knows
// to be done. Until then their reports repeat it to any successor.
func (c *Core) progressRecorded(j *job, chunk int, saved bitset.Set) {
	j.completed = slices.DeleteFunc(j.completed, func(r *attempt) bool {
		if r.id.Index/bitset.ChunkSize == chunk && saved.Has(r.id.Index%bitset.ChunkSize) {
			r.forgettable = true
		}
		return r.forgettable
	})
}

// finishIfOver writes the final record of a job that is over. A cancelled job
// stays on record until none of its tasks can be on any machine, because its
// tasks still count for its team.
func (c *Core) finishIfOver(j *job) {
	l := c.leadership
	if j.finishing || j.cancelling {
		return
	}
	final := record.Final{State: spec.Done, Done: j.spec.Tasks}
	switch {
	case j.cancelled:
		if len(j.attempts) > 0 || (j.fromEarlierTerm && !l.allAccounted()) {
			return
		}
		final = record.Final{State: spec.Cancelled, Done: j.spec.Tasks - j.remaining}
	case j.spec.Service || j.remaining > 0:
		return
	}
	j.finishing = true
	ch := &change{
		writes:   []kv.Write{{Key: record.FinalPrefix + j.spec.ID, Value: &final}, {Key: record.JobPrefix + j.spec.ID}},
		onCommit: func(uint64) { c.jobFinished(j, final) },
	}
	j.endingChange = ch
	drops := make([]*change, 0, 1)
	for _, chunk := range slices.Sorted(maps.Keys(j.chunkRevisions)) {
		if j.chunkRevisions[chunk] == 0 {
			continue
		}
		w := kv.Write{Key: chunkKey(j.spec.ID, chunk)}
		if len(ch.writes) < c.cfg.Settings.State.TxnOps {
			ch.writes = append(ch.writes, w)
		} else {
			drops = append(drops, &change{writes: []kv.Write{w}, priority: priorityBulk})
		}
	}
	l.writes.add(ch)
	for _, d := range drops {
		l.writes.add(d)
	}
}

// jobFinished follows the commit of a final record.
func (c *Core) jobFinished(j *job, f record.Final) {
	l := c.leadership
	c.finals.Add(j.spec.ID, f)
	c.replicateDrop(record.JobPrefix + j.spec.ID) // however we have learned that it is over
	delete(l.jobs, j.spec.ID)
	j.team.jobCount--
	c.dropReservations(j)
	for _, r := range j.completed {
		r.forgettable = true
	}
	j.completed = nil
	c.answerCancelWaiters(j, request.Response{Status: 200, View: finalStatus(j.spec.ID, f)})
	if s := l.schedules.byJob[j]; s != nil {
		delete(l.schedules.byJob, j)
		c.occurrenceOver(s, j.spec.ID, f.State, c.TimeOfDay())
	}
	c.Log(slog.LevelDebug, "job over", "job", j.spec.ID, "state", f.State)
}

// finalStatus is what a user is told of a job that has ended.
func finalStatus(id string, f record.Final) request.JobStatus {
	return request.JobStatus{ID: id, State: f.State, Done: f.Done}
}

// answerCancelWaiters answers everybody who waits for the end of a job to be recorded.
func (c *Core) answerCancelWaiters(j *job, a request.Response) {
	for _, call := range j.cancelWaiters {
		c.answer(call, a)
	}
	j.cancelWaiters = nil
}

// cancelJob records a cancellation and answers once it is committed.
func (c *Core) cancelJob(j *job, call request.Request) {
	if j.cancelled {
		c.answer(call, request.Response{Status: 200, View: j.view()})
		return
	}
	j.cancelWaiters = append(j.cancelWaiters, call)
	if j.cancelling || j.finishing {
		return
	}
	j.cancelling = true
	// Whatever becomes of the record, its user wants nothing of it any more. Others may read
	// it and tell before we know that it is committed: what renews leases meanwhile, with
	// authority or without, has to carry the stops.
	for _, r := range j.attempts {
		c.requestDispatch(r.machine)
	}
	c.recordCancelled(j, c.leaseTiming.CancelSafeAfter(c.Now, c.leadership.electedAt.Add(c.leadership.earlierLeaderLag)))
}

// recordCancelled writes a cancellation, not before a time unless nothing of the job can be
// on any machine: where the settings leave no room a lease may last longer than tasks of a
// cancelled job may.
func (c *Core) recordCancelled(j *job, from time.Time) {
	if from.After(c.Now) && (len(j.attempts) > 0 || j.fromEarlierTerm && !c.leadership.allAccounted()) {
		for _, call := range j.cancelWaiters { // once for each: who asks again is told again
			no := unavailable("the tasks are being stopped")
			no.RetryAfter = from.Sub(c.Now)
			c.answer(call, no)
		}
		j.cancelWaiters = nil
		c.afterWhileLeading(min(from.Sub(c.Now), tickEvery), func() { c.recordCancelled(j, from) })
		return
	}
	rec := *j.record
	rec.Cancelled = true
	ch := &change{
		size: recordSize(&rec.Spec),
		// A try that is applied late must not bring back a job that is over.
		conditions: []kv.Condition{{Key: record.FinalPrefix + j.spec.ID, Rev: 0}},
		writes:     []kv.Write{{Key: record.JobPrefix + j.spec.ID, Value: &rec}},
		onConflict: func() {
			c.answerCancelWaiters(j, unavailable("the job has just ended, try again"))
			c.readBack(record.FinalPrefix+j.spec.ID, func(e kv.Entry, _ bool) {
				if f, _ := e.Value.(*record.Final); f != nil && c.leadership.jobs[j.spec.ID] == j {
					c.jobFinished(j, *f)
				}
			})
		},
		onCommit: func(uint64) {
			j.cancelling, j.cancelled, j.record, j.endingChange = false, true, &rec, nil
			c.dropReservations(j)
			c.Log(slog.LevelDebug, "job cancelled", "job", j.spec.ID)
			c.answerCancelWaiters(j, request.Response{Status: 200, View: j.view()})
			c.finishIfOver(j)
		},
	}
	j.endingChange = ch
	c.leadership.writes.add(ch)
}

// endingTimeout is how long a question about a job waits for the record of its end: shorter
// than one that was passed on to us does.
const endingTimeout = 600 * time.Millisecond

// waitForEnding has a question about a job wait if its end may be on record without our knowing.
// Whoever reads the record may have told the user, who must hear nothing older from us.
func (c *Core) waitForEnding(j *job, call request.Request) bool {
	if j.endingChange == nil || !j.endingChange.sent {
		return false
	}
	j.cancelWaiters = append(j.cancelWaiters, call)
	c.afterWhileLeading(endingTimeout, func() {
		if i := slices.IndexFunc(j.cancelWaiters, func(x request.Request) bool { return x.From == call.From && x.Ref == call.Ref }); i >= 0 {
			j.cancelWaiters = slices.Delete(j.cancelWaiters, i, i+1)
			c.answer(call, unavailable("its end is being recorded"))
		}
	})
	return true
}

// fitsValue reports whether a record of so many bytes fits into a value of the state
// service.
func (c *Core) fitsValue(size int) bool {
	return float64(size) <= c.cfg.Settings.State.ValueKB*1024
}

// recordSize estimates the bytes of a job's record, with room to spare.
func recordSize(s *spec.Job) int {
	n := 700 + 6*(len(s.Class)+len(s.Owner)+len(s.Image)+len(s.Zone))
	for _, f := range s.InstanceTypes {
		n += 6*len(f) + 4
	}
	return n
}
