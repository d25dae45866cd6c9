package core

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/timeline"
)

// booking reserves room for waiting tasks of one job on one machine's timeline.
// Without a machine it only keeps their place in the queue.
type booking struct {
	timeline.Booking
	job  *job
	m    *machine
	late bool // its slot was found by earliest fit
}

// waitQueue is all bookings in timeline order: by start, then by submission.
// What cannot be in time any more yields to what still can.
type waitQueue []*booking

// lateYield is by how much a booking that misses its deadline anyway stands
// back in the queue; beyond that it takes its turn, so that it never starves.
const lateYield = 90 * time.Second

// turn is the booking's place in the queue.
func (b *booking) turn() time.Time {
	if b.late {
		return b.Start.Add(lateYield)
	}
	return b.Start
}

func (b *booking) before(o *booking) bool {
	if x := b.turn().Compare(o.turn()); x != 0 {
		return x < 0
	}
	if !b.job.submitted.Equal(o.job.submitted) {
		return b.job.submitted.Before(o.job.submitted)
	}
	return b.job.spec.ID < o.job.spec.ID
}

func (q *waitQueue) add(b *booking) {
	i := sort.Search(len(*q), func(i int) bool { return b.before((*q)[i]) })
	*q = slices.Insert(*q, i, b)
}

func (q *waitQueue) remove(b *booking) {
	i := sort.Search(len(*q), func(i int) bool { return !(*q)[i].before(b) })
	for ; i < len(*q); i++ {
		if (*q)[i] == b {
			*q = slices.Delete(*q, i, i+1)
			return
		}
	}
}

// window bounds how many waiting tasks of a job are booked at a time, so that
// an array of 100,000 tasks costs no more than a large one.
const window = 256

func flavorAllowed(s *JobSpec, name string) bool {
	return len(s.Flavors) == 0 || slices.Contains(s.Flavors, name)
}

func hasZone(f *Flavor, zone string) bool { return slices.Contains(f.Zones, zone) }

// eligible reports whether the job's tasks may run on the machine at all.
func (m *machine) eligible(j *job) bool {
	s := &j.spec
	return m.usable() && (!m.reclaimable || s.Reclaimable) && flavorAllowed(s, m.flavorName) &&
		(s.Zone == "" || s.Zone == m.zone) && j.need.Fits(m.tl.Capacity()) &&
		(len(j.errHosts) == 0 || !j.errHosts[m.host] || len(j.errHosts) > 2)
}

// length is how long a booking of a task on the machine lasts.
func (c *Core) length(j *job, m *machine) time.Duration {
	if j.spec.Service {
		return timeline.Forever
	}
	d := time.Duration(float64(c.estimate(j)) * (1 + c.lead.margin))
	if !m.images[j.spec.Image] {
		d += fetch(&j.spec, m.flavor)
	}
	return d
}

// aim is something that a job's tasks should be in time for.
type aim struct {
	by    time.Time
	whole bool // it takes all tasks to reach it; otherwise each one counts
}

// aim returns by when a task of the job, running for about length, should be
// over: by the user's deadline and by the operators' objectives, whichever is
// the most pressing that can still be reached. An objective on waiting counts
// as a deadline one run time later. False: nothing is left to be reached.
func (c *Core) aim(j *job, length time.Duration) (best aim, ok bool) {
	return c.aimFrom(j, c.now, j.missed, length)
}

// aimFrom is aim at the time from, for aims after missed.
func (c *Core) aimFrom(j *job, from, missed time.Time, length time.Duration) (best aim, ok bool) {
	if j.spec.Service {
		return best, false
	}
	earliest := from.Add(length)
	consider := func(t time.Time, whole bool) {
		if !t.Before(earliest) && t.After(missed) && (!ok || t.Before(best.by)) {
			best, ok = aim{t, whole}, true
		}
	}
	if j.spec.Dated {
		consider(j.submitted.Add(j.spec.Due), true)
	}
	for _, o := range c.cfg.Settings.Objectives {
		if o.Class != "" && o.Class != j.spec.Class {
			continue
		}
		within := o.Within.Duration()
		switch o.Kind {
		case "wait":
			consider(j.submitted.Add(within+length), false)
		case "finished":
			consider(j.submitted.Add(within), true)
		case "guarantee":
			if j.team.guarantee.CPU > 0 || j.team.guarantee.GPU > 0 {
				consider(j.submitted.Add(within+length), false)
			}
		}
	}
	return best, ok
}

// promptly reports whether jobs of the class have an objective on waiting that
// holds whatever their team.
func (c *Core) promptly(class string) bool {
	return slices.ContainsFunc(c.cfg.Settings.Objectives, func(o config.Objective) bool {
		return o.Kind == "wait" && (o.Class == "" || o.Class == class)
	})
}

// keepWarm shares out the room that is kept free for jobs that must start at
// once: as much as such a job usually takes, on the machines with the most CPUs,
// where one report serves many tasks.
func (c *Core) keepWarm(part float64) {
	l := c.lead
	left := int64(l.rent.burst * part * 1000)
	if c.now.Sub(l.rent.burstAt) > loadMemory {
		left = 0
	}
	fleet := slices.Clone(l.fleet)
	slices.SortStableFunc(fleet, func(a, b *machine) int { return cmp.Compare(b.tl.Capacity().CPU, a.tl.Capacity().CPU) })
	for _, m := range fleet {
		m.warm = 0
		if left > 0 && m.usable() && m.reported {
			m.warm = min(left, m.tl.Capacity().CPU/4)
			left -= m.warm
		}
	}
}

// from is when tasks can start on the machine at the earliest.
func (c *Core) from(m *machine) time.Time {
	if !m.reported && m.readyAt.After(c.now) {
		return m.readyAt
	}
	return c.now
}

// slot offers the latest start on the machine that meets the deadline, or the
// earliest fit for a job that has none to meet.
func (c *Core) slot(j *job, m *machine, length time.Duration, by time.Time, dated bool) (time.Time, bool) {
	from := c.from(m)
	if dated {
		return m.tl.Latest(from, by, length, j.need)
	}
	return m.tl.Earliest(from, length, j.need)
}

// book reserves room for the job's waiting tasks: each time on the machine that
// offers the latest feasible start, among ties the one with the most free room
// now. When an aim that takes all tasks is out of reach for one of them, the
// others give their slots back and the next aim is tried; a job with none left
// takes the earliest fit.
func (c *Core) book(j *job) {
	if j.halted() {
		return
	}
	base := time.Duration(float64(c.estimate(j)) * (1 + c.lead.margin))
	a, dated := c.aim(j, base)
	for n := min(j.waiting, window) - j.booked; n > 0; n = min(j.waiting, window) - j.booked {
		b := c.bestSlot(j, n, a.by, dated)
		if b == nil && dated && c.anyMachine(j) {
			j.missed = a.by
			if a.whole {
				c.unbook(j)
			}
			a, dated = c.aim(j, base)
			continue
		}
		if b == nil {
			// No machine at all: keep the place in the queue.
			at := c.now
			if dated {
				at = a.by.Add(-base)
			}
			b = &booking{timeline.Booking{Start: at, End: at.Add(max(base, time.Second)), Need: j.need, Count: n}, j, nil, false}
		}
		j.books = append(j.books, b)
		j.booked += b.Count
		c.lead.queue.add(b)
		if b.m != nil {
			b.m.tl.Add(&b.Booking)
		}
	}
}

func (c *Core) anyMachine(j *job) bool {
	return slices.ContainsFunc(c.lead.fleet, func(m *machine) bool { return m.eligible(j) })
}

// bestSlot finds room for up to n tasks on one machine, or nil.
func (c *Core) bestSlot(j *job, n int, by time.Time, dated bool) *booking {
	var best *machine
	var start time.Time
	var length time.Duration
	for _, m := range c.lead.fleet {
		if !m.eligible(j) {
			continue
		}
		d := c.length(j, m)
		s, ok := c.slot(j, m, d, by, dated)
		if !ok {
			continue
		}
		better := best == nil
		if !better && s.Equal(start) {
			better = best.room().CPU < m.room().CPU
		} else if !better {
			better = s.After(start) == dated
		}
		if better {
			best, start, length = m, s, d
		}
	}
	if best == nil {
		return nil
	}
	k := max(best.tl.Count(start, length, j.need, n), 1)
	late := false
	if !dated {
		// What was never going to be in time does not yield: its tasks are long,
		// and begun late they would keep machines up when all else is over.
		_, late = c.aimFrom(j, j.submitted, j.submitted.Add(length*11/10), length)
	}
	return &booking{timeline.Booking{Start: start, End: start.Add(length), Need: j.need, Count: k}, j, best, late}
}

// drop takes a booking away whole.
func (c *Core) drop(b *booking) {
	c.lead.queue.remove(b)
	b.job.booked -= b.Count
	if i := slices.Index(b.job.books, b); i >= 0 {
		b.job.books = slices.Delete(b.job.books, i, i+1)
	}
	if b.m != nil {
		b.m.tl.Remove(&b.Booking)
	}
	b.Count = 0
}

// use takes one task off a booking.
func (c *Core) use(b *booking) {
	if b.Count == 1 {
		c.drop(b)
		return
	}
	b.Count--
	b.job.booked--
	if b.m != nil {
		b.m.tl.Touch()
	}
}

// unbook drops all bookings of a job.
func (c *Core) unbook(j *job) {
	for len(j.books) > 0 {
		c.drop(j.books[len(j.books)-1])
	}
}

// unbookOne drops the booking of a task that no longer waits.
func (c *Core) unbookOne(j *job) {
	if j.booked > j.waiting {
		c.use(j.books[len(j.books)-1])
	}
}

// unbookMachine books elsewhere what waits for the machine.
func (c *Core) unbookMachine(m *machine) {
	var jobs []*job
	for _, b := range slices.Clone(c.lead.queue) {
		if b.m == m {
			c.drop(b)
			jobs = append(jobs, b.job)
		}
	}
	for _, j := range jobs {
		c.book(j)
	}
	c.lead.dirty = true
}

// rebook finds new slots for jobs that have bookings whose time has come without
// room, or none on a machine. A few at a time: it is the costliest thing we do.
func (c *Core) rebook(limit int) {
	var due []*job
	for _, b := range c.lead.queue {
		if len(due) >= limit {
			break
		}
		if (b.m == nil || b.Start.Before(c.now.Add(-300*time.Millisecond))) && !slices.Contains(due, b.job) {
			due = append(due, b.job)
		}
	}
	for _, j := range due {
		if !j.halted() {
			c.unbook(j)
			j.missed = time.Time{} // room may have come free: look at all aims again
			c.book(j)
		}
	}
}

// placeRoom says how many more tasks of the job may be in the machine's zone
// now, given where its other tasks are.
func (c *Core) placeRoom(j *job, m *machine, n int) int {
	s := &j.spec
	if !s.SamePlace && !s.Apart {
		return n
	}
	same := 0
	for _, r := range j.runs {
		if r.m.zone == m.zone {
			same++
		} else if s.SamePlace {
			return 0
		}
	}
	if s.Apart {
		n = min(n, (s.Tasks+1)/2-same)
	}
	return max(n, 0)
}

// mayStart reports whether tasks of the job may start at all now.
func (c *Core) mayStart(j *job) bool {
	l := c.lead
	return !j.halted() && !c.now.Before(j.retryAt) && (l.settled() || !j.earlier && !j.team.limited())
}

// startOn starts booked tasks on the machine in timeline order while they fit,
// ahead of their time if need be, wherever they were booked: a machine with
// free room takes what waits for a busy one.
func (c *Core) startOn(m *machine) []Order {
	l := c.lead
	if !c.acts() || !m.reported || m.record != recorded || !m.usable() || c.now.Before(m.retryAt) || l.owed[m.host] {
		return nil
	}
	var os []Order
	room := m.room()
	blocked := false
	// What lies within a team's guarantee goes first: borrowing is for what is
	// left unused.
	for borrowing, i := !l.guarantees, 0; room.CPU > 0 && len(os) < 256; i++ {
		if i >= len(l.queue) {
			if borrowing {
				break
			}
			borrowing, i = true, -1
			continue
		}
		b := l.queue[i]
		j := b.job
		if !borrowing && j.team.guaranteed(j.need, 1) == 0 || !m.eligible(j) || !c.mayStart(j) {
			continue
		}
		if m.suspect && len(m.runs) > 0 {
			break // one task at a time shows whether the machine works
		}
		have := room
		if m.warm > 0 && !j.prompt {
			have.CPU -= m.warm
		}
		n := j.need.Times(have, b.Count)
		if n == 0 {
			blocked = blocked || b.m == m
			continue
		}
		if b.m != nil && b.m != m && !m.images[j.spec.Image] && b.m.ready(j) {
			continue // its own machine has the room and the image
		}
		if blocked {
			// Something larger waits here for its slot: start only what does
			// not stand in its way.
			if b.m == m {
				m.tl.Remove(&b.Booking)
			}
			n = m.tl.Count(c.now, c.length(j, m), j.need, n)
			if b.m == m {
				m.tl.Add(&b.Booking)
			}
		}
		n = j.team.room(j.need, n)
		if !borrowing {
			n = j.team.guaranteed(j.need, n)
		}
		n = c.placeRoom(j, m, n)
		if m.suspect || j.failures > 0 && !j.any {
			n = min(n, max(0, 1-len(j.runs)))
		}
		if n == 0 {
			continue
		}
		whole := n == b.Count
		for range n {
			os = append(os, c.start(b, m))
		}
		room = m.room()
		if whole {
			i-- // the booking has left the queue
		}
		if j.waiting > j.booked && j.booked < window/2 {
			c.book(j)
		}
		if m.suspect {
			break
		}
	}
	return os
}

// ready reports whether the job's tasks could start on the machine right away.
func (m *machine) ready(j *job) bool {
	return m.reported && m.usable() && m.images[j.spec.Image] && j.need.Fits(m.room())
}

// start orders one task of a booking to start on a machine. The order goes out
// with the reply to the machine's last report.
func (c *Core) start(b *booking, m *machine) Order {
	l := c.lead
	j := b.job
	i := j.pending.first()
	c.use(b)
	j.pending.clear(i)
	j.waiting--
	// Attempts rise across terms as well: the term comes first.
	l.tries++
	r := &run{id: TaskID{j.spec.ID, i}, try: l.term<<24 + l.tries, m: m, phase: orderedFor, order: m.counter, ordered: c.now}
	m.runs = append(m.runs, r)
	c.occupy(r, j)
	return Order{Verb: Start, Task: r.id, Try: r.try}
}

// lateness is by how much the best timeline, of a machine at hand or of a type
// that can be rented, would miss a dated job's deadline.
func (c *Core) lateness(s *JobSpec) time.Duration {
	l := c.lead
	j := &job{spec: *s, need: s.Need()}
	run := time.Duration(float64(c.estimateSpec(s)) * (1 + l.margin))
	best := time.Duration(1<<63 - 1)
	for _, m := range l.fleet {
		if m.eligible(j) {
			if t, ok := m.tl.Earliest(c.from(m), run, j.need); ok {
				best = min(best, t.Add(run).Sub(c.now))
			}
		}
	}
	for i := range l.rent.flavors {
		f := &l.rent.flavors[i]
		if flavorAllowed(s, f.Name) && j.need.Fits(f.Capacity) && (s.Zone == "" || hasZone(f, s.Zone)) && l.rent.mayOffer(f, s.Reclaimable, c.now) {
			best = min(best, f.Ready+fetch(s, f)+run)
		}
	}
	return best - s.Due
}
