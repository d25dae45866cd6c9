package placement

import (
	"slices"
	"time"

	"yewpass/internal/fleet"
)

// ReserveWarmCapacity shares out the room that is kept free for jobs that must start at once, in
// thousandths of a CPU: on the machines with the most CPUs, where one heartbeat serves many
// tasks.
func (s *Scheduler) ReserveWarmCapacity(cpus int64) {
	machines := s.leader.Machines()
	var sizes []int64
	for _, m := range machines {
		m.WarmReserve = 0
		if n := m.Timeline.Capacity().CPU; !slices.Contains(sizes, n) {
			sizes = append(sizes, n) // as many as there are types
		}
	}
	slices.Sort(sizes)
	for _, n := range slices.Backward(sizes) {
		for _, m := range machines {
			if cpus <= 0 {
				return
			}
			if m.Timeline.Capacity().CPU == n && m.Schedulable() && m.Reported {
				m.WarmReserve = min(cpus, n/4)
				cpus -= m.WarmReserve
			}
		}
	}
}

// imageLocalityWait is how long a job that must start at once waits for room on a machine
// that has its image. On a busy fleet room comes free many times a second, and the fetch
// that a start elsewhere needs takes longer than that.
const imageLocalityWait = 700 * time.Millisecond

// PreferImageLocality has a new job wait for machines that have its image, if there are
// enough of them.
func (s *Scheduler) PreferImageLocality(j *fleet.Job) {
	if !j.LatencySensitive {
		return
	}
	have := int64(0)
	for _, m := range s.leader.Machines() {
		if m.Images.Contains(j.Spec.Image) {
			have += m.Timeline.Capacity().CPU
		}
	}
	if have < 4*int64(j.Spec.Tasks)*j.Need.CPU {
		return
	}
	j.ImageLocalUntil = s.now().Add(imageLocalityWait)
	s.scope.After(imageLocalityWait, s.leader.DispatchAll)
}

// maxReservationsScanned is how many reservations of a job a machine without its image looks
// at: if there are more, so many tasks are about to start where room is reserved for them.
const maxReservationsScanned = 17

// nextReservationFor returns the job's first reservation that the machine may serve. A machine
// that lacks the image leaves alone what is reserved on one that has both the image and the
// room, and at first what waits for any that has the image.
func (s *Scheduler) nextReservationFor(j *fleet.Job, m *fleet.Machine) *fleet.Reservation {
	if m.Images.Contains(j.Spec.Image) {
		return j.Reservations[0]
	}
	if s.now().Before(j.ImageLocalUntil) {
		return nil
	}
	for _, r := range j.Reservations[:min(len(j.Reservations), maxReservationsScanned)] {
		if r.Machine == nil || r.Machine == m || !r.Machine.CanStartNow(j) {
			return r
		}
	}
	return nil
}
