package placement

import (
	"slices"
	"strings"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/timeline"
)

const (
	// maxStarvedJobs bounds how many starved jobs each reply considers, and how many more of those
	// for which a machine has room.
	maxStarvedJobs = 64
	// maxRoomVisits bounds how many machines are examined for room in one call of FindStarvedJobs, so
	// that many different jobs do not take the leader's processor share.
	maxRoomVisits = 1 << 14
)

// FindStarvedJobs selects jobs that have waited for a start for longer than the given time.
// StartTasksOn starts one task of each out of turn, since smaller, more urgent or guaranteed jobs, or
// capacity that is kept for others, might keep preceding them. If there are too many, it selects the
// oldest, and of the others those for which a machine has room: the oldest may wait in vain.
func (s *Scheduler) FindStarvedJobs(within time.Duration) {
	s.starvedAfter = within
	s.starved = s.starved[:0]
	for _, j := range s.Queue {
		if s.isStarved(j) {
			s.starved = append(s.starved, j)
		}
	}
	slices.SortStableFunc(s.starved, compareStarved)
	if len(s.starved) > maxStarvedJobs {
		others := s.findJobsWithRoom(s.starved[maxStarvedJobs:])
		s.starved = append(s.starved[:maxStarvedJobs], others...)
	}
}

// isStarved reports whether the job has waited for a start for too long.
func (s *Scheduler) isStarved(j *fleet.Job) bool {
	return s.now().Sub(j.WaitsSince()) > s.starvedAfter
}

// compareStarved orders jobs without a task on any machine before the others, and each group by
// submission.
func compareStarved(a, b *fleet.Job) int {
	switch idleA, idleB := len(a.Attempts) == 0, len(b.Attempts) == 0; {
	case idleA && !idleB:
		return -1
	case idleB && !idleA:
		return 1
	}
	return a.Submitted.Compare(b.Submitted)
}

// roomKey identifies jobs for which the same machines have room.
type roomKey struct {
	zone, instanceTypes string
	spot                bool
	need                timeline.Resources
	job                 string // ID of a job with conditions of its own, or ""
}

func newRoomKey(j *fleet.Job) roomKey {
	key := roomKey{zone: j.Spec.Zone, instanceTypes: strings.Join(j.Spec.InstanceTypes, " "), spot: j.Spec.AllowSpot, need: j.Need}
	if len(j.Placement.Rules) > 0 || len(j.FailedOn) > 0 {
		key.job = j.Spec.ID
	}
	return key
}

// maxRoomSearches returns how often one call may search all machines for room.
func (s *Scheduler) maxRoomSearches() int {
	return max(2, maxRoomVisits/max(1, len(s.leader.Machines())))
}

// findJobsWithRoom returns up to maxStarvedJobs of the jobs that a machine could start now. Jobs with
// the same requirements share one of at most maxRoomSearches searches; the next call continues with
// the first job that was not examined.
func (s *Scheduler) findJobsWithRoom(jobs []*fleet.Job) (found []*fleet.Job) {
	first := s.nextRoomSearch
	maxSearches := s.maxRoomSearches()
	results := map[roomKey]bool{}
	for i := range jobs {
		index := (first + i) % len(jobs)
		j := jobs[index]
		key := newRoomKey(j)
		room, known := results[key]
		if len(found) == maxStarvedJobs || !known && len(results) == maxSearches {
			s.nextRoomSearch = index
			return found
		}
		if !known {
			room = s.hasRoom(j)
			results[key] = room
		}
		if room && s.MayStartWithinLimit(j) {
			found = append(found, j)
		}
	}
	return found
}

// hasRoom reports whether any machine could start a task of the job now.
func (s *Scheduler) hasRoom(j *fleet.Job) bool {
	return slices.ContainsFunc(s.leader.Machines(), func(m *fleet.Machine) bool {
		return s.acceptsTasks(m) && !m.AwaitsTrial(s.now()) && m.EligibleFor(j, s.now()) &&
			j.Need.Fits(m.FreeResources()) && s.topologyLimit(j, m, 1) > 0
	})
}

// startStarved starts one task of each starved job, subject to limits and, unless borrowing, to
// guarantees. Free resources that are kept for other jobs are available to starved ones.
func (f *startPass) startStarved(borrowing bool) {
	m := f.machine
	for _, j := range f.starved {
		if len(j.Reservations) == 0 || !f.isStarved(j) || !m.EligibleFor(j, f.now()) || !f.MayStartOn(j, m) ||
			!borrowing && j.Team.TasksWithinGuarantee(j.Need, 1) == 0 || m.AwaitsTrial(f.now()) {
			continue
		}
		if !j.Need.Fits(m.FreeResources()) {
			f.blocked = f.blocked || m.HasReservationOf(j)
			continue
		}
		r := j.Reservations[0]
		f.startTasks(r, 1)
	}
	f.free = m.FreeResources()
}
