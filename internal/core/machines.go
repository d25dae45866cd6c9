package core

import (
	"log/slog"
	"slices"
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"yewpass/internal/timeline"
	"yewpass/internal/topology"
	"yewpass/internal/zones"
)

// imagesKept is how many images a machine is taken to have: the latest used ones, as
// it keeps them itself. Their names are the users' own words.
const imagesKept = 128

func newImages() *simplelru.LRU[string, struct{}] {
	images, _ := simplelru.NewLRU[string, struct{}](imagesKept, nil) // errs only for a size below 1
	return images
}

type recordState int

const (
	unrecorded recordState = iota
	recording
	recorded
)

// machine is a rented machine.
type machine struct {
	host, typeName, zone string
	address              string
	leaf                 *topology.Place // where it stands
	in                   *zones.Zone     // and how that zone is
	instanceType         *InstanceType   // nil while the catalog is unknown
	spot                 bool
	record               recordState // a successor must know of it before it may hold tasks
	group                *group      // the record that names it

	reported             bool // in this term
	probed               bool // and that only in answer to a probe
	unreached            int  // probes in vain
	incarnation, counter uint64
	fencingToken         uint64
	expiredIncarnation   uint64    // its lease under tenures up to this one is surely over
	seen                 time.Time // last report
	answered             time.Time // last answered report
	since                time.Time // known to us
	rentedAt             time.Time
	readyAt              time.Time // expected, while it boots
	held                 *heldReport
	deafSince            time.Time  // first answered in this term, and has not shown that it heard
	lostStarts           int        // in a row: starts that its next report did not list
	home                 *relayPeer // by which it reports, among whose workers it counts
	moved                time.Time  // when it was last led to another node
	poked                bool       // has orders that need not wait for its next report

	timeline     *timeline.Timeline
	attempts     []*attempt
	reservations []*reservation // of tasks that wait
	used         timeline.Resources
	warm         int64                            // CPUs, in thousandths, kept free for work that must start at once
	images       *simplelru.LRU[string, struct{}] // that it has, as far as we know
	idle         time.Time                        // since when nothing runs or is booked

	releasing    bool
	draining     bool // its work fits elsewhere: no new tasks, then it goes back
	quarantined  bool
	lost         bool      // its lease is over and it has not reported since
	away         bool      // silent, in a zone that seems to be cut off
	leaving      time.Time // the cloud takes it away
	retryAt      time.Time // after a refused start
	failureScore int
	onProbation  bool // its last task failed: one task at a time until one completes
}

// machine returns the machine named host, made known if need be.
func (c *Core) machine(host, flavor, zone string, reclaimable bool) *machine {
	l := c.leadership
	m := l.machines[host]
	if m == nil {
		m = &machine{host: host, typeName: flavor, zone: zone, spot: reclaimable,
			since: c.now, rentedAt: c.now, idle: c.now, images: newImages(), timeline: timeline.New(timeline.Resources{})}
		m.leaf, _ = l.places.Machine(host, "", zone)
		m.in = l.zones.Zone(zone)
		l.machines[host] = m
		l.fleet = slices.Insert(l.fleet, l.place(host), m)
		c.setInstanceType(m)
	}
	return m
}

// place returns where the machine named host is in the fleet, or would be.
func (l *leadership) place(host string) int {
	return sort.Search(len(l.fleet), func(i int) bool { return l.fleet[i].host >= host })
}

func (c *Core) setInstanceType(m *machine) {
	if f := c.leadership.rent.instanceType(m.typeName); f != nil && m.instanceType == nil {
		m.instanceType = f
		tl := timeline.New(f.Capacity)
		for _, r := range m.attempts {
			if r.reservation != nil {
				tl.Add(r.reservation)
			}
		}
		m.timeline = tl
	}
}

// usable reports whether new tasks may be booked on the machine.
func (m *machine) usable() bool {
	return m.instanceType != nil && !m.releasing && !m.draining && !m.quarantined && !m.lost && !m.away && m.leaving.IsZero()
}

func (m *machine) room() timeline.Resources {
	return m.timeline.Capacity().Add(m.used, -1)
}

// findAttempt returns the run of an attempt. Workers list tasks in the order of their
// starts, as we do: the search begins where that has it.
func (m *machine) findAttempt(id TaskID, try uint64, from int) *attempt {
	n := len(m.attempts)
	for i := range n {
		if r := m.attempts[(from+i)%n]; r.number == try && r.id == id {
			return r
		}
	}
	return nil
}

func (l *leadership) sortedJobs() []*job {
	js := make([]*job, 0, len(l.jobs))
	for _, j := range l.jobs {
		js = append(js, j)
	}
	slices.SortFunc(js, func(a, b *job) int {
		if x := a.submitted.Compare(b.submitted); x != 0 {
			return x
		}
		if a.spec.ID < b.spec.ID {
			return -1
		}
		return 1
	})
	return js
}

// leaseOver returns when the machine's lease has surely ended if it is not
// answered any more, and false while that cannot be told.
func (c *Core) leaseOver(m *machine) (time.Time, bool) {
	l := c.leadership
	if !l.unaccounted[m.host] && !m.probed {
		if m.answered.IsZero() {
			return time.Time{}, false
		}
		return m.answered.Add(withDrift(c.lease)), true
	}
	base := c.earlierLease()
	if at := m.answered.Add(withDrift(c.lease)); at.After(base) {
		base = at
	}
	return base, true
}

// earlierLease is when a lease is surely over that only earlier leaders renewed: one
// may have gone on answering until its peers told it of our term or its hold ran out.
func (c *Core) earlierLease() time.Time {
	l := c.leadership
	over := c.leaseTiming.TasksGoneAfter(l.electedAt.Add(l.earlierLeaderLag))
	if !l.allAcknowledgedAt.IsZero() {
		if told := l.allAcknowledgedAt.Add(withDrift(c.lease)); told.Before(over) {
			return told
		}
	}
	return over
}

// expire gives up on the tasks of a machine whose lease is surely over.
func (c *Core) expire(m *machine) {
	c.note(slog.LevelWarn, "lease over", "machine", m.host, "tasks", len(m.attempts))
	for _, r := range slices.Clone(m.attempts) {
		c.dropAttempt(r)
	}
	if m.reported {
		m.expiredIncarnation = m.incarnation
	}
	m.reported, m.lost = false, true
	c.leadership.leaves(m)
	m.answered = time.Time{}
	c.markAccounted(m.host)
	c.dropMachineReservations(m)
}
