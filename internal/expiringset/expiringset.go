// Package expiringset implements sets of names that forget their members after a while.
package expiringset

import "time"

// Set is a set of names that forgets each after Retention, twice that at the
// latest. A leadership may last for years, and a machine comes and goes every minute.
//
// What is forgotten could be told to us once more by a report or a list that is older
// still. That breaks no rule: the machine then counts as holding what the report says
// until it has been silent, and goes back, once more, to a cloud that does not know it.
type Set struct {
	Recent, Previous map[string]bool
	RotatedAt        time.Time
}

// Retention is far longer than anything is held up on its way.
const Retention = time.Hour

// New returns an empty set.
func New(now time.Time) Set {
	return Set{map[string]bool{}, map[string]bool{}, now}
}

// Has reports whether the set contains the name.
func (f *Set) Has(name string) bool { return f.Recent[name] || f.Previous[name] }

// Add adds a name to the set.
func (f *Set) Add(name string, now time.Time) {
	if now.Sub(f.RotatedAt) >= Retention {
		f.Recent, f.Previous, f.RotatedAt = map[string]bool{}, f.Recent, now
	}
	f.Recent[name] = true
}
