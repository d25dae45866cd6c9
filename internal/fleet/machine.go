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

// PricePerCPU returns the machine's hourly price per CPU.
func (m *Machine) PricePerCPU() float64 {
	if m.Spot {
		return m.InstanceType.SpotRate / m.InstanceType.CPUs
	}
	return m.InstanceType.OnDemandRate / m.InstanceType.CPUs
}

// ToRecord returns the part of the machine's state that is stored.
func (m *Machine) ToRecord() record.Machine {
	return record.Machine{Host: m.Host, Address: m.Address, InstanceType: m.TypeName, Zone: m.Zone, Spot: m.Spot}
}

// maxKnownImages bounds the set of images that a machine is assumed to have, since users choose
// image names. The machine's own cache also keeps the most recently used ones.
const maxKnownImages = 128

// NewImages returns an empty set of images, which evicts the least recently used one when full.
func NewImages() *simplelru.LRU[string, struct{}] {
	images, _ := simplelru.NewLRU[string, struct{}](maxKnownImages, nil) // fails only for sizes below 1
	return images
}

// RecordStatus says whether the store has a record of a machine.
type RecordStatus int

// Record states of a machine.
const (
	Unrecorded RecordStatus = iota
	Recording               // the write is in progress
	Recorded
)

// Machine is a machine rented from the cloud.
type Machine struct {
	Identity
	RecordState
	Heartbeats
	Lifecycle
	Load
	Health
}

// Identity describes a machine and its location.
type Identity struct {
	Host, TypeName, Zone string
	Address              string
	Place                *topology.Place
	ZoneState            *zones.Zone
	InstanceType         *provider.InstanceType // nil until the catalog is known
	Spot                 bool
}

// RecordState says whether the store has a record of the machine. Tasks start only on recorded
// machines, so that the next leader knows of every machine that may run tasks.
type RecordState struct {
	Record     RecordStatus
	RecordedIn *Record // the record that includes the machine
}

// Heartbeats is the state of the heartbeats exchanged with a machine.
type Heartbeats struct {
	Reported             bool // has sent a heartbeat in this term
	Probed               bool // has only answered a probe in this term
	FailedProbes         int  // consecutive probes without an answer
	Incarnation, Counter uint64
	FencingToken         uint64
	ExpiredIncarnation   uint64    // leases up to this incarnation have expired
	LastHeartbeat        time.Time // when received
	LastReply            time.Time // when sent
	HeldReply            *HeldReply
	UnacknowledgedSince  time.Time  // first reply of this term, until a heartbeat acknowledges it
	MissedStarts         int        // consecutive start orders that the next heartbeat did not list
	Relay                *RelayLink // forwards its heartbeats; nil if it reports directly
	LastRedirect         time.Time
	DispatchPending      bool // has orders to send without waiting for the next heartbeat
}

// Lifecycle holds the times and flags of a machine's rental.
type Lifecycle struct {
	FirstSeen      time.Time // when this leader learned of it
	RentedAt       time.Time
	ReadyAt        time.Time // expected end of booting
	IdleSince      time.Time
	Releasing      bool
	Draining       bool      // accepts no new tasks and is released once its tasks have ended
	ReturnedAt     time.Time // when a job last needed it although it was draining
	InterruptionAt time.Time // announced time of the spot interruption; zero if none
	Gone           bool      // the cloud no longer lists it
}

// Load holds the tasks and reservations on a machine.
type Load struct {
	Timeline     *timeline.Timeline
	Attempts     []*Attempt
	Reservations []*Reservation
	Allocated    timeline.Resources
	WarmReserve  int64                            // millicores kept free for latency-sensitive jobs
	Images       *simplelru.LRU[string, struct{}] // assumed to be on the machine
}

// Health holds the conditions that keep tasks off a machine.
type Health struct {
	Quarantined  bool
	LeaseExpired bool      // no heartbeat since the lease expired
	Unreachable  bool      // silent, in a zone that appears to be disconnected
	RetryAt      time.Time // no starts before this time, after a refused start
	FailureScore int
	Probation
}

// NewMachine returns a machine first seen at now. It has no capacity until the caller sets its
// timeline.
func NewMachine(id Identity, now time.Time) *Machine {
	return &Machine{
		Identity:  id,
		Lifecycle: Lifecycle{FirstSeen: now, RentedAt: now, IdleSince: now},
		Load:      Load{Images: NewImages(), Timeline: timeline.New(timeline.Resources{})},
	}
}

// ExpireLease marks the machine's lease as expired. If the machine has reported in this term, later
// heartbeats of the same incarnation are stale.
func (m *Machine) ExpireLease() {
	if m.Reported {
		m.ExpiredIncarnation = m.Incarnation
	}
	m.Reported, m.LeaseExpired = false, true
	m.LastReply = time.Time{}
}

// Schedulable reports whether new tasks may be reserved on the machine.
func (m *Machine) Schedulable() bool { return m.schedulableAfterDrain() && !m.Draining }

// schedulableAfterDrain reports whether new tasks may be reserved on the machine if it does not
// drain.
func (m *Machine) schedulableAfterDrain() bool {
	return m.InstanceType != nil && !m.Releasing && !m.Quarantined && !m.LeaseExpired && !m.Unreachable && m.InterruptionAt.IsZero()
}

// FreeResources returns the capacity that no attempt holds.
func (m *Machine) FreeResources() timeline.Resources {
	return m.Timeline.Capacity().Add(m.Allocated, -1)
}

// FindAttempt returns the given attempt of a task, or nil. The search starts at index from and
// wraps around, since workers list tasks in the order of Attempts.
func (m *Machine) FindAttempt(id heartbeat.TaskID, attempt uint64, from int) *Attempt {
	n := len(m.Attempts)
	for i := range n {
		if a := m.Attempts[(from+i)%n]; a.Number == attempt && a.ID == id {
			return a
		}
	}
	return nil
}

// EligibleFor reports whether the machine satisfies the job's constraints at the given time: spot,
// instance type, zone, capacity and recent failures. It ignores what is free now.
func (m *Machine) EligibleFor(j *Job, now time.Time) bool {
	return m.Schedulable() && m.satisfies(j, now)
}

// HasRoomAfterDrain reports whether a task of the job could start on the machine at the given time
// if it did not drain.
func (m *Machine) HasRoomAfterDrain(j *Job, now time.Time) bool {
	return m.Reported && m.schedulableAfterDrain() && m.satisfies(j, now) && j.Need.Fits(m.FreeResources())
}

// NeverEmpties reports whether the machine has a task that neither ends by itself nor is moved to
// another machine: that of a service without checkpoints.
func (m *Machine) NeverEmpties() bool {
	return slices.ContainsFunc(m.Attempts, func(a *Attempt) bool {
		return a.Job != nil && a.HoldsResources && a.Job.Spec.Service && a.Job.Spec.CheckpointInterval <= 0
	})
}

func (m *Machine) satisfies(j *Job, now time.Time) bool {
	s := &j.Spec
	return (!m.Spot || s.AllowSpot) && AllowsInstanceType(s, m.TypeName) &&
		(s.Zone == "" || s.Zone == m.Zone) && j.Need.Fits(m.Timeline.Capacity()) &&
		!j.Excludes(m.Host, now)
}

// HasReservationOf reports whether any of the job's reservations is on the machine.
func (m *Machine) HasReservationOf(j *Job) bool {
	return slices.ContainsFunc(m.Reservations, func(r *Reservation) bool { return r.Job == j })
}

// WithheldCPU returns how many millicores of the machine the job may not use because they are kept
// free for latency-sensitive jobs. A job that needs more than the rest of the machine may use all.
func (m *Machine) WithheldCPU(j *Job) int64 {
	if j.LatencySensitive || j.Need.CPU > m.Timeline.Capacity().CPU-m.WarmReserve {
		return 0
	}
	return m.WarmReserve
}

// CanStartNow reports whether the machine has the job's image and may start a task of it now.
func (m *Machine) CanStartNow(j *Job, now time.Time) bool {
	if !m.Reported || !m.EligibleFor(j, now) || !m.Images.Contains(j.Spec.Image) {
		return false
	}
	if m.AwaitsTrial(now) || now.Before(m.RetryAt) || !m.ZoneState.AllowsTaskStarts() {
		return false
	}
	free := m.FreeResources()
	free.CPU -= m.WithheldCPU(j)
	return j.Need.Fits(free)
}
