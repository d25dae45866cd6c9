// Package zones distinguishes a zone that is cut off from single machines that are gone. It
// derives the state of each zone from how many of its machines are heard. It knows no
// machines, does no I/O and reads no clock.
//
// Hundreds of machines that fall silent at the same time are one outage, not hundreds of
// failures: the machines are most likely well and back within a minute or two, and new ones
// in the same zone would be just as unreachable.
package zones

import (
	"slices"
	"time"
)

// State is the state of a zone or region.
type State int

// The states of a zone or region.
const (
	Up        State = iota
	Doubtful        // so many of its machines are silent at once that it may be cut off
	Lost            // and has been for longer than a worker's lease
	Returning       // reporting again, but not for long yet
)

// String returns the name of the state in lower case.
func (s State) String() string {
	return [...]string{"up", "doubtful", "lost", "returning"}[s]
}

// Settings are the times that decide about the states.
type Settings struct {
	LostAfter     time.Duration // a doubtful zone is lost after this: what ran there is over by then
	StableFor     time.Duration // a returning zone is up after this; doubled for each relapse
	KeepFor       time.Duration // all machines of a lost zone are kept for this, counted from the beginning of the outage
	ProbeInterval time.Duration // how often one machine is rented in a lost zone that has none left
}

// MachineCounts is how many machines of a zone are heard and silent at one time.
type MachineCounts struct {
	Reporting int // machines that have reported recently
	Silent    int // machines that have reported before, or may hold tasks, but have not reported recently
}

const (
	// minSilent is how many machines must be silent for their zone to be suspected.
	minSilent = 3
	// maxRelapses bounds how often StableFor is doubled.
	maxRelapses = 4
	// relapseResetTime is how long a zone must have been up for its relapses to be forgotten.
	relapseResetTime = 5 * time.Minute
	// MinKeepCount is how many silent machines of a lost zone are kept for good: they report when
	// it is back.
	MinKeepCount = 2
)

// Zone is what is known of one zone.
type Zone struct {
	Name            string
	State           State
	Since           time.Time     // of the state
	Counts          MachineCounts // latest
	OutageSince     time.Time     // when the outage began that led to the state
	maxSilent       int           // the most that were silent at a time since then
	relapses        int
	suppressedUntil time.Time // no outage is suspected before this: part of the zone was silent for long
	probedAt        time.Time
	settings        *Settings
}

// Tracker observes the zones.
type Tracker struct {
	settings Settings
	zones    map[string]*Zone
	names    []string // sorted
}

// New returns a Watch that has observed nothing.
func New(s Settings) *Tracker { return &Tracker{settings: s, zones: map[string]*Zone{}} }

// Zone returns the zone of a name. A new one is up.
func (w *Tracker) Zone(name string) *Zone {
	z := w.zones[name]
	if z == nil {
		z = &Zone{Name: name, settings: &w.settings}
		w.zones[name] = z
		i, _ := slices.BinarySearch(w.names, name)
		w.names = slices.Insert(w.names, i, name)
	}
	return z
}

// All returns the zones by name.
func (w *Tracker) All() []*Zone {
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
	Previous time.Duration // how long the former state lasted
}

// Observe takes in an observation of each zone and returns the changes of state.
func (w *Tracker) Observe(now time.Time, observations map[string]MachineCounts) []Change {
	for name := range observations {
		w.Zone(name)
	}
	for _, n := range w.names {
		w.zones[n].Counts = observations[n]
	}
	var cs []Change
	for _, n := range w.names {
		z := w.zones[n]
		if z.Since.IsZero() {
			z.Since = now
		}
		from, since := z.State, z.Since
		z.updateState(now, w.otherZonesReport(z))
		if z.State != from {
			cs = append(cs, Change{Zone: z, From: from, To: z.State, Previous: now.Sub(since)})
		}
	}
	return cs
}

// otherZonesReport reports whether most machines are heard in the other zones, without those
// that are cut off. If not, or if there are none, it is more likely the observer that is cut
// off.
func (w *Tracker) otherZonesReport(z *Zone) bool {
	heard, silent := 0, 0
	for _, n := range w.names {
		if o := w.zones[n]; o != z && o.State != Doubtful && o.State != Lost {
			heard += o.Counts.Reporting
			silent += o.Counts.Silent
		}
	}
	return heard > silent
}

func (z *Zone) setState(s State, now time.Time) { z.State, z.Since = s, now }

func (z *Zone) updateState(now time.Time, elsewhere bool) {
	heard, silent := z.Counts.Reporting, z.Counts.Silent
	doubt := silent >= minSilent && 2*silent >= heard && elsewhere
	if z.State == Returning {
		doubt = doubt && heard == 0 // its machines report one after the other over a heartbeat interval
	}
	switch z.State {
	case Up, Returning:
		switch {
		case doubt && !now.Before(z.suppressedUntil):
			if z.State == Returning || now.Sub(z.Since) < relapseResetTime && !z.OutageSince.IsZero() {
				z.relapses = min(z.relapses+1, maxRelapses)
			} else {
				z.relapses = 0
			}
			z.OutageSince, z.maxSilent = now, silent
			z.setState(Doubtful, now)
		case z.State == Returning && now.Sub(z.Since) >= z.requiredStability():
			if silent >= minSilent && 2*silent >= heard {
				z.suppressSuspicion(now) // machines that are not back by now are judged one by one
			}
			z.setState(Up, now)
		}
	case Doubtful:
		z.maxSilent = max(z.maxSilent, silent)
		over := now.Sub(z.Since) >= z.settings.LostAfter
		switch {
		case heard > 0 && silent == 0:
			z.setState(Returning, now)
		case over && heard > 0:
			// Part of the zone has been reachable all the time, so it is not cut off.
			z.suppressSuspicion(now)
			z.setState(Up, now)
		case over:
			z.probedAt = time.Time{} // a probe is due at once if no machine is left there
			z.setState(Lost, now)
		}
	case Lost:
		z.maxSilent = max(z.maxSilent, silent)
		if heard > 0 { // a zone from which any machine is heard is not cut off
			z.setState(Returning, now)
		}
	}
}

// suppressSuspicion suspects no outage for a while, so that silent machines are judged one by one.
func (z *Zone) suppressSuspicion(now time.Time) { z.suppressedUntil = now.Add(z.settings.LostAfter) }

// requiredStability returns for how long the zone must have returned to be up.
func (z *Zone) requiredStability() time.Duration { return z.settings.StableFor << z.relapses }

// Unreachable reports whether silent machines of the zone are taken to be cut off, not gone.
func (z *Zone) Unreachable() bool { return z.State == Doubtful || z.State == Lost }

// AllowsRental reports whether machines may be rented in the zone: not while it is cut off,
// and not while it returns and some of its machines have not reported yet.
func (z *Zone) AllowsRental() bool {
	return z.State == Up || z.State == Returning && z.Counts.Silent == 0
}

// AllowsTaskStarts reports whether machines of the zone that report may start tasks. A zone that
// relapsed has to be stable for a while first, or its tasks would be lost each time.
func (z *Zone) AllowsTaskStarts() bool { return z.State != Returning || z.relapses == 0 }

// KeepCount returns how many of the zone's silent machines to keep at present. At first that
// is all of them: most outages are short, and the machines come back at once and with their
// images, where new ones have to boot and fetch them. The longer an outage has lasted, the
// longer it is likely to last; so from KeepFor on the number falls, and at three times KeepFor
// only the witnesses are left.
func (z *Zone) KeepCount(now time.Time) int {
	if !z.Unreachable() {
		return 0
	}
	over := now.Sub(z.OutageSince) - z.settings.KeepFor
	if over <= 0 {
		return z.maxSilent
	}
	left := 1 - float64(over)/float64(2*z.settings.KeepFor)
	return max(MinKeepCount, int(left*float64(z.maxSilent)))
}

// StartProbeIfDue reports whether one machine is to be rented in the zone now to see whether it is
// back, because it is lost and has no machine that would show it. The next probe is due after
// the probe interval.
func (z *Zone) StartProbeIfDue(now time.Time) bool {
	if z.State != Lost || z.Counts.Reporting+z.Counts.Silent > 0 || now.Sub(z.probedAt) < z.settings.ProbeInterval {
		return false
	}
	z.probedAt = now
	return true
}

// probeRetryDelay is how long after a refusal the next probe is due.
const probeRetryDelay = 2 * time.Second

// ProbeRefused notes that the cloud had no machine of a type in the zone. A refused probe shows
// nothing, so the next one is due soon and may be of another type: otherwise a zone without
// capacity for the type that is tried first would never be found to be back.
func (z *Zone) ProbeRefused(now time.Time) {
	if z.State == Lost {
		z.probedAt = now.Add(probeRetryDelay - z.settings.ProbeInterval)
	}
}
