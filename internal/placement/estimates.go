package placement

import (
	"time"

	"yewpass/internal/estimate"
	"yewpass/internal/fleet"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
)

// maxRuntimesPerJob is how many run times of one job count for its class and owner: a large
// array must not outweigh all other jobs.
const maxRuntimesPerJob = 8

// RecordRuntime takes in how long a task of the job ran.
func (s *Scheduler) RecordRuntime(j *fleet.Job, took time.Duration) {
	if j.Spec.Runtime <= 0 {
		return
	}
	j.Runtime.Add(took.Seconds())
	o := s.runtimes.Of(&j.Spec)
	if o == nil {
		o = &estimate.Average{}
		s.runtimes.Add(j.Spec.Class+"/"+j.Spec.Owner, o)
	}
	if j.Runtime.N <= maxRuntimesPerJob {
		o.Add(took.Seconds() / j.Spec.Runtime.Seconds())
	}
}

// HasRuntimes reports whether run times of jobs like this one are known.
func (s *Scheduler) HasRuntimes(job *spec.Job) bool { return s.runtimes.Of(job) != nil }

// Estimate returns how long a task of the job runs, without the fetch of its image.
func (s *Scheduler) Estimate(j *fleet.Job) time.Duration {
	if j.Spec.Service {
		return 0
	}
	if j.Runtime.N > 0 {
		return timeline.Seconds(j.Runtime.Mean)
	}
	return s.estimateSpec(&j.Spec)
}

// estimateSpec returns the estimate for a job none of whose tasks has completed.
func (s *Scheduler) estimateSpec(job *spec.Job) time.Duration {
	d := job.Runtime
	if o := s.runtimes.Of(job); o != nil && o.N >= 5 {
		d = timeline.Seconds(d.Seconds() * min(max(o.Mean, 0.3), 3))
	}
	return max(d, 100*time.Millisecond)
}

// paddedEstimate returns for how long room is reserved for a task of the job, without the
// fetch of its image.
func (s *Scheduler) paddedEstimate(j *fleet.Job) time.Duration { return s.pad(s.Estimate(j)) }

// PaddedSpecEstimate returns for how long room would be reserved for a task of a job that
// is not accepted yet.
func (s *Scheduler) PaddedSpecEstimate(job *spec.Job) time.Duration {
	return s.pad(s.estimateSpec(job))
}

func (s *Scheduler) pad(d time.Duration) time.Duration {
	return timeline.Seconds(d.Seconds() * (1 + s.Margin))
}

// Occupancy returns for how long room is reserved on the machine for a task of the job.
func (s *Scheduler) Occupancy(j *fleet.Job, m *fleet.Machine) time.Duration {
	return fleet.Occupancy(j, m, s.paddedEstimate(j))
}

// EarliestFinish returns how soon a task of a job that is not accepted yet could be over on
// the machines at hand, or the longest duration if it fits on none of them.
func (s *Scheduler) EarliestFinish(job *spec.Job) time.Duration {
	j := &fleet.Job{Spec: *job, Need: job.TaskResources()}
	run := s.PaddedSpecEstimate(job)
	best := time.Duration(1<<63 - 1)
	for _, m := range s.leader.Machines() {
		if m.EligibleFor(j) {
			if t, ok := m.Timeline.Earliest(s.earliestStart(m), run, j.Need); ok {
				best = min(best, t.Add(run).Sub(s.now()))
			}
		}
	}
	return best
}
