package core

import "time"

// forgetful is a set of names that forgets each after goneFor, twice that at the
// latest. A leadership may last for years, and a machine comes and goes every minute.
//
// What is forgotten could be told to us once more by a report or a list that is older
// still. That breaks no rule: the machine then counts as holding what the report says
// until it has been silent, and goes back, once more, to a cloud that does not know it.
type forgetful struct {
	young, old map[string]bool
	turned     time.Time
}

// goneFor is far longer than anything is held up on its way.
const goneFor = time.Hour

func newForgetful(now time.Time) forgetful {
	return forgetful{map[string]bool{}, map[string]bool{}, now}
}

func (f *forgetful) has(name string) bool { return f.young[name] || f.old[name] }

func (f *forgetful) add(name string, now time.Time) {
	if now.Sub(f.turned) >= goneFor {
		f.young, f.old, f.turned = map[string]bool{}, f.young, now
	}
	f.young[name] = true
}
