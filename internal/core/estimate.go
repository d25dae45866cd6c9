package core

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"yewpass/internal/timeline"
)

// estimates corrects the owners' estimates by observed run times: by job once a
// task of it has completed, by class and owner before.
//
// Classes are the users' own words, so only the latest used ones are kept.
type estimates struct{ *lru.Cache[string, *observed] }

const estimatesKept = 4096

func newEstimates() estimates {
	kept, _ := lru.New[string, *observed](estimatesKept) // errs only for a size below 1
	return estimates{kept}
}

func (e estimates) of(s *JobSpec) *observed {
	o, _ := e.Get(s.Class + "/" + s.Owner)
	return o
}

type observed struct {
	n    int
	mean float64 // class: actual over estimate; job: seconds
}

func (o *observed) add(x float64) {
	o.n++
	w := max(1/float64(o.n), 0.08)
	o.mean += w * (x - o.mean)
}

// observe takes in how long a task ran.
func (c *Core) observe(j *job, m *machine, took time.Duration) {
	if j.spec.Runtime <= 0 {
		return
	}
	j.took.add(took.Seconds())
	o := c.leadership.runtimes.of(&j.spec)
	if o == nil {
		o = &observed{}
		c.leadership.runtimes.Add(j.spec.Class+"/"+j.spec.Owner, o)
	}
	if j.took.n <= 8 { // a large array must not outweigh all other jobs
		o.add(took.Seconds() / j.spec.Runtime.Seconds())
	}
}

// estimate returns how long a task of the job runs, without its image.
func (c *Core) estimate(j *job) time.Duration {
	if j.spec.Service {
		return 0
	}
	if j.took.n > 0 {
		return timeline.Seconds(j.took.mean)
	}
	return c.estimateSpec(&j.spec)
}

func (c *Core) estimateSpec(s *JobSpec) time.Duration {
	d := s.Runtime
	if o := c.leadership.runtimes.of(s); o != nil && o.n >= 5 {
		d = timeline.Seconds(d.Seconds() * min(max(o.mean, 0.3), 3))
	}
	return max(d, 100*time.Millisecond)
}

// fetch returns how long the machine needs to fetch the image.
func fetch(s *JobSpec, f *InstanceType) time.Duration {
	if f == nil || f.ImageGBps <= 0 {
		return 0
	}
	return timeline.Seconds(s.ImageGB / f.ImageGBps)
}
