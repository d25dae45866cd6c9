package core

import (
	"container/heap"
	"slices"
	"sort"
	"time"

	"yewpass/internal/config"
	"yewpass/internal/estimate"
	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/quota"
	"yewpass/internal/record"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
)

// lateQueueYield is by how much a booking that misses its deadline anyway stands
// back in the queue; beyond that it takes its turn, so that it never starves.
const lateQueueYield = 90 * time.Second

// reservationWindow bounds how many waiting tasks of a job are booked at a time, so that
// an array of 100,000 tasks costs no more than a large one.
const reservationWindow = 256

// paddedEstimate is how long a task of the job is booked for, without its image.
func (c *Core) paddedEstimate(j *fleet.Job) time.Duration {
	return timeline.Seconds(c.estimate(j).Seconds() * (1 + c.leadership.margin))
}

// occupancy is how long a booking of a task on the machine lasts.
func (c *Core) occupancy(j *fleet.Job, m *fleet.Machine) time.Duration {
	return fleet.Occupancy(j, m, c.paddedEstimate(j))
}

// objective is something that a job's tasks should be in time for.
type objective struct {
	deadline time.Time
	wholeJob bool // it takes all tasks to reach it; otherwise each one counts
}

// nextObjective returns by when a task of the job, running for about length, should be
// over: by the user's deadline and by the operators' objectives, whichever is
// the most pressing that can still be reached. An objective on waiting counts
// as a deadline one run time later. False: nothing is left to be reached.
func (c *Core) nextObjective(j *fleet.Job, length time.Duration) (best objective, ok bool) {
	return c.nextObjectiveFrom(j, c.Now, j.MissedUntil, length)
}

// nextObjectiveFrom is aim at the time from, for aims after missed.
func (c *Core) nextObjectiveFrom(j *fleet.Job, from, missed time.Time, length time.Duration) (best objective, ok bool) {
	earliest := from.Add(length)
	c.forEachObjective(j, length, func(a objective) {
		if !a.deadline.Before(earliest) && a.deadline.After(missed) && (!ok || a.deadline.Before(best.deadline)) {
			best, ok = a, true
		}
	})
	return best, ok
}

// earlyObjectivePercent is at which part of the time that an objective gives a job to finish
// it is first aimed, in hundredths: the last task of a large array takes twice as
// long as most do, and booked as late as can be it would be too late. Idle jobs
// stand back for others instead.
const earlyObjectivePercent = 60

// forEachObjective calls f with every aim of the job, whose tasks run for about length.
func (c *Core) forEachObjective(j *fleet.Job, length time.Duration, f func(objective)) {
	if j.Spec.Service {
		return
	}
	if j.Spec.HasDeadline {
		f(objective{j.Submitted.Add(j.Spec.Deadline), true})
	}
	for _, o := range c.cfg.Settings.Objectives {
		if o.Class != "" && o.Class != j.Spec.Class {
			continue
		}
		within := o.Within.Duration()
		switch o.Kind {
		case "deadline":
			if j.Spec.HasDeadline && o.Times > 1 {
				f(objective{j.Submitted.Add(timeline.Seconds(j.Spec.Deadline.Seconds() * o.Times)), true})
			}
		case "wait":
			f(objective{j.Submitted.Add(within + length), false})
		case "finished":
			if j.Spec.Urgency > spec.Idle {
				f(objective{j.Submitted.Add(within * earlyObjectivePercent / 100), true})
			}
			f(objective{j.Submitted.Add(within), true})
		case "guarantee":
			if j.Team.Guaranteed.CPU > 0 || j.Team.Guaranteed.GPU > 0 {
				f(objective{j.Submitted.Add(within + length), false})
			}
		}
	}
}

// mustStartAtOnce reports whether jobs of the class have an objective on waiting that
// holds whatever their team.
func (c *Core) mustStartAtOnce(class string) bool {
	return slices.ContainsFunc(c.cfg.Settings.Objectives, func(o config.Objective) bool {
		return o.Kind == "wait" && (o.Class == "" || o.Class == class)
	})
}

// reserveWarmRoom shares out the room that is kept free for jobs that must start at
// once: as much as such a job usually takes, on the machines with the most CPUs,
// where one report serves many tasks.
func (c *Core) reserveWarmRoom(part float64) {
	l := c.leadership
	left := int64(l.autoscaler.burstCPUs * part * 1000)
	if c.Now.Sub(l.autoscaler.burstAt) > quota.ArrivalMemory {
		left = 0
	}
	var sizes []int64
	for _, m := range l.fleet {
		m.WarmReserve = 0
		if n := m.Timeline.Capacity().CPU; !slices.Contains(sizes, n) {
			sizes = append(sizes, n) // as many as there are types
		}
	}
	slices.Sort(sizes)
	for _, n := range slices.Backward(sizes) {
		for _, m := range l.fleet {
			if left <= 0 {
				return
			}
			if m.Timeline.Capacity().CPU == n && m.Usable() && m.Reported {
				m.WarmReserve = min(left, n/4)
				left -= m.WarmReserve
			}
		}
	}
}

// earliestStart is when tasks can start on the machine at the earliest.
func (c *Core) earliestStart(m *fleet.Machine) time.Time {
	if !m.Reported && m.ReadyAt.After(c.Now) {
		return m.ReadyAt
	}
	return c.Now
}

// slot offers the latest start on the machine that meets the deadline, or the
// earliest fit for a job that has none to meet.
func (c *Core) slot(j *fleet.Job, m *fleet.Machine, length time.Duration, by time.Time, dated bool) (time.Time, bool) {
	from := c.earliestStart(m)
	if dated {
		return m.Timeline.Latest(from, by, length, j.Need)
	}
	return m.Timeline.Earliest(from, length, j.Need)
}

// placementOffer is the slot that a machine offers for a task of a job.
type placementOffer struct {
	machine    *fleet.Machine
	start      time.Time
	length     time.Duration
	fleetIndex int // the machine's place in the fleet
}

// placementOffers is the offers for one job, the best on top: the latest start, or
// the earliest for a job that has no deadline to meet; among ties the machine
// with the most free room now.
type placementOffers struct {
	list  []placementOffer
	dated bool
}

// Len implements heap.Interface.
func (s *placementOffers) Len() int { return len(s.list) }

// Swap implements heap.Interface.
func (s *placementOffers) Swap(i, j int) { s.list[i], s.list[j] = s.list[j], s.list[i] }

// Less implements heap.Interface: the best offer first.
func (s *placementOffers) Less(i, j int) bool {
	a, b := &s.list[i], &s.list[j]
	if x := a.start.Compare(b.start); x != 0 {
		return x > 0 == s.dated
	}
	if x, y := a.machine.Room().CPU, b.machine.Room().CPU; x != y {
		return x > y
	}
	return a.fleetIndex < b.fleetIndex
}

// Push implements heap.Interface.
func (s *placementOffers) Push(x any) { s.list = append(s.list, x.(placementOffer)) }

// Pop implements heap.Interface.
func (s *placementOffers) Pop() any {
	last := s.list[len(s.list)-1]
	s.list = s.list[:len(s.list)-1]
	return last
}

// offers asks every machine once. Booking a task changes the offer of its own
// machine only, so the rest of an array costs no further search.
func (c *Core) offers(j *fleet.Job, base time.Duration, by time.Time, dated bool) (s *placementOffers, anyMachine bool) {
	l := c.leadership
	s = &placementOffers{list: l.offerBuffer[:0], dated: dated}
	for i, m := range l.fleet {
		if !m.EligibleFor(j) {
			continue
		}
		anyMachine = true
		d := fleet.Occupancy(j, m, base)
		if at, ok := c.slot(j, m, d, by, dated); ok {
			s.list = append(s.list, placementOffer{m, at, d, i})
		}
	}
	l.offerBuffer = s.list
	heap.Init(s)
	return s, anyMachine
}

// reserve reserves room for the job's waiting tasks: each time on the machine that
// offers the latest feasible start, among ties the one with the most free room
// now. When an aim that takes all tasks is out of reach for one of them, the
// others give their slots back and the next aim is tried; a job with none left
// takes the earliest fit.
func (c *Core) reserve(j *fleet.Job) {
	l := c.leadership
	n := min(j.Waiting, reservationWindow) - j.Reserved
	if j.Halted() || n <= 0 {
		return
	}
	defer l.queue.Reposition(j)
	base := c.paddedEstimate(j)
	a, dated := c.nextObjective(j, base)
	offers, anyMachine := c.offers(j, base, a.deadline, dated)
	for ; n > 0; n = min(j.Waiting, reservationWindow) - j.Reserved {
		if len(offers.list) == 0 {
			if !dated || !anyMachine {
				break
			}
			j.MissedUntil = a.deadline
			if a.wholeJob {
				c.dropReservations(j)
			}
			a, dated = c.nextObjective(j, base)
			offers, anyMachine = c.offers(j, base, a.deadline, dated)
			continue
		}
		o := &offers.list[0]
		k := max(o.machine.Timeline.Count(o.start, o.length, j.Need, n), 1)
		var back, each time.Duration
		if !dated && (c.yieldsWhenLate(j, o.length) || c.hasNoObjective(j)) {
			back, each = c.queueYield(j, o.start)
		}
		c.addReservation(&fleet.Reservation{Booking: timeline.Booking{Start: o.start, End: o.start.Add(o.length), Need: j.Need, Count: k}, Job: j, Machine: o.machine, Yield: back, YieldPerTask: each})
		if at, ok := c.slot(j, o.machine, o.length, a.deadline, dated); ok {
			o.start = at
			heap.Fix(offers, 0)
		} else {
			heap.Pop(offers)
		}
	}
	if n > 0 {
		// No machine at all: keep the place in the queue.
		at := c.Now
		if dated {
			at = a.deadline.Add(-base)
		}
		c.addReservation(&fleet.Reservation{Booking: timeline.Booking{Start: at, End: at.Add(max(base, time.Second)), Need: j.Need, Count: n}, Job: j, Machine: nil, Yield: 0, YieldPerTask: 0})
	}
}

// yieldsWhenLate reports whether a task that takes so long and has no aim left stands
// back. What was never going to be in time does not: its tasks are long, and
// begun late they would keep machines up when all else is over.
func (c *Core) yieldsWhenLate(j *fleet.Job, length time.Duration) bool {
	_, ok := c.nextObjectiveFrom(j, j.Submitted, j.Submitted.Add(length*11/10), length)
	return ok
}

const (
	// scarceBacklog is how much work must wait, in seconds of all CPUs at hand, for the
	// machines to count as scarce: after the loss of a zone, say.
	scarceBacklog = 150 * time.Second
	// scarceWeight is by how many times its own length on all CPUs at hand a job that is
	// late anyway then stands back.
	scarceWeight = 40
)

// queueYield is by how much a task that has no aim left, and could start at a time,
// stands back in the queue. While machines are scarce those jobs go before others that
// need the least: most of them are then served, and what is begun is finished before more
// is. Each going on a little, hardly any would end. Whatever has an aim to meet goes
// before them all, and a job's turn comes nearer as it waits, so that none starves.
func (c *Core) queueYield(j *fleet.Job, start time.Time) (back, each time.Duration) {
	rent := &c.leadership.autoscaler
	if rent.backlog < scarceBacklog || rent.cpus <= 0 {
		return lateQueueYield, 0
	}
	each = timeline.Seconds(scarceWeight * float64(j.Need.CPU) / 1000 * c.estimate(j).Seconds() / rent.cpus)
	return lateQueueYield + time.Duration(j.Waiting)*each - start.Sub(c.Now), each
}

// advanceInQueue moves a job of which n more tasks have begun up in the queue, if it stands back by its length.
func (c *Core) advanceInQueue(j *fleet.Job, n int) {
	moved := false
	for _, b := range j.Reservations {
		if b.YieldPerTask > 0 {
			b.Yield -= time.Duration(n) * b.YieldPerTask
			moved = true
		}
	}
	if moved {
		c.leadership.queue.Reposition(j)
	}
}

// hasNoObjective reports whether nobody expects anything of an idle job: no deadline, no
// objective of the operators. It stands back like one that is late. Otherwise it would
// go ahead of all that has missed an aim, and a guest's spare-time work would take the
// room of the standing classes.
func (c *Core) hasNoObjective(j *fleet.Job) bool {
	if j.Spec.Urgency != spec.Idle || j.Spec.Service {
		return false
	}
	none := true
	c.forEachObjective(j, 0, func(objective) { none = false })
	return none
}

// addReservation adds a booking, in the order of the job's others; the job's place
// in the queue is for the caller to see to.
func (c *Core) addReservation(b *fleet.Reservation) {
	j := b.Job
	i := sort.Search(len(j.Reservations), func(i int) bool { return b.QueueTime().Before(j.Reservations[i].QueueTime()) })
	j.Reservations = slices.Insert(j.Reservations, i, b)
	j.Reserved += b.Count
	if b.Machine != nil {
		b.Machine.Timeline.Add(&b.Booking)
		b.Machine.Reservations = append(b.Machine.Reservations, b)
	}
}

// reserveSoon has the job's waiting tasks booked once the input at hand has been
// taken in: a lost machine returns many tasks of a job at once.
func (c *Core) reserveSoon(j *fleet.Job) {
	if !j.ReservationPending {
		j.ReservationPending = true
		c.leadership.unscheduled = append(c.leadership.unscheduled, j)
	}
}

// reserveUnscheduled books what reserveSoon was called for.
func (c *Core) reserveUnscheduled() {
	l := c.leadership
	// Most tasks of earlier jobs run somewhere, and their machines are about to say so:
	// booked before that, they would be booked for nothing.
	early := !l.allAccounted() && 10*len(l.unaccounted) > len(l.fleet) && c.Now.Sub(l.electedAt) < c.heartbeatInterval
	visits, booked, left := 0, 0, l.unscheduled[:0]
	for _, j := range l.unscheduled {
		if early && j.FromEarlierTerm || visits >= maxVisitsPerStep {
			left = append(left, j)
			continue
		}
		j.ReservationPending = false
		c.reserve(j)
		booked++
		visits += 1 + len(l.fleet)
	}
	clear(l.unscheduled[len(left):])
	if l.unscheduled = left; booked > 0 {
		l.dispatchAll = true
	}
	if len(left) > 0 && visits >= maxVisitsPerStep && !l.schedulingContinues {
		l.schedulingContinues = true
		c.afterWhileLeading(0, func() { l.schedulingContinues = false }) // and on in the step after it
	}
}

// maxVisitsPerStep bounds how many machines are asked for slots in a row. A take-over, or a
// zone that is lost, has hundreds of jobs booked on thousands of machines: done in one
// step, that outlasts the leader's grant on a small share of a processor, and the next
// leader's as well, and so on for ever.
const maxVisitsPerStep = 1 << 14

// dropReservation takes a booking away whole.
func (c *Core) dropReservation(b *fleet.Reservation) {
	j := b.Job
	j.Reserved -= b.Count
	if i := slices.Index(j.Reservations, b); i >= 0 {
		j.Reservations = slices.Delete(j.Reservations, i, i+1)
	}
	if b.Machine != nil {
		b.Machine.Timeline.Remove(&b.Booking)
		if i := slices.Index(b.Machine.Reservations, b); i >= 0 {
			b.Machine.Reservations = slices.Delete(b.Machine.Reservations, i, i+1)
		}
	}
	b.Count = 0
	c.leadership.queue.Reposition(j)
}

// consumeReservation takes one task off a booking.
func (c *Core) consumeReservation(b *fleet.Reservation) {
	if b.Count == 1 {
		c.dropReservation(b)
		return
	}
	b.Count--
	b.Job.Reserved--
	if b.Machine != nil {
		b.Machine.Timeline.Touch()
	}
}

// dropReservations drops all bookings of a job.
func (c *Core) dropReservations(j *fleet.Job) {
	for len(j.Reservations) > 0 {
		c.dropReservation(j.Reservations[len(j.Reservations)-1])
	}
}

// dropExcessReservation drops the booking of a task that no longer waits.
func (c *Core) dropExcessReservation(j *fleet.Job) {
	if j.Reserved > j.Waiting {
		c.consumeReservation(j.Reservations[len(j.Reservations)-1])
	}
}

// dropMachineReservations books elsewhere what waits for the machine.
func (c *Core) dropMachineReservations(m *fleet.Machine) {
	for len(m.Reservations) > 0 {
		b := m.Reservations[len(m.Reservations)-1]
		c.dropReservation(b)
		c.reserveSoon(b.Job)
	}
}

const (
	// maxRereserve is how many jobs are looked at again at a time, at the most.
	maxRereserve = 24
	// rereserveVisitsPerSecond is how many machines may be asked for that in a second, for a whole
	// core: about a fifth of its time. With a long queue on a full fleet all of it is due
	// all the time, and little comes of it; reports, users and the grant go first.
	rereserveVisitsPerSecond = 120_000
	// rereserveInterval is how often one job is looked at again.
	rereserveInterval = 2 * time.Second
)

// rereserveLimit is how many jobs are looked at again in one look of the leader's: each asks
// every machine.
func (c *Core) rereserveLimit() int {
	share := c.cfg.Settings.Limits.CPUShare
	if share <= 0 {
		share = 1 // no limit
	}
	visits := share * rereserveVisitsPerSecond * tickEvery.Seconds()
	return min(maxRereserve, max(2, int(visits)/max(1, len(c.leadership.fleet))))
}

// rereserve finds new slots for jobs that have bookings whose time has come without
// room, or none on a machine. A few at a time: it is the costliest thing we do.
func (c *Core) rereserve(limit int) {
	var due []*fleet.Job
	for _, j := range c.leadership.queue {
		if len(due) >= limit {
			break
		}
		if b := j.Reservations[0]; (b.Machine == nil || b.Start.Before(c.Now.Add(-300*time.Millisecond))) && c.Now.Sub(j.LastRereserved) > rereserveInterval {
			j.LastRereserved = c.Now
			due = append(due, j)
		}
	}
	for _, j := range due {
		if !j.Halted() {
			c.dropReservations(j)
			j.MissedUntil = time.Time{} // room may have come free: look at all aims again
			c.reserve(j)
		}
	}
}

// topologyRoom says how many more tasks of the job may be on the machine now, given
// where its others are, or may be.
func (c *Core) topologyRoom(j *fleet.Job, m *fleet.Machine, n int) int {
	if len(j.Placement.Rules) == 0 {
		return n
	}
	return c.leadership.tally.Room(&j.Placement, m.Place, n)
}

// mayStart reports whether tasks of the job may start at all now.
func (c *Core) mayStart(j *fleet.Job) bool {
	l := c.leadership
	return !j.Halted() && !c.Now.Before(j.RetryAt) && (l.allAccounted() || !j.FromEarlierTerm && !j.Team.Limited()) && (l.orphanedTasks == 0 || !j.Team.Limited())
}

// couldStart reports whether a task of the job may start now wherever it fits.
func (c *Core) couldStart(j *fleet.Job) bool {
	return c.mayStart(j) && j.Team.TasksWithinLimit(j.Need, 1) > 0
}

// maxOverdueJobs is how many jobs at a time have a first task started ahead of their turn.
const maxOverdueJobs = 64

// findOverdue finds the jobs of which nothing has run for long after they were submitted.
// By their turn they might not begin for as long as smaller and more pressing ones come.
func (c *Core) findOverdue(within time.Duration) {
	l := c.leadership
	l.overdue = l.overdue[:0]
	for _, j := range l.queue {
		if !j.HasRun && len(j.Attempts) == 0 && c.Now.Sub(j.Submitted) > within {
			l.overdue = append(l.overdue, j)
		}
	}
	slices.SortStableFunc(l.overdue, func(a, b *fleet.Job) int { return a.Submitted.Compare(b.Submitted) })
	l.overdue = l.overdue[:min(len(l.overdue), maxOverdueJobs)]
}

// startOverdue starts a first task of jobs that have waited for long, one each, as far as
// guarantees and limits let it; blocked reports whether one waits here for more room.
func (c *Core) startOverdue(m *fleet.Machine) (os []heartbeat.Order, blocked bool) {
	l := c.leadership
	for _, j := range l.overdue {
		if len(j.Reservations) == 0 || len(j.Attempts) > 0 || !m.EligibleFor(j) || !c.mayStart(j) || j.Team.TasksWithinLimit(j.Need, 1) == 0 || c.topologyRoom(j, m, 1) == 0 ||
			l.guarantees && j.Team.GuaranteedTasks(j.Need, 1) == 0 || m.OnProbation && len(m.Attempts) > 0 {
			continue
		}
		if !j.Need.Fits(m.Room()) {
			blocked = blocked || m.HasReservationOf(j)
			continue
		}
		b := j.Reservations[0]
		os = append(os, c.orderStart(b, m))
		if b.YieldPerTask > 0 {
			c.advanceInQueue(j, 1)
		}
	}
	return os, blocked
}

// maxBlockedJobs is how many jobs one reply finds in the way of something larger before it
// leaves the rest of the queue to later ones. Each look goes over the machine's timeline:
// with hundreds of small jobs waiting on full machines (a guest's many single tasks) that
// took most of a leader's processor share, and users' calls waited for seconds.
const maxBlockedJobs = 8

// maxStartsPerReply is how many tasks one reply starts at the most, or a few more.
const maxStartsPerReply = 256

// startTasksOn starts booked tasks on the machine in timeline order while they fit,
// ahead of their time if need be, wherever they were booked: a machine with
// free room takes what waits for a busy one.
func (c *Core) startTasksOn(m *fleet.Machine) []heartbeat.Order {
	l := c.leadership
	room := m.Room()
	if room.CPU <= 0 || len(l.queue) == 0 || !c.canAct() || !m.Reported || m.Record != fleet.Recorded || !m.Usable() || !m.ZoneState.Takes() || c.Now.Before(m.RetryAt) || l.unaccounted[m.Host] || l.attempts > maxAttempts-maxStartsPerReply {
		return nil
	}
	os, blocked := c.startOverdue(m)
	room = m.Room()
	var barred []timeline.Booking // what has been found to stand in its way
	// What lies within a team's guarantee goes first: borrowing is for what is
	// left unused.
	for borrowing, i := !l.guarantees, 0; room.CPU > 0 && len(os) < maxStartsPerReply; {
		if i >= len(l.queue) {
			if borrowing {
				break
			}
			borrowing, i = true, 0
			continue
		}
		j := l.queue[i]
		i++
		if !borrowing && j.Team.GuaranteedTasks(j.Need, 1) == 0 || !m.EligibleFor(j) || !c.mayStart(j) {
			continue
		}
		if m.OnProbation && len(m.Attempts) > 0 {
			break // one task at a time shows whether the machine works
		}
		have := room
		if m.WarmReserve > 0 && !j.StartsAtOnce {
			have.CPU -= m.WarmReserve
		}
		b := c.nextReservationFor(j, m)
		if b == nil {
			continue // better started elsewhere, where its image is
		}
		n := j.Need.Times(have, b.Count)
		if n == 0 {
			blocked = blocked || m.HasReservationOf(j)
			continue
		}
		if blocked {
			// Something larger waits here for its slot: start only what does
			// not stand in its way.
			d := c.occupancy(j, m)
			if b.Machine != m && slices.ContainsFunc(barred, func(x timeline.Booking) bool { return x.Need.Fits(j.Need) && !x.End.After(c.Now.Add(d)) }) {
				continue // more, or for longer, than what did
			}
			if b.Machine == m {
				m.Timeline.Remove(&b.Booking)
			}
			n = m.Timeline.Count(c.Now, d, j.Need, n)
			if b.Machine == m {
				m.Timeline.Add(&b.Booking)
			}
			if n == 0 {
				if barred = append(barred, timeline.Booking{Need: j.Need, End: c.Now.Add(d)}); len(barred) >= maxBlockedJobs {
					break
				}
				continue
			}
		}
		if n = j.Team.TasksWithinLimit(j.Need, n); n == 0 {
			j.Team.LimitReached = true
		}
		if !borrowing {
			n = j.Team.GuaranteedTasks(j.Need, n)
		}
		n = c.topologyRoom(j, m, n)
		if m.OnProbation || j.Failures > 0 && !j.AnyCompleted {
			n = min(n, max(0, 1-len(j.Attempts)))
		}
		if n == 0 {
			continue
		}
		whole := n == b.Count
		for range n {
			os = append(os, c.orderStart(b, m))
		}
		room = m.Room()
		if whole {
			i-- // the job has moved on to its next booking, or left the queue
		}
		if b.YieldPerTask > 0 {
			c.advanceInQueue(j, n)
		}
		if j.Waiting > j.Reserved && j.Reserved < reservationWindow/2 {
			c.reserveSoon(j)
		}
		if m.OnProbation {
			break
		}
	}
	return os
}

// nextReservationFor returns the job's first booking that the machine may serve. A machine
// that lacks the image leaves alone what is booked on one that has both the
// image and the room, and at first what waits for any that has the image.
func (c *Core) nextReservationFor(j *fleet.Job, m *fleet.Machine) *fleet.Reservation {
	if m.Images.Contains(j.Spec.Image) {
		return j.Reservations[0]
	}
	if c.Now.Before(j.ImageLocalUntil) {
		return nil
	}
	for i, b := range j.Reservations {
		if b.Machine == nil || b.Machine == m || !b.Machine.CanStartNow(j) {
			return b
		}
		if i >= 16 {
			break // so many are about to start where they are booked
		}
	}
	return nil
}

// imageLocalityWait is how long a job that must start at once waits for room on a
// machine that has its image. On a busy fleet room comes free many times a
// second, and the fetch that a start elsewhere needs takes longer than that.
const imageLocalityWait = 700 * time.Millisecond

// preferImageLocality has a new job wait for machines that have its image, if there
// are enough of them.
func (c *Core) preferImageLocality(j *fleet.Job) {
	if !j.StartsAtOnce {
		return
	}
	l := c.leadership
	have := int64(0)
	for _, m := range l.fleet {
		if m.Images.Contains(j.Spec.Image) {
			have += m.Timeline.Capacity().CPU
		}
	}
	if have < 4*int64(j.Spec.Tasks)*j.Need.CPU {
		return
	}
	j.ImageLocalUntil = c.Now.Add(imageLocalityWait)
	c.afterWhileLeading(imageLocalityWait, func() { l.dispatchAll = true })
}

// orderStart orders one task of a booking to start on a machine. The order goes out
// with the reply to the machine's last report.
func (c *Core) orderStart(b *fleet.Reservation, m *fleet.Machine) heartbeat.Order {
	l := c.leadership
	j := b.Job
	i := j.Pending.First()
	c.consumeReservation(b)
	j.Pending.Remove(i)
	j.Waiting--
	// Attempts rise across terms as well: the term comes first.
	l.attempts++
	r := &fleet.Attempt{ID: heartbeat.TaskID{Job: j.Spec.ID, Index: i}, Number: l.term<<record.AttemptBits + l.attempts, Machine: m, Phase: fleet.Ordered, OrderedCounter: m.Counter, OrderedAt: c.Now}
	m.Attempts = append(m.Attempts, r)
	c.occupy(r, j)
	return heartbeat.Order{Verb: heartbeat.Start, Task: r.ID, Try: r.Number}
}

// lateness is by how much the best timeline, of a machine at hand or of a type
// that can be rented, would miss a dated job's deadline.
func (c *Core) lateness(s *spec.Job) time.Duration {
	l := c.leadership
	j := &fleet.Job{Spec: *s, Need: s.Need()}
	run := timeline.Seconds(c.estimateSpec(s).Seconds() * (1 + l.margin))
	best := time.Duration(1<<63 - 1)
	for _, m := range l.fleet {
		if m.EligibleFor(j) {
			if t, ok := m.Timeline.Earliest(c.earliestStart(m), run, j.Need); ok {
				best = min(best, t.Add(run).Sub(c.Now))
			}
		}
	}
	for i := range l.autoscaler.instanceTypes {
		f := &l.autoscaler.instanceTypes[i]
		if fleet.AllowsInstanceType(s, f.Name) && j.Need.Fits(f.Capacity) && (s.Zone == "" || fleet.OfferedIn(f, s.Zone)) && l.autoscaler.mayHaveCapacity(f, s.AllowSpot, c.Now) {
			best = min(best, f.BootTime+estimate.ImageFetch(s, f)+run)
		}
	}
	return best - s.Deadline
}
