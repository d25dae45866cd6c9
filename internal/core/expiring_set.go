package core

import "time"

// expiringSet is a set of names that forgets each after releasedRetention, twice that at the
// latest. A leadership may last for years, and a machine comes and goes every minute.
//
// What is forgotten could be told to us once more by a report or a list that is older
// still. That breaks no rule: the machine then counts as holding what the report says
// until it has been silent, and goes back, once more, to a cloud that does not know it.
type expiringSet struct {
	recent, previous map[string]bool
	rotatedAt        time.Time
}

// releasedRetention is far longer than anything is held up on its way.
const releasedRetention = time.Hour

func newExpiringSet(now time.Time) expiringSet {
	return expiringSet{map[string]bool{}, map[string]bool{}, now}
}

func (f *expiringSet) has(name string) bool { return f.recent[name] || f.previous[name] }

func (f *expiringSet) add(name string, now time.Time) {
	if now.Sub(f.rotatedAt) >= releasedRetention {
		f.recent, f.previous, f.rotatedAt = map[string]bool{}, f.recent, now
	}
	f.recent[name] = true
}
