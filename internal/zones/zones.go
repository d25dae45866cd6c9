// Package zones detects outages of availability zones and regions from the number of their machines
// that report and that are silent. It does no I/O and reads no clock.
//
// When many machines of a zone fall silent at the same time, a network partition is more likely
// than many independent failures, and new machines in the zone would be unreachable as well.
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
	Doubtful        // may be unreachable: many of its machines fell silent
	Lost            // doubtful for longer than a worker's lease
	Returning       // reporting again, but not yet for long enough to be up
)

// String returns the name of the state in lower case.
func (s State) String() string {
	return [...]string{"up", "doubtful", "lost", "returning"}[s]
}

// Settings are the intervals that govern state changes, probes and the release of machines.
type Settings struct {
	// LostAfter is the time after which a doubtful zone is lost. It is longer than a worker's
	// lease, so the tasks of an unreachable zone have ended by then.
	LostAfter time.Duration
	// StableFor is the time after which a returning zone is up; doubled for each relapse.
	StableFor time.Duration
	// KeepFor is how long after the start of an outage all machines of a lost zone are kept.
	KeepFor time.Duration
	// ProbeInterval is the interval between probes of a lost zone that has no machines.
	ProbeInterval time.Duration
}

// MachineCounts holds the numbers of reporting and silent machines of a zone.
type MachineCounts struct {
	Reporting int // machines with a recent heartbeat
	Silent    int // machines without one that have reported before or may hold tasks
}

const (
	// minSilent is the minimum number of silent machines for a zone to become doubtful.
	minSilent = 3
	// maxRelapses bounds how often StableFor is doubled.
	maxRelapses = 4
	// relapseResetTime is how long a zone must be up before its relapses are forgotten.
	relapseResetTime = 5 * time.Minute
	// MinKeepCount is the number of silent machines of a lost zone that are never released, so that
	// their heartbeats show when the zone is reachable again.
	MinKeepCount = 2
)

// Zone holds the state of one zone.
type Zone struct {
	Name            string
	State           State
	Since           time.Time     // when the state was entered
	Counts          MachineCounts // from the latest observation
	OutageSince     time.Time     // start of the latest outage
	maxSilent       int           // maximum of Counts.Silent during that outage
	relapses        int
	suppressedUntil time.Time // not Doubtful before this time, as part of the zone was silent for long
	probedAt        time.Time
	settings        *Settings
}

// Tracker tracks the states of all zones.
type Tracker struct {
	settings Settings
	zones    map[string]*Zone
	names    []string // sorted
}

// New returns a Tracker without zones.
func New(s Settings) *Tracker { return &Tracker{settings: s, zones: map[string]*Zone{}} }

// Zone returns the named zone, adding it in state Up if it is not known.
func (t *Tracker) Zone(name string) *Zone {
	z := t.zones[name]
	if z == nil {
		z = &Zone{Name: name, settings: &t.settings}
		t.zones[name] = z
		i, _ := slices.BinarySearch(t.names, name)
		t.names = slices.Insert(t.names, i, name)
	}
	return z
}

// All returns the zones, sorted by name.
func (t *Tracker) All() []*Zone {
	list := make([]*Zone, 0, len(t.names))
	for _, n := range t.names {
		list = append(list, t.zones[n])
	}
	return list
}

// Change is a state change of a zone.
type Change struct {
	Zone             *Zone
	From, To         State
	PreviousDuration time.Duration // time spent in state From
}

// Observe updates all zones and returns their state changes. Zones missing from observations have
// no machines.
func (t *Tracker) Observe(now time.Time, observations map[string]MachineCounts) []Change {
	for name := range observations {
		t.Zone(name)
	}
	for _, n := range t.names {
		t.zones[n].Counts = observations[n]
	}
	var changes []Change
	for _, n := range t.names {
		z := t.zones[n]
		if z.Since.IsZero() {
			z.Since = now
		}
		from, since := z.State, z.Since
		z.updateState(now, t.otherZonesReport(z))
		if z.State != from {
			changes = append(changes, Change{Zone: z, From: from, To: z.State, PreviousDuration: now.Sub(since)})
		}
	}
	return changes
}

// otherZonesReport reports whether most machines of the other reachable zones report. If not, the
// observer itself is more likely to be partitioned than the zone z.
func (t *Tracker) otherZonesReport(z *Zone) bool {
	reporting, silent := 0, 0
	for _, n := range t.names {
		if o := t.zones[n]; o != z && o.State != Doubtful && o.State != Lost {
			reporting += o.Counts.Reporting
			silent += o.Counts.Silent
		}
	}
	return reporting > silent
}

func (z *Zone) setState(s State, now time.Time) { z.State, z.Since = s, now }

func (z *Zone) updateState(now time.Time, othersReport bool) {
	reporting, silent := z.Counts.Reporting, z.Counts.Silent
	suspected := silent >= minSilent && 2*silent >= reporting && othersReport
	if z.State == Returning {
		suspected = suspected && reporting == 0 // heartbeats resume gradually over one interval
	}
	switch z.State {
	case Up, Returning:
		switch {
		case suspected && !now.Before(z.suppressedUntil):
			if z.State == Returning || now.Sub(z.Since) < relapseResetTime && !z.OutageSince.IsZero() {
				z.relapses = min(z.relapses+1, maxRelapses)
			} else {
				z.relapses = 0
			}
			z.OutageSince, z.maxSilent = now, silent
			z.setState(Doubtful, now)
		case z.State == Returning && now.Sub(z.Since) >= z.requiredStability():
			if silent >= minSilent && 2*silent >= reporting {
				z.suppressSuspicion(now) // the remaining silent machines are handled individually
			}
			z.setState(Up, now)
		}
	case Doubtful:
		z.maxSilent = max(z.maxSilent, silent)
		over := now.Sub(z.Since) >= z.settings.LostAfter
		switch {
		case reporting > 0 && silent == 0:
			z.setState(Returning, now)
		case over && reporting > 0:
			// Some machines have reported all the time, so the zone is reachable.
			z.suppressSuspicion(now)
			z.setState(Up, now)
		case over:
			z.probedAt = time.Time{} // a probe is due at once
			z.setState(Lost, now)
		}
	case Lost:
		z.maxSilent = max(z.maxSilent, silent)
		if reporting > 0 { // one heartbeat proves that the zone is reachable
			z.setState(Returning, now)
		}
	}
}

// suppressSuspicion keeps the zone from becoming doubtful for LostAfter, so that its silent
// machines are handled individually.
func (z *Zone) suppressSuspicion(now time.Time) { z.suppressedUntil = now.Add(z.settings.LostAfter) }

// requiredStability returns how long the zone must be in state Returning before it is up.
func (z *Zone) requiredStability() time.Duration { return z.settings.StableFor << z.relapses }

// Unreachable reports whether the zone is Doubtful or Lost, so that its silent machines are
// considered unreachable rather than failed.
func (z *Zone) Unreachable() bool { return z.State == Doubtful || z.State == Lost }

// AllowsRental reports whether instances may be requested in the zone: not while it is unreachable,
// or returning with some machines still silent.
func (z *Zone) AllowsRental() bool {
	return z.State == Up || z.State == Returning && z.Counts.Silent == 0
}

// AllowsTaskStarts reports whether reporting machines of the zone may start tasks. They may not
// while it is returning after a relapse, since a further relapse would lose the tasks.
func (z *Zone) AllowsTaskStarts() bool { return z.State != Returning || z.relapses == 0 }

// KeepCount returns how many silent machines of an unreachable zone to keep: all until KeepFor,
// since replacements would have to boot and fetch images, then linearly fewer, down to MinKeepCount
// at three times KeepFor.
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

// StartProbeIfDue reports whether to request one machine in the zone now, and records the probe as
// started. A probe is due if the zone is lost, has no machines and was not probed within
// ProbeInterval.
func (z *Zone) StartProbeIfDue(now time.Time) bool {
	if z.State != Lost || z.Counts.Reporting+z.Counts.Silent > 0 || now.Sub(z.probedAt) < z.settings.ProbeInterval {
		return false
	}
	z.probedAt = now
	return true
}

// probeRetryDelay is the delay after a refused probe.
const probeRetryDelay = 2 * time.Second

// ProbeRefused records that the cloud had no capacity for an instance type in the zone. The next
// probe is due after probeRetryDelay and may use another type; otherwise the recovery of a zone
// without capacity for the first type would not be detected.
func (z *Zone) ProbeRefused(now time.Time) {
	if z.State == Lost {
		z.probedAt = now.Add(probeRetryDelay - z.settings.ProbeInterval)
	}
}
