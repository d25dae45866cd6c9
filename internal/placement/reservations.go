package placement

import (
	"container/heap"
	"slices"
	"sort"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/timeline"
)

const (
	// reservationWindow bounds how many pending tasks of a job have reservations at a time, so that
	// an array of 100,000 tasks costs no more than a large one.
	reservationWindow = 256
	// maxVisitsPerStep bounds how many machines are searched for slots in one step. After a
	// failover or the loss of a zone, reserving for all jobs in one step could outlast the leader
	// lease, also for every following leader.
	maxVisitsPerStep = 1 << 14
)

// Reserve creates reservations for the job's pending tasks, each on the machine with the best
// offer. If one task cannot meet an objective that applies to the whole job, all its reservations
// are dropped and the next objective is tried. A job that can meet none gets the earliest slots.
func (s *Scheduler) Reserve(j *fleet.Job) {
	n := min(j.Waiting, reservationWindow) - j.Reserved
	if j.Halted() || n <= 0 {
		return
	}
	defer s.Queue.Reposition(j)
	base := s.paddedEstimate(j)
	target, hasDeadline := s.nextObjective(j, base)
	offers, anyMachine := s.collectOffers(j, base, target.deadline, hasDeadline)
	for ; n > 0; n = min(j.Waiting, reservationWindow) - j.Reserved {
		if len(offers.list) == 0 {
			if !hasDeadline || !anyMachine {
				break
			}
			j.MissedObjectivesUntil = target.deadline
			if target.wholeJob {
				s.DropReservations(j)
			}
			target, hasDeadline = s.nextObjective(j, base)
			offers, anyMachine = s.collectOffers(j, base, target.deadline, hasDeadline)
			continue
		}
		best := &offers.list[0]
		s.acceptOffer(j, best, n, hasDeadline)
		if start, ok := s.findSlot(j, best.machine, best.length, target.deadline, hasDeadline); ok {
			best.start = start
			heap.Fix(offers, 0)
		} else {
			heap.Pop(offers)
		}
	}
	if n > 0 {
		// A reservation without a machine keeps the job in the queue.
		at := s.now()
		if hasDeadline {
			at = target.deadline.Add(-base)
		}
		s.addReservation(&fleet.Reservation{Booking: timeline.Booking{Start: at, End: at.Add(max(base, time.Second)), Need: j.Need, Count: n}, Job: j})
	}
}

// acceptOffer reserves the offered slot for as many of n tasks as fit in it.
func (s *Scheduler) acceptOffer(j *fleet.Job, o *offer, n int, hasDeadline bool) {
	k := max(o.machine.Timeline.FitCount(o.start, o.length, j.Need, n), 1)
	var delay, delayPerTask time.Duration
	if !hasDeadline && (s.delayedWhenLate(j, o.length) || s.isBestEffort(j)) {
		delay, delayPerTask = s.queueDelay(j, o.start)
	}
	s.addReservation(&fleet.Reservation{
		Booking: timeline.Booking{Start: o.start, End: o.start.Add(o.length), Need: j.Need, Count: k},
		Job:     j, Machine: o.machine, QueueDelay: delay, QueueDelayPerTask: delayPerTask,
	})
}

// addReservation inserts a reservation in queue order. The caller must reposition the job in the
// queue.
func (s *Scheduler) addReservation(r *fleet.Reservation) {
	j := r.Job
	i := sort.Search(len(j.Reservations), func(i int) bool { return r.QueueTime().Before(j.Reservations[i].QueueTime()) })
	j.Reservations = slices.Insert(j.Reservations, i, r)
	j.Reserved += r.Count
	if r.Machine != nil {
		r.Machine.Timeline.Add(&r.Booking)
		r.Machine.Reservations = append(r.Machine.Reservations, r)
	}
}

// ReserveSoon schedules Reserve for the next call of ReservePending, so that many tasks returned at
// once by a lost machine cost one search.
func (s *Scheduler) ReserveSoon(j *fleet.Job) {
	if !j.ReservationPending {
		j.ReservationPending = true
		s.pendingJobs = append(s.pendingJobs, j)
	}
}

// ReservePending calls Reserve for the jobs passed to ReserveSoon, up to the visit limit of one
// step. The rest remains for the next step.
func (s *Scheduler) ReservePending() {
	// Most tasks of jobs from earlier terms are running and about to be reported, so reserving
	// capacity for them earlier would be wasted work.
	machines := len(s.leader.Machines())
	early := !s.allAccounted() && 10*s.leader.UnaccountedCount() > machines && s.now().Sub(s.electedAt) < s.cfg.Settings.Workers.Report.Duration()
	visits, reserved, left := 0, 0, s.pendingJobs[:0]
	for _, j := range s.pendingJobs {
		if early && j.FromEarlierTerm || visits >= maxVisitsPerStep {
			left = append(left, j)
			continue
		}
		j.ReservationPending = false
		s.Reserve(j)
		reserved++
		visits += 1 + machines
	}
	clear(s.pendingJobs[len(left):])
	if s.pendingJobs = left; reserved > 0 {
		s.leader.RequestDispatchAll()
	}
	if len(left) > 0 && visits >= maxVisitsPerStep && !s.continuationQueued {
		s.continuationQueued = true
		s.scope.After(0, func() { s.continuationQueued = false }) // triggers another step
	}
}

// dropReservation removes a reservation from its job and its machine.
func (s *Scheduler) dropReservation(r *fleet.Reservation) {
	j := r.Job
	j.Reserved -= r.Count
	if i := slices.Index(j.Reservations, r); i >= 0 {
		j.Reservations = slices.Delete(j.Reservations, i, i+1)
	}
	if r.Machine != nil {
		r.Machine.Timeline.Remove(&r.Booking)
		if i := slices.Index(r.Machine.Reservations, r); i >= 0 {
			r.Machine.Reservations = slices.Delete(r.Machine.Reservations, i, i+1)
		}
	}
	r.Count = 0
	s.Queue.Reposition(j)
}

// consumeReservation reduces a reservation by one task and drops it if none is left.
func (s *Scheduler) consumeReservation(r *fleet.Reservation) {
	if r.Count == 1 {
		s.dropReservation(r)
		return
	}
	r.Count--
	r.Job.Reserved--
	if r.Machine != nil {
		r.Machine.Timeline.Invalidate()
	}
}

// DropReservations removes all reservations of a job and thereby the job from the queue.
func (s *Scheduler) DropReservations(j *fleet.Job) {
	for len(j.Reservations) > 0 {
		s.dropReservation(j.Reservations[len(j.Reservations)-1])
	}
}

// DropExcessReservation reduces the job's last reservation by one task if more tasks are reserved
// than pending. Call it after removing a pending task.
func (s *Scheduler) DropExcessReservation(j *fleet.Job) {
	if j.Reserved > j.Waiting {
		s.consumeReservation(j.Reservations[len(j.Reservations)-1])
	}
}

// DropMachineReservations removes all reservations on the machine and schedules new ones elsewhere
// for their jobs.
func (s *Scheduler) DropMachineReservations(m *fleet.Machine) {
	for len(m.Reservations) > 0 {
		r := m.Reservations[len(m.Reservations)-1]
		s.dropReservation(r)
		s.ReserveSoon(r.Job)
	}
}
