// Package recurring runs schedules: it reads their records, decides on the occurrences
// that are due, has jobs made of them, keeps their history, and serves users' requests
// about them. Package schedule has the definitions and the decision on one occurrence.
package recurring

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/kv"
	"yewpass/internal/record"
	"yewpass/internal/request"
	"yewpass/internal/rpc"
	"yewpass/internal/schedule"
	"yewpass/internal/spec"
	"yewpass/internal/timerheap"
	"yewpass/internal/view"
	"yewpass/internal/writebatch"
)

// Leader is what a Scheduler needs of the leader that runs its jobs.
type Leader interface {
	Jobs
	Admission
	Records
	Requests
}

// Jobs are the jobs that the leader knows.
type Jobs interface {
	// Job returns a job that is not over, or nil.
	Job(id string) *fleet.Job
	// FinalState returns how a recent job ended; false if that is not known.
	FinalState(id string) (spec.JobState, bool)
	// ReadJob reads a job's state from the key-value store; status is nil for a job that
	// does not exist.
	ReadJob(id string, f func(status *request.JobStatus, known bool))
	// AddJob takes on a job whose record has just been committed.
	AddJob(rec *record.Job)
}

// Admission says which jobs the cluster takes.
type Admission interface {
	// CatalogRead reports whether the instance types are known.
	CatalogRead() bool
	// Unschedulable says why a job can never run, and by which of its fields, or "".
	Unschedulable(job *spec.Job) (field, reason string)
	// AdmissionRefused reports whether a job is refused for now, and how late it would be.
	AdmissionRefused(job *spec.Job) (lateness time.Duration, refused bool)
	// FitsValue reports whether a record of so many bytes fits into a value of the store.
	FitsValue(size int) bool
}

// Records are the leader's writes to the key-value store, and its replicas.
type Records interface {
	// Write queues a change.
	Write(change *writebatch.Change)
	// WakeWriter has the queue looked at again soon.
	WakeWriter()
	// ReadBack reads a record until the store answers; found is false if there is none.
	ReadBack(key string, f func(entry kv.Entry, found bool))
	// Replicate takes a record that was read into the replicas.
	Replicate(entry kv.Entry)
	// DropReplica takes a record that was deleted out of the replicas.
	DropReplica(key string)
}

// Requests are the users' requests.
type Requests interface {
	// Answer sends a response to where the request came from.
	Answer(call request.Request, response request.Response)
	// Serve serves a request of any kind.
	Serve(call request.Request)
}

// Settings are what a Scheduler is given for good.
type Settings struct {
	Calendars    *calendar.Set
	Term         uint64        // of the leadership, for the log
	TickInterval time.Duration // how often Tick is called
}

// Scheduler turns the occurrences of schedules into jobs while a controller leads. A
// schedule's cursor changes in one transaction with the job that an occurrence becomes,
// on the condition of the term and of the record's own revision: neither a leader that
// fails, nor a transaction that is applied late, nor the next leader can run an
// occurrence twice or leave one out.
type Scheduler struct {
	engine    *engine.Engine
	scope     *engine.Scope
	leader    Leader
	calendars *calendar.Set
	term      uint64

	tickInterval time.Duration
	afterLoading func()

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

// New returns a Scheduler for one leadership, which scope bounds. It knows no schedules
// until Load.
func New(e *engine.Engine, scope *engine.Scope, settings Settings, leader Leader) *Scheduler {
	return &Scheduler{
		engine:       e,
		scope:        scope,
		leader:       leader,
		calendars:    settings.Calendars,
		term:         settings.Term,
		tickInterval: settings.TickInterval,
		byName:       map[string]*recurringJob{},
		byJob:        map[*fleet.Job]*recurringJob{},
		unreadable:   map[string]bool{},
		manualRuns:   map[string]*recurringJob{},
	}
}

// Stats returns the figures for the metrics page.
func (s *Scheduler) Stats() view.ScheduleStats {
	return view.ScheduleStats{Schedules: len(s.names), OccurrencesCreated: s.made, OccurrencesMissed: s.missed, OccurrencesLate: s.late}
}

// Loaded reports whether all schedules have been read.
func (s *Scheduler) Loaded() bool { return s.loaded }

// Has reports whether there is a schedule of this name, or one is being created.
func (s *Scheduler) Has(name string) bool { return s.byName[name] != nil }

// NumberRevision returns the revision of the record of schedule numbers as last known. The
// first record of a schedule is written on the condition that it is unchanged.
func (s *Scheduler) NumberRevision() uint64 { return s.numberRev }

// SetNumberRevision notes the revision of the record of schedule numbers.
func (s *Scheduler) SetNumberRevision(revision uint64) { s.numberRev = revision }

type occurrenceOf struct {
	rj  *recurringJob
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
	rj  *recurringJob
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

// Load reads the schedules, page by page, and calls after once they are read.
func (s *Scheduler) Load(after func()) {
	s.afterLoading = after
	s.loadSchedules("")
}

// loadSchedules reads the schedules whose keys follow from.
func (s *Scheduler) loadSchedules(from string) {
	s.scope.CallStore(kv.Request{Op: kv.List, Key: record.SchedulePrefix, From: from, Limit: schedulePage}, func(r kv.Response) {
		if r.Outcome != rpc.OK {
			s.scope.After(s.engine.Jitter(200*time.Millisecond), func() { s.loadSchedules(from) })
			return
		}
		for _, e := range r.Entries {
			s.LoadRecord(e)
		}
		if r.More && len(r.Entries) > 0 {
			s.scope.After(scheduleGap, func() { s.loadSchedules(r.Entries[len(r.Entries)-1].Key) })
			return
		}
		s.loaded = true
		s.afterLoading()
		if n := len(s.names); n > 0 {
			s.engine.Log(slog.LevelInfo, "schedules loaded", "term", s.term, "schedules", n)
			s.resolveNext()
		}
	})
}

// LoadRecord takes in a schedule's record that was read.
func (s *Scheduler) LoadRecord(e kv.Entry) {
	rec, _ := e.Value.(*schedule.Record)
	if rec == nil {
		s.engine.Log(slog.LevelError, "record is unreadable", "key", e.Key, "effect", "the schedule makes no jobs and is not served")
		s.unreadable[strings.TrimPrefix(e.Key, record.SchedulePrefix)] = true
		return
	}
	s.leader.Replicate(e)
	rj := &recurringJob{name: strings.TrimPrefix(e.Key, record.SchedulePrefix), record: rec, revision: e.Rev}
	s.addSchedule(rj)
	es, _ := rec.Entries()
	for _, x := range es {
		if x.State != schedule.StateMade {
			continue
		}
		if j := s.leader.Job(x.Job); j != nil {
			s.byJob[j] = rj
			s.watchDeadline(rj, j, x.Due)
		} else {
			s.unresolved = append(s.unresolved, occurrenceOf{rj, x.Job})
		}
	}
	if j := s.leader.Job(rec.LastJob); j != nil {
		s.byJob[j] = rj
	}
	s.planNext(rj)
}

// addSchedule takes a schedule whose record is known into memory.
func (s *Scheduler) addSchedule(rj *recurringJob) {
	s.byName[rj.name] = rj
	if i, found := slices.BinarySearch(s.names, rj.name); !found {
		s.names = slices.Insert(s.names, i, rj.name)
	}
	s.compile(rj)
}

// compile reads the definition of a record. What this leader cannot read, say
// because its operators' file lacks the calendar, makes no jobs under it: none
// is better than one on a holiday.
func (s *Scheduler) compile(rj *recurringJob) {
	rj.definition, rj.problem = nil, ""
	f, err := schedule.ParseJSON(rj.record.File)
	if err == nil {
		err = func() (err error) {
			defer func() { // a library reads the rule; one schedule must not end them all
				if p := recover(); p != nil {
					err = fmt.Errorf("cannot be read: %v", p)
				}
			}()
			rj.definition, err = f.Compile(s.calendars)
			return err
		}()
	}
	if err != nil {
		rj.problem = err.Error()
		s.engine.Log(slog.LevelError, "schedule disabled", "schedule", rj.name, "reason", rj.problem)
	}
}

// planNext puts a schedule where its next occurrence is due.
func (s *Scheduler) planNext(rj *recurringJob) {
	rj.generation++
	if rj.removed || rj.writing || rj.awaitingPrevious || rj.record == nil || rj.record.Paused || rj.definition == nil {
		return
	}
	o, ok := rj.definition.Next(rj.record.Cursor)
	if !ok {
		return
	}
	at := o.Start
	if rj.notBefore.After(at) {
		at = rj.notBefore
	}
	if !at.After(s.engine.TimeOfDay()) {
		s.enqueueDue(rj, o)
		return
	}
	s.upcoming.Push(at, heapEntry{rj, rj.generation})
	if d := at.Sub(s.engine.TimeOfDay()); d < s.tickInterval {
		s.scope.After(d, s.Tick)
	}
}

// enqueueDue puts a schedule among those that are due: by deadline, then those whose
// deadline has passed or that have none.
func (s *Scheduler) enqueueDue(rj *recurringJob, o calendar.Occurrence) {
	at := o.Due
	if !at.After(s.engine.TimeOfDay()) {
		at = o.Start.Add(undatedDelay)
	}
	s.ready.Push(at, heapEntry{rj, rj.generation})
	if s.ready.Len() == 1 {
		s.leader.WakeWriter()
	}
}

// Tick moves what has become due. It goes by the time of day each time
// anew, so a clock that is set back or forward only changes when.
func (s *Scheduler) Tick() {
	now := s.engine.TimeOfDay()
	for n := 0; s.upcoming.Len() > 0; {
		at, top := s.upcoming.First()
		if top.gen != top.rj.generation {
			s.upcoming.Pop()
			continue
		}
		if d := at.Sub(now); d > 0 {
			if d < s.tickInterval {
				s.scope.After(d, s.Tick)
			}
			return
		}
		if n++; n > maxDuePerStep {
			s.scope.After(10*time.Millisecond, s.Tick)
			return
		}
		s.upcoming.Pop()
		if o, ok := top.rj.definition.Next(top.rj.record.Cursor); ok {
			s.enqueueDue(top.rj, o)
		}
	}
}

// MakeOccurrences decides on what is due, as long as there is room for the writes of an
// occurrence. What is decided is decided with what is known when it goes.
func (s *Scheduler) MakeOccurrences(room int) {
	for room >= 2 && s.ready.Len() > 0 {
		o := s.ready.Pop()
		if o.gen == o.rj.generation {
			s.decideOccurrence(o.rj)
			room -= 2
		}
	}
}

// Due reports whether occurrences wait to be made.
func (s *Scheduler) Due() bool { return s.ready.Len() > 0 }

// decideOccurrence decides on the next occurrences of a schedule, up to one that becomes a
// job, and has the outcome written.
func (s *Scheduler) decideOccurrence(rj *recurringJob) {
	now := s.engine.TimeOfDay()
	rj.generation++
	if rj.writing {
		return // planned again when the write is over
	}
	var gone []schedule.Passed
	cursor := rj.record.Cursor
	for range maxDecisionsPerStep {
		before := schedule.Before{Live: s.leader.Job(rj.record.LastJob) != nil}
		if e, ok := rj.record.Entry(rj.record.LastJob); ok {
			before.Ended = e.Ended
		}
		o, v, reason := rj.definition.Decide(cursor, now, before)
		if v == schedule.Make {
			job := rj.definition.Job(rj.record.Number, o)
			if _, why := s.leader.Unschedulable(&job); why != "" {
				v, reason = schedule.Miss, "can never run: "+why
			} else if late, refused := s.leader.AdmissionRefused(&job); refused && now.Sub(o.Start) > max(rj.definition.Within, schedule.OnTime) {
				v, reason = schedule.Miss, "refused for as long as it could be made"
			} else if refused {
				v = schedule.Later
				rj.notBefore = now.Add(min(max(late, time.Second), 30*time.Second))
			} else {
				s.makeJob(rj, cursor.Past(o), o, &record.Job{Spec: job, Submitted: o.Start}, gone)
				return
			}
		}
		if v == schedule.Miss {
			gone = append(gone, schedule.Passed{Occurrence: o, State: schedule.StateMissed, Reason: reason})
			cursor = cursor.Past(o)
			continue
		}
		rj.awaitingPrevious = v == schedule.Hold
		break
	}
	if len(gone) > 0 {
		s.recordMissed(rj, cursor, gone)
		return
	}
	s.planNext(rj)
}

// reportMissed logs and counts occurrences that do not run.
func (s *Scheduler) reportMissed(rj *recurringJob, gone []schedule.Passed) {
	s.missed += int64(len(gone))
	for _, p := range gone {
		s.engine.Log(slog.LevelWarn, "occurrence skipped", "schedule", rj.name, "planned", p.Start, "job", schedule.JobID(rj.record.Number, p.Nominal), "reason", p.Reason)
	}
}

// recordMissed has it written that occurrences do not run.
func (s *Scheduler) recordMissed(rj *recurringJob, cursor schedule.Cursor, gone []schedule.Passed) {
	s.writeSchedule(rj, writebatch.Occurrence, func(r *schedule.Record) { r.Pass(cursor, gone) }, nil, func() { s.reportMissed(rj, gone) }, nil)
}

// makeJob makes an occurrence a job; past is the cursor behind it.
func (s *Scheduler) makeJob(rj *recurringJob, past schedule.Cursor, o calendar.Occurrence, job *record.Job, gone []schedule.Passed) {
	id := job.Spec.ID
	rj.notBefore = time.Time{}
	s.writeSchedule(rj, writebatch.Occurrence, func(r *schedule.Record) {
		r.Pass(past, gone)
		r.LastJob = id
		r.Add(schedule.Entry{Job: id, Planned: o.Start, Due: o.Due, Made: s.engine.TimeOfDay(), State: schedule.StateMade})
	}, job, func() {
		s.reportMissed(rj, gone)
		s.made++
		if late := s.engine.TimeOfDay().Sub(o.Start); late > schedule.OnTime {
			s.engine.Log(slog.LevelWarn, "occurrence submitted late", "schedule", rj.name, "planned", o.Start, "job", id, "late", late)
		}
		if s.leader.Job(id) == nil { // else its id was submitted at the same time, and taken on
			s.leader.AddJob(job)
		}
		j := s.leader.Job(id)
		s.byJob[j] = rj
		s.watchDeadline(rj, j, o.Due)
	}, func() {
		s.engine.Log(slog.LevelError, "occurrence failed, job id already in use", "schedule", rj.name, "planned", o.Start, "job", id)
		s.recordMissed(rj, past, append(gone, schedule.Passed{Occurrence: o, State: schedule.StateFailed, Reason: "job id " + id + " is taken"}))
	})
}

// watchDeadline notes when an occurrence's deadline passes before its job is
// over.
func (s *Scheduler) watchDeadline(rj *recurringJob, j *fleet.Job, due time.Time) {
	if due.IsZero() {
		return
	}
	id := j.Spec.ID
	s.scope.After(max(0, due.Sub(s.engine.TimeOfDay())), func() {
		if s.leader.Job(id) != j || j.Cancelled || rj.removed {
			return
		}
		if e, ok := rj.record.Entry(id); ok && !e.Late {
			s.noteLate(rj, e)
		}
	})
}

// JobAdded follows that the leader has taken on a new job: one that a user had a schedule
// run goes into the schedule's history.
func (s *Scheduler) JobAdded(j *fleet.Job) {
	rj := s.manualRuns[j.Spec.ID]
	if rj == nil {
		return
	}
	delete(s.manualRuns, j.Spec.ID)
	if rj.removed {
		return
	}
	e := schedule.Entry{Job: j.Spec.ID, Planned: s.engine.TimeOfDay(), Made: s.engine.TimeOfDay(), State: schedule.StateMade}
	if j.Spec.HasDeadline {
		e.Due = e.Made.Add(j.Spec.Deadline)
	}
	s.byJob[j] = rj
	rj.pendingEntries = append(rj.pendingEntries, e)
	if !rj.writing {
		s.applyPendingEntries(rj)
	}
}

// applyPendingEntries takes up what could not be while a write was on its way: the record
// that was written would have replaced it.
func (s *Scheduler) applyPendingEntries(rj *recurringJob) {
	for _, e := range rj.pendingEntries {
		rj.record.Note(e)
		if j := s.leader.Job(e.Job); j != nil {
			s.watchDeadline(rj, j, e.Due)
		} else if state, ok := s.leader.FinalState(e.Job); ok { // over already
			s.occurrenceOver(rj, e.Job, state, s.engine.TimeOfDay())
		}
		s.flushSchedule(rj)
	}
	rj.pendingEntries = nil
}

// noteLate notes that an occurrence was not over by its deadline.
func (s *Scheduler) noteLate(rj *recurringJob, e schedule.Entry) {
	rj.record.Update(e.Job, func(e *schedule.Entry) { e.Late = true })
	rj.record.Late++
	s.flushSchedule(rj)
	s.late++
	s.engine.Log(slog.LevelWarn, "occurrence missed its deadline", "schedule", rj.name, "planned", e.Planned, "due", e.Due, "job", e.Job)
}

// JobStarted follows the start of a task of a job.
func (s *Scheduler) JobStarted(j *fleet.Job) {
	rj := s.byJob[j]
	if rj == nil || j.StartNoted || rj.removed {
		return
	}
	j.StartNoted = true
	if e, ok := rj.record.Entry(j.Spec.ID); ok && e.Started.IsZero() {
		rj.record.Update(j.Spec.ID, func(e *schedule.Entry) { e.Started = s.engine.TimeOfDay() })
		s.flushSchedule(rj)
	}
}

// JobFinished follows the end of a job.
func (s *Scheduler) JobFinished(j *fleet.Job, state spec.JobState) {
	if rj := s.byJob[j]; rj != nil {
		delete(s.byJob, j)
		s.occurrenceOver(rj, j.Spec.ID, state, s.engine.TimeOfDay())
	}
}

// occurrenceOver follows the end of an occurrence's job.
func (s *Scheduler) occurrenceOver(rj *recurringJob, id string, state spec.JobState, at time.Time) {
	if rj.removed {
		return
	}
	if e, ok := rj.record.Entry(id); ok && e.State == schedule.StateMade {
		rj.record.Update(id, func(e *schedule.Entry) {
			e.Ended, e.State = at, schedule.StateDone
			if state == spec.Cancelled {
				e.State = schedule.StateCancelled
			}
		})
		if state != spec.Cancelled && !e.Due.IsZero() && at.After(e.Due) && !e.Late {
			s.noteLate(rj, e)
		}
		s.flushSchedule(rj)
	}
	if rj.awaitingPrevious && id == rj.record.LastJob {
		rj.awaitingPrevious = false
		s.planNext(rj)
	}
}

// flushSchedule has the news of a history written, some time. One that is due
// before takes them along.
func (s *Scheduler) flushSchedule(rj *recurringJob) {
	rj.historyDirty = true
	if rj.flushing {
		return
	}
	rj.flushing = true
	s.scope.After(historyDelay, func() {
		ch := &writebatch.Change{Priority: writebatch.Bulk, Writes: []kv.Write{{Key: record.SchedulePrefix + rj.name}}, Size: rj.record.Size()}
		sent := false
		ch.Prepare = func() bool {
			if sent {
				return true // it may not have been executed: the same goes again
			}
			rj.flushing = false
			if rj.removed || !rj.historyDirty || rj.writing {
				return false // the write that is on its way sees to it when it is over
			}
			sent, rj.writing, rj.historyDirty = true, true, false
			rj.generation++
			s.prepareWrite(rj, ch, func(*schedule.Record) {}, nil, func() {}, nil)
			return true
		}
		s.leader.Write(ch)
	})
}

// resolveNext looks up how an occurrence ended whose job was over when this
// leader began. When is not known: the time is that of the finding.
func (s *Scheduler) resolveNext() {
	if len(s.unresolved) == 0 {
		return
	}
	x := s.unresolved[0]
	s.leader.ReadJob(x.job, func(v *request.JobStatus, ok bool) {
		if s.scope.Closed() {
			return
		}
		if ok {
			s.unresolved = slices.Delete(s.unresolved, 0, 1)
			if v != nil && (v.State == spec.Done || v.State == spec.Cancelled) {
				at := s.engine.TimeOfDay()
				if e, ok := x.rj.record.Entry(x.job); ok && !e.Due.IsZero() && !e.Late && at.After(e.Due) {
					at = e.Due // nobody saw it late
				}
				s.occurrenceOver(x.rj, x.job, v.State, at)
			}
		}
		s.scope.After(resolveInterval, s.resolveNext)
	})
}
