// Package autoscaler scales the fleet: it requests instances from the cloud while the backlog
// exceeds its target, and drains and releases machines that are not needed. Its state is discarded
// when the leader's term ends. Task placement and the detection of failed machines belong to other
// packages.
package autoscaler

import (
	"time"

	"golang.org/x/time/rate"

	"yewpass/internal/engine"
	"yewpass/internal/fleet"
	"yewpass/internal/provider"
	"yewpass/internal/quota"
	"yewpass/internal/zones"
)

// State provides read access to the leader's state.
type State interface {
	// Machines returns all machines, sorted by host name.
	Machines() []*fleet.Machine
	// Queue returns the jobs with waiting tasks, in scheduling order.
	Queue() fleet.Queue
	// Zone returns the zone with the given name.
	Zone(name string) *zones.Zone
	// Estimate returns the expected runtime of one task of a job.
	Estimate(j *fleet.Job) time.Duration
	// MayStartOn reports whether a task of the job may start on the machine now as far as the job's
	// team, its placement rules and the failover are concerned.
	MayStartOn(j *fleet.Job, m *fleet.Machine) bool
	// IsActive reports whether the leader has authority and has loaded the records.
	IsActive() bool
	// MaxMachines returns how many machines the controllers can serve.
	MaxMachines() int
	// Term returns the leader's term and the era of the store's data in which it was elected. The
	// era changes when the store has lost all its data.
	Term() (term, era uint64)
}

// Inventory applies the cloud's responses and the autoscaler's decisions to the fleet.
type Inventory interface {
	// InstanceTypesChanged is called after each successful read of the catalog.
	InstanceTypesChanged()
	// InstanceStarted adds an instance that the cloud started for a request.
	InstanceStarted(host string, o Offer, requestedAt time.Time)
	// InstanceListed reconciles one entry of the cloud's list of instances.
	InstanceListed(i provider.Instance)
	// InstancesMissing is called with the result of a complete listing: exists reports whether the
	// cloud lists a host. A machine that was known at asOf and is not listed no longer exists.
	InstancesMissing(exists func(host string) bool, asOf time.Time)
	// InstanceReleased removes a machine after the cloud has confirmed its release.
	InstanceReleased(host string)
	// DropReservations cancels the reservations on a machine and places the tasks elsewhere.
	DropReservations(m *fleet.Machine)
	// RequestDispatchAll requests a check for tasks that can start on any machine.
	RequestDispatchAll()
}

// Config holds the dependencies and settings of an Autoscaler.
type Config struct {
	Engine        *engine.Engine
	Scope         *engine.Scope // closed when the leadership ends
	State         State
	Inventory     Inventory
	Teams         map[string]*quota.Account
	InstanceTypes []provider.InstanceType // last known; may be empty
	CloudRPS      float64                 // the cloud's rate limit, in requests per second
	ListLag       time.Duration           // by which the cloud's list usually lags
}

// cloudCallShare is the share of the cloud's rate limit that the autoscaler uses.
const cloudCallShare = 0.8

// Autoscaler scales the fleet during one term of the leader.
type Autoscaler struct {
	*engine.Engine
	scope     *engine.Scope
	state     State
	inventory Inventory
	callLimit *rate.Limiter
	listLag   time.Duration

	Catalog
	requests
	releases
	load
	arrivals
	bootTimeoutFactors map[string]float64 // by instance type
}

// New returns an Autoscaler. It does not call the cloud until RefreshCatalog, ListInstances or
// ScaleOut is called.
func New(c Config) *Autoscaler {
	return &Autoscaler{
		Engine:             c.Engine,
		scope:              c.Scope,
		state:              c.State,
		inventory:          c.Inventory,
		callLimit:          rate.NewLimiter(rate.Limit(c.CloudRPS*cloudCallShare), max(1, int(c.CloudRPS))),
		listLag:            c.ListLag,
		Catalog:            Catalog{InstanceTypes: c.InstanceTypes},
		requests:           requests{noCapacityUntil: map[Offer]time.Time{}, pending: map[string]*pendingRequest{}},
		arrivals:           arrivals{teams: c.Teams},
		bootTimeoutFactors: map[string]float64{},
	}
}
