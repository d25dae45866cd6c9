package placement

import (
	"time"

	"yewpass/internal/estimate"
	"yewpass/internal/fleet"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
)

// maxRuntimesPerJob bounds how many runtimes of one job count towards the average of its class and
// owner, so that a large array does not outweigh all other jobs.
const maxRuntimesPerJob = 8

// RecordRuntime adds the observed runtime of a task to the averages of its job and of the job's
// class and owner. It ignores jobs without a user estimate.
func (s *Scheduler) RecordRuntime(j *fleet.Job, took time.Duration) {
	if j.Spec.Runtime <= 0 {
		return
	}
	j.Runtime.Add(took.Seconds())
	avg := s.runtimes.Lookup(&j.Spec)
	if avg == nil {
		avg = &estimate.MovingAverage{}
		s.runtimes.Add(j.Spec.Class+"/"+j.Spec.Owner, avg)
	}
	if j.Runtime.N <= maxRuntimesPerJob {
		avg.Add(took.Seconds() / j.Spec.Runtime.Seconds())
	}
}

// HasRuntimes reports whether runtimes of the job's class and owner have been observed.
func (s *Scheduler) HasRuntimes(job *spec.Job) bool { return s.runtimes.Lookup(job) != nil }

// Estimate returns the expected runtime of a task of the job, excluding the image fetch. It is 0
// for services.
func (s *Scheduler) Estimate(j *fleet.Job) time.Duration {
	if j.Spec.Service {
		return 0
	}
	if j.Runtime.N > 0 {
		return timeline.Seconds(j.Runtime.Mean)
	}
	return s.estimateSpec(&j.Spec)
}

// estimateSpec returns the user's estimate, corrected by the runtimes observed for the job's class
// and owner.
func (s *Scheduler) estimateSpec(job *spec.Job) time.Duration {
	d := job.Runtime
	if avg := s.runtimes.Lookup(job); avg != nil && avg.N >= 5 {
		d = timeline.Seconds(d.Seconds() * min(max(avg.Mean, 0.3), 3))
	}
	return max(d, 100*time.Millisecond)
}

// paddedEstimate returns the estimate plus the margin, excluding the image fetch.
func (s *Scheduler) paddedEstimate(j *fleet.Job) time.Duration { return s.pad(s.Estimate(j)) }

// PaddedSpecEstimate returns the estimate plus the margin for a job that has not been accepted yet.
func (s *Scheduler) PaddedSpecEstimate(job *spec.Job) time.Duration {
	return s.pad(s.estimateSpec(job))
}

func (s *Scheduler) pad(d time.Duration) time.Duration {
	return timeline.Seconds(d.Seconds() * (1 + s.EstimateMargin))
}

// ReservationDuration returns how long a slot on the machine is reserved for a task of the job: the
// padded estimate plus the image fetch if the machine lacks the image.
func (s *Scheduler) ReservationDuration(j *fleet.Job, m *fleet.Machine) time.Duration {
	return fleet.ReservationDuration(j, m, s.paddedEstimate(j))
}

// EarliestFinish returns how soon a task of a job that has not been accepted yet could finish on
// the current machines, or the longest duration if it fits on none of them.
func (s *Scheduler) EarliestFinish(job *spec.Job) time.Duration {
	j := &fleet.Job{Spec: *job, Need: job.TaskResources()}
	run := s.PaddedSpecEstimate(job)
	best := time.Duration(1<<63 - 1)
	for _, m := range s.leader.Machines() {
		if m.EligibleFor(j, s.now()) {
			if t, ok := m.Timeline.EarliestStart(s.earliestStart(m), run, j.Need); ok {
				best = min(best, t.Add(run).Sub(s.now()))
			}
		}
	}
	return best
}
