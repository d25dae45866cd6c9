package fleet

import (
	"slices"
	"sort"
)

// Queue holds the jobs that have reservations, ordered by Job.Before. When a job's first
// reservation is consumed, the job is repositioned by the next, so a walk visits all reservations
// in queue order with one entry per job.
type Queue []*Job

// Reposition moves the job to the position of its first reservation, inserting it if needed, or
// removes it if it has no reservations.
func (q *Queue) Reposition(j *Job) {
	if j.Queued {
		if len(j.Reservations) > 0 && j.Reservations[0].QueueTime().Equal(j.QueueTime) {
			return
		}
		i := sort.Search(len(*q), func(i int) bool { return !(*q)[i].Before(j) })
		*q = slices.Delete(*q, i, i+1)
		j.Queued = false
	}
	if len(j.Reservations) == 0 {
		return
	}
	j.QueueTime, j.Queued = j.Reservations[0].QueueTime(), true
	i := sort.Search(len(*q), func(i int) bool { return j.Before((*q)[i]) })
	*q = slices.Insert(*q, i, j)
}
