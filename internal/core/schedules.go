package core

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/fleet"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
	"yewpass/internal/timerheap"
	"yewpass/internal/writebatch"
)

// scheduler are the recurring work that a leader looks after. What a schedule
// has come to (its cursor) changes in one transaction with the job that an
// occurrence becomes, under the condition of the term and of the record's own
// revision: a leader that dies, a transaction that is applied late or a leader
// that follows can neither make an occurrence twice nor pass one over.
type scheduler struct {
	byName     map[string]*recurringJob
	byJob      map[*fleet.Job]*recurringJob // by the jobs of their occurrences that are not over
	names      []string                     // sorted
	unreadable map[string]bool              // whose records cannot be read
	loaded     bool

	upcoming timerheap.Heap[heapEntry] // schedules by when their next occurrence is due
	ready    timerheap.Heap[heapEntry] // those that are due, by deadline

	manualRuns    map[string]*recurringJob  // whose job each request to run makes
	numberWaiters []func(n uint64, ok bool) // who waits for a number
	next, last    uint64                    // numbers at hand: next to last
	takingNumbers bool
	numberRev     uint64         // of their record, as we know it
	unresolved    []occurrenceOf // made by an earlier leader, over since

	made, missed, late int64 // by this leader
}

func newSchedules() scheduler {
	return scheduler{byName: map[string]*recurringJob{}, byJob: map[*fleet.Job]*recurringJob{}, unreadable: map[string]bool{}, manualRuns: map[string]*recurringJob{}}
}

type occurrenceOf struct {
	s   *recurringJob
	job string
}

// recurringJob is one schedule.
type recurringJob struct {
	name       string
	record     *schedule.Record // nil while it is being created
	revision   uint64
	definition *schedule.Def // nil if this leader cannot read it: see problem
	problem    string

	writing   bool              // a write of it is on its way: what else is asked waits
	requester *request.Request  // who waits for that write
	waiting   []request.Request // who asks next
	removed   bool

	generation       uint64    // of its place in a heap; others are stale
	awaitingPrevious bool      // waits for the job before
	notBefore        time.Time // it was refused for now

	pendingEntries []schedule.Entry // jobs that were asked for while a write was on its way
	historyDirty   bool             // its history has news
	flushing       bool
}

// heapEntry is a schedule's place in a heap; it is stale once the schedule has
// another.
type heapEntry struct {
	s   *recurringJob
	gen uint64
}

const (
	schedulePage        = 100                    // records read at a time
	scheduleGap         = 100 * time.Millisecond // between pages: what else a new leader has to do goes first
	maxDuePerStep       = 500                    // schedules that become due in one step
	maxDecisionsPerStep = 256                    // occurrences decided in one step
	numberBlock         = 50                     // numbers taken from the state service at a time
	maxWaiting          = 8                      // users who wait for a schedule
	maxManualRuns       = 256                    // requests to run whose jobs are not accepted yet
	historyDelay        = 2 * time.Second
	resolveInterval     = 50 * time.Millisecond
	pageBytes           = 48 << 10 // a line of an answer is below 64 KiB
	undatedDelay        = 100 * 365 * 24 * time.Hour
)

// loadSchedules reads the schedules, page by page, while the leader works.
func (c *Core) loadSchedules(from string) {
	c.storeWhileLeading(kv.Request{Op: kv.List, Key: record.SchedulePrefix, From: from, Limit: schedulePage}, func(r kv.Response) {
		if r.Outcome != rpc.OK {
			c.afterWhileLeading(c.Jitter(200*time.Millisecond), func() { c.loadSchedules(from) })
			return
		}
		for _, e := range r.Entries {
			c.loadSchedule(e)
		}
		if r.More && len(r.Entries) > 0 {
			c.afterWhileLeading(scheduleGap, func() { c.loadSchedules(r.Entries[len(r.Entries)-1].Key) })
			return
		}
		c.leadership.schedules.loaded = true
		c.restoreMissingSchedules()
		if n := len(c.leadership.schedules.names); n > 0 {
			c.Log(slog.LevelInfo, "schedules loaded", "term", c.leadership.term, "schedules", n)
			c.resolveNext()
		}
	})
}

func (c *Core) loadSchedule(e kv.Entry) {
	rec, _ := e.Value.(*schedule.Record)
	if rec == nil {
		c.Log(slog.LevelError, "record is unreadable", "key", e.Key, "effect", "the schedule makes no jobs and is not served")
		c.leadership.schedules.unreadable[strings.TrimPrefix(e.Key, record.SchedulePrefix)] = true
		return
	}
	c.replicate(e)
	s := &recurringJob{name: strings.TrimPrefix(e.Key, record.SchedulePrefix), record: rec, revision: e.Rev}
	c.addSchedule(s)
	es, _ := rec.Entries()
	for _, x := range es {
		if x.State != schedule.StateMade {
			continue
		}
		if j := c.leadership.jobs[x.Job]; j != nil {
			c.leadership.schedules.byJob[j] = s
			c.watchDeadline(s, j, x.Due)
		} else {
			c.leadership.schedules.unresolved = append(c.leadership.schedules.unresolved, occurrenceOf{s, x.Job})
		}
	}
	if j := c.leadership.jobs[rec.LastJob]; j != nil {
		c.leadership.schedules.byJob[j] = s
	}
	c.planNext(s)
}

// addSchedule takes a schedule whose record is known into memory.
func (c *Core) addSchedule(s *recurringJob) {
	sch := &c.leadership.schedules
	sch.byName[s.name] = s
	if i, found := slices.BinarySearch(sch.names, s.name); !found {
		sch.names = slices.Insert(sch.names, i, s.name)
	}
	c.compile(s)
}

// compile reads the definition of a record. What this leader cannot read, say
// because its operators' file lacks the calendar, makes no jobs under it: none
// is better than one on a holiday.
func (c *Core) compile(s *recurringJob) {
	s.definition, s.problem = nil, ""
	f, err := schedule.ParseJSON(s.record.File)
	if err == nil {
		err = func() (err error) {
			defer func() { // a library reads the rule; one schedule must not end them all
				if p := recover(); p != nil {
					err = fmt.Errorf("cannot be read: %v", p)
				}
			}()
			s.definition, err = f.Compile(c.cal)
			return err
		}()
	}
	if err != nil {
		s.problem = err.Error()
		c.Log(slog.LevelError, "schedule disabled", "schedule", s.name, "reason", s.problem)
	}
}

// planNext puts a schedule where its next occurrence is due.
func (c *Core) planNext(s *recurringJob) {
	s.generation++
	if s.removed || s.writing || s.awaitingPrevious || s.record == nil || s.record.Paused || s.definition == nil {
		return
	}
	o, ok := s.definition.Next(s.record.Cursor)
	if !ok {
		return
	}
	at := o.Start
	if s.notBefore.After(at) {
		at = s.notBefore
	}
	sch := &c.leadership.schedules
	if !at.After(c.TimeOfDay()) {
		c.enqueueDue(s, o)
		return
	}
	sch.upcoming.Push(at, heapEntry{s, s.generation})
	if d := at.Sub(c.TimeOfDay()); d < tickEvery {
		c.afterWhileLeading(d, c.dueSchedules)
	}
}

// enqueueDue puts a schedule among those that are due: by deadline, then those whose
// deadline has passed or that have none.
func (c *Core) enqueueDue(s *recurringJob, o calendar.Occurrence) {
	sch := &c.leadership.schedules
	at := o.Due
	if !at.After(c.TimeOfDay()) {
		at = o.Start.Add(undatedDelay)
	}
	sch.ready.Push(at, heapEntry{s, s.generation})
	if sch.ready.Len() == 1 {
		c.wakeBatcherSoon()
	}
}

// dueSchedules moves what has become due. It goes by the time of day each time
// anew, so a clock that is set back or forward only changes when.
func (c *Core) dueSchedules() {
	sch := &c.leadership.schedules
	now := c.TimeOfDay()
	for n := 0; sch.upcoming.Len() > 0; {
		at, top := sch.upcoming.First()
		if top.gen != top.s.generation {
			sch.upcoming.Pop()
			continue
		}
		if d := at.Sub(now); d > 0 {
			if d < tickEvery {
				c.afterWhileLeading(d, c.dueSchedules)
			}
			return
		}
		if n++; n > maxDuePerStep {
			c.afterWhileLeading(10*time.Millisecond, c.dueSchedules)
			return
		}
		sch.upcoming.Pop()
		if o, ok := top.s.definition.Next(top.s.record.Cursor); ok {
			c.enqueueDue(top.s, o)
		}
	}
}

// makeOccurrences decides on what is due, as much as goes into a transaction.
// The state service's allowance paces it, and what is decided is decided with
// what is known when it goes.
func (c *Core) makeOccurrences() {
	sch := &c.leadership.schedules
	if sch.ready.Len() == 0 || !c.leadership.autoscaler.Loaded || !c.canAct() {
		return
	}
	room := c.cfg.Settings.State.TxnOps
	for _, ch := range c.leadership.writes.Queued[writebatch.Occurrence] {
		room -= len(ch.Writes)
	}
	for room >= 2 && sch.ready.Len() > 0 {
		o := sch.ready.Pop()
		if o.gen == o.s.generation {
			c.decideOccurrence(o.s)
			room -= 2
		}
	}
}

// occurrencesWait reports whether some could be made if the allowance let them.
func (c *Core) occurrencesWait() bool {
	l := c.leadership
	return len(l.writes.Queued[writebatch.Occurrence]) > 0 || l.schedules.ready.Len() > 0 && l.autoscaler.Loaded
}

// decideOccurrence decides on the next occurrences of a schedule, up to one that becomes a
// job, and has the outcome written.
func (c *Core) decideOccurrence(s *recurringJob) {
	l, now := c.leadership, c.TimeOfDay()
	s.generation++
	if s.writing {
		return // planned again when the write is over
	}
	var gone []schedule.Passed
	cursor := s.record.Cursor
	for range maxDecisionsPerStep {
		before := schedule.Before{Live: l.jobs[s.record.LastJob] != nil}
		if e, ok := s.record.Entry(s.record.LastJob); ok {
			before.Ended = e.Ended
		}
		o, v, reason := s.definition.Decide(cursor, now, before)
		if v == schedule.Make {
			job := s.definition.Job(s.record.Number, o)
			if _, why := c.unschedulable(&job); why != "" {
				v, reason = schedule.Miss, "can never run: "+why
			} else if late, refused := c.admissionRefused(&job); refused && now.Sub(o.Start) > max(s.definition.Within, schedule.OnTime) {
				v, reason = schedule.Miss, "refused for as long as it could be made"
			} else if refused {
				v = schedule.Later
				s.notBefore = now.Add(min(max(late, time.Second), 30*time.Second))
			} else {
				c.makeJob(s, cursor.Past(o), o, &record.Job{Spec: job, Submitted: o.Start}, gone)
				return
			}
		}
		if v == schedule.Miss {
			gone = append(gone, schedule.Passed{Occurrence: o, State: schedule.StateMissed, Reason: reason})
			cursor = cursor.Past(o)
			continue
		}
		s.awaitingPrevious = v == schedule.Hold
		break
	}
	if len(gone) > 0 {
		c.recordMissed(s, cursor, gone)
		return
	}
	c.planNext(s)
}

// reportMissed logs and counts occurrences that do not run.
func (c *Core) reportMissed(s *recurringJob, gone []schedule.Passed) {
	c.leadership.schedules.missed += int64(len(gone))
	for _, p := range gone {
		c.Log(slog.LevelWarn, "occurrence skipped", "schedule", s.name, "planned", p.Start, "job", schedule.JobID(s.record.Number, p.Nominal), "reason", p.Reason)
	}
}

// recordMissed has it written that occurrences do not run.
func (c *Core) recordMissed(s *recurringJob, cursor schedule.Cursor, gone []schedule.Passed) {
	c.writeSchedule(s, writebatch.Occurrence, func(r *schedule.Record) { r.Pass(cursor, gone) }, nil, func() { c.reportMissed(s, gone) }, nil)
}

// makeJob makes an occurrence a job; past is the cursor behind it.
func (c *Core) makeJob(s *recurringJob, past schedule.Cursor, o calendar.Occurrence, job *record.Job, gone []schedule.Passed) {
	id := job.Spec.ID
	s.notBefore = time.Time{}
	c.writeSchedule(s, writebatch.Occurrence, func(r *schedule.Record) {
		r.Pass(past, gone)
		r.LastJob = id
		r.Add(schedule.Entry{Job: id, Planned: o.Start, Due: o.Due, Made: c.TimeOfDay(), State: schedule.StateMade})
	}, job, func() {
		c.reportMissed(s, gone)
		c.leadership.schedules.made++
		if late := c.TimeOfDay().Sub(o.Start); late > schedule.OnTime {
			c.Log(slog.LevelWarn, "occurrence submitted late", "schedule", s.name, "planned", o.Start, "job", id, "late", late)
		}
		if c.leadership.jobs[id] == nil { // else its id was submitted at the same time, and taken on
			c.newJob(job)
		}
		j := c.leadership.jobs[id]
		c.leadership.schedules.byJob[j] = s
		c.watchDeadline(s, j, o.Due)
	}, func() {
		c.Log(slog.LevelError, "occurrence failed, job id already in use", "schedule", s.name, "planned", o.Start, "job", id)
		c.recordMissed(s, past, append(gone, schedule.Passed{Occurrence: o, State: schedule.StateFailed, Reason: "job id " + id + " is taken"}))
	})
}

// watchDeadline notes when an occurrence's deadline passes before its job is
// over.
func (c *Core) watchDeadline(s *recurringJob, j *fleet.Job, due time.Time) {
	if due.IsZero() {
		return
	}
	id := j.Spec.ID
	c.afterWhileLeading(max(0, due.Sub(c.TimeOfDay())), func() {
		if c.leadership.jobs[id] != j || j.Cancelled || s.removed {
			return
		}
		if e, ok := s.record.Entry(id); ok && !e.Late {
			c.noteLate(s, e)
		}
	})
}

// noteManualRun puts a job that was asked for into its schedule's history.
func (c *Core) noteManualRun(s *recurringJob, j *fleet.Job) {
	delete(c.leadership.schedules.manualRuns, j.Spec.ID)
	if s.removed {
		return
	}
	e := schedule.Entry{Job: j.Spec.ID, Planned: c.TimeOfDay(), Made: c.TimeOfDay(), State: schedule.StateMade}
	if j.Spec.HasDeadline {
		e.Due = e.Made.Add(j.Spec.Deadline)
	}
	c.leadership.schedules.byJob[j] = s
	s.pendingEntries = append(s.pendingEntries, e)
	if !s.writing {
		c.applyPendingEntries(s)
	}
}

// applyPendingEntries takes up what could not be while a write was on its way: the record
// that was written would have replaced it.
func (c *Core) applyPendingEntries(s *recurringJob) {
	for _, e := range s.pendingEntries {
		s.record.Note(e)
		if j := c.leadership.jobs[e.Job]; j != nil {
			c.watchDeadline(s, j, e.Due)
		} else if f, ok := c.finals.Get(e.Job); ok { // over already
			c.occurrenceOver(s, e.Job, f.State, c.TimeOfDay())
		}
		c.flushSchedule(s)
	}
	s.pendingEntries = nil
}

// noteLate notes that an occurrence was not over by its deadline.
func (c *Core) noteLate(s *recurringJob, e schedule.Entry) {
	s.record.Update(e.Job, func(e *schedule.Entry) { e.Late = true })
	s.record.Late++
	c.flushSchedule(s)
	c.leadership.schedules.late++
	c.Log(slog.LevelWarn, "occurrence missed its deadline", "schedule", s.name, "planned", e.Planned, "due", e.Due, "job", e.Job)
}

// occurrenceStarted follows the first start of a task of an occurrence.
func (c *Core) occurrenceStarted(j *fleet.Job) {
	s := c.leadership.schedules.byJob[j]
	if s == nil || j.StartNoted || s.removed {
		return
	}
	j.StartNoted = true
	if e, ok := s.record.Entry(j.Spec.ID); ok && e.Started.IsZero() {
		s.record.Update(j.Spec.ID, func(e *schedule.Entry) { e.Started = c.TimeOfDay() })
		c.flushSchedule(s)
	}
}

// occurrenceOver follows the end of an occurrence's job.
func (c *Core) occurrenceOver(s *recurringJob, id string, state spec.JobState, at time.Time) {
	if s.removed {
		return
	}
	if e, ok := s.record.Entry(id); ok && e.State == schedule.StateMade {
		s.record.Update(id, func(e *schedule.Entry) {
			e.Ended, e.State = at, schedule.StateDone
			if state == spec.Cancelled {
				e.State = schedule.StateCancelled
			}
		})
		if state != spec.Cancelled && !e.Due.IsZero() && at.After(e.Due) && !e.Late {
			c.noteLate(s, e)
		}
		c.flushSchedule(s)
	}
	if s.awaitingPrevious && id == s.record.LastJob {
		s.awaitingPrevious = false
		c.planNext(s)
	}
}

// flushSchedule has the news of a history written, some time. One that is due
// before takes them along.
func (c *Core) flushSchedule(s *recurringJob) {
	s.historyDirty = true
	if s.flushing {
		return
	}
	s.flushing = true
	c.afterWhileLeading(historyDelay, func() {
		ch := &writebatch.Change{Priority: writebatch.Bulk, Writes: []kv.Write{{Key: record.SchedulePrefix + s.name}}, Size: s.record.Size()}
		sent := false
		ch.Prepare = func() bool {
			if sent {
				return true // it may not have been executed: the same goes again
			}
			s.flushing = false
			if s.removed || !s.historyDirty || s.writing {
				return false // the write that is on its way sees to it when it is over
			}
			sent, s.writing, s.historyDirty = true, true, false
			s.generation++
			c.prepareWrite(s, ch, func(*schedule.Record) {}, nil, func() {}, nil)
			return true
		}
		c.leadership.writes.Add(ch)
	})
}

// resolveNext looks up how an occurrence ended whose job was over when this
// leader began. When is not known: the time is that of the finding.
func (c *Core) resolveNext() {
	sch := &c.leadership.schedules
	if len(sch.unresolved) == 0 {
		return
	}
	x := sch.unresolved[0]
	l := c.leadership
	c.readJob(x.job, func(v *request.JobStatus, ok bool) {
		if c.leadership != l {
			return
		}
		if ok {
			sch.unresolved = slices.Delete(sch.unresolved, 0, 1)
			if v != nil && (v.State == spec.Done || v.State == spec.Cancelled) {
				at := c.TimeOfDay()
				if e, ok := x.s.record.Entry(x.job); ok && !e.Due.IsZero() && !e.Late && at.After(e.Due) {
					at = e.Due // nobody saw it late
				}
				c.occurrenceOver(x.s, x.job, v.State, at)
			}
		}
		c.afterWhileLeading(resolveInterval, c.resolveNext)
	})
}
