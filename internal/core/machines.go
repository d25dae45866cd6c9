package core

import (
	"log/slog"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"yewpass/internal/timeline"
	"yewpass/internal/topology"
	"yewpass/internal/zones"
)

// run is one attempt of a task on a machine: from the order to start it until
// the worker has forgotten it.
type run struct {
	id      TaskID
	try     uint64
	m       *machine
	job     *job // nil: of no job that we know
	need    timeline.Resources
	phase   Phase
	holds   bool   // counts against machine, team and job
	order   uint64 // the counter of the report whose reply carried the start
	ordered time.Time
	began   time.Time // first reported as running
	midway  bool      // it ran before that, nobody knows for how long
	slot    *timeline.Booking
	saved   bool   // exited, and the worker may forget it
	counted bool   // among its job's running tasks
	stray   bool   // of a job whose record cannot be read
	listed  uint64 // number of the last report that listed it
	stop    bool   // to be stopped
	drain   time.Duration
	stopped time.Time // when the stop first went out
}

// imagesKept is how many images a machine is taken to have: the latest used ones, as
// it keeps them itself. Their names are the users' own words.
const imagesKept = 128

func newImages() *simplelru.LRU[string, struct{}] {
	images, _ := simplelru.NewLRU[string, struct{}](imagesKept, nil) // errs only for a size below 1
	return images
}

type recordState int

const (
	unrecorded recordState = iota
	recording
	recorded
)

// heldReport is a report whose reply waits for something to say.
type heldReport struct {
	holdKey
	report Report // of our own socket: whoever leads next is told of it
}

// machine is a rented machine.
type machine struct {
	host, flavorName, zone string
	address                string
	leaf                   *topology.Place // where it stands
	in                     *zones.Zone     // and how that zone is
	flavor                 *Flavor         // nil while the catalog is unknown
	reclaimable            bool
	record                 recordState // a successor must know of it before it may hold tasks
	group                  *group      // the record that names it

	reported        bool // in this term
	probed          bool // and that only in answer to a probe
	unreached       int  // probes in vain
	tenure, counter uint64
	epoch           uint64
	dead            uint64    // its lease under tenures up to this one is surely over
	seen            time.Time // last report
	answered        time.Time // last answered report
	since           time.Time // known to us
	rentedAt        time.Time
	readyAt         time.Time // expected, while it boots
	held            *heldReport
	deafSince       time.Time  // first answered in this term, and has not shown that it heard
	lostStarts      int        // in a row: starts that its next report did not list
	home            *relayPeer // by which it reports, among whose workers it counts
	moved           time.Time  // when it was last led to another node
	poked           bool       // has orders that need not wait for its next report

	tl     *timeline.Timeline
	runs   []*run
	books  []*booking // of tasks that wait
	used   timeline.Resources
	warm   int64                            // CPUs, in thousandths, kept free for work that must start at once
	images *simplelru.LRU[string, struct{}] // that it has, as far as we know
	idle   time.Time                        // since when nothing runs or is booked

	releasing bool
	draining  bool // its work fits elsewhere: no new tasks, then it goes back
	condemned bool
	lost      bool      // its lease is over and it has not reported since
	away      bool      // silent, in a zone that seems to be cut off
	leaving   time.Time // the cloud takes it away
	retryAt   time.Time // after a refused start
	strikes   int
	suspect   bool // its last task failed: one task at a time until one completes
}

// machine returns the machine named host, made known if need be.
func (c *Core) machine(host, flavor, zone string, reclaimable bool) *machine {
	l := c.lead
	m := l.machines[host]
	if m == nil {
		m = &machine{host: host, flavorName: flavor, zone: zone, reclaimable: reclaimable,
			since: c.now, rentedAt: c.now, idle: c.now, images: newImages(), tl: timeline.New(timeline.Resources{})}
		m.leaf, _ = l.places.Machine(host, "", zone)
		m.in = l.zones.Zone(zone)
		l.machines[host] = m
		l.fleet = slices.Insert(l.fleet, l.place(host), m)
		c.setFlavor(m)
	}
	return m
}

// place returns where the machine named host is in the fleet, or would be.
func (l *leadership) place(host string) int {
	return sort.Search(len(l.fleet), func(i int) bool { return l.fleet[i].host >= host })
}

func (c *Core) setFlavor(m *machine) {
	if f := c.lead.rent.flavor(m.flavorName); f != nil && m.flavor == nil {
		m.flavor = f
		tl := timeline.New(f.Capacity)
		for _, r := range m.runs {
			if r.slot != nil {
				tl.Add(r.slot)
			}
		}
		m.tl = tl
	}
}

// usable reports whether new tasks may be booked on the machine.
func (m *machine) usable() bool {
	return m.flavor != nil && !m.releasing && !m.draining && !m.condemned && !m.lost && !m.away && m.leaving.IsZero()
}

func (m *machine) room() timeline.Resources {
	return m.tl.Capacity().Add(m.used, -1)
}

// find returns the run of an attempt. Workers list tasks in the order of their
// starts, as we do: the search begins where that has it.
func (m *machine) find(id TaskID, try uint64, from int) *run {
	n := len(m.runs)
	for i := range n {
		if r := m.runs[(from+i)%n]; r.try == try && r.id == id {
			return r
		}
	}
	return nil
}

func (c *Core) reportIn(in ReportIn) {
	l := c.lead
	rep := &in.Report
	refuse := func() { c.answerReport(in.Relay, AnswerReport{Ref: in.Ref, Status: 503}) }
	if l != nil && rep.Epoch > l.term && !c.leads() {
		c.stepDown("a worker has seen a newer epoch")
		l = nil
	}
	switch {
	case l == nil:
		c.passOn(in)
		return
	case rep.Epoch > l.term:
		refuse()
		c.strayEpoch(rep.Host, rep.Epoch, func() {
			c.release(c.machine(rep.Host, rep.Flavor, rep.Zone, rep.Reclaimable))
		})
		return
	case !c.leads() && (c.times.Over(c.now.Sub(l.until), c.ahead(c.now)-l.ahead) || c.now.Before(l.until)):
		// The hold is over by one of our clocks, or the steady one has stood still and
		// cannot say.
		refuse()
		return
	case l.gone.has(rep.Host):
		// Released and proven gone: whatever arrives now was sent before.
		c.late++
		refuse()
		return
	case !l.loaded:
		l.waiting = append(l.waiting, in)
		return
	}
	m := c.machine(rep.Host, rep.Flavor, rep.Zone, rep.Reclaimable)
	if m.record == unrecorded {
		m.address = rep.Address // a machine keeps it
	}
	if m.probed && rep.Tenure == m.tenure && rep.Counter <= m.counter && c.leads() {
		// Overtaken by its own answer to our probe: nothing new, but a worker
		// that waits for its reply.
		c.answerReport(in.Relay, AnswerReport{Ref: in.Ref, Status: 200, Epoch: l.term})
		m.answered = c.now
		return
	}
	// A relay that has begun a new session tells again what waits there. What was
	// answered in the session before has not reached the worker, and will not.
	again := in.Relay.From != "" && m.reported && rep.Tenure == m.tenure && rep.Counter == m.counter
	// A worker never forgets an epoch it has seen, unless it has begun anew: then its
	// counters may begin anew too, and what is newer by them may have been sent before it
	// ended. Nothing of either is believed until the lease of what we know is over, which a
	// machine that is not answered does not outlast.
	forgets := m.reported && rep.Epoch < m.epoch
	if !again && m.reported && !rep.Newer(m.tenure, m.counter) || rep.Tenure <= m.dead || forgets {
		// Delayed on the way: its task list is older than what we know.
		c.late++
		refuse()
		return
	}
	if m.held != nil {
		// The worker has given up on it; this is its next report.
		c.refuseHeld(m)
	}
	first := !m.reported && !l.owed[m.host]
	if !again {
		m.probed = false
		c.learn(m, rep)
	}
	l.reportsTo(m, in.Relay.From)
	if m.record == unrecorded && c.leads() && m.usable() {
		c.recordMachine(m)
	}
	if to := c.leadTo(m, in.Relay.From, first); to != "" {
		c.answerReport(in.Relay, AnswerReport{Ref: in.Ref, Status: 421, Upstream: to})
		return
	}
	m.held = &heldReport{holdKey: holdKey{in.Relay, in.Ref}}
	if in.Relay.From == "" {
		m.held.report = *rep
	}
	l.holding[m.held.holdKey] = m
	c.reply(m, false)
}

// strayEpoch: a worker says that it has seen a newer epoch than ours. If there was
// none, it drops all that we say to it, for ever: it is of no use, and its word must
// not end the term for all the others.
func (c *Core) strayEpoch(host string, epoch uint64, useless func()) {
	c.doubt("a worker has seen a newer epoch", func() {
		if c.beganAgain(host, epoch) {
			return
		}
		c.note(slog.LevelWarn, "worker has seen an epoch that never was", "machine", host, "claimed", epoch, "term", c.lead.term)
		if c.lead.loaded && !c.lead.gone.has(host) {
			useless()
		}
	})
}

const (
	// beganAgainFrom is how many workers must have seen an epoch above ours for it to be our
	// terms that have begun again: one alone is rather faulty itself.
	beganAgainFrom = 2
	// epochMost is the largest epoch that is believed. Terms are counted one by one, and far
	// above this there would soon be none left.
	epochMost = 1 << 32
	// termsUnseen is how far above the newest epoch that was heard of the terms go on: those who
	// say so first need not have seen the last ones, and others may.
	termsUnseen = 1 << 10
)

// beganAgain reports whether a worker's newer epoch may show that terms have begun again. When
// the state service and every controller's memory are lost together, nobody else is left to
// tell: the workers would drop all that we say, and the whole fleet be returned for it. As
// soon as several say so, the terms go on above theirs.
func (c *Core) beganAgain(host string, epoch uint64) bool {
	l := c.lead
	if !l.fresh || epoch > epochMost || c.now.Sub(l.since) > 2*c.lease {
		return false
	}
	l.beyond[host] = epoch
	if len(l.beyond) >= beganAgainFrom {
		c.known.Term = slices.Max(slices.Collect(maps.Values(l.beyond))) + termsUnseen
		// Who knows of it stands at once: the others would go by what is on record.
		c.suspectThen("workers have seen newer terms than were on record", func() { c.stand(0) })
	}
	return true
}

// unhold takes away the report that a machine waits on and returns what names it.
func (c *Core) unhold(m *machine) holdKey {
	key := m.held.holdKey
	delete(c.lead.holding, key)
	m.held = nil
	return key
}

// refuseHeld answers the report that a machine waits on with a no.
func (c *Core) refuseHeld(m *machine) {
	key := c.unhold(m)
	c.answerReport(key.by, AnswerReport{Ref: key.ref, Status: 503})
}

// poke has a held reply to the machine go out soon if there are orders for it.
func (c *Core) poke(m *machine) {
	if !m.poked {
		m.poked = true
		c.lead.poked = append(c.lead.poked, m)
	}
}

// learn takes in what a report says.
func (c *Core) learn(m *machine, rep *Report) {
	l := c.lead
	if !m.reported {
		c.note(slog.LevelDebug, "machine reports", "machine", m.host, "type", rep.Flavor, "zone", rep.Zone, "tasks", len(rep.Tasks))
		m.idle = c.now
		delete(l.rent.patience, m.flavorName)
	}
	if m.reported && rep.Tenure > m.tenure {
		// Its lease ran out: the worker has killed all that it had.
		for _, r := range slices.Clone(m.runs) {
			c.dropRun(r)
		}
	}
	m.reported, m.tenure, m.counter, m.epoch = true, rep.Tenure, rep.Counter, rep.Epoch
	m.seen, m.lost, m.away = c.now, false, false
	if rep.HasNotice {
		if m.leaving.IsZero() {
			c.note(slog.LevelInfo, "machine will be taken", "machine", m.host, "notice", rep.Notice)
		}
		m.leaving = c.now.Add(rep.Notice)
	}
	if rep.Epoch == l.term {
		m.deafSince = time.Time{}
	}
	l.learned++
	for i := range rep.Tasks {
		t := &rep.Tasks[i]
		r := m.find(t.Task, t.Try, i)
		if r == nil {
			r = c.foundRun(m, t)
		}
		r.listed = l.learned
		c.update(r, t)
	}
	// A start that went out with the reply to an earlier report and is not
	// listed now was never executed, and never will be: the worker takes
	// replies in turn and drops late ones.
	lost := false
	m.runs = slices.DeleteFunc(m.runs, func(r *run) bool {
		if r.listed == l.learned || rep.Counter <= r.order {
			return false
		}
		lost = lost || r.phase == orderedFor && r.order > 0
		c.forget(r)
		return true
	})
	if lost {
		// Once may be chance or a relay that ended. A machine that does not hear us must
		// not be what a task is tried on again and again while there is room elsewhere.
		if m.lostStarts++; m.lostStarts > 1 {
			m.retryAt = c.now.Add(min(time.Second<<min(m.lostStarts-1, 10), c.lease))
		}
	}
	if rep.Epoch == l.term && l.owed[m.host] {
		c.accounted(m.host)
	}
	c.stretch(m)
}

// accounted: nothing of an earlier term can be on the machine unknown to us.
func (c *Core) accounted(host string) {
	l := c.lead
	if !l.owed[host] {
		return
	}
	delete(l.owed, host)
	if l.settled() {
		c.note(slog.LevelInfo, "take-over complete", "term", l.term, "after", c.now.Sub(l.since))
		for _, j := range l.sortedJobs() {
			if j.cancelled {
				c.closeIfOver(j)
			}
		}
		l.dirty = true
	}
}

func (l *leadership) sortedJobs() []*job {
	js := make([]*job, 0, len(l.jobs))
	for _, j := range l.jobs {
		js = append(js, j)
	}
	slices.SortFunc(js, func(a, b *job) int {
		if x := a.submitted.Compare(b.submitted); x != 0 {
			return x
		}
		if a.spec.ID < b.spec.ID {
			return -1
		}
		return 1
	})
	return js
}

// foundRun makes a task known that a worker lists and we did not start: of an
// earlier term, or of a job that is over.
func (c *Core) foundRun(m *machine, t *TaskReport) *run {
	r := &run{id: t.Task, try: t.Try, m: m, phase: orderedFor, ordered: c.now, order: 0}
	m.runs = append(m.runs, r)
	j := c.lead.jobs[t.Task.Job]
	if j != nil && t.Task.Index >= j.spec.Tasks {
		j = nil
	}
	if t.Phase == Exited {
		r.job = j
		return r
	}
	r.midway = t.Phase != Pulling
	if j != nil {
		// A later attempt was only ordered once the earlier one was surely gone: what told
		// of that one was late, and the one that runs is this.
		if x := j.runs[t.Task.Index]; x != nil && x.m != m && x.try < t.Try {
			c.vacate(x)
			x.stop = true
		}
	}
	if j == nil || j.done.has(t.Task.Index) || j.runs[t.Task.Index] != nil {
		// Nobody waits for it: stop it.
		r.stop = true
		if c.lead.unread[t.Task.Job] {
			r.stray = true
			c.lead.strays++
		}
		if j != nil {
			c.note(slog.LevelWarn, "task is listed twice or done, stopping it", "task", t.Task, "machine", m.host)
		}
		return r
	}
	c.occupy(r, j)
	return r
}

// occupy counts a run against its machine, team and job.
func (c *Core) occupy(r *run, j *job) {
	i := r.id.Index
	r.job, r.need, r.holds = j, j.need, true
	j.runs[i] = r
	if j.pending.has(i) {
		j.pending.clear(i)
		j.waiting--
		c.unbookOne(j)
	}
	if len(j.places.Rules) > 0 {
		c.lead.tally.Add(j.spec.ID, r.m.leaf, 1)
	}
	r.m.used = r.m.used.Add(j.need, 1)
	j.team.used = j.team.used.Add(j.need, 1)
	r.slot = &timeline.Booking{Start: c.now, End: c.now.Add(c.length(j, r.m)), Need: j.need, Count: 1}
	r.m.tl.Add(r.slot)
}

// vacate is the reverse of occupy: the task is surely not on the machine.
func (c *Core) vacate(r *run) {
	if r.slot != nil {
		r.m.tl.Remove(r.slot)
		r.slot = nil
	}
	if r.stray {
		r.stray = false
		c.lead.strays--
		c.lead.dirty = true
	}
	if !r.holds {
		return
	}
	r.holds = false
	j := r.job
	c.count(r, false)
	if len(j.places.Rules) > 0 {
		c.lead.tally.Add(j.spec.ID, r.m.leaf, -1)
	}
	r.m.used = r.m.used.Add(r.need, -1)
	j.team.used = j.team.used.Add(r.need, -1)
	if j.runs[r.id.Index] == r {
		delete(j.runs, r.id.Index)
	}
	if r.m.used == (timeline.Resources{}) {
		r.m.idle = c.now
	}
	// The machine's own reply looks for work for the room. Others can make use
	// of what the team or the job has got back.
	if j.team.short || j.spec.SamePlace || j.spec.Apart || j.failures > 0 {
		j.team.short = false
		c.lead.dirty = true
	}
}

// count keeps the number of a job's tasks that workers report as running.
func (c *Core) count(r *run, runs bool) {
	if r.counted == runs || r.job == nil {
		return
	}
	r.counted = runs
	if runs {
		r.job.running++
		r.job.ran = true
		if r.job.sched != nil {
			c.occurrenceStarted(r.job)
		}
	} else {
		r.job.running--
	}
}

// dropRun forgets a run that is surely gone and makes its task wait again.
func (c *Core) dropRun(r *run) {
	m := r.m
	if i := slices.Index(m.runs, r); i >= 0 {
		m.runs = slices.Delete(m.runs, i, i+1)
	}
	c.forget(r)
}

// forget is dropRun without the machine's list of runs.
func (c *Core) forget(r *run) {
	held := r.holds
	c.vacate(r)
	if held {
		c.requeue(r.job, r.id.Index)
		if r.job.cancelled {
			c.closeIfOver(r.job)
		}
	}
}

// update takes in the state of one task.
func (c *Core) update(r *run, t *TaskReport) {
	if r.phase == Exited {
		return
	}
	m, j := r.m, r.job
	if r.phase == orderedFor && r.order > 0 {
		m.lostStarts = 0
	}
	if t.Phase != Exited {
		if t.Phase == TaskRuns && r.phase != TaskRuns {
			r.began = c.now
			if j != nil {
				m.images.Add(j.spec.Image, struct{}{})
				if r.slot != nil {
					r.slot.End = c.now.Add(c.length(j, m))
					m.tl.Touch()
				}
			}
		}
		r.phase = t.Phase
		if r.holds {
			c.count(r, t.Phase == TaskRuns || t.Phase == Saving)
		}
		return
	}
	was := r.phase
	r.phase = Exited
	held := r.holds
	c.vacate(r)
	i := r.id.Index
	if t.Cause == CauseDone {
		m.strikes, m.suspect = 0, false
		r.saved = j == nil && !c.lead.unread[r.id.Job] || j != nil && c.lead.jobs[r.id.Job] != j
		if j != nil && !r.saved && j.closing && !j.cancelled {
			// Its final record is on its way: until that is known this exit may be
			// all that tells a successor that the task is done.
			j.ended = append(j.ended, r)
			return
		}
		if j != nil && !r.saved && !j.halted() {
			if was == TaskRuns && !r.began.IsZero() && !r.midway {
				c.observe(j, m, c.now.Sub(r.began))
			}
			j.ended = append(j.ended, r)
			c.taskDone(j, i)
			return
		}
		if j != nil && held && j.cancelled {
			r.saved = true
			c.closeIfOver(j)
		}
		return
	}
	r.saved = true
	if j == nil {
		return
	}
	switch t.Cause {
	case CauseError:
		c.blame(j, m)
	case CauseNoRoom:
		// The worker sees less room than we do; ask again a little later.
		m.retryAt = c.now.Add(time.Second)
	case CauseNoSuch:
		j.retryAt = c.now.Add(2 * time.Second)
	}
	if j.cancelled {
		c.closeIfOver(j)
	} else if held {
		c.requeue(j, i)
	}
}

// stretch moves the end of runs that take longer than booked.
func (c *Core) stretch(m *machine) {
	for _, r := range m.runs {
		if r.slot != nil && !r.slot.End.After(c.now) {
			r.slot.End = c.now.Add(max(c.length(r.job, m)/8, time.Second))
			m.tl.Touch()
		}
	}
}

// orders collects what the machine has to do, other than to start tasks.
func (c *Core) orders(m *machine) []Order {
	var os []Order
	for _, r := range m.runs {
		if r.phase == Exited {
			if r.saved || r.job == nil && !c.lead.unread[r.id.Job] || r.job != nil && r.job.cancelled {
				os = append(os, Order{Verb: Reap, Task: r.id, Try: r.try})
			}
			continue
		}
		unwanted := r.job != nil && (r.job.cancelled || r.job.cancelling)
		if r.stop || unwanted {
			drain := r.drain
			if r.job == nil || unwanted {
				drain = 0
			}
			if r.stopped.IsZero() {
				r.stopped = c.now
			}
			os = append(os, Order{Verb: Stop, Task: r.id, Try: r.try, Drain: drain})
		}
	}
	return os
}

// reply answers a machine's report, or keeps it waiting a little while there is
// nothing to say and something may come.
func (c *Core) reply(m *machine, due bool) {
	l := c.lead
	h := m.held
	if h == nil {
		return
	}
	os := c.orders(m)
	if !c.leads() {
		// Out of authority: no starts, no acknowledgements; but what has been
		// cancelled is stopped, or has been begun to be, since that was decided while we
		// had it.
		os = slices.DeleteFunc(os, func(o Order) bool { return o.Verb != Stop })
		c.sendReply(m, os)
		return
	}
	if m.epoch == l.term {
		os = append(os, c.startOn(m)...)
	}
	if len(os) > 0 || due || m.epoch != l.term || m.releasing {
		c.sendReply(m, os)
		return
	}
	hold := c.lead.holdIdle
	if len(m.runs) > 0 && (m.warm == 0 || m.room().CPU < m.warm/2) {
		hold = c.lead.holdBusy
		if !m.usable() || m.room().CPU <= 0 {
			hold = 0
		}
	}
	if hold <= 0 {
		c.sendReply(m, nil)
		return
	}
	c.whenLeading(hold, func() {
		if m.held == h {
			c.reply(m, true)
		}
	})
}

func (c *Core) sendReply(m *machine, os []Order) {
	key := c.unhold(m)
	if m.epoch != c.lead.term && m.deafSince.IsZero() {
		m.deafSince = c.now
	}
	c.answerReport(key.by, AnswerReport{Ref: key.ref, Status: 200, Epoch: c.lead.term, Orders: os})
	m.answered = c.now
}

// heardLast is when the machine was last heard in a way that shows more than that it can speak.
// One that was answered long ago and whose reports still show no word of ours does not hear:
// everything that was accepted earlier would wait for it for as long as that lasts.
func (c *Core) heardLast(m *machine) time.Time {
	if !m.deafSince.IsZero() && c.now.Sub(m.deafSince) > c.heardAgain() {
		return m.deafSince
	}
	return m.seen
}

// dispatchEvery bounds how often all held replies are looked at: news come
// many times as often on a large fleet, and each look goes over all of it.
const dispatchEvery = 40 * time.Millisecond

// dispatch looks again at machines whose replies are held: at those that have
// got orders, and at all when there is work that any of them may take.
func (c *Core) dispatch() {
	l := c.lead
	for i := 0; i < len(l.poked); i++ {
		m := l.poked[i]
		m.poked = false
		c.replyIfAny(m)
	}
	l.poked = l.poked[:0]
	if !l.dirty {
		return
	}
	if c.now.Before(l.dispatchAt) {
		if !l.dispatching {
			l.dispatching = true
			c.whenLeading(l.dispatchAt.Sub(c.now), func() { l.dispatching = false })
		}
		return
	}
	l.dirty = false
	l.dispatchAt = c.now.Add(dispatchEvery)
	for _, m := range l.fleet {
		if m.held == nil || m.room().CPU <= 0 {
			continue
		}
		if !slices.ContainsFunc(l.queue, c.couldStart) {
			break
		}
		c.replyIfAny(m)
	}
}

// replyIfAny answers a held report if there are orders for the machine.
func (c *Core) replyIfAny(m *machine) {
	if m.held == nil || m.epoch != c.lead.term {
		return
	}
	if os := append(c.orders(m), c.startOn(m)...); len(os) > 0 {
		c.sendReply(m, os)
	}
}

// releaseHeld answers all held reports.
func (c *Core) releaseHeld() {
	for _, m := range c.lead.fleet {
		if m.held != nil {
			c.reply(m, true)
		}
	}
}

func (c *Core) reportGone(ref uint64) {
	if c.lead != nil {
		c.holdOver(holdKey{ref: ref})
	} else if p := c.relay.waiting[ref]; p != nil {
		c.dropPassed(p)
	}
}

// holdOver: nobody waits for the reply to a report any more.
func (c *Core) holdOver(key holdKey) {
	l := c.lead
	if m := l.holding[key]; m != nil {
		c.unhold(m)
	}
	// Reports that wait for the records to be read would pile up while that fails.
	if len(l.waiting) > 0 {
		l.waiting = slices.DeleteFunc(l.waiting, func(r ReportIn) bool { return r.Ref == key.ref && r.Relay == key.by })
	}
}

// leaseOver returns when the machine's lease has surely ended if it is not
// answered any more, and false while that cannot be told.
func (c *Core) leaseOver(m *machine) (time.Time, bool) {
	l := c.lead
	if !l.owed[m.host] && !m.probed {
		if m.answered.IsZero() {
			return time.Time{}, false
		}
		return m.answered.Add(withDrift(c.lease)), true
	}
	base := c.earlierLease()
	if at := m.answered.Add(withDrift(c.lease)); at.After(base) {
		base = at
	}
	return base, true
}

// earlierLease is when a lease is surely over that only earlier leaders renewed: one
// may have gone on answering until its peers told it of our term or its hold ran out.
func (c *Core) earlierLease() time.Time {
	l := c.lead
	over := c.times.Gone(l.since.Add(l.lag))
	if !l.ackedAt.IsZero() {
		if told := l.ackedAt.Add(withDrift(c.lease)); told.Before(over) {
			return told
		}
	}
	return over
}

// expire gives up on the tasks of a machine whose lease is surely over.
func (c *Core) expire(m *machine) {
	c.note(slog.LevelWarn, "lease over", "machine", m.host, "tasks", len(m.runs))
	for _, r := range slices.Clone(m.runs) {
		c.dropRun(r)
	}
	if m.reported {
		m.dead = m.tenure
	}
	m.reported, m.lost = false, true
	c.lead.leaves(m)
	m.answered = time.Time{}
	c.accounted(m.host)
	c.unbookMachine(m)
}

// errHostsMost is on how many machines a job's tasks must have failed for it to be
// tried on them again: then it is the job.
const errHostsMost = 2

// blame weighs a failed task: the machine is faulty when jobs fail on it that
// run elsewhere, the job when it fails wherever it goes.
func (c *Core) blame(j *job, m *machine) {
	if len(j.errHosts) <= errHostsMost { // more would not change where it may go
		j.errHosts[m.host] = true
	}
	j.failures++
	m.suspect = true
	if j.any {
		m.strikes += 2
	} else {
		m.strikes++
	}
	if !j.any && len(j.errHosts) > 1 {
		// Failed on several machines and never completed: more likely the job.
		// It goes on one task at a time, less and less often.
		wait := min(2*time.Second<<min(j.failures/2, 5), time.Minute)
		j.retryAt = c.now.Add(wait)
		c.note(slog.LevelDebug, "job keeps failing", "job", j.spec.ID, "failures", j.failures, "wait", wait)
	}
	if m.strikes >= 4 && !m.condemned {
		m.condemned = true
		c.note(slog.LevelWarn, "machine condemned", "machine", m.host, "type", m.flavorName, "reason", "tasks fail on it that run elsewhere")
		c.unbookMachine(m)
	}
}
