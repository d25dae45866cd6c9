package fleet

import (
	"slices"
	"sort"
)

// Queue holds the jobs that have reservations, ordered by the queue time of their first reservation
// and then by submission. A job is repositioned by its next reservation when the first is consumed,
// so a walk visits all reservations in queue order although the queue has one entry per job.
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
