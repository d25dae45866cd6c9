package placement

import (
	"slices"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/timeline"
)

const (
	// lateQueueDelay is by how much a reservation that misses its deadline anyway is put back
	// in the queue. It is bounded so that the job never starves.
	lateQueueDelay = 90 * time.Second
	// shortageBacklog is how much work must wait, as time of all CPUs at hand, for the machines
	// to count as scarce: after the loss of a zone, say.
	shortageBacklog = 150 * time.Second
	// shortageDelayWeight is by how many times its own length on all CPUs at hand a job that is late
	// anyway is then put back.
	shortageDelayWeight = 40
)

// queueDelay returns by how much a task that can meet no objective any more, and could start
// at the given time, is put back in the queue, and by how much less for each task of the job
// that starts. While machines are scarce, the jobs of that kind which need the least go
// first: most of them are then served, and what is begun is finished before more is. If all
// of them advanced a little at a time, hardly any would end. Whatever has an objective to
// meet goes before them all, and a job's turn comes nearer as it waits, so that none starves.
func (s *Scheduler) queueDelay(j *fleet.Job, start time.Time) (yield, perTask time.Duration) {
	backlog, cpus := s.leader.Backlog()
	if backlog < shortageBacklog || cpus <= 0 {
		return lateQueueDelay, 0
	}
	perTask = timeline.Seconds(shortageDelayWeight * float64(j.Need.CPU) / 1000 * s.Estimate(j).Seconds() / cpus)
	return lateQueueDelay + time.Duration(j.Waiting)*perTask - start.Sub(s.now()), perTask
}

// advanceInQueue moves a job up in the queue of which n more tasks have started, if it is put
// back by its length.
func (s *Scheduler) advanceInQueue(j *fleet.Job, n int) {
	moved := false
	for _, r := range j.Reservations {
		if r.QueueDelayPerTask > 0 {
			r.QueueDelay -= time.Duration(n) * r.QueueDelayPerTask
			moved = true
		}
	}
	if moved {
		s.Queue.Reposition(j)
	}
}

const (
	// maxRefreshedJobs is for how many jobs at most new slots are looked for at a time.
	maxRefreshedJobs = 24
	// refreshVisitsPerSecond is how many machines may be asked for that in a second, on a
	// whole processor core: about a fifth of its time. With a long queue on a full fleet all
	// of it is due all the time, and little comes of it; heartbeats, users and the leader
	// lease go first.
	refreshVisitsPerSecond = 120_000
	// refreshInterval is how long a job is left alone after new slots were looked for.
	refreshInterval = 2 * time.Second
	// refreshTolerance is by how much the time of a reservation has passed when it is due.
	refreshTolerance = 300 * time.Millisecond
)

// RefreshDueReservations finds new slots for jobs whose reservations have come due without room, or
// are on no machine. It is to be called once in every period and takes a few jobs at a time,
// because each of them asks every machine.
func (s *Scheduler) RefreshDueReservations(period time.Duration) {
	s.refreshReservations(s.refreshLimit(period))
}

// refreshLimit returns for how many jobs new slots are looked for at a time.
func (s *Scheduler) refreshLimit(period time.Duration) int {
	share := s.cfg.Settings.Limits.CPUShare
	if share <= 0 {
		share = 1 // no limit
	}
	visits := share * refreshVisitsPerSecond * period.Seconds()
	return min(maxRefreshedJobs, max(2, int(visits)/max(1, len(s.leader.Machines()))))
}

func (s *Scheduler) refreshReservations(limit int) {
	var due []*fleet.Job
	for _, j := range s.Queue {
		if len(due) >= limit {
			break
		}
		r := j.Reservations[0]
		overdue := r.Machine == nil || r.Start.Before(s.now().Add(-refreshTolerance))
		if overdue && s.now().Sub(j.LastRefreshed) > refreshInterval {
			j.LastRefreshed = s.now()
			due = append(due, j)
		}
	}
	for _, j := range due {
		if !j.Halted() {
			s.DropReservations(j)
			j.MissedObjectivesUntil = time.Time{} // room may have come free: try all objectives again
			s.Reserve(j)
		}
	}
}

// maxStarvedJobs is how many jobs at a time have a first task started ahead of their turn.
const maxStarvedJobs = 64

// FindStarvedJobs finds the jobs of which nothing has run for long after they were submitted. By
// their place in the queue they might not start for as long as smaller and more pressing ones
// come.
func (s *Scheduler) FindStarvedJobs(within time.Duration) {
	s.starved = s.starved[:0]
	for _, j := range s.Queue {
		if !j.HasRun && len(j.Attempts) == 0 && s.now().Sub(j.Submitted) > within {
			s.starved = append(s.starved, j)
		}
	}
	slices.SortStableFunc(s.starved, func(a, b *fleet.Job) int { return a.Submitted.Compare(b.Submitted) })
	s.starved = s.starved[:min(len(s.starved), maxStarvedJobs)]
}
