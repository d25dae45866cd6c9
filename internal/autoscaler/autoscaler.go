// Package autoscaler rents machines while the waiting work would take too long on those at
// hand, and returns machines that are not needed. Its state lives as long as one leadership.
//
// It decides how many machines there are. Which tasks run on them, and when a machine counts
// as lost, is decided elsewhere.
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

// State is what the autoscaler reads of the leader's state.
type State interface {
	// Machines returns all machines, by name.
	Machines() []*fleet.Machine
	// Queue returns the jobs whose tasks wait, in order.
	Queue() fleet.Queue
	// Zone returns the zone of a name.
	Zone(name string) *zones.Zone
	// Estimate returns how long a task of a job runs.
	Estimate(j *fleet.Job) time.Duration
	// CanAct reports whether the leader has authority and has loaded the records.
	CanAct() bool
	// MaxMachines returns how many machines the controllers can serve.
	MaxMachines() int
	// Term returns the leader's term and the era of the store's data that it belongs to.
	Term() (term, era uint64)
}

// Inventory takes in what the cloud says of instances, and carries out decisions.
type Inventory interface {
	// InstanceTypesChanged is called when the catalog has been read.
	InstanceTypesChanged()
	// InstanceStarted takes in an instance of a request.
	InstanceStarted(host string, o Offer, requestedAt time.Time)
	// InstanceListed takes in an instance of the cloud's list.
	InstanceListed(i provider.Instance)
	// InstanceReleased takes in that the cloud has confirmed a release.
	InstanceReleased(host string)
	// DropReservations has the tasks that wait for a machine placed elsewhere.
	DropReservations(m *fleet.Machine)
	// Dispatch has waiting tasks started on what machines there are.
	Dispatch()
}

// Config is what an Autoscaler is made of.
type Config struct {
	Engine        *engine.Engine
	Scope         *engine.Scope // of the leadership
	State         State
	Inventory     Inventory
	Teams         map[string]*quota.Account
	InstanceTypes []provider.InstanceType // as known so far
	CloudRPS      float64                 // how many requests a second the cloud allows
}

// cloudCallShare is the autoscaler's share of the requests that the cloud allows.
const cloudCallShare = 0.8

// Autoscaler rents and returns the machines of one leadership.
type Autoscaler struct {
	*engine.Engine
	scope     *engine.Scope
	state     State
	inventory Inventory
	callLimit *rate.Limiter

	Catalog
	requests
	releases
	load
	arrivals
	bootTimeoutFactors map[string]float64 // see BootTimeout
}

// New returns an autoscaler that has not called the cloud yet.
func New(c Config) *Autoscaler {
	return &Autoscaler{
		Engine:             c.Engine,
		scope:              c.Scope,
		state:              c.State,
		inventory:          c.Inventory,
		callLimit:          rate.NewLimiter(rate.Limit(c.CloudRPS*cloudCallShare), max(1, int(c.CloudRPS))),
		Catalog:            Catalog{InstanceTypes: c.InstanceTypes},
		requests:           requests{noCapacityUntil: map[Offer]time.Time{}, pending: map[string]*pendingRequest{}},
		arrivals:           arrivals{teams: c.Teams},
		bootTimeoutFactors: map[string]float64{},
	}
}
