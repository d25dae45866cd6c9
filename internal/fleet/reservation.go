package fleet

import (
	"time"

	"yewpass/internal/estimate"
	"yewpass/internal/timeline"
)

// Reservation reserves room for waiting tasks of one job on one machine's timeline.
// Without a machine it only keeps their place in the queue.
type Reservation struct {
	timeline.Booking
	Job               *Job
	Machine           *Machine
	QueueDelay        time.Duration // by how much it is put back in the queue
	QueueDelayPerTask time.Duration // by how much less for every task of the job that starts
}

// QueueTime returns the time that decides the reservation's place in the queue.
func (b *Reservation) QueueTime() time.Time { return b.Start.Add(b.QueueDelay) }

// ReservationDuration returns for how long a task of the job is reserved on the machine if it runs for
// base, with the time to fetch its image if the machine lacks it.
func ReservationDuration(j *Job, m *Machine, base time.Duration) time.Duration {
	if j.Spec.Service {
		return timeline.Forever
	}
	if !m.Images.Contains(j.Spec.Image) {
		base += estimate.ImageFetchTime(&j.Spec, m.InstanceType)
	}
	return base
}
