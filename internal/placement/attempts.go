package placement

import (
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/timeline"
)

// Allocate charges the attempt's resources to its machine, team and job, and books them on the
// machine's timeline until the attempt's expected end.
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

// Deallocate releases what Allocate charged. Call it only when the task is known to be gone from
// the machine, since its resources are reused at once.
func (s *Scheduler) Deallocate(a *fleet.Attempt) {
	m := a.Machine
	if a.Reservation != nil {
		m.Timeline.Remove(a.Reservation)
		a.Reservation = nil
	}
	if a.Orphaned {
		a.Orphaned = false
		s.OrphanedTasks--
		s.leader.RequestDispatchAll()
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
	// The reply to this machine's heartbeat already dispatches work to it. Other machines matter
	// only if a quota, placement rules or failures held back the team or the job.
	if j.Team.LimitReached || j.Spec.SamePlace || j.Spec.Apart || j.Failures > 0 {
		j.Team.LimitReached = false
		s.leader.RequestDispatchAll()
	}
}

// ResetExpectedEnd recomputes the end of the attempt's booking when the attempt starts to run.
func (s *Scheduler) ResetExpectedEnd(a *fleet.Attempt) {
	if a.Reservation != nil {
		a.Reservation.End = s.now().Add(s.ReservationDuration(a.Job, a.Machine))
		a.Machine.Timeline.Invalidate()
	}
}

// ExtendOverruns postpones the expected end of attempts on the machine that have run for longer
// than estimated.
func (s *Scheduler) ExtendOverruns(m *fleet.Machine) {
	for _, a := range m.Attempts {
		if a.Reservation != nil && !a.Reservation.End.After(s.now()) {
			a.Reservation.End = s.now().Add(max(s.ReservationDuration(a.Job, m)/8, time.Second))
			m.Timeline.Invalidate()
		}
	}
}
