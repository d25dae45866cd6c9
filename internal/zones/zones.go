// Package zones tells a zone that is lost from machines that are. It is handed what is
// heard of each zone's machines and says in which state the zone is; it knows no machine,
// does no I/O and reads no clock.
//
// Hundreds of machines that fall silent at one instant are one trouble, not hundreds: the
// machines are most likely well, and back within a minute or two, whereas new ones in the
// same zone would be out of reach as they are.
package zones

import (
	"slices"
	"time"
)

// State is how a zone stands.
type State int

// The states of a zone.
const (
	Up        State = iota
	Doubtful        // so many of its machines are silent at once that it may be cut off
	Lost            // and has been for longer than a worker's lease
	Returning       // heard again, not yet for long
)

// String is the name of the state in lower case.
func (s State) String() string {
	return [...]string{"up", "doubtful", "lost", "returning"}[s]
}

// Settings are the times that the verdicts rest on.
type Settings struct {
	LostAfter     time.Duration // a doubtful zone is lost after this: what ran there is over by then
	StableFor     time.Duration // a zone that returns is up after this; longer, the more often it came and went
	KeepFor       time.Duration // machines of a lost zone are all kept for this, counted from the doubt
	ProbeInterval time.Duration // how often one machine is rented in a lost zone that has none left
}

// Observation is what is seen of a zone at one look.
type Observation struct {
	Heard  int // machines that have reported lately
	Silent int // machines that have reported before, or may hold tasks, and have not lately
}

const (
	// minSilent is how many machines must be silent for it to be about their zone.
	minSilent = 3
	// maxRelapses bounds how far Steady grows, by doubling.
	maxRelapses = 4
	// calmAfter is how long a zone must have been up for its relapses to be forgotten.
	calmAfter = 5 * time.Minute
	// Witnesses is how many silent machines are kept of a lost zone however long it takes:
	// they report when it is back.
	Witnesses = 2
)

// Zone is one zone's verdict.
type Zone struct {
	Name        string
	State       State
	Since       time.Time   // of the state
	Seen        Observation // as last seen
	OutageSince time.Time   // when the doubt began that the state comes of
	maxSilent   int         // how many were silent at the most since then
	relapses    int
	ignoreUntil time.Time // no doubt before this: part of a zone was silent for long
	probedAt    time.Time
	settings    *Settings
}

// Watch keeps the zones.
type Watch struct {
	settings Settings
	zones    map[string]*Zone
	names    []string // sorted
}

// New returns a watch that has seen nothing.
func New(s Settings) *Watch { return &Watch{settings: s, zones: map[string]*Zone{}} }

// Zone returns the zone of a name, up if it is new.
func (w *Watch) Zone(name string) *Zone {
	z := w.zones[name]
	if z == nil {
		z = &Zone{Name: name, settings: &w.settings}
		w.zones[name] = z
		i, _ := slices.BinarySearch(w.names, name)
		w.names = slices.Insert(w.names, i, name)
	}
	return z
}

// All returns the zones in the order of their names.
func (w *Watch) All() []*Zone {
	zs := make([]*Zone, 0, len(w.names))
	for _, n := range w.names {
		zs = append(zs, w.zones[n])
	}
	return zs
}

// Change is a zone that goes from one state to another.
type Change struct {
	Zone     *Zone
	From, To State
	After    time.Duration // how long the former state lasted
}

// Observe takes in what is seen of all zones now, and returns what changed.
func (w *Watch) Observe(now time.Time, sights map[string]Observation) []Change {
	for name := range sights {
		w.Zone(name)
	}
	for _, n := range w.names {
		w.zones[n].Seen = sights[n]
	}
	var cs []Change
	for _, n := range w.names {
		z := w.zones[n]
		if z.Since.IsZero() {
			z.Since = now
		}
		from, since := z.State, z.Since
		z.observe(now, w.heardElsewhere(z))
		if z.State != from {
			cs = append(cs, Change{z, from, z.State, now.Sub(since)})
		}
	}
	return cs
}

// heardElsewhere reports whether most machines are heard in the zones that are not lost
// themselves. When they are not, or there are none, it is rather we who are cut off.
func (w *Watch) heardElsewhere(z *Zone) bool {
	heard, silent := 0, 0
	for _, n := range w.names {
		if o := w.zones[n]; o != z && o.State != Doubtful && o.State != Lost {
			heard += o.Seen.Heard
			silent += o.Seen.Silent
		}
	}
	return heard > silent
}

func (z *Zone) enter(s State, now time.Time) { z.State, z.Since = s, now }

func (z *Zone) observe(now time.Time, elsewhere bool) {
	heard, silent := z.Seen.Heard, z.Seen.Silent
	doubt := silent >= minSilent && 2*silent >= heard && elsewhere
	if z.State == Returning {
		doubt = doubt && heard == 0 // it comes back over a report interval
	}
	switch z.State {
	case Up, Returning:
		switch {
		case doubt && !now.Before(z.ignoreUntil):
			if z.State == Returning || now.Sub(z.Since) < calmAfter && !z.OutageSince.IsZero() {
				z.relapses = min(z.relapses+1, maxRelapses)
			} else {
				z.relapses = 0
			}
			z.OutageSince, z.maxSilent = now, silent
			z.enter(Doubtful, now)
		case z.State == Returning && now.Sub(z.Since) >= z.stableFor():
			if silent >= minSilent && 2*silent >= heard {
				z.ignoreSilence(now) // who has not come back by now is a case of its own
			}
			z.enter(Up, now)
		}
	case Doubtful:
		z.maxSilent = max(z.maxSilent, silent)
		over := now.Sub(z.Since) >= z.settings.LostAfter
		switch {
		case heard > 0 && silent == 0:
			z.enter(Returning, now)
		case over && heard > 0:
			// Part of it has been there all the time, so it is not the zone.
			z.ignoreSilence(now)
			z.enter(Up, now)
		case over:
			z.probedAt = time.Time{} // at once, if nobody there is left to tell
			z.enter(Lost, now)
		}
	case Lost:
		z.maxSilent = max(z.maxSilent, silent)
		if heard > 0 { // whoever can be heard from there is not cut off
			z.enter(Returning, now)
		}
	}
}

// ignoreSilence has the zone's silent machines looked at one by one for a while.
func (z *Zone) ignoreSilence(now time.Time) { z.ignoreUntil = now.Add(z.settings.LostAfter) }

func (z *Zone) stableFor() time.Duration { return z.settings.StableFor << z.relapses }

// Unreachable reports whether silent machines of the zone are taken to be cut off, not gone.
func (z *Zone) Unreachable() bool { return z.State == Doubtful || z.State == Lost }

// AllowsRental reports whether machines may be rented in the zone: not while it is away, nor
// while it returns and its own machines are still to report, one after the other.
func (z *Zone) AllowsRental() bool {
	return z.State == Up || z.State == Returning && z.Seen.Silent == 0
}

// StartsTasks reports whether machines of the zone that report may start tasks. One that came
// back and went again has to stay for a while first, or its tasks are lost each time.
func (z *Zone) StartsTasks() bool { return z.State != Returning || z.relapses == 0 }

// KeepCount says how many of its silent machines to keep by now. While a short cut is the
// likelier case all of them: they would come back with their images, at once, where new
// ones take a boot and a fetch. The longer it lasts, the longer it will; so they go one
// after the other, and at three times Keep there are only the witnesses.
func (z *Zone) KeepCount(now time.Time) int {
	if !z.Unreachable() {
		return 0
	}
	over := now.Sub(z.OutageSince) - z.settings.KeepFor
	if over <= 0 {
		return z.maxSilent
	}
	left := 1 - float64(over)/float64(2*z.settings.KeepFor)
	return max(Witnesses, int(left*float64(z.maxSilent)))
}

// TakeProbe reports whether one machine is to be rented in the zone now, to see whether it is
// back: it is lost, and no machine there could tell.
func (z *Zone) TakeProbe(now time.Time) bool {
	if z.State != Lost || z.Seen.Heard+z.Seen.Silent > 0 || now.Sub(z.probedAt) < z.settings.ProbeInterval {
		return false
	}
	z.probedAt = now
	return true
}

// probeRetryDelay is how long after a refusal the next probe comes.
const probeRetryDelay = 2 * time.Second

// ProbeRefused notes that the cloud had no such machine in the zone. If that was a probe it has
// shown nothing, and another kind may be had: a zone without any of the kind that is tried
// first would never be found to be back.
func (z *Zone) ProbeRefused(now time.Time) {
	if z.State == Lost {
		z.probedAt = now.Add(probeRetryDelay - z.settings.ProbeInterval)
	}
}
