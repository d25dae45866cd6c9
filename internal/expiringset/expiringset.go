// Package expiringset implements a set of names that expire.
package expiringset

import "time"

// Set is a set of names that keeps each for at least Retention. It drops old names in batches, only
// when a name is added.
//
// A released machine that has expired from the set may reappear in a delayed heartbeat or list. It
// is then released again once it has been silent for long enough, which has no effect.
type Set struct {
	Recent, Previous map[string]bool
	RotatedAt        time.Time
}

// Retention is the minimum time that a name is kept. It far exceeds message delays.
const Retention = time.Hour

// New returns an empty set whose first retention period starts at now.
func New(now time.Time) Set {
	return Set{map[string]bool{}, map[string]bool{}, now}
}

// Has reports whether the name is in the set and has not been dropped.
func (s *Set) Has(name string) bool { return s.Recent[name] || s.Previous[name] }

// Add adds a name or renews its retention. It may drop expired names.
func (s *Set) Add(name string, now time.Time) {
	if now.Sub(s.RotatedAt) >= Retention {
		s.Recent, s.Previous, s.RotatedAt = map[string]bool{}, s.Recent, now
	}
	s.Recent[name] = true
}
