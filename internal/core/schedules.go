package core

import (
	"container/heap"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"time"

	"yewpass/internal/calendar"
	"yewpass/internal/schedule"
)

// schedules are the recurring work that a leader looks after. What a schedule
// has come to (its cursor) changes in one transaction with the job that an
// occurrence becomes, under the condition of the term and of the record's own
// revision: a leader that dies, a transaction that is applied late or a leader
// that follows can neither make an occurrence twice nor pass one over.
type schedules struct {
	byName map[string]*scheduled
	names  []string // sorted
	loaded bool

	later occasions // schedules by when their next occurrence is due
	ready occasions // those that are due, by deadline
	seq   uint64

	numbers    []func(n uint64, ok bool) // who waits for a number
	next, last uint64                    // numbers at hand: next to last
	numbering  bool
	unresolved []occurrenceOf // made by an earlier leader, over since

	made, missed, late int64 // by this leader
}

func newSchedules() schedules { return schedules{byName: map[string]*scheduled{}} }

type occurrenceOf struct {
	s   *scheduled
	job string
}

// scheduled is one schedule.
type scheduled struct {
	name    string
	rec     *schedule.Record // nil while it is being created
	rev     uint64
	def     *schedule.Def // nil if this leader cannot read it: see problem
	problem string

	busy    bool       // a write of it is on its way: what else is asked waits
	asker   *UserCall  // who waits for that write
	waiting []UserCall // who asks next
	gone    bool

	gen       uint64    // of its place among the occasions; others are stale
	held      bool      // waits for the job before
	notBefore time.Time // it was refused for now

	dirty    bool // its history has news
	flushing bool
}

// occasion is a schedule's place in a heap.
type occasion struct {
	at  time.Time
	seq uint64
	s   *scheduled
	gen uint64
}

type occasions []occasion

func (o occasions) Len() int      { return len(o) }
func (o occasions) Swap(i, j int) { o[i], o[j] = o[j], o[i] }
func (o occasions) Less(i, j int) bool {
	if x := o[i].at.Compare(o[j].at); x != 0 {
		return x < 0
	}
	return o[i].seq < o[j].seq
}
func (o *occasions) Push(x any) { *o = append(*o, x.(occasion)) }
func (o *occasions) Pop() any {
	old := *o
	x := old[len(old)-1]
	old[len(old)-1] = occasion{}
	*o = old[:len(old)-1]
	return x
}

const (
	schedulePage  = 100                    // records read at a time
	scheduleGap   = 100 * time.Millisecond // between pages: what else a new leader has to do goes first
	dueAtOnce     = 500                    // schedules that become due in one step
	decideAtOnce  = 256                    // occurrences decided in one step
	numberBlock   = 50                     // numbers taken from the state service at a time
	waitingMost   = 8                      // users who wait for a schedule
	historyAfter  = 2 * time.Second
	resolveEvery  = 50 * time.Millisecond
	pageBytes     = 48 << 10 // a line of an answer is below 64 KiB
	undatedBehind = 100 * 365 * 24 * time.Hour
)

// loadSchedules reads the schedules, page by page, while the leader works.
func (c *Core) loadSchedules(from string) {
	c.leaderStore(StoreCall{Op: StoreList, Key: scheduleKeys, From: from, Limit: schedulePage}, func(r StoreReply) {
		if r.Outcome != OK {
			c.whenLeading(c.jitter(200*time.Millisecond), func() { c.loadSchedules(from) })
			return
		}
		for _, e := range r.Entries {
			c.loadSchedule(e)
		}
		if r.More && len(r.Entries) > 0 {
			c.whenLeading(scheduleGap, func() { c.loadSchedules(r.Entries[len(r.Entries)-1].Key) })
			return
		}
		c.lead.sched.loaded = true
		if n := len(c.lead.sched.names); n > 0 {
			c.note(slog.LevelInfo, "schedules read", "term", c.lead.term, "schedules", n)
			c.resolveNext()
		}
	})
}

func (c *Core) loadSchedule(e Entry) {
	rec, _ := e.Value.(*schedule.Record)
	if rec == nil {
		c.note(slog.LevelError, "record is unreadable", "key", e.Key)
		return
	}
	s := &scheduled{name: strings.TrimPrefix(e.Key, scheduleKeys), rec: rec, rev: e.Rev}
	c.addSchedule(s)
	es, _ := rec.Entries()
	for _, x := range es {
		if x.State != schedule.StateMade {
			continue
		}
		if j := c.lead.jobs[x.Job]; j != nil {
			j.sched = s
			c.watchDeadline(s, j, x.Due)
		} else {
			c.lead.sched.unresolved = append(c.lead.sched.unresolved, occurrenceOf{s, x.Job})
		}
	}
	if j := c.lead.jobs[rec.LastJob]; j != nil {
		j.sched = s
	}
	c.plan(s)
}

// addSchedule takes a schedule whose record is known into memory.
func (c *Core) addSchedule(s *scheduled) {
	sch := &c.lead.sched
	sch.byName[s.name] = s
	if i, found := slices.BinarySearch(sch.names, s.name); !found {
		sch.names = slices.Insert(sch.names, i, s.name)
	}
	c.compile(s)
}

// compile reads the definition of a record. What this leader cannot read, say
// because its operators' file lacks the calendar, makes no jobs under it: none
// is better than one on a holiday.
func (c *Core) compile(s *scheduled) {
	s.def, s.problem = nil, ""
	f, err := schedule.ParseJSON(s.rec.File)
	if err == nil {
		s.def, err = f.Compile(c.cal)
	}
	if err != nil {
		s.problem = err.Error()
		c.note(slog.LevelError, "schedule makes no jobs", "schedule", s.name, "reason", s.problem)
	}
}

// plan puts a schedule where its next occurrence is due.
func (c *Core) plan(s *scheduled) {
	s.gen++
	if s.gone || s.busy || s.held || s.rec == nil || s.rec.Paused || s.def == nil {
		return
	}
	o, ok := s.def.Timing.Next(s.rec.Cursor)
	if !ok {
		return
	}
	at := o.Start
	if s.notBefore.After(at) {
		at = s.notBefore
	}
	sch := &c.lead.sched
	sch.seq++
	if !at.After(c.wall()) {
		c.isReady(s, o)
		return
	}
	heap.Push(&sch.later, occasion{at, sch.seq, s, s.gen})
	if d := at.Sub(c.wall()); d < 500*time.Millisecond {
		c.whenLeading(d, c.dueSchedules)
	}
}

// isReady puts a schedule among those that are due: by deadline, then those whose
// deadline has passed or that have none.
func (c *Core) isReady(s *scheduled, o calendar.Occurrence) {
	sch := &c.lead.sched
	at := o.Due
	if !at.After(c.wall()) {
		at = o.Start.Add(undatedBehind)
	}
	heap.Push(&sch.ready, occasion{at, sch.seq, s, s.gen})
	if len(sch.ready) == 1 {
		c.nudge()
	}
}

// dueSchedules moves what has become due. It goes by the time of day each time
// anew, so a clock that is set back or forward only changes when.
func (c *Core) dueSchedules() {
	sch := &c.lead.sched
	now := c.wall()
	for n := 0; len(sch.later) > 0; {
		top := sch.later[0]
		if top.gen != top.s.gen {
			heap.Pop(&sch.later)
			continue
		}
		if d := top.at.Sub(now); d > 0 {
			if d < 500*time.Millisecond {
				c.whenLeading(d, c.dueSchedules)
			}
			return
		}
		if n++; n > dueAtOnce {
			c.whenLeading(10*time.Millisecond, c.dueSchedules)
			return
		}
		heap.Pop(&sch.later)
		if o, ok := top.s.def.Timing.Next(top.s.rec.Cursor); ok {
			c.isReady(top.s, o)
		}
	}
}

// makeOccurrences decides on what is due, as much as goes into a transaction.
// The state service's allowance paces it, and what is decided is decided with
// what is known when it goes.
func (c *Core) makeOccurrences() {
	sch := &c.lead.sched
	if len(sch.ready) == 0 || len(c.lead.rent.flavors) == 0 || !c.acts() {
		return
	}
	room := c.cfg.Settings.State.TxnOps
	for _, ch := range c.lead.pipe.waits[due] {
		room -= len(ch.writes)
	}
	for room >= 2 && len(sch.ready) > 0 {
		o := heap.Pop(&sch.ready).(occasion)
		if o.gen == o.s.gen {
			c.decide(o.s)
			room -= 2
		}
	}
}

// occurrencesWait reports whether some could be made if the allowance let them.
func (c *Core) occurrencesWait() bool {
	l := c.lead
	return len(l.pipe.waits[due]) > 0 || len(l.sched.ready) > 0 && len(l.rent.flavors) > 0
}

type passed struct {
	o      calendar.Occurrence
	state  string
	reason string
}

// decide decides on the next occurrences of a schedule, up to one that becomes a
// job, and has the outcome written.
func (c *Core) decide(s *scheduled) {
	l, now := c.lead, c.wall()
	s.gen++
	if s.busy {
		return // planned again when the write is over
	}
	var gone []passed
	cursor := s.rec.Cursor
	for range decideAtOnce {
		before := schedule.Before{Live: l.jobs[s.rec.LastJob] != nil}
		if e, ok := s.rec.Entry(s.rec.LastJob); ok {
			before.Ended = e.Ended
		}
		o, v, reason := s.def.Decide(cursor, now, before)
		if v == schedule.Make {
			job := s.def.Job(s.rec.Number, o)
			if why := c.neverRuns(&job); why != "" {
				v, reason = schedule.Miss, "can never run: "+why
			} else if late, refused := c.refuses(&job); refused && now.Sub(o.Start) > max(s.def.Within, schedule.OnTime) {
				v, reason = schedule.Miss, "refused for as long as it could be made"
			} else if refused {
				v = schedule.Later
				s.notBefore = now.Add(min(max(late, time.Second), 30*time.Second))
			} else {
				c.makeJob(s, o, &JobRecord{Spec: job, Submitted: o.Start}, gone)
				return
			}
		}
		if v == schedule.Miss {
			gone = append(gone, passed{o, schedule.StateMissed, reason})
			cursor = o.Nominal
			continue
		}
		s.held = v == schedule.Hold
		break
	}
	if len(gone) > 0 {
		c.passOver(s, cursor, gone)
		return
	}
	c.plan(s)
}

// pass puts occurrences that do not run into a record.
func pass(r *schedule.Record, cursor time.Time, gone []passed) {
	for _, p := range gone {
		r.Add(schedule.Entry{Job: schedule.JobID(r.Number, p.o.Nominal), Planned: p.o.Start, Due: p.o.Due, State: p.state, Reason: p.reason})
	}
	r.Cursor = cursor
}

// told logs and counts occurrences that do not run.
func (c *Core) told(s *scheduled, gone []passed) {
	c.lead.sched.missed += int64(len(gone))
	for _, p := range gone {
		c.note(slog.LevelWarn, "occurrence missed", "schedule", s.name, "planned", p.o.Start, "job", schedule.JobID(s.rec.Number, p.o.Nominal), "reason", p.reason)
	}
}

// passOver has it written that occurrences do not run.
func (c *Core) passOver(s *scheduled, cursor time.Time, gone []passed) {
	c.writeSchedule(s, due, func(r *schedule.Record) { pass(r, cursor, gone) }, nil, func() { c.told(s, gone) }, nil)
}

// makeJob makes an occurrence a job.
func (c *Core) makeJob(s *scheduled, o calendar.Occurrence, job *JobRecord, gone []passed) {
	id := job.Spec.ID
	s.notBefore = time.Time{}
	c.writeSchedule(s, due, func(r *schedule.Record) {
		pass(r, o.Nominal, gone)
		r.LastJob = id
		r.Add(schedule.Entry{Job: id, Planned: o.Start, Due: o.Due, Made: c.wall(), State: schedule.StateMade})
	}, job, func() {
		c.told(s, gone)
		c.lead.sched.made++
		if late := c.wall().Sub(o.Start); late > schedule.OnTime {
			c.note(slog.LevelWarn, "occurrence made late", "schedule", s.name, "planned", o.Start, "job", id, "late", late)
		}
		if c.lead.jobs[id] == nil { // else its id was submitted at the same time, and taken on
			c.newJob(job)
		}
		j := c.lead.jobs[id]
		j.sched = s
		c.watchDeadline(s, j, o.Due)
	}, func() {
		c.note(slog.LevelError, "occurrence failed, its job id is taken", "schedule", s.name, "planned", o.Start, "job", id)
		c.passOver(s, o.Nominal, append(gone, passed{o, schedule.StateFailed, "job id " + id + " is taken"}))
	})
}

// writeSchedule writes a record as apply changes it, with the job of an
// occurrence if there is one. taken is called when the job's id has a record
// already.
func (c *Core) writeSchedule(s *scheduled, ln lane, apply func(r *schedule.Record), job *JobRecord, done, taken func()) {
	s.busy = true
	s.gen++
	ch := &change{lane: ln}
	c.compose(s, ch, apply, job, done, taken)
	c.lead.pipe.add(ch)
}

// compose fills in a change of a schedule's record.
func (c *Core) compose(s *scheduled, ch *change, apply func(r *schedule.Record), job *JobRecord, done, taken func()) {
	key := scheduleKeys + s.name
	// Times are fixed here: what is applied to memory is what was written.
	rec := s.rec.Clone()
	apply(rec)
	rec.Seq++
	ch.size = rec.Size()
	ch.when = []Cond{{key, s.rev}}
	ch.writes = []Write{{Key: key, Value: rec}}
	if job != nil {
		id := job.Spec.ID
		ch.size += recordSize(&job.Spec)
		ch.when = append(ch.when, Cond{jobKeys + id, 0}, Cond{finalKeys + id, 0})
		ch.writes = append(ch.writes, Write{Key: jobKeys + id, Value: job})
	}
	ch.done = func(rev uint64) {
		// News of jobs that came meanwhile are in memory only, and go next. The
		// record that was written stays as it is.
		rec := rec.Clone()
		rec.Follow(s.rec)
		s.rec, s.rev = rec, rev
		c.written(s, done)
	}
	ch.failed = func() {
		// A condition did not hold. Ours to write: either an earlier try of this
		// very change has been applied, or a job has the id.
		c.readSchedule(s, func(found *schedule.Record, rev uint64) {
			switch {
			case found == nil:
				s.reply(c, noSchedule(s.name))
				c.forgetSchedule(s)
			case found.Seq == rec.Seq:
				ch.done(rev)
			case rev != s.rev:
				s.rev = rev
				ch.when[0].Rev = rev
				c.lead.pipe.add(ch)
			case taken != nil:
				c.written(s, taken)
			default:
				c.lead.pipe.add(ch)
			}
		})
	}
	ch.rejected = func() {
		s.def, s.problem = nil, "the state service rejects its record"
		s.reply(c, unavailable(s.problem))
		c.written(s, func() {})
	}
}

// readSchedule reads a record back until the state service answers.
func (c *Core) readSchedule(s *scheduled, f func(found *schedule.Record, rev uint64)) {
	c.leaderStore(StoreCall{Op: StoreGet, Key: scheduleKeys + s.name}, func(r StoreReply) {
		switch r.Outcome {
		case OK:
			if rec, _ := r.Entries[0].Value.(*schedule.Record); rec != nil {
				f(rec, r.Entries[0].Rev)
				return
			}
			c.note(slog.LevelError, "record is unreadable", "key", scheduleKeys+s.name)
		case Missing:
			f(nil, 0)
			return
		}
		c.whenLeading(c.jitter(time.Second), func() { c.readSchedule(s, f) })
	})
}

// written follows a write: what waited for it goes on.
func (c *Core) written(s *scheduled, then func()) {
	s.busy = false
	then()
	for !s.busy && len(s.waiting) > 0 {
		call := s.waiting[0]
		s.waiting = slices.Delete(s.waiting, 0, 1)
		c.serveSchedule(call)
	}
	if s.busy || s.gone {
		return
	}
	if s.dirty {
		c.flushSchedule(s)
	}
	c.plan(s)
}

func (c *Core) forgetSchedule(s *scheduled) {
	sch := &c.lead.sched
	s.gone = true
	s.gen++
	if sch.byName[s.name] == s {
		delete(sch.byName, s.name)
		if i, found := slices.BinarySearch(sch.names, s.name); found {
			sch.names = slices.Delete(sch.names, i, i+1)
		}
	}
	c.written(s, func() {})
}

// ---- what becomes of occurrences

// watchDeadline notes when an occurrence's deadline passes before its job is
// over.
func (c *Core) watchDeadline(s *scheduled, j *job, due time.Time) {
	if due.IsZero() {
		return
	}
	id := j.spec.ID
	c.whenLeading(max(0, due.Sub(c.wall())), func() {
		if c.lead.jobs[id] != j || j.cancelled || s.gone {
			return
		}
		if e, ok := s.rec.Entry(id); ok && !e.Late {
			c.wasLate(s, e)
		}
	})
}

func (c *Core) wasLate(s *scheduled, e schedule.Entry) {
	s.rec.Update(e.Job, func(e *schedule.Entry) { e.Late = true })
	s.rec.Late++
	c.flushSchedule(s)
	c.lead.sched.late++
	c.note(slog.LevelWarn, "occurrence late", "schedule", s.name, "planned", e.Planned, "due", e.Due, "job", e.Job)
}

// occurrenceStarted follows the first start of a task of an occurrence.
func (c *Core) occurrenceStarted(j *job) {
	s := j.sched
	if j.begun || s.gone {
		return
	}
	j.begun = true
	if e, ok := s.rec.Entry(j.spec.ID); ok && e.Started.IsZero() {
		s.rec.Update(j.spec.ID, func(e *schedule.Entry) { e.Started = c.wall() })
		c.flushSchedule(s)
	}
}

// occurrenceOver follows the end of an occurrence's job.
func (c *Core) occurrenceOver(s *scheduled, id string, state JobState, at time.Time) {
	if s.gone {
		return
	}
	if e, ok := s.rec.Entry(id); ok && e.State == schedule.StateMade {
		s.rec.Update(id, func(e *schedule.Entry) {
			e.Ended, e.State = at, schedule.StateDone
			if state == Cancelled {
				e.State = schedule.StateCancelled
			}
		})
		if state != Cancelled && !e.Due.IsZero() && at.After(e.Due) && !e.Late {
			c.wasLate(s, e)
		}
		c.flushSchedule(s)
	}
	if s.held && id == s.rec.LastJob {
		s.held = false
		c.plan(s)
	}
}

// flushSchedule has the news of a history written, some time. One that is due
// before takes them along.
func (c *Core) flushSchedule(s *scheduled) {
	s.dirty = true
	if s.flushing {
		return
	}
	s.flushing = true
	c.whenLeading(historyAfter, func() {
		ch := &change{lane: bulk, writes: []Write{{Key: scheduleKeys + s.name}}, size: s.rec.Size()}
		sent := false
		ch.fill = func() bool {
			if sent {
				return true // it may not have been executed: the same goes again
			}
			s.flushing = false
			if s.gone || !s.dirty || s.busy {
				return false // the write that is on its way sees to it when it is over
			}
			sent, s.busy, s.dirty = true, true, false
			s.gen++
			c.compose(s, ch, func(*schedule.Record) {}, nil, func() {}, nil)
			return true
		}
		c.lead.pipe.add(ch)
	})
}

// resolveNext looks up how an occurrence ended whose job was over when this
// leader began. When is not known: the time is that of the finding.
func (c *Core) resolveNext() {
	sch := &c.lead.sched
	if len(sch.unresolved) == 0 {
		return
	}
	x := sch.unresolved[0]
	l := c.lead
	c.readJob(x.job, func(v *JobView, ok bool) {
		if c.lead != l {
			return
		}
		if ok {
			sch.unresolved = slices.Delete(sch.unresolved, 0, 1)
			if v != nil && (v.State == Done || v.State == Cancelled) {
				at := c.wall()
				if e, ok := x.s.rec.Entry(x.job); ok && !e.Due.IsZero() && !e.Late && at.After(e.Due) {
					at = e.Due // nobody saw it late
				}
				c.occurrenceOver(x.s, x.job, v.State, at)
			}
		}
		c.whenLeading(resolveEvery, c.resolveNext)
	})
}

// ---- what users ask

// reply answers whoever waits for the write on its way.
func (s *scheduled) reply(c *Core, a AnswerUser) {
	if s.asker != nil {
		c.answer(*s.asker, a)
		s.asker = nil
	}
}

// answerSchedules answers everybody who waits for a write of a schedule.
func (c *Core) answerSchedules(l *leadership, a AnswerUser) {
	for _, s := range l.sched.byName {
		s.reply(c, a)
		for _, call := range s.waiting {
			c.answer(call, a)
		}
		s.waiting = nil
	}
}

func noSchedule(name string) AnswerUser {
	return AnswerUser{Status: 404, Field: "name", Reason: "no schedule " + name}
}

// serveSchedule answers as the leader.
func (c *Core) serveSchedule(call UserCall) {
	sch, q := &c.lead.sched, call.Schedule
	if !sch.loaded {
		c.answer(call, unavailable("the schedules are being read"))
		return
	}
	if call.Op == OpScheduleList {
		c.answer(call, AnswerUser{Status: 200, Doc: c.listSchedules(q)})
		return
	}
	s := sch.byName[q.Name]
	if s == nil {
		if call.Op == OpSchedulePut {
			c.putSchedule(nil, call)
		} else {
			c.answer(call, noSchedule(q.Name))
		}
		return
	}
	reads := call.Op == OpScheduleGet || call.Op == OpScheduleUpcoming || call.Op == OpScheduleHistory
	if s.busy && (!reads || s.rec == nil) {
		if len(s.waiting) >= waitingMost || s.rec == nil {
			c.answer(call, unavailable("the schedule is being changed"))
			return
		}
		s.waiting = append(s.waiting, call)
		return
	}
	if !reads && q.IfMatch != "" && q.IfMatch != s.rec.ETag() {
		reason := "the schedule has changed since it was read; its ETag is " + s.rec.ETag()
		if q.IfMatch == NewOnly {
			reason = "there is a schedule of this name"
		}
		c.answer(call, AnswerUser{Status: 412, Field: "name", Reason: reason})
		return
	}
	switch call.Op {
	case OpSchedulePut:
		c.putSchedule(s, call)
	case OpScheduleGet:
		c.answer(call, c.viewOf(s, 200))
	case OpScheduleUpcoming:
		doc := schedule.Coming{Upcoming: []schedule.Upcoming{}}
		for cursor := s.rec.Cursor; s.def != nil && !s.rec.Paused && len(doc.Upcoming) < q.Count; {
			o, ok := s.def.Timing.Next(cursor)
			if !ok {
				break
			}
			doc.Upcoming = append(doc.Upcoming, *s.def.Tell(s.rec.Number, o))
			cursor = o.Nominal
		}
		c.answer(call, AnswerUser{Status: 200, Doc: doc})
	case OpScheduleHistory:
		zone := time.UTC
		if s.def != nil {
			zone = s.def.Timing.Zone()
		}
		c.answer(call, AnswerUser{Status: 200, Doc: s.rec.Told(zone)})
	case OpScheduleDelete:
		c.deleteSchedule(s, call)
	case OpSchedulePause, OpScheduleResume:
		c.pauseSchedule(s, call)
	case OpScheduleRun:
		if s.def == nil {
			c.answer(call, AnswerUser{Status: 422, Reason: s.problem})
			return
		}
		job := s.def.Template()
		job.ID = schedule.RequestID(s.rec.Number, q.Request)
		if by := s.def.Timing.DueAfter(c.wall()); !by.IsZero() {
			job.Due, job.Dated = by.Sub(c.wall()), true
		}
		c.serve(UserCall{Ref: call.Ref, From: call.From, Op: OpSubmit, ID: job.ID, Spec: &job})
	}
}

// NewOnly as an ETag stands for a schedule that is not there yet.
const NewOnly = "new"

func (c *Core) viewOf(s *scheduled, status int) AnswerUser {
	v := schedule.View{Schedule: s.rec.File, Number: s.rec.Number, ETag: s.rec.ETag(), Paused: s.rec.Paused, Problem: s.problem,
		Next: s.comes(), Made: s.rec.Made, Missed: s.rec.Missed, Late: s.rec.Late}
	return AnswerUser{Status: status, Doc: v, ETag: v.ETag}
}

// comes returns the next occurrence as users see it, or nil.
func (s *scheduled) comes() *schedule.Upcoming {
	if s.def == nil || s.rec.Paused {
		return nil
	}
	o, ok := s.def.Timing.Next(s.rec.Cursor)
	if !ok {
		return nil
	}
	return s.def.Tell(s.rec.Number, o)
}

func (c *Core) listSchedules(q *ScheduleCall) schedule.Page {
	sch := &c.lead.sched
	page := schedule.Page{Schedules: []schedule.Brief{}}
	i, found := slices.BinarySearch(sch.names, q.After)
	if found {
		i++
	}
	for size := 0; i < len(sch.names); i++ {
		s := sch.byName[sch.names[i]]
		var f schedule.File
		if s.rec == nil || json.Unmarshal(s.rec.File, &f) != nil {
			continue
		}
		size += 400 + 6*len(f.Rule) + len(f.Calendar) + len(f.Zone) + len(s.problem)
		if len(page.Schedules) == q.Count || size > pageBytes && len(page.Schedules) > 0 {
			page.Truncated = true
			break
		}
		page.Schedules = append(page.Schedules, schedule.Brief{Name: s.name, Zone: f.Zone, Rule: f.Rule, Calendar: f.Calendar, Paused: s.rec.Paused,
			Problem: s.problem, Next: s.comes(), Made: s.rec.Made, Missed: s.rec.Missed, Late: s.rec.Late})
	}
	return page
}

// putSchedule creates a schedule or replaces the definition of one.
func (c *Core) putSchedule(s *scheduled, call UserCall) {
	l, q := c.lead, call.Schedule
	if q.File == nil { // from a peer of another version
		c.answer(call, AnswerUser{Status: 400, Field: "name", Reason: "no schedule in the request"})
		return
	}
	def, err := q.File.Compile(c.cal)
	if err == nil && !def.Timing.Occurs(calendar.Wall(c.wall(), def.Timing.Zone())) {
		err = &calendar.FieldError{Field: "rule", Reason: "never occurs from now on"}
	}
	if fe := (*calendar.FieldError)(nil); errors.As(err, &fe) {
		c.answer(call, AnswerUser{Status: 400, Field: fe.Field, Reason: fe.Error()})
		return
	}
	file, err := json.Marshal(q.File)
	rec := &schedule.Record{File: file, Edition: 1}
	if err != nil || float64(rec.Size()) > c.cfg.Settings.State.ValueKB*1024 {
		c.answer(call, AnswerUser{Status: 400, Field: "at", Reason: "at, rule or job: the description is too long"})
		return
	}
	if len(l.rent.flavors) == 0 {
		c.answer(call, unavailable("the machine types are not known yet"))
		return
	}
	job := def.Template()
	if reason := c.neverRuns(&job); reason != "" {
		c.answer(call, AnswerUser{Status: 422, Field: "job", Reason: "job: " + reason})
		return
	}
	if float64(recordSize(&job)) > c.cfg.Settings.State.ValueKB*1024 {
		c.answer(call, AnswerUser{Status: 400, Field: "job.flavors", Reason: "job.flavors: the description is too long"})
		return
	}
	if s != nil {
		cursor, missed := def.Edited(s.def, s.rec.Cursor, c.wall())
		s.asker = &call
		c.writeSchedule(s, urgent, func(r *schedule.Record) {
			r.File = file
			r.Edition++
			r.Pass(missed, "the schedule was edited")
			r.Cursor = cursor
		}, nil, func() {
			s.def, s.problem, s.held = def, "", false
			c.note(slog.LevelInfo, "schedule edited", "schedule", s.name, "edition", s.rec.Edition)
			s.reply(c, c.viewOf(s, 200))
		}, nil)
		return
	}
	if q.IfMatch != "" && q.IfMatch != NewOnly {
		c.answer(call, AnswerUser{Status: 412, Field: "name", Reason: "there is no schedule of this name"})
		return
	}
	s = &scheduled{name: q.Name, busy: true, asker: &call}
	l.sched.byName[s.name] = s
	c.number(func(n uint64, ok bool) {
		if !ok {
			delete(l.sched.byName, s.name)
			s.reply(c, unavailable("the state service does not answer"))
			return
		}
		rec.Number, rec.Cursor = n, def.From(c.wall())
		c.createSchedule(s, rec)
	})
}

// createSchedule writes the first record of a schedule.
func (c *Core) createSchedule(s *scheduled, rec *schedule.Record) {
	key := scheduleKeys + s.name
	made := func(rec *schedule.Record, rev uint64) {
		s.rec, s.rev = rec, rev
		c.addSchedule(s)
		c.written(s, func() { s.reply(c, c.viewOf(s, 201)) })
	}
	ch := &change{size: rec.Size(), when: []Cond{{key, 0}}, writes: []Write{{Key: key, Value: rec}}}
	ch.done = func(rev uint64) {
		c.note(slog.LevelInfo, "schedule created", "schedule", s.name, "number", rec.Number)
		made(rec, rev)
	}
	ch.failed = func() { // a try of ours whose outcome was not known
		c.readSchedule(s, func(found *schedule.Record, rev uint64) {
			if found == nil {
				c.lead.pipe.add(ch)
				return
			}
			made(found, rev)
		})
	}
	ch.rejected = func() {
		delete(c.lead.sched.byName, s.name)
		s.reply(c, AnswerUser{Status: 400, Field: "name", Reason: "the state service rejects the record"})
	}
	c.lead.pipe.add(ch)
}

// number has f called with a number that no schedule ever had. Numbers are taken
// from the state service in blocks; what is left of a block when a leader ends
// is not used.
func (c *Core) number(f func(n uint64, ok bool)) {
	sch := &c.lead.sched
	sch.numbers = append(sch.numbers, f)
	c.handOutNumbers()
}

func (c *Core) handOutNumbers() {
	sch := &c.lead.sched
	for len(sch.numbers) > 0 && sch.next < sch.last {
		f := sch.numbers[0]
		sch.numbers = slices.Delete(sch.numbers, 0, 1)
		sch.next++
		f(sch.next, true)
	}
	if len(sch.numbers) == 0 || sch.numbering {
		return
	}
	sch.numbering = true
	fail := func() {
		sch.numbering = false
		fs := sch.numbers
		sch.numbers = nil
		for _, f := range fs {
			f(0, false)
		}
	}
	c.leaderStore(StoreCall{Op: StoreGet, Key: numberKey}, func(r StoreReply) {
		var from, rev uint64
		if r.Outcome == OK {
			rec, _ := r.Entries[0].Value.(*NumberRecord)
			if rec == nil || rec.Number+numberBlock > schedule.MaxNumber {
				c.note(slog.LevelError, "no numbers for schedules are left", "key", numberKey)
				fail()
				return
			}
			from, rev = rec.Number, r.Entries[0].Rev
		} else if r.Outcome != Missing {
			fail()
			return
		}
		c.lead.pipe.add(&change{
			when: []Cond{{numberKey, rev}}, writes: []Write{{Key: numberKey, Value: &NumberRecord{from + numberBlock}}},
			done: func(uint64) {
				sch.next, sch.last, sch.numbering = from, from+numberBlock, false
				c.handOutNumbers()
			},
			failed: func() { // a try of ours was applied: take the next block
				sch.numbering = false
				c.handOutNumbers()
			},
			rejected: fail,
		})
	})
}

func (c *Core) deleteSchedule(s *scheduled, call UserCall) {
	s.busy, s.asker = true, &call
	s.gen++
	key := scheduleKeys + s.name
	ch := &change{when: []Cond{{key, s.rev}}, writes: []Write{{Key: key}}}
	done := func() {
		c.note(slog.LevelInfo, "schedule removed", "schedule", s.name)
		s.reply(c, AnswerUser{Status: 200, Doc: map[string]string{"name": s.name, "status": "removed"}})
		c.forgetSchedule(s)
	}
	ch.done = func(uint64) { done() }
	ch.failed = func() {
		c.readSchedule(s, func(found *schedule.Record, rev uint64) {
			if found == nil {
				done()
				return
			}
			ch.when[0].Rev = rev
			c.lead.pipe.add(ch)
		})
	}
	c.lead.pipe.add(ch)
}

// pauseSchedule pauses a schedule, or resumes it: what would have run meanwhile
// does not run.
func (c *Core) pauseSchedule(s *scheduled, call UserCall) {
	pause := call.Op == OpSchedulePause
	if s.rec.Paused == pause {
		c.answer(call, c.viewOf(s, 200))
		return
	}
	cursor := s.rec.Cursor
	var missed []calendar.Occurrence
	if !pause && s.def != nil {
		cursor, missed = s.def.Passed(cursor, c.wall())
	}
	s.asker = &call
	c.writeSchedule(s, urgent, func(r *schedule.Record) {
		r.Paused = pause
		r.Edition++
		r.Pass(missed, "the schedule was paused")
		r.Cursor = cursor
	}, nil, func() {
		s.held = false
		s.reply(c, c.viewOf(s, 200))
	}, nil)
}
