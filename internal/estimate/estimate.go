// Package estimate corrects users' runtime estimates by observed runtimes.
package estimate

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"yewpass/internal/provider"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
)

// Runtimes holds the average ratio of observed to estimated runtimes by class and owner. It keeps
// only the most recently used ones, since users choose the names of classes.
type Runtimes struct {
	*lru.Cache[string, *MovingAverage]
}

// maxClasses bounds the entries of Runtimes, since users choose class names. The least recently
// used one is evicted.
const maxClasses = 4096

// NewRuntimes returns a Runtimes without observations.
func NewRuntimes() Runtimes {
	cache, _ := lru.New[string, *MovingAverage](maxClasses) // fails only for sizes below 1
	return Runtimes{cache}
}

// Lookup returns the average for the job's class and owner, or nil if there is none.
func (e Runtimes) Lookup(s *spec.Job) *MovingAverage {
	o, _ := e.Get(s.Class + "/" + s.Owner)
	return o
}

// MovingAverage is the mean of the first observations and an exponentially weighted average of
// later ones.
type MovingAverage struct {
	N    int
	Mean float64 // runtime ratio for a class, seconds for a job
}

// minWeight is the minimum weight of a new observation.
const minWeight = 0.08

// Add includes an observation in the average.
func (o *MovingAverage) Add(x float64) {
	o.N++
	w := max(1/float64(o.N), minWeight)
	o.Mean += w * (x - o.Mean)
}

// ImageFetchTime returns how long a machine of the type takes to fetch the job's image, or 0 if its
// bandwidth is unknown.
func ImageFetchTime(s *spec.Job, t *provider.InstanceType) time.Duration {
	if t == nil || t.ImageGBps <= 0 {
		return 0
	}
	return timeline.Seconds(s.ImageGB / t.ImageGBps)
}
