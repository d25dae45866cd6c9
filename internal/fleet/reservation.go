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
	Job          *Job
	Machine      *Machine
	Yield        time.Duration // by how much it stands back in the queue
	YieldPerTask time.Duration // by how much less for every task of the job that starts
}

// QueueTime is the booking's place in the queue.
func (b *Reservation) QueueTime() time.Time { return b.Start.Add(b.Yield) }

// Occupancy returns how long a task of a job occupies a machine, with the time to fetch its
// image where the machine lacks it; base is the padded estimate of its run time.
func Occupancy(j *Job, m *Machine, base time.Duration) time.Duration {
	if j.Spec.Service {
		return timeline.Forever
	}
	if !m.Images.Contains(j.Spec.Image) {
		base += estimate.ImageFetch(&j.Spec, m.InstanceType)
	}
	return base
}
