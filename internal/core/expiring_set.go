package core

import "time"

// expiringSet is a set of names that forgets each after releasedRetention, twice that at the
// latest. A leadership may last for years, and a machine comes and goes every minute.
//
// What is forgotten could be told to us once more by a report or a list that is older
// still. That breaks no rule: the machine then counts as holding what the report says
// until it has been silent, and goes back, once more, to a cloud that does not know it.
type expiringSet struct {
	Recent, Previous map[string]bool
	RotatedAt        time.Time
}

// releasedRetention is far longer than anything is held up on its way.
const releasedRetention = time.Hour

func newExpiringSet(now time.Time) expiringSet {
	return expiringSet{map[string]bool{}, map[string]bool{}, now}
}

func (f *expiringSet) Has(name string) bool { return f.Recent[name] || f.Previous[name] }

func (f *expiringSet) Add(name string, now time.Time) {
	if now.Sub(f.RotatedAt) >= releasedRetention {
		f.Recent, f.Previous, f.RotatedAt = map[string]bool{}, f.Recent, now
	}
	f.Recent[name] = true
}
