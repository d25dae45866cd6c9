// Package estimate corrects users' estimates of run times by those that were observed.
package estimate

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"yewpass/internal/provider"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
)

// Runtimes holds observed run times by class and owner, relative to the users' estimates.
// Users name classes as they like, so only the most recently used ones are kept.
type Runtimes struct {
	*lru.Cache[string, *MovingAverage]
}

// maxClasses is how many classes are kept.
const maxClasses = 4096

// NewRuntimes returns a Runtimes that has observed nothing.
func NewRuntimes() Runtimes {
	kept, _ := lru.New[string, *MovingAverage](maxClasses) // errs only for a size below 1
	return Runtimes{kept}
}

// Lookup returns what was observed of jobs of the same class and owner, nil if nothing.
func (e Runtimes) Lookup(s *spec.Job) *MovingAverage {
	o, _ := e.Get(s.Class + "/" + s.Owner)
	return o
}

// MovingAverage is a mean of observations in which recent ones count more than old ones.
type MovingAverage struct {
	N    int
	Mean float64 // class: actual over estimate; job: seconds
}

// minWeight is the least weight of a new observation.
const minWeight = 0.08

// Add adds an observation.
func (o *MovingAverage) Add(x float64) {
	o.N++
	w := max(1/float64(o.N), minWeight)
	o.Mean += w * (x - o.Mean)
}

// ImageFetchTime returns how long a machine of the type needs to fetch the image of the job.
func ImageFetchTime(s *spec.Job, t *provider.InstanceType) time.Duration {
	if t == nil || t.ImageGBps <= 0 {
		return 0
	}
	return timeline.Seconds(s.ImageGB / t.ImageGBps)
}
