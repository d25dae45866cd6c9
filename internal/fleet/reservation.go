package fleet

import (
	"time"

	"yewpass/internal/estimate"
	"yewpass/internal/timeline"
)

// Reservation reserves a slot on a machine's timeline for pending tasks of one job. Without a
// machine it only holds the job's position in the queue.
type Reservation struct {
	timeline.Booking
	Job               *Job
	Machine           *Machine
	QueueDelay        time.Duration // how far it is moved back in the queue
	QueueDelayPerTask time.Duration // decrease of QueueDelay for each task of the job that starts
}

// QueueTime returns the time that determines the reservation's position in the queue.
func (r *Reservation) QueueTime() time.Time { return r.Start.Add(r.QueueDelay) }

// ReservationDuration returns how long a slot on the machine is reserved for a task that runs for
// base: base plus the image fetch if the machine lacks the image. Services are reserved for
// timeline.Forever.
func ReservationDuration(j *Job, m *Machine, base time.Duration) time.Duration {
	if j.Spec.Service {
		return timeline.Forever
	}
	if !m.Images.Contains(j.Spec.Image) {
		base += estimate.ImageFetchTime(&j.Spec, m.InstanceType)
	}
	return base
}
