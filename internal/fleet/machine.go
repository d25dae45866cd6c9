package fleet

import (
	"slices"
	"time"
	"yewpass/internal/heartbeat"
	"yewpass/internal/provider"
	"yewpass/internal/record"
	"yewpass/internal/timeline"
	"yewpass/internal/topology"
	"yewpass/internal/zones"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// PerCPU is what a CPU of the machine costs.
func (m *Machine) PerCPU() float64 {
	if m.Spot {
		return m.InstanceType.SpotRate / m.InstanceType.CPUs
	}
	return m.InstanceType.OnDemandRate / m.InstanceType.CPUs
}

// Recorded is how a record names the machine.
func (m *Machine) Recorded() record.Machine {
	return record.Machine{Host: m.Host, Address: m.Address, InstanceType: m.TypeName, Zone: m.Zone, Spot: m.Spot}
}

// maxKnownImages is how many images a machine is taken to have: the latest used ones, as
// it keeps them itself. Their names are the users' own words.
const maxKnownImages = 128

// NewImages returns an empty cache of image names.
func NewImages() *simplelru.LRU[string, struct{}] {
	images, _ := simplelru.NewLRU[string, struct{}](maxKnownImages, nil) // errs only for a size below 1
	return images
}

// RecordStatus says whether a machine is named by a stored record.
type RecordStatus int

// The states of a machine's record. Tasks start on recorded machines only.
const (
	Unrecorded RecordStatus = iota
	Recording
	Recorded
)

// Machine is a rented machine.
type Machine struct {
	Host, TypeName, Zone string
	Address              string
	Place                *topology.Place        // where it stands
	ZoneState            *zones.Zone            // and how that zone is
	InstanceType         *provider.InstanceType // nil while the catalog is unknown
	Spot                 bool
	Record               RecordStatus // a successor must know of it before it may hold tasks
	RecordedIn           *Record      // the record that names it

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
	HeldReply            *HeldReply
	UnacknowledgedSince  time.Time  // first answered in this term, and has not shown that it heard
	UnlistedStarts       int        // in a row: starts that its next report did not list
	ReportsVia           *RelayLink // by which it reports, among whose workers it counts
	LastMoved            time.Time  // when it was last led to another node
	DispatchPending      bool       // has orders that need not wait for its next report

	Timeline     *timeline.Timeline
	Attempts     []*Attempt
	Reservations []*Reservation // of tasks that wait
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

// Usable reports whether new tasks may be booked on the machine.
func (m *Machine) Usable() bool {
	return m.InstanceType != nil && !m.Releasing && !m.Draining && !m.Quarantined && !m.LeaseExpired && !m.Unreachable && m.InterruptionAt.IsZero()
}

// Room returns what is neither taken nor about to be.
func (m *Machine) Room() timeline.Resources {
	return m.Timeline.Capacity().Add(m.Allocated, -1)
}

// FindAttempt returns the run of an attempt. Workers list tasks in the order of their
// starts, as we do: the search begins where that has it.
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
	return m.Usable() && (!m.Spot || s.AllowSpot) && AllowsInstanceType(s, m.TypeName) &&
		(s.Zone == "" || s.Zone == m.Zone) && j.Need.Fits(m.Timeline.Capacity()) &&
		(len(j.FailedOn) == 0 || !j.FailedOn[m.Host] || len(j.FailedOn) > MaxFailedMachines)
}

// HasReservationOf reports whether tasks of the job are booked on the machine.
func (m *Machine) HasReservationOf(j *Job) bool {
	return slices.ContainsFunc(m.Reservations, func(b *Reservation) bool { return b.Job == j })
}

// CanStartNow reports whether the job's tasks could start on the machine right away.
func (m *Machine) CanStartNow(j *Job) bool {
	return m.Reported && m.Usable() && m.Images.Contains(j.Spec.Image) && j.Need.Fits(m.Room())
}
