package fleet

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"yewpass/internal/heartbeat"
	"yewpass/internal/provider"
	"yewpass/internal/record"
	"yewpass/internal/timeline"
	"yewpass/internal/topology"
	"yewpass/internal/zones"
)

// PricePerCPU returns the price of one CPU of the machine.
func (m *Machine) PricePerCPU() float64 {
	if m.Spot {
		return m.InstanceType.SpotRate / m.InstanceType.CPUs
	}
	return m.InstanceType.OnDemandRate / m.InstanceType.CPUs
}

// ToRecord returns the machine as a record names it.
func (m *Machine) ToRecord() record.Machine {
	return record.Machine{Host: m.Host, Address: m.Address, InstanceType: m.TypeName, Zone: m.Zone, Spot: m.Spot}
}

// maxKnownImages is how many images a machine is taken to have: the most recently used,
// as its own cache keeps them. Image names are chosen by users, so the set needs a bound.
const maxKnownImages = 128

// NewImages returns an empty set of images that a machine has.
func NewImages() *simplelru.LRU[string, struct{}] {
	images, _ := simplelru.NewLRU[string, struct{}](maxKnownImages, nil) // errs only for a size below 1
	return images
}

// RecordStatus says whether a machine is on record.
type RecordStatus int

// The states of a machine's record.
const (
	Unrecorded RecordStatus = iota
	Recording               // the write that names it is on its way
	Recorded
)

// Machine is a rented machine.
type Machine struct {
	Identity
	RecordState
	Heartbeats
	Lifecycle
	Load
	Health
}

// Identity is what a machine is and where it stands.
type Identity struct {
	Host, TypeName, Zone string
	Address              string
	Place                *topology.Place        // where it stands
	ZoneState            *zones.Zone            // and how that zone is
	InstanceType         *provider.InstanceType // nil while the catalog is unknown
	Spot                 bool
}

// RecordState is how far a machine is on record: a successor must know of it before it
// may hold tasks.
type RecordState struct {
	Record     RecordStatus
	RecordedIn *Record // the record that names it
}

// Heartbeats is what a machine has reported and been told.
type Heartbeats struct {
	Reported             bool // in this term
	Probed               bool // and that only in answer to a probe
	FailedProbes         int  // probes in vain
	Incarnation, Counter uint64
	FencingToken         uint64
	ExpiredIncarnation   uint64    // its lease under incarnations up to this one is surely over
	LastHeartbeat        time.Time // last report
	LastReply            time.Time // last answered report
	HeldReply            *HeldReply
	UnacknowledgedSince  time.Time  // first answered in this term, and has not shown that it heard
	MissedStarts         int        // in a row: starts that its next report did not list
	Relay                *RelayLink // by which it reports, among whose workers it counts
	LastRedirect         time.Time  // when it was last redirected to another node
	DispatchPending      bool       // has orders that need not wait for its next report
}

// Lifecycle is when a machine came and why it is to go.
type Lifecycle struct {
	FirstSeen      time.Time // known to us
	RentedAt       time.Time
	ReadyAt        time.Time // expected, while it boots
	IdleSince      time.Time // since when nothing runs or is reserved
	Releasing      bool
	Draining       bool      // its work fits elsewhere: no new tasks, then it is released
	InterruptionAt time.Time // the cloud takes it away
}

// Load is what runs on a machine and what is reserved there.
type Load struct {
	Timeline     *timeline.Timeline
	Attempts     []*Attempt
	Reservations []*Reservation // of tasks that wait
	Allocated    timeline.Resources
	WarmReserve  int64                            // CPUs, in thousandths, kept free for work that must start at once
	Images       *simplelru.LRU[string, struct{}] // that it has, as far as we know
}

// Health is what keeps tasks off a machine.
type Health struct {
	Quarantined  bool
	LeaseExpired bool      // its lease is over and it has not reported since
	Unreachable  bool      // silent, in a zone that seems to be cut off
	RetryAt      time.Time // after a refused start
	FailureScore int
	OnProbation  bool // its last task failed: one task at a time until one completes
}

// NewMachine returns a machine that has just become known. Its capacity is not known yet.
func NewMachine(id Identity, now time.Time) *Machine {
	return &Machine{
		Identity:  id,
		Lifecycle: Lifecycle{FirstSeen: now, RentedAt: now, IdleSince: now},
		Load:      Load{Images: NewImages(), Timeline: timeline.New(timeline.Resources{})},
	}
}

// ExpireLease notes that the machine's lease is over: until it reports under a later
// incarnation nothing of it counts.
func (m *Machine) ExpireLease() {
	if m.Reported {
		m.ExpiredIncarnation = m.Incarnation
	}
	m.Reported, m.LeaseExpired = false, true
	m.LastReply = time.Time{}
}

// Schedulable reports whether room may be reserved on the machine for new tasks.
func (m *Machine) Schedulable() bool {
	return m.InstanceType != nil && !m.Releasing && !m.Draining && !m.Quarantined && !m.LeaseExpired && !m.Unreachable && m.InterruptionAt.IsZero()
}

// FreeResources returns the resources that no attempt occupies.
func (m *Machine) FreeResources() timeline.Resources {
	return m.Timeline.Capacity().Add(m.Allocated, -1)
}

// FindAttempt returns the attempt of a task, or nil. Workers list tasks in the order in
// which they were started, as Attempts does, so the search begins at that index.
func (m *Machine) FindAttempt(id heartbeat.TaskID, try uint64, from int) *Attempt {
	n := len(m.Attempts)
	for i := range n {
		if r := m.Attempts[(from+i)%n]; r.Number == try && r.ID == id {
			return r
		}
	}
	return nil
}

// EligibleFor reports whether the job's tasks may run on the machine at all.
func (m *Machine) EligibleFor(j *Job) bool {
	s := &j.Spec
	return m.Schedulable() && (!m.Spot || s.AllowSpot) && AllowsInstanceType(s, m.TypeName) &&
		(s.Zone == "" || s.Zone == m.Zone) && j.Need.Fits(m.Timeline.Capacity()) &&
		(len(j.FailedOn) == 0 || !j.FailedOn[m.Host] || len(j.FailedOn) > MaxFailedMachines)
}

// HasReservationOf reports whether room is reserved on the machine for tasks of the job.
func (m *Machine) HasReservationOf(j *Job) bool {
	return slices.ContainsFunc(m.Reservations, func(b *Reservation) bool { return b.Job == j })
}

// CanStartNow reports whether the job's tasks could start on the machine right away.
func (m *Machine) CanStartNow(j *Job) bool {
	return m.Reported && m.Schedulable() && m.Images.Contains(j.Spec.Image) && j.Need.Fits(m.FreeResources())
}
