package core

import (
	"log/slog"
	"slices"
	"sort"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"yewpass/internal/heartbeat"
	"yewpass/internal/provider"
	"yewpass/internal/timeline"
	"yewpass/internal/topology"
	"yewpass/internal/zones"
)

// maxKnownImages is how many images a machine is taken to have: the latest used ones, as
// it keeps them itself. Their names are the users' own words.
const maxKnownImages = 128

func newImages() *simplelru.LRU[string, struct{}] {
	images, _ := simplelru.NewLRU[string, struct{}](maxKnownImages, nil) // errs only for a size below 1
	return images
}

type recordStatus int

const (
	unrecorded recordStatus = iota
	recording
	recorded
)

// machine is a rented machine.
type machine struct {
	host, typeName, zone string
	address              string
	place                *topology.Place        // where it stands
	zoneState            *zones.Zone            // and how that zone is
	instanceType         *provider.InstanceType // nil while the catalog is unknown
	spot                 bool
	record               recordStatus   // a successor must know of it before it may hold tasks
	recordedIn           *machineRecord // the record that names it

	reported             bool // in this term
	probed               bool // and that only in answer to a probe
	failedProbes         int  // probes in vain
	incarnation, counter uint64
	fencingToken         uint64
	expiredIncarnation   uint64    // its lease under tenures up to this one is surely over
	lastHeartbeat        time.Time // last report
	lastReply            time.Time // last answered report
	knownSince           time.Time // known to us
	rentedAt             time.Time
	readyAt              time.Time // expected, while it boots
	heldReply            *heldReply
	unacknowledgedSince  time.Time  // first answered in this term, and has not shown that it heard
	unlistedStarts       int        // in a row: starts that its next report did not list
	reportsVia           *relayLink // by which it reports, among whose workers it counts
	lastMoved            time.Time  // when it was last led to another node
	dispatchPending      bool       // has orders that need not wait for its next report

	timeline     *timeline.Timeline
	attempts     []*attempt
	reservations []*reservation // of tasks that wait
	allocated    timeline.Resources
	warmReserve  int64                            // CPUs, in thousandths, kept free for work that must start at once
	images       *simplelru.LRU[string, struct{}] // that it has, as far as we know
	idleSince    time.Time                        // since when nothing runs or is booked

	releasing      bool
	draining       bool // its work fits elsewhere: no new tasks, then it goes back
	quarantined    bool
	leaseExpired   bool      // its lease is over and it has not reported since
	unreachable    bool      // silent, in a zone that seems to be cut off
	interruptionAt time.Time // the cloud takes it away
	retryAt        time.Time // after a refused start
	failureScore   int
	onProbation    bool // its last task failed: one task at a time until one completes
}

// ensureMachine returns the machine named host, made known if need be.
func (c *Core) ensureMachine(host, flavor, zone string, reclaimable bool) *machine {
	l := c.leadership
	m := l.machines[host]
	if m == nil {
		m = &machine{host: host, typeName: flavor, zone: zone, spot: reclaimable,
			knownSince: c.Now, rentedAt: c.Now, idleSince: c.Now, images: newImages(), timeline: timeline.New(timeline.Resources{})}
		m.place, _ = l.places.Machine(host, "", zone)
		m.zoneState = l.zones.Zone(zone)
		l.machines[host] = m
		l.fleet = slices.Insert(l.fleet, l.fleetIndex(host), m)
		c.setInstanceType(m)
	}
	return m
}

// fleetIndex returns where the machine named host is in the fleet, or would be.
func (l *leadership) fleetIndex(host string) int {
	return sort.Search(len(l.fleet), func(i int) bool { return l.fleet[i].host >= host })
}

func (c *Core) setInstanceType(m *machine) {
	if f := c.leadership.autoscaler.instanceType(m.typeName); f != nil && m.instanceType == nil {
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
	return m.instanceType != nil && !m.releasing && !m.draining && !m.quarantined && !m.leaseExpired && !m.unreachable && m.interruptionAt.IsZero()
}

func (m *machine) room() timeline.Resources {
	return m.timeline.Capacity().Add(m.allocated, -1)
}

// findAttempt returns the run of an attempt. Workers list tasks in the order of their
// starts, as we do: the search begins where that has it.
func (m *machine) findAttempt(id heartbeat.TaskID, try uint64, from int) *attempt {
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

// leaseExpiry returns when the machine's lease has surely ended if it is not
// answered any more, and false while that cannot be told.
func (c *Core) leaseExpiry(m *machine) (time.Time, bool) {
	l := c.leadership
	if !l.unaccounted[m.host] && !m.probed {
		if m.lastReply.IsZero() {
			return time.Time{}, false
		}
		return m.lastReply.Add(withDrift(c.workerLease)), true
	}
	base := c.earlierLeaseExpiry()
	if at := m.lastReply.Add(withDrift(c.workerLease)); at.After(base) {
		base = at
	}
	return base, true
}

// earlierLeaseExpiry is when a lease is surely over that only earlier leaders renewed: one
// may have gone on answering until its peers told it of our term or its hold ran out.
func (c *Core) earlierLeaseExpiry() time.Time {
	l := c.leadership
	over := c.leaseTiming.TasksGoneAfter(l.electedAt.Add(l.earlierLeaderLag))
	if !l.allAcknowledgedAt.IsZero() {
		if told := l.allAcknowledgedAt.Add(withDrift(c.workerLease)); told.Before(over) {
			return told
		}
	}
	return over
}

// expireLease gives up on the tasks of a machine whose lease is surely over.
func (c *Core) expireLease(m *machine) {
	c.Log(slog.LevelWarn, "lease over", "machine", m.host, "tasks", len(m.attempts))
	for _, r := range slices.Clone(m.attempts) {
		c.dropAttempt(r)
	}
	if m.reported {
		m.expiredIncarnation = m.incarnation
	}
	m.reported, m.leaseExpired = false, true
	c.leadership.clearReportsVia(m)
	m.lastReply = time.Time{}
	c.markAccounted(m.host)
	c.dropMachineReservations(m)
}
