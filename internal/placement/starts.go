package placement

import (
	"slices"

	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/record"
	"yewpass/internal/timeline"
)

const (
	// MaxAttempts is the number of attempt numbers available in one term.
	MaxAttempts = 1<<record.AttemptCounterBits - 1
	// maxBackfillConflicts bounds how many backfill checks may fail during one reply before the
	// rest of the queue is left to later replies, since each check scans the machine's timeline.
	maxBackfillConflicts = 8
	// maxStartsPerReply is the number of started tasks after which a reply is complete. The last
	// job served may exceed it.
	maxStartsPerReply = 256
)

// topologyLimit returns how many of n more tasks the job's placement rules allow on the machine,
// given where its other tasks are or may be.
func (s *Scheduler) topologyLimit(j *fleet.Job, m *fleet.Machine, n int) int {
	if len(j.Placement.Rules) == 0 {
		return n
	}
	return s.taskCounter.AllowedTasks(&j.Placement, m.Place, n)
}

// MayStart reports whether any task of the job may start now. Jobs from earlier terms and teams
// with a limit wait until all machines are accounted for, since unreported tasks may be the same
// tasks or count towards the limit.
func (s *Scheduler) MayStart(j *fleet.Job) bool {
	return !j.Halted() && !s.now().Before(j.RetryAt) && (s.allAccounted() || !j.FromEarlierTerm && !j.Team.HasLimit()) && (s.OrphanedTasks == 0 || !j.Team.HasLimit())
}

// MayStartWithinLimit reports whether MayStart holds and the team's limit allows one more task.
func (s *Scheduler) MayStartWithinLimit(j *fleet.Job) bool {
	return s.MayStart(j) && j.Team.TasksWithinLimit(j.Need, 1) > 0
}

// MayStartOn reports whether MayStartWithinLimit holds and the job's placement rules allow one more
// task on the machine.
func (s *Scheduler) MayStartOn(j *fleet.Job, m *fleet.Machine) bool {
	return s.MayStartWithinLimit(j) && s.topologyLimit(j, m, 1) > 0
}

func (s *Scheduler) acceptsTasks(m *fleet.Machine) bool {
	return m.FreeResources().CPU > 0 && len(s.Queue) > 0 && s.leader.IsActive() &&
		m.Reported && m.Record == fleet.Recorded && m.Schedulable() && m.ZoneState.AllowsTaskStarts() &&
		!s.now().Before(m.RetryAt) && !s.leader.IsUnaccounted(m.Host) && s.AttemptCount <= MaxAttempts-maxStartsPerReply
}

// StartTasksOn starts pending tasks on the machine in queue order while they fit, even before their
// reserved time or if reserved on another machine. It returns the orders for the reply to the
// machine's last heartbeat.
func (s *Scheduler) StartTasksOn(m *fleet.Machine) []heartbeat.Order {
	if !s.acceptsTasks(m) {
		return nil
	}
	f := startPass{Scheduler: s, machine: m, free: m.FreeResources()}
	more := true
	if s.AnyGuarantee { // tasks within a guarantee go first; other teams may borrow only what is left
		f.startStarved(false)
		more = f.walkQueue(false)
	}
	f.startStarved(true)
	if more {
		f.walkQueue(true)
	}
	return f.orders
}

// startPass selects the tasks to start on one machine for one reply.
type startPass struct {
	*Scheduler
	machine   *fleet.Machine
	free      timeline.Resources // resources not yet taken
	orders    []heartbeat.Order
	blocked   bool               // a pending job with a reservation here does not fit yet
	conflicts []timeline.Booking // backfill candidates that would delay it
}

// walkQueue walks the queue once and starts the tasks that it can. It reports whether another walk
// may start more.
func (f *startPass) walkQueue(borrowing bool) (more bool) {
	for i := 0; i < len(f.Queue); {
		if f.free.CPU <= 0 || len(f.orders) >= maxStartsPerReply {
			return false
		}
		switch f.startFromJob(f.Queue[i], borrowing) {
		case nextJob:
			i++
		case stop:
			return false
		case nextReservation: // the job has been repositioned or removed
		}
	}
	return true
}

// walkStep is how walkQueue continues after a job.
type walkStep int

const (
	nextJob walkStep = iota
	nextReservation
	stop
)

// String returns the name of the step.
func (v walkStep) String() string { return [...]string{"next job", "next reservation", "stop"}[v] }

// startFromJob starts tasks of the job's next reservation.
func (f *startPass) startFromJob(j *fleet.Job, borrowing bool) walkStep {
	m := f.machine
	if !borrowing && j.Team.TasksWithinGuarantee(j.Need, 1) == 0 || !m.EligibleFor(j, f.now()) || !f.MayStart(j) {
		return nextJob
	}
	if m.AwaitsTrial(f.now()) {
		return stop
	}
	r := f.nextReservationFor(j, m)
	if r == nil {
		return nextJob // a machine with the image is preferred
	}
	n := j.Need.CopiesWithin(f.freeFor(j), r.Count)
	if n == 0 {
		f.blocked = f.blocked || m.HasReservationOf(j)
		return nextJob
	}
	if f.blocked {
		if n = f.backfillLimit(r, n); n == 0 {
			if len(f.conflicts) >= maxBackfillConflicts {
				return stop
			}
			return nextJob
		}
	}
	if n = f.allowedTasks(j, n, borrowing); n == 0 {
		return nextJob
	}
	wholeReservation := n == r.Count
	f.startTasks(r, n)
	f.free = m.FreeResources()
	if j.Waiting > j.Reserved && j.Reserved < reservationWindow/2 {
		f.ReserveSoon(j)
	}
	switch {
	case m.OnProbation:
		return stop
	case wholeReservation:
		return nextReservation
	}
	return nextJob
}

// freeFor returns the free resources that the job may use.
func (f *startPass) freeFor(j *fleet.Job) timeline.Resources {
	free := f.free
	free.CPU -= f.machine.WithheldCPU(j)
	return free
}

// backfillLimit returns how many of n tasks of the reservation may start now without delaying a
// larger job that has a reservation on this machine.
func (f *startPass) backfillLimit(r *fleet.Reservation, n int) int {
	m, j := f.machine, r.Job
	length := f.ReservationDuration(j, m)
	end := f.now().Add(length)
	if r.Machine != m && slices.ContainsFunc(f.conflicts, func(x timeline.Booking) bool { return x.Need.Fits(j.Need) && !x.End.After(end) }) {
		return 0 // needs at least as much, for at least as long, as a candidate that failed
	}
	if r.Machine == m {
		m.Timeline.Remove(&r.Booking)
	}
	n = m.Timeline.FitCount(f.now(), length, j.Need, n)
	if r.Machine == m {
		m.Timeline.Add(&r.Booking)
	}
	if n == 0 {
		f.conflicts = append(f.conflicts, timeline.Booking{Need: j.Need, End: end})
	}
	return n
}

// allowedTasks returns how many of n tasks of the job may start on the machine under its team's
// limit and guarantee, its placement rules and its earlier failures.
func (f *startPass) allowedTasks(j *fleet.Job, n int, borrowing bool) int {
	if n = j.Team.TasksWithinLimit(j.Need, n); n == 0 {
		j.Team.LimitReached = true
	}
	if !borrowing {
		n = j.Team.TasksWithinGuarantee(j.Need, n)
	}
	n = f.topologyLimit(j, f.machine, n)
	n = j.LimitStarts(n, f.now())
	if f.machine.OnProbation {
		n = min(n, 1)
	}
	return n
}

func (f *startPass) startTasks(r *fleet.Reservation, n int) {
	for range n {
		f.orders = append(f.orders, f.startTask(r, f.machine))
	}
	if r.QueueDelayPerTask > 0 {
		f.advanceInQueue(r.Job, n)
	}
}

// startTask creates the attempt and the start order for one task of a reservation.
func (s *Scheduler) startTask(r *fleet.Reservation, m *fleet.Machine) heartbeat.Order {
	j := r.Job
	i := j.Pending.First()
	s.consumeReservation(r)
	j.Pending.Remove(i)
	j.Waiting--
	// The term occupies the high bits, so attempt numbers also increase across terms.
	s.AttemptCount++
	a := &fleet.Attempt{
		ID: heartbeat.TaskID{Job: j.Spec.ID, Index: i}, Number: s.term<<record.AttemptCounterBits + s.AttemptCount,
		Machine: m, Phase: fleet.Ordered, OrderedCounter: m.Counter, OrderedAt: s.now(),
	}
	m.Attempts = append(m.Attempts, a)
	m.LastStart = s.now()
	j.RecordStart(s.now())
	s.Allocate(a, j)
	return heartbeat.Order{Verb: heartbeat.Start, Task: a.ID, Attempt: a.Number}
}
