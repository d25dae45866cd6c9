// Package estimate corrects users' estimates of run times by those that were observed.
package estimate

import (
	"time"
	"yewpass/internal/provider"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Runtimes corrects the owners' estimates by observed run times: by job once a
// task of it has completed, by class and owner before.
//
// Classes are the users' own words, so only the latest used ones are kept.
type Runtimes struct {
	*lru.Cache[string, *Average]
}

const maxKept = 4096

// NewRuntimes returns a Runtimes that has observed nothing.
func NewRuntimes() Runtimes {
	kept, _ := lru.New[string, *Average](maxKept) // errs only for a size below 1
	return Runtimes{kept}
}

// Of returns what was observed of jobs of the same class and owner, nil if nothing.
func (e Runtimes) Of(s *spec.Job) *Average {
	o, _ := e.Get(s.Class + "/" + s.Owner)
	return o
}

// Average is a mean of observations in which recent ones count more than old ones.
type Average struct {
	N    int
	Mean float64 // class: actual over estimate; job: seconds
}

// Add adds an observation.
func (o *Average) Add(x float64) {
	o.N++
	w := max(1/float64(o.N), 0.08)
	o.Mean += w * (x - o.Mean)
}

// ImageFetch returns how long the machine needs to fetch the image.
func ImageFetch(s *spec.Job, f *provider.InstanceType) time.Duration {
	if f == nil || f.ImageGBps <= 0 {
		return 0
	}
	return timeline.Seconds(s.ImageGB / f.ImageGBps)
}
