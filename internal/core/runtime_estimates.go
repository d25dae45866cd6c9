package core

import (
	"time"

	"yewpass/internal/estimate"
	"yewpass/internal/fleet"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
)

// recordRuntime takes in how long a task ran.
func (c *Core) recordRuntime(j *fleet.Job, m *fleet.Machine, took time.Duration) {
	if j.Spec.Runtime <= 0 {
		return
	}
	j.Runtime.Add(took.Seconds())
	o := c.leadership.runtimes.Of(&j.Spec)
	if o == nil {
		o = &estimate.Average{}
		c.leadership.runtimes.Add(j.Spec.Class+"/"+j.Spec.Owner, o)
	}
	if j.Runtime.N <= 8 { // a large array must not outweigh all other jobs
		o.Add(took.Seconds() / j.Spec.Runtime.Seconds())
	}
}

// estimate returns how long a task of the job runs, without its image.
func (c *Core) estimate(j *fleet.Job) time.Duration {
	if j.Spec.Service {
		return 0
	}
	if j.Runtime.N > 0 {
		return timeline.Seconds(j.Runtime.Mean)
	}
	return c.estimateSpec(&j.Spec)
}

func (c *Core) estimateSpec(s *spec.Job) time.Duration {
	d := s.Runtime
	if o := c.leadership.runtimes.Of(s); o != nil && o.N >= 5 {
		d = timeline.Seconds(d.Seconds() * min(max(o.Mean, 0.3), 3))
	}
	return max(d, 100*time.Millisecond)
}
