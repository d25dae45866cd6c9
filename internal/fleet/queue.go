package fleet

import (
	"slices"
	"sort"
)

// Queue is the jobs that have bookings, each at the turn of its first one,
// then by submission. Going through it while every job moves on to its next
// booking as it is served is going through all bookings in timeline order, at
// the cost of the jobs alone.
type Queue []*Job

// Reposition puts the job where its first booking stands, or takes it out when it
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
