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
	Host, TypeName, Zone string
	Address              string
	Place                *topology.Place        // where it stands
	ZoneState            *zones.Zone            // and how that zone is
	InstanceType         *provider.InstanceType // nil while the catalog is unknown
	Spot                 bool
	Record               recordStatus   // a successor must know of it before it may hold tasks
	RecordedIn           *machineRecord // the record that names it

	Reported             bool // in this term
	Probed               bool // and that only in answer to a probe
	FailedProbes         int  // probes in vain
	Incarnation, Counter uint64
	FencingToken         uint64
	ExpiredIncarnation   uint64    // its lease under tenures up to this one is surely over
	LastHeartbeat        time.Time // last report
	LastReply            time.Time // last answered report
	KnownSince           time.Time // known to us
	RentedAt             time.Time
	ReadyAt              time.Time // expected, while it boots
	HeldReply            *heldReply
	UnacknowledgedSince  time.Time  // first answered in this term, and has not shown that it heard
	UnlistedStarts       int        // in a row: starts that its next report did not list
	ReportsVia           *relayLink // by which it reports, among whose workers it counts
	LastMoved            time.Time  // when it was last led to another node
	DispatchPending      bool       // has orders that need not wait for its next report

	Timeline     *timeline.Timeline
	Attempts     []*attempt
	Reservations []*reservation // of tasks that wait
	Allocated    timeline.Resources
	WarmReserve  int64                            // CPUs, in thousandths, kept free for work that must start at once
	Images       *simplelru.LRU[string, struct{}] // that it has, as far as we know
	IdleSince    time.Time                        // since when nothing runs or is booked

	Releasing      bool
	Draining       bool // its work fits elsewhere: no new tasks, then it goes back
	Quarantined    bool
	LeaseExpired   bool      // its lease is over and it has not reported since
	Unreachable    bool      // silent, in a zone that seems to be cut off
	InterruptionAt time.Time // the cloud takes it away
	RetryAt        time.Time // after a refused start
	FailureScore   int
	OnProbation    bool // its last task failed: one task at a time until one completes
}

// ensureMachine returns the machine named host, made known if need be.
func (c *Core) ensureMachine(host, flavor, zone string, reclaimable bool) *machine {
	l := c.leadership
	m := l.machines[host]
	if m == nil {
		m = &machine{Host: host, TypeName: flavor, Zone: zone, Spot: reclaimable,
			KnownSince: c.Now, RentedAt: c.Now, IdleSince: c.Now, Images: newImages(), Timeline: timeline.New(timeline.Resources{})}
		m.Place, _ = l.places.Machine(host, "", zone)
		m.ZoneState = l.zones.Zone(zone)
		l.machines[host] = m
		l.fleet = slices.Insert(l.fleet, l.fleetIndex(host), m)
		c.setInstanceType(m)
	}
	return m
}

// fleetIndex returns where the machine named host is in the fleet, or would be.
func (l *leadership) fleetIndex(host string) int {
	return sort.Search(len(l.fleet), func(i int) bool { return l.fleet[i].Host >= host })
}

func (c *Core) setInstanceType(m *machine) {
	if f := c.leadership.autoscaler.instanceType(m.TypeName); f != nil && m.InstanceType == nil {
		m.InstanceType = f
		tl := timeline.New(f.Capacity)
		for _, r := range m.Attempts {
			if r.Reservation != nil {
				tl.Add(r.Reservation)
			}
		}
		m.Timeline = tl
	}
}

// Usable reports whether new tasks may be booked on the machine.
func (m *machine) Usable() bool {
	return m.InstanceType != nil && !m.Releasing && !m.Draining && !m.Quarantined && !m.LeaseExpired && !m.Unreachable && m.InterruptionAt.IsZero()
}

func (m *machine) Room() timeline.Resources {
	return m.Timeline.Capacity().Add(m.Allocated, -1)
}

// FindAttempt returns the run of an attempt. Workers list tasks in the order of their
// starts, as we do: the search begins where that has it.
func (m *machine) FindAttempt(id heartbeat.TaskID, try uint64, from int) *attempt {
	n := len(m.Attempts)
	for i := range n {
		if r := m.Attempts[(from+i)%n]; r.Number == try && r.ID == id {
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
		if x := a.Submitted.Compare(b.Submitted); x != 0 {
			return x
		}
		if a.Spec.ID < b.Spec.ID {
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
	if !l.unaccounted[m.Host] && !m.Probed {
		if m.LastReply.IsZero() {
			return time.Time{}, false
		}
		return m.LastReply.Add(withDrift(c.workerLease)), true
	}
	base := c.earlierLeaseExpiry()
	if at := m.LastReply.Add(withDrift(c.workerLease)); at.After(base) {
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
	c.Log(slog.LevelWarn, "lease over", "machine", m.Host, "tasks", len(m.Attempts))
	for _, r := range slices.Clone(m.Attempts) {
		c.dropAttempt(r)
	}
	if m.Reported {
		m.ExpiredIncarnation = m.Incarnation
	}
	m.Reported, m.LeaseExpired = false, true
	c.leadership.clearReportsVia(m)
	m.LastReply = time.Time{}
	c.markAccounted(m.Host)
	c.dropMachineReservations(m)
}
