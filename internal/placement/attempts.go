package placement

import (
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/timeline"
)

// Allocate counts an attempt against its machine, team and job.
func (s *Scheduler) Allocate(a *fleet.Attempt, j *fleet.Job) {
	i := a.ID.Index
	a.Job, a.Need, a.HoldsResources = j, j.Need, true
	j.Attempts[i] = a
	if j.Pending.Has(i) {
		j.Pending.Remove(i)
		j.Waiting--
		s.DropExcessReservation(j)
	}
	if len(j.Placement.Rules) > 0 {
		s.taskCounter.Add(j.Spec.ID, a.Machine.Place, 1)
	}
	a.Machine.Allocated = a.Machine.Allocated.Add(j.Need, 1)
	j.Team.Allocated = j.Team.Allocated.Add(j.Need, 1)
	a.Reservation = &timeline.Booking{Start: s.now(), End: s.now().Add(s.ReservationDuration(j, a.Machine)), Need: j.Need, Count: 1}
	a.Machine.Timeline.Add(a.Reservation)
}

// Deallocate is the reverse of Occupy: the task is surely not on the machine.
func (s *Scheduler) Deallocate(a *fleet.Attempt) {
	m := a.Machine
	if a.Reservation != nil {
		m.Timeline.Remove(a.Reservation)
		a.Reservation = nil
	}
	if a.Orphaned {
		a.Orphaned = false
		s.OrphanedTasks--
		s.leader.DispatchAll()
	}
	if !a.HoldsResources {
		return
	}
	a.HoldsResources = false
	j := a.Job
	a.SetRunning(false)
	if len(j.Placement.Rules) > 0 {
		s.taskCounter.Add(j.Spec.ID, m.Place, -1)
	}
	m.Allocated = m.Allocated.Add(a.Need, -1)
	j.Team.Allocated = j.Team.Allocated.Add(a.Need, -1)
	if j.Attempts[a.ID.Index] == a {
		delete(j.Attempts, a.ID.Index)
	}
	if m.Allocated == (timeline.Resources{}) {
		m.IdleSince = s.now()
	}
	// The machine's own reply looks for work for the room. Others can make use of what the
	// team or the job has got back.
	if j.Team.LimitReached || j.Spec.SamePlace || j.Spec.Apart || j.Failures > 0 {
		j.Team.LimitReached = false
		s.leader.DispatchAll()
	}
}

// ResetExpectedEnd sets the end of an attempt that has just begun to run.
func (s *Scheduler) ResetExpectedEnd(a *fleet.Attempt) {
	if a.Reservation != nil {
		a.Reservation.End = s.now().Add(s.ReservationDuration(a.Job, a.Machine))
		a.Machine.Timeline.Invalidate()
	}
}

// ExtendOverruns moves the end of attempts on the machine that take longer than estimated.
func (s *Scheduler) ExtendOverruns(m *fleet.Machine) {
	for _, a := range m.Attempts {
		if a.Reservation != nil && !a.Reservation.End.After(s.now()) {
			a.Reservation.End = s.now().Add(max(s.ReservationDuration(a.Job, m)/8, time.Second))
			m.Timeline.Invalidate()
		}
	}
}
