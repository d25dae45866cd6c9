package fleet

import (
	"slices"
	"sort"
)

// Queue is the jobs that have reservations, ordered by the time of their first one and then
// by submission. Walking it, with every job moving on to its next reservation as it is
// served, visits all reservations in order of time at the cost of the jobs alone.
type Queue []*Job

// Reposition moves the job to the place of its first reservation, or removes it when it
// has none.
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
