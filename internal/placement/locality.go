package placement

import (
	"slices"
	"time"

	"yewpass/internal/fleet"
)

// ReserveWarmCapacity keeps the given number of millicores free for latency-sensitive jobs, spread
// over the machines with the most CPUs, and takes at most a quarter of each.
func (s *Scheduler) ReserveWarmCapacity(cpus int64) {
	machines := s.leader.Machines()
	var sizes []int64
	for _, m := range machines {
		m.WarmReserve = 0
		if n := m.Timeline.Capacity().CPU; !slices.Contains(sizes, n) {
			sizes = append(sizes, n) // one entry per machine size
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

// imageLocalityWait is how long a latency-sensitive job waits for a machine that has its image.
// Such a machine tends to become free before another could fetch the image.
const imageLocalityWait = 700 * time.Millisecond

// PreferImageLocality restricts a new latency-sensitive job to machines that have its image for
// imageLocalityWait, if their total capacity is at least four times what the job needs.
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
	s.scope.After(imageLocalityWait, s.leader.RequestDispatchAll)
}

// maxReservationsScanned bounds how many reservations of a job are examined for a machine that
// lacks its image. If there are more, many tasks are about to start where they are reserved.
const maxReservationsScanned = 17

// nextReservationFor returns the job's first reservation that the machine may serve, or nil. A
// machine without the image serves none while the job is restricted to machines that have it, and
// none whose own machine has the image and can start the task now.
func (s *Scheduler) nextReservationFor(j *fleet.Job, m *fleet.Machine) *fleet.Reservation {
	if m.Images.Contains(j.Spec.Image) {
		return j.Reservations[0]
	}
	if s.now().Before(j.ImageLocalUntil) {
		return nil
	}
	for _, r := range j.Reservations[:min(len(j.Reservations), maxReservationsScanned)] {
		if r.Machine == nil || r.Machine == m || !r.Machine.CanStartNow(j, s.now()) {
			return r
		}
	}
	return nil
}
