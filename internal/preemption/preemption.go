// Package preemption chooses which running tasks to stop so that teams get the capacity
// that they are guaranteed. It is pure: the caller stops the tasks.
package preemption

import (
	"cmp"
	"slices"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/heartbeat"
	"yewpass/internal/quota"
)

const (
	// guaranteeGrace is how long tasks within a guarantee wait before any are preempted for
	// them: tasks that end by themselves often make the room sooner.
	guaranteeGrace = 4 * time.Second
	// checkpointSlack is added to the checkpoint time of a task that is preempted.
	checkpointSlack = time.Second
	// minRemainingFactor and minRemaining bound which tasks without checkpoints may be
	// preempted: what remains of them must exceed so many times what has run, and so much more.
	minRemainingFactor = 6
	minRemaining       = time.Minute
)

// Cluster is the state that a plan is made for.
type Cluster struct {
	Now      time.Time
	Queue    fleet.Queue
	Machines []*fleet.Machine
	MayStart func(*fleet.Job) bool          // whether tasks of a job may start at all now
	Estimate func(*fleet.Job) time.Duration // how long a task of a job runs
}

// Stop is an attempt to preempt.
type Stop struct {
	Attempt   *fleet.Attempt
	DrainTime time.Duration // for a last checkpoint; 0 if the task takes none
}

// Plan returns the attempts to stop, in order: tasks of teams that run beyond their guarantee
// while another team waits for its own, those first that lose the least work.
func Plan(c *Cluster) (stops []Stop) {
	short := c.shortage()
	if short <= 0 {
		return nil
	}
	candidates := c.candidates()
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.loss, b.loss) })
	excess := map[*quota.Account]int64{} // what each team still runs beyond its guarantee
	for _, x := range candidates {
		job, need := x.attempt.Job, x.attempt.Need.CPU
		team := job.Team
		if _, ok := excess[team]; !ok {
			excess[team] = team.Allocated.CPU - team.Guaranteed.CPU
		}
		if short <= 0 || excess[team] < need {
			continue
		}
		excess[team] -= need
		short -= need
		stop := Stop{Attempt: x.attempt}
		if job.Spec.CheckpointInterval > 0 {
			stop.DrainTime = job.Spec.CheckpointTime + checkpointSlack
		}
		stops = append(stops, stop)
	}
	return stops
}

// shortage returns how many thousandths of CPUs the waiting tasks within guarantees need
// beyond what is free or being vacated already.
func (c *Cluster) shortage() int64 {
	short := c.guaranteedDemand()
	for _, m := range c.Machines {
		if m.Usable() && m.Reported {
			short -= m.Room().CPU
		}
	}
	if short <= 0 {
		return short
	}
	for _, m := range c.Machines {
		for _, r := range m.Attempts {
			if r.StopRequested && r.Occupies {
				short -= r.Need.CPU
			}
		}
	}
	return short
}

// guaranteedDemand returns how many thousandths of CPUs tasks that have waited for longer
// than the grace time need within their teams' guarantees.
func (c *Cluster) guaranteedDemand() (demand int64) {
	left := map[*quota.Account]int64{} // of each team's guarantee
	for _, j := range c.Queue {
		t := j.Team
		if t.Guaranteed.CPU == 0 || !c.MayStart(j) || c.Now.Sub(j.Submitted) < guaranteeGrace || t.Allocated.CPU+j.Need.CPU > t.Guaranteed.CPU {
			continue
		}
		if _, ok := left[t]; !ok {
			left[t] = t.Guaranteed.CPU - t.Allocated.CPU
		}
		n := min(left[t], int64(j.Reserved)*j.Need.CPU)
		left[t] -= n
		demand += n
	}
	return demand
}

// candidate is an attempt that may be preempted.
type candidate struct {
	attempt *fleet.Attempt
	loss    time.Duration // work that is lost, or spent on a checkpoint
}

// candidates returns the running attempts of teams beyond their guarantees that may be
// preempted, by machine.
func (c *Cluster) candidates() (list []candidate) {
	estimates := map[*fleet.Job]time.Duration{} // a job's tasks are many
	for _, m := range c.Machines {
		if !m.Usable() || !m.Reported {
			continue
		}
		for _, r := range m.Attempts {
			if !r.Occupies || r.StopRequested || r.Phase != heartbeat.Running || r.Job.Team.Allocated.CPU <= r.Job.Team.Guaranteed.CPU {
				continue
			}
			if loss, ok := c.loss(r, estimates); ok {
				list = append(list, candidate{attempt: r, loss: loss})
			}
		}
	}
	return list
}

// loss returns what preempting an attempt costs, and false if it must not be preempted.
// A task without checkpoints loses all its work, so it is preempted only if it has hardly
// begun and would keep the room for long.
func (c *Cluster) loss(r *fleet.Attempt, estimates map[*fleet.Job]time.Duration) (time.Duration, bool) {
	spec := &r.Job.Spec
	if spec.CheckpointInterval > 0 {
		return spec.CheckpointTime, true
	}
	if r.FoundRunning {
		return 0, false // how long it has run is not known: to a new leader all seem to have begun just now
	}
	loss := c.Now.Sub(r.StartedAt)
	if spec.Service {
		return loss, true
	}
	length, ok := estimates[r.Job]
	if !ok {
		length = c.Estimate(r.Job)
		estimates[r.Job] = length
	}
	return loss, length-loss >= minRemainingFactor*loss+minRemaining
}
