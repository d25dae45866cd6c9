package placement

import (
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/timeline"
)

const (
	// lateQueueDelay is how far a reservation that cannot meet any objective is moved back in the
	// queue. The bound prevents starvation.
	lateQueueDelay = 90 * time.Second
	// shortageBacklog is the pending work, as time on all current CPUs, from which capacity counts
	// as short.
	shortageBacklog = 150 * time.Second
	// shortageDelayWeight is the queue delay of a late job during a shortage, as a multiple of the
	// time that its pending tasks would take on all current CPUs.
	shortageDelayWeight = 40
)

// queueDelay returns how far a task that can meet no objective, and could start at the given time,
// is moved back in the queue, and by how much that shrinks for each task of the job that starts.
// During a shortage the late jobs with the least remaining work go first. Jobs that can still meet
// an objective precede them all, and the position of a job improves with its waiting time, so none
// starves.
func (s *Scheduler) queueDelay(j *fleet.Job, start time.Time) (delay, perTask time.Duration) {
	backlog, cpus := s.leader.Backlog()
	if backlog < shortageBacklog || cpus <= 0 {
		return lateQueueDelay, 0
	}
	perTask = timeline.Seconds(shortageDelayWeight * float64(j.Need.CPU) / 1000 * s.Estimate(j).Seconds() / cpus)
	return lateQueueDelay + time.Duration(j.Waiting)*perTask - start.Sub(s.now()), perTask
}

// advanceInQueue moves a job forward after n of its tasks have started, if its queue delay depends
// on the number of its pending tasks.
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
	// maxRefreshedJobs bounds how many jobs get new slots in one call.
	maxRefreshedJobs = 24
	// refreshVisitsPerSecond bounds how many machines are searched for new slots per second on a
	// whole processor core, so that the search does not delay heartbeats, user requests or the
	// renewal of the leader lease when every reservation on a full fleet is due.
	refreshVisitsPerSecond = 120_000
	// refreshInterval is the minimum time between two refreshes of the same job.
	refreshInterval = 2 * time.Second
	// refreshTolerance is how long after its start time a reservation becomes due.
	refreshTolerance = 300 * time.Millisecond
)

// RefreshDueReservations searches new slots for jobs whose first reservation is past its start time
// or has no machine. Call it once per period. One call handles only a few jobs, since each search
// visits every machine.
func (s *Scheduler) RefreshDueReservations(period time.Duration) { s.refresh(s.refreshLimit(period)) }

// refreshLimit returns how many jobs may get new slots in one period, given the processor share and
// the number of machines.
func (s *Scheduler) refreshLimit(period time.Duration) int {
	share := s.cfg.Settings.Limits.CPUShare
	if share <= 0 {
		share = 1 // no limit
	}
	visits := share * refreshVisitsPerSecond * period.Seconds()
	return min(maxRefreshedJobs, max(2, int(visits)/max(1, len(s.leader.Machines()))))
}

func (s *Scheduler) refresh(limit int) {
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
			j.MissedObjectivesUntil = time.Time{} // capacity may have become free
			s.Reserve(j)
		}
	}
}
