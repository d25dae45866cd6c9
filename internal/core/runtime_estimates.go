package core

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"yewpass/internal/provider"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
)

// runtimeEstimates corrects the owners' estimates by observed run times: by job once a
// task of it has completed, by class and owner before.
//
// Classes are the users' own words, so only the latest used ones are kept.
type runtimeEstimates struct {
	*lru.Cache[string, *runtimeAverage]
}

const maxRuntimeEstimates = 4096

func newRuntimeEstimates() runtimeEstimates {
	kept, _ := lru.New[string, *runtimeAverage](maxRuntimeEstimates) // errs only for a size below 1
	return runtimeEstimates{kept}
}

func (e runtimeEstimates) Of(s *spec.Job) *runtimeAverage {
	o, _ := e.Get(s.Class + "/" + s.Owner)
	return o
}

type runtimeAverage struct {
	N    int
	Mean float64 // class: actual over estimate; job: seconds
}

func (o *runtimeAverage) Add(x float64) {
	o.N++
	w := max(1/float64(o.N), 0.08)
	o.Mean += w * (x - o.Mean)
}

// recordRuntime takes in how long a task ran.
func (c *Core) recordRuntime(j *job, m *machine, took time.Duration) {
	if j.Spec.Runtime <= 0 {
		return
	}
	j.Runtime.Add(took.Seconds())
	o := c.leadership.runtimes.Of(&j.Spec)
	if o == nil {
		o = &runtimeAverage{}
		c.leadership.runtimes.Add(j.Spec.Class+"/"+j.Spec.Owner, o)
	}
	if j.Runtime.N <= 8 { // a large array must not outweigh all other jobs
		o.Add(took.Seconds() / j.Spec.Runtime.Seconds())
	}
}

// estimate returns how long a task of the job runs, without its image.
func (c *Core) estimate(j *job) time.Duration {
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

// imageFetchTime returns how long the machine needs to fetch the image.
func imageFetchTime(s *spec.Job, f *provider.InstanceType) time.Duration {
	if f == nil || f.ImageGBps <= 0 {
		return 0
	}
	return timeline.Seconds(s.ImageGB / f.ImageGBps)
}
