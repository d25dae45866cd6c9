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
	// reservationWindow bounds for how many waiting tasks of a job room is reserved at a
	// time, so that an array of 100,000 tasks costs no more than a large one.
	reservationWindow = 256
	// maxVisitsPerStep bounds how many machines are asked for slots in one step. After a
	// failover or the loss of a zone, room has to be reserved for hundreds of jobs on
	// thousands of machines. Done in one step, that outlasts the leader lease on a small
	// share of a processor, and the next leader's as well, and so on for ever.
	maxVisitsPerStep = 1 << 14
)

// Reserve reserves room for the job's waiting tasks, each time on the machine with the best
// offer. When an objective that all tasks have to meet is out of reach for one of them, the
// others give their slots back and the next objective is tried; a job with none left takes
// the earliest fit.
func (s *Scheduler) Reserve(j *fleet.Job) {
	n := min(j.Waiting, reservationWindow) - j.Reserved
	if j.Halted() || n <= 0 {
		return
	}
	defer s.Queue.Reposition(j)
	base := s.paddedEstimate(j)
	target, dated := s.nextObjective(j, base)
	offers, anyMachine := s.collectOffers(j, base, target.deadline, dated)
	for ; n > 0; n = min(j.Waiting, reservationWindow) - j.Reserved {
		if len(offers.list) == 0 {
			if !dated || !anyMachine {
				break
			}
			j.MissedObjectivesUntil = target.deadline
			if target.wholeJob {
				s.DropReservations(j)
			}
			target, dated = s.nextObjective(j, base)
			offers, anyMachine = s.collectOffers(j, base, target.deadline, dated)
			continue
		}
		best := &offers.list[0]
		s.acceptOffer(j, best, n, dated)
		if start, ok := s.findSlot(j, best.machine, best.length, target.deadline, dated); ok {
			best.start = start
			heap.Fix(offers, 0)
		} else {
			heap.Pop(offers)
		}
	}
	if n > 0 {
		// No machine at all: keep the place in the queue.
		at := s.now()
		if dated {
			at = target.deadline.Add(-base)
		}
		s.addReservation(&fleet.Reservation{Booking: timeline.Booking{Start: at, End: at.Add(max(base, time.Second)), Need: j.Need, Count: n}, Job: j})
	}
}

// acceptOffer reserves the offered slot for as many of n tasks as fit there.
func (s *Scheduler) acceptOffer(j *fleet.Job, o *offer, n int, dated bool) {
	k := max(o.machine.Timeline.FitCount(o.start, o.length, j.Need, n), 1)
	var yield, perTask time.Duration
	if !dated && (s.delayedWhenLate(j, o.length) || s.isBestEffort(j)) {
		yield, perTask = s.queueDelay(j, o.start)
	}
	s.addReservation(&fleet.Reservation{
		Booking: timeline.Booking{Start: o.start, End: o.start.Add(o.length), Need: j.Need, Count: k},
		Job:     j, Machine: o.machine, QueueDelay: yield, QueueDelayPerTask: perTask,
	})
}

// addReservation adds a reservation, in the order of the job's others. The caller has to
// see to the job's place in the queue.
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

// ReserveSoon has room reserved for the job's waiting tasks once the current input has been
// taken in: a lost machine returns many tasks of a job at once.
func (s *Scheduler) ReserveSoon(j *fleet.Job) {
	if !j.ReservationPending {
		j.ReservationPending = true
		s.pendingJobs = append(s.pendingJobs, j)
	}
}

// ReservePending reserves what ReserveSoon was called for.
func (s *Scheduler) ReservePending() {
	// Most tasks of earlier jobs run somewhere, and their machines are about to say so:
	// before that, room would be reserved for nothing.
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
		s.leader.DispatchAll()
	}
	if len(left) > 0 && visits >= maxVisitsPerStep && !s.continuationQueued {
		s.continuationQueued = true
		s.scope.After(0, func() { s.continuationQueued = false }) // the next step goes on
	}
}

// dropReservation removes a reservation.
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

// consumeReservation takes one task off a reservation.
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

// DropReservations drops all reservations of a job.
func (s *Scheduler) DropReservations(j *fleet.Job) {
	for len(j.Reservations) > 0 {
		s.dropReservation(j.Reservations[len(j.Reservations)-1])
	}
}

// DropExcessReservation drops the reservation of a task that no longer waits.
func (s *Scheduler) DropExcessReservation(j *fleet.Job) {
	if j.Reserved > j.Waiting {
		s.consumeReservation(j.Reservations[len(j.Reservations)-1])
	}
}

// DropMachineReservations drops what is reserved on the machine, and has room reserved for
// it elsewhere.
func (s *Scheduler) DropMachineReservations(m *fleet.Machine) {
	for len(m.Reservations) > 0 {
		r := m.Reservations[len(m.Reservations)-1]
		s.dropReservation(r)
		s.ReserveSoon(r.Job)
	}
}
