package placement

import (
	"slices"

	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/record"
	"yewpass/internal/timeline"
)

const (
	// MaxAttempts is how many attempts a term has numbers for.
	MaxAttempts = 1<<record.AttemptCounterBits - 1
	// maxBlockedJobs is how many jobs one reply finds in the way of something larger before it
	// leaves the rest of the queue to later ones. Each look goes over the machine's timeline:
	// with hundreds of small jobs waiting on full machines (a guest's many single tasks) that
	// took most of a leader's processor share, and users' calls waited for seconds.
	maxBlockedJobs = 8
	// maxStartsPerReply is how many tasks one reply starts at the most, or a few more.
	maxStartsPerReply = 256
)

// topologyRoom returns how many of n more tasks of the job may be on the machine now, given
// where its others are, or may be.
func (s *Scheduler) topologyRoom(j *fleet.Job, m *fleet.Machine, n int) int {
	if len(j.Placement.Rules) == 0 {
		return n
	}
	return s.tally.Room(&j.Placement, m.Place, n)
}

// MayStart reports whether tasks of the job may start at all now.
func (s *Scheduler) MayStart(j *fleet.Job) bool {
	return !j.Halted() && !s.now().Before(j.RetryAt) && (s.allAccounted() || !j.FromEarlierTerm && !j.Team.Limited()) && (s.OrphanedTasks == 0 || !j.Team.Limited())
}

// CouldStart reports whether a task of the job may start now wherever it fits.
func (s *Scheduler) CouldStart(j *fleet.Job) bool {
	return s.MayStart(j) && j.Team.TasksWithinLimit(j.Need, 1) > 0
}

// takesTasks reports whether tasks may start on the machine now.
func (s *Scheduler) takesTasks(m *fleet.Machine) bool {
	return m.Room().CPU > 0 && len(s.Queue) > 0 && s.leader.CanAct() &&
		m.Reported && m.Record == fleet.Recorded && m.Usable() && m.ZoneState.StartsTasks() &&
		!s.now().Before(m.RetryAt) && !s.leader.Unaccounted(m.Host) && s.Attempts <= MaxAttempts-maxStartsPerReply
}

// StartTasksOn starts waiting tasks on the machine in the order of the queue while they fit,
// ahead of their time if need be and wherever room is reserved for them: a machine with free
// room takes what waits for a busy one. It returns the orders for the reply to the machine's
// last report.
func (s *Scheduler) StartTasksOn(m *fleet.Machine) []heartbeat.Order {
	if !s.takesTasks(m) {
		return nil
	}
	f := filling{Scheduler: s, machine: m}
	f.startOverdue()
	f.room = m.Room()
	// What lies within a team's guarantee goes first: borrowing is for what is left unused.
	if s.Guarantees && !f.walkQueue(false) {
		return f.orders
	}
	f.walkQueue(true)
	return f.orders
}

// filling is the choice of what starts on one machine.
type filling struct {
	*Scheduler
	machine *fleet.Machine
	room    timeline.Resources // still free
	orders  []heartbeat.Order
	blocked bool               // something larger waits here for its slot
	barred  []timeline.Booking // what was found to stand in its way
}

// startOverdue starts a first task each of jobs that have waited for long, as far as
// guarantees and limits allow.
func (f *filling) startOverdue() {
	m := f.machine
	for _, j := range f.overdue {
		if len(j.Reservations) == 0 || len(j.Attempts) > 0 || !m.EligibleFor(j) || !f.MayStart(j) || j.Team.TasksWithinLimit(j.Need, 1) == 0 || f.topologyRoom(j, m, 1) == 0 ||
			f.Guarantees && j.Team.GuaranteedTasks(j.Need, 1) == 0 || m.OnProbation && len(m.Attempts) > 0 {
			continue
		}
		if !j.Need.Fits(m.Room()) {
			f.blocked = f.blocked || m.HasReservationOf(j)
			continue
		}
		r := j.Reservations[0]
		f.start(r, 1)
	}
}

// walkQueue goes through the queue once and starts what it can. It reports whether there may
// be more to start.
func (f *filling) walkQueue(borrowing bool) (more bool) {
	for i := 0; i < len(f.Queue); {
		if f.room.CPU <= 0 || len(f.orders) >= maxStartsPerReply {
			return false
		}
		switch f.serve(f.Queue[i], borrowing) {
		case nextJob:
			i++
		case stop:
			return false
		case nextReservation: // the job has moved on to its next reservation, or left the queue
		}
	}
	return true
}

// verdict says how the walk through the queue goes on.
type verdict int

const (
	nextJob verdict = iota
	nextReservation
	stop
)

// String names the verdict.
func (v verdict) String() string { return [...]string{"next job", "next reservation", "stop"}[v] }

// serve starts tasks of the job's next reservation.
func (f *filling) serve(j *fleet.Job, borrowing bool) verdict {
	m := f.machine
	if !borrowing && j.Team.GuaranteedTasks(j.Need, 1) == 0 || !m.EligibleFor(j) || !f.MayStart(j) {
		return nextJob
	}
	if m.OnProbation && len(m.Attempts) > 0 {
		return stop // one task at a time shows whether the machine works
	}
	r := f.nextReservationFor(j, m)
	if r == nil {
		return nextJob // better started elsewhere, where its image is
	}
	n := j.Need.Times(f.roomFor(j), r.Count)
	if n == 0 {
		f.blocked = f.blocked || m.HasReservationOf(j)
		return nextJob
	}
	if f.blocked {
		if n = f.outOfTheWay(r, n); n == 0 {
			if len(f.barred) >= maxBlockedJobs {
				return stop
			}
			return nextJob
		}
	}
	if n = f.limit(j, n, borrowing); n == 0 {
		return nextJob
	}
	whole := n == r.Count
	f.start(r, n)
	f.room = m.Room()
	if j.Waiting > j.Reserved && j.Reserved < reservationWindow/2 {
		f.ReserveSoon(j)
	}
	switch {
	case m.OnProbation:
		return stop
	case whole:
		return nextReservation
	}
	return nextJob
}

// roomFor returns the free room that the job may take.
func (f *filling) roomFor(j *fleet.Job) timeline.Resources {
	room := f.room
	if f.machine.WarmReserve > 0 && !j.StartsAtOnce {
		room.CPU -= f.machine.WarmReserve
	}
	return room
}

// outOfTheWay returns how many of n tasks of the reservation may start now without taking the
// slot of something larger that waits here.
func (f *filling) outOfTheWay(r *fleet.Reservation, n int) int {
	m, j := f.machine, r.Job
	length := f.Occupancy(j, m)
	end := f.now().Add(length)
	if r.Machine != m && slices.ContainsFunc(f.barred, func(x timeline.Booking) bool { return x.Need.Fits(j.Need) && !x.End.After(end) }) {
		return 0 // needs more, or for longer, than what was found to stand in the way
	}
	if r.Machine == m {
		m.Timeline.Remove(&r.Booking)
	}
	n = m.Timeline.Count(f.now(), length, j.Need, n)
	if r.Machine == m {
		m.Timeline.Add(&r.Booking)
	}
	if n == 0 {
		f.barred = append(f.barred, timeline.Booking{Need: j.Need, End: end})
	}
	return n
}

// limit returns how many of n tasks of the job its team's limit and guarantee, its rules on
// places and earlier failures let start on the machine.
func (f *filling) limit(j *fleet.Job, n int, borrowing bool) int {
	if n = j.Team.TasksWithinLimit(j.Need, n); n == 0 {
		j.Team.LimitReached = true
	}
	if !borrowing {
		n = j.Team.GuaranteedTasks(j.Need, n)
	}
	n = f.topologyRoom(j, f.machine, n)
	if f.machine.OnProbation || j.Failures > 0 && !j.AnyCompleted {
		n = min(n, max(0, 1-len(j.Attempts)))
	}
	return n
}

// start orders n tasks of a reservation to start on the machine.
func (f *filling) start(r *fleet.Reservation, n int) {
	for range n {
		f.orders = append(f.orders, f.startTask(r, f.machine))
	}
	if r.YieldPerTask > 0 {
		f.advanceInQueue(r.Job, n)
	}
}

// startTask orders one task of a reservation to start on the machine.
func (s *Scheduler) startTask(r *fleet.Reservation, m *fleet.Machine) heartbeat.Order {
	j := r.Job
	i := j.Pending.First()
	s.consumeReservation(r)
	j.Pending.Remove(i)
	j.Waiting--
	// Attempt numbers rise across terms as well: the term comes first.
	s.Attempts++
	a := &fleet.Attempt{
		ID: heartbeat.TaskID{Job: j.Spec.ID, Index: i}, Number: s.term<<record.AttemptCounterBits + s.Attempts,
		Machine: m, Phase: fleet.Ordered, OrderedCounter: m.Counter, OrderedAt: s.now(),
	}
	m.Attempts = append(m.Attempts, a)
	s.Occupy(a, j)
	return heartbeat.Order{Verb: heartbeat.Start, Task: a.ID, Attempt: a.Number}
}
