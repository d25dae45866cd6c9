// Package preemption selects running tasks to stop so that teams get their guaranteed quota. It has
// no side effects; the caller stops the tasks.
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
	// guaranteeGrace is how long a job within its team's guarantee waits before tasks are preempted
	// for it, since other tasks may finish in the meantime.
	guaranteeGrace = 4 * time.Second
	// checkpointSlack is added to the checkpoint time of a preempted task.
	checkpointSlack = time.Second
	// A task without checkpoints may be preempted only if its remaining runtime is at least
	// minRemainingFactor times its elapsed runtime plus minRemaining.
	minRemainingFactor = 6
	minRemaining       = time.Minute
)

// State is the input of Plan.
type State struct {
	Now      time.Time
	Queue    fleet.Queue
	Machines []*fleet.Machine
	MayStart func(*fleet.Job) bool          // whether any task of the job may start now
	Estimate func(*fleet.Job) time.Duration // expected runtime of a task
}

// Preemption is the decision to stop an attempt.
type Preemption struct {
	Attempt   *fleet.Attempt
	DrainTime time.Duration // time for a final checkpoint; 0 if the task takes none
}

// Plan returns the attempts to preempt while teams wait for their guarantee: tasks of teams that
// use more than theirs, starting with the least lost work.
func Plan(s *State) (plan []Preemption) {
	short := s.shortage()
	if short <= 0 {
		return nil
	}
	candidates := s.candidates()
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.loss, b.loss) })
	excess := map[*quota.Account]int64{} // millicores of each team beyond its guarantee that are still preemptible
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
		p := Preemption{Attempt: x.attempt}
		if job.Spec.CheckpointInterval > 0 {
			p.DrainTime = job.Spec.CheckpointTime + checkpointSlack
		}
		plan = append(plan, p)
	}
	return plan
}

// shortage returns by how many millicores the demand within guarantees exceeds what is free or
// being freed by stop orders.
func (s *State) shortage() int64 {
	short := s.guaranteedDemand()
	for _, m := range s.Machines {
		if m.Schedulable() && m.Reported {
			short -= m.FreeResources().CPU
		}
	}
	if short <= 0 {
		return short
	}
	for _, m := range s.Machines {
		for _, a := range m.Attempts {
			if a.StopRequested && a.HoldsResources {
				short -= a.Need.CPU
			}
		}
	}
	return short
}

// guaranteedDemand returns the millicores that tasks pending for at least guaranteeGrace need
// within their teams' guarantees.
func (s *State) guaranteedDemand() (demand int64) {
	left := map[*quota.Account]int64{} // what remains of each team's guarantee
	for _, j := range s.Queue {
		t := j.Team
		if t.Guaranteed.CPU == 0 || !s.MayStart(j) || s.Now.Sub(j.Submitted) < guaranteeGrace || t.Allocated.CPU+j.Need.CPU > t.Guaranteed.CPU {
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

type candidate struct {
	attempt *fleet.Attempt
	loss    time.Duration // work lost, or time spent on a checkpoint
}

// candidates returns the preemptible running attempts of teams that use more than their guarantee,
// in the order of the machines.
func (s *State) candidates() (list []candidate) {
	estimates := map[*fleet.Job]time.Duration{} // shared by all tasks of a job
	for _, m := range s.Machines {
		if !m.Schedulable() || !m.Reported {
			continue
		}
		for _, a := range m.Attempts {
			if !a.HoldsResources || a.StopRequested || a.Phase != heartbeat.Running || a.Job.Team.Allocated.CPU <= a.Job.Team.Guaranteed.CPU {
				continue
			}
			if loss, ok := s.loss(a, estimates); ok {
				list = append(list, candidate{attempt: a, loss: loss})
			}
		}
	}
	return list
}

// loss returns the cost of preempting an attempt, and false if it must not be preempted. A task
// without checkpoints loses all its work, so it is preempted only shortly after its start and only
// if it would run much longer.
func (s *State) loss(a *fleet.Attempt, estimates map[*fleet.Job]time.Duration) (time.Duration, bool) {
	spec := &a.Job.Spec
	if spec.CheckpointInterval > 0 {
		return spec.CheckpointTime, true
	}
	if a.StartTimeUnknown {
		return 0, false // unknown after a failover: to a new leader all tasks seem to have just started
	}
	loss := s.Now.Sub(a.StartedAt)
	if spec.Service {
		return loss, true
	}
	length, ok := estimates[a.Job]
	if !ok {
		length = s.Estimate(a.Job)
		estimates[a.Job] = length
	}
	return loss, length-loss >= minRemainingFactor*loss+minRemaining
}
