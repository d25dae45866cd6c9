package autoscaler

import (
	"cmp"
	"fmt"
	"iter"
	"log/slog"
	"math"
	"slices"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/provider"
	"yewpass/internal/rpc"
	"yewpass/internal/spec"
	"yewpass/internal/timeline"
)

const (
	maxInstancesPerRequest = 50
	// noCapacityPause is the average time for which an offer is not requested again after the cloud
	// had no capacity for it, rejectedPause after the cloud rejected it as malformed.
	noCapacityPause = 10 * time.Second
	rejectedPause   = time.Minute
	// requestRetryDelay is the average delay before a request with unknown outcome is resent.
	requestRetryDelay = 2 * time.Second
	// minRequestCPUs is requested for tasks that use no CPU but need a machine.
	minRequestCPUs = 0.001
	// bootCostSeconds is the boot time that doubles the cost of a type in comparisons.
	bootCostSeconds = 120
)

// Offer identifies instances on offer: a type in a zone, spot or on-demand.
type Offer struct {
	InstanceType string
	Zone         string
	Spot         bool
}

type requests struct {
	noCapacityUntil map[Offer]time.Time
	pending         map[string]*pendingRequest // requests with unknown outcome, by name
	requestCount    uint64                     // part of request names
	atCapacity      bool                       // the controllers cannot serve more machines
}

type pendingRequest struct {
	Offer
	count       int
	cpus        float64
	requestedAt time.Time
}

// requirement describes the instances to request.
type requirement struct {
	spec   *spec.Job // job that an instance must be able to run
	cpus   float64
	urgent bool // also consider on-demand instances if spot is allowed
	probe  bool // tests whether a lost zone is reachable, so zone states are ignored
}

// AtCapacity reports whether scaling out is suspended because the controllers cannot serve more
// machines.
func (r *requests) AtCapacity() bool { return r.atCapacity }

// pendingInstances returns how many instances the pending requests may start.
func (r *requests) pendingInstances() (n int) {
	for _, p := range r.pending {
		n += p.count
	}
	return n
}

// MayHaveCapacity reports whether any zone may have capacity for instances of a type, that is,
// whether the cloud has not refused it recently in all zones.
func (a *Autoscaler) MayHaveCapacity(t *provider.InstanceType, allowSpot bool) bool {
	for _, z := range t.Zones {
		if a.Now.After(a.noCapacityUntil[Offer{InstanceType: t.Name, Zone: z}]) || allowSpot && a.Now.After(a.noCapacityUntil[Offer{InstanceType: t.Name, Zone: z, Spot: true}]) {
			return true
		}
	}
	return false
}

// RequestProbe requests one instance in a lost zone. Its heartbeat shows that the zone is reachable
// again.
func (a *Autoscaler) RequestProbe(zone string) {
	a.requestInstances(requirement{spec: &spec.Job{Zone: zone, AllowSpot: true}, urgent: true, probe: true})
}

// requestResult is the result of requestInstances.
type requestResult int

const (
	requestSent       requestResult = iota
	noOffer                         // no instances that meet the requirement are on offer
	requestsSuspended               // no request can be sent for any requirement
)

// requestInstances sends one request for the cheapest instances that meet a requirement.
func (a *Autoscaler) requestInstances(want requirement) requestResult {
	headroom := a.state.MaxMachines() - len(a.state.Machines()) - a.pendingInstances()
	a.updateAtCapacity(headroom)
	if headroom <= 0 {
		return requestsSuspended
	}
	if !a.hasOffer(want) {
		return noOffer
	}
	if !a.callLimit.AllowN(a.Now, 1) {
		return requestsSuspended
	}
	want.cpus = max(want.cpus, minRequestCPUs)
	best := slices.MinFunc(a.candidateOffers(want), compareCandidateOffers)
	n := min(int(math.Ceil(want.cpus/best.cpus)), maxInstancesPerRequest, headroom)
	name := a.nextRequestName()
	a.pending[name] = &pendingRequest{Offer: best.Offer, count: n, cpus: float64(n) * best.cpus, requestedAt: a.Now}
	a.sendRequest(name)
	return requestSent
}

// updateAtCapacity records and logs whether the controllers can serve more machines. Further
// machines would compete with each other and with users for connections.
func (a *Autoscaler) updateAtCapacity(headroom int) {
	if a.atCapacity == (headroom <= 0) {
		return
	}
	machines, maxMachines := len(a.state.Machines()), a.state.MaxMachines()
	if a.atCapacity = headroom <= 0; a.atCapacity {
		a.Log(slog.LevelWarn, "not scaling out, controllers are at capacity", "machines", machines, "max", maxMachines, "reason", "the controllers cannot serve more machines")
	} else {
		a.Log(slog.LevelInfo, "controllers have capacity again, scaling out resumed", "machines", machines, "max", maxMachines)
	}
}

// candidateOffer is an offer that meets a requirement.
type candidateOffer struct {
	Offer
	cpus float64 // per instance
	cost float64 // see rentalCost
}

// candidateOffers returns the offers that meet a requirement and may have capacity, with their cost.
func (a *Autoscaler) candidateOffers(want requirement) (list []candidateOffer) {
	counts := map[Offer]int{}
	for _, m := range a.state.Machines() {
		counts[Offer{InstanceType: m.TypeName, Zone: m.Zone, Spot: m.Spot}]++
	}
	for o, t := range a.offers(want) {
		// At equal cost, prefer the offer with fewer machines.
		cost := rentalCost(t, o.Spot, want.cpus) + 1e-9*float64(counts[o])
		list = append(list, candidateOffer{Offer: o, cpus: t.CPUs, cost: cost})
	}
	return list
}

// hasOffer reports whether any offer meets a requirement and may have capacity.
func (a *Autoscaler) hasOffer(want requirement) bool {
	for range a.offers(want) {
		return true
	}
	return false
}

// offers iterates over the offers that meet a requirement and may have capacity. Offers in
// unreachable zones are included only for probes.
func (a *Autoscaler) offers(want requirement) iter.Seq2[Offer, *provider.InstanceType] {
	return func(yield func(Offer, *provider.InstanceType) bool) {
		for i := range a.InstanceTypes {
			if !a.yieldOffersOf(&a.InstanceTypes[i], want, yield) {
				return
			}
		}
	}
}

// yieldOffersOf yields the offers of one instance type, and returns false if yield does.
func (a *Autoscaler) yieldOffersOf(t *provider.InstanceType, want requirement, yield func(Offer, *provider.InstanceType) bool) bool {
	s := want.spec
	if !fleet.AllowsInstanceType(s, t.Name) || !(s.TaskResources() == timeline.Resources{} || s.TaskResources().Fits(t.Capacity)) || t.CPUs <= 0 {
		return true
	}
	for _, z := range t.Zones {
		if s.Zone != "" && s.Zone != z || !want.probe && !a.state.Zone(z).AllowsRental() {
			continue
		}
		for _, spot := range []bool{true, false} {
			o := Offer{InstanceType: t.Name, Zone: z, Spot: spot}
			if spot && !s.AllowSpot || !spot && s.AllowSpot && !want.urgent || a.Now.Before(a.noCapacityUntil[o]) {
				continue
			}
			if !yield(o, t) {
				return false
			}
		}
	}
	return true
}

// rentalCost returns the price per used CPU of enough instances of a type for the given number of
// CPUs, increased in proportion to the boot time.
func rentalCost(t *provider.InstanceType, spot bool, cpus float64) float64 {
	price := t.OnDemandRate
	if spot {
		price = t.SpotRate
	}
	n := math.Ceil(cpus / t.CPUs)
	used := min(cpus, n*t.CPUs)
	return price * n / used * (1 + t.BootTime.Seconds()/bootCostSeconds)
}

// compareCandidateOffers orders spot offers before on-demand offers, and each group by cost.
func compareCandidateOffers(a, b candidateOffer) int {
	if a.Spot != b.Spot {
		if a.Spot {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.cost, b.cost)
}

// nextRequestName returns a name that no earlier request has used, since the cloud treats it as an
// idempotency key. Terms may start over when the store has lost its data, so the name includes the
// era.
func (a *Autoscaler) nextRequestName() string {
	a.requestCount++
	term, era := a.state.Term()
	return fmt.Sprintf("t%d-%d-%x", term, a.requestCount, era)
}

// sendRequest sends a pending request. While its outcome is unknown, handleOutcome resends it under
// the same name.
func (a *Autoscaler) sendRequest(name string) {
	p := a.pending[name]
	call := provider.Request{Op: provider.ScaleOut, IdempotencyKey: name, InstanceType: p.InstanceType, Zone: p.Zone, Spot: p.Spot, Count: p.count}
	a.scope.CallCloud(call, func(r provider.Response) { a.handleOutcome(name, p, r) })
}

func (a *Autoscaler) handleOutcome(name string, p *pendingRequest, r provider.Response) {
	switch r.Outcome {
	case rpc.OK:
		delete(a.pending, name)
		for _, h := range r.Hosts {
			a.inventory.InstanceStarted(h, p.Offer, p.requestedAt)
		}
		a.Log(slog.LevelInfo, "instances started", "rental", name, "type", p.InstanceType, "zone", p.Zone, "spot", p.Spot, "wanted", p.count, "got", len(r.Hosts))
		if len(r.Hosts) < p.count {
			a.noCapacityUntil[p.Offer] = a.Now.Add(a.Jitter(noCapacityPause))
		}
		a.inventory.RequestDispatchAll()
	case rpc.Refused:
		delete(a.pending, name)
		a.state.Zone(p.Zone).ProbeRefused(a.Now)
		a.noCapacityUntil[p.Offer] = a.Now.Add(a.Jitter(noCapacityPause))
		a.Log(slog.LevelInfo, "instance request refused, offer has no capacity", "type", p.InstanceType, "zone", p.Zone, "spot", p.Spot, "wanted", p.count)
	case rpc.Invalid:
		delete(a.pending, name)
		a.noCapacityUntil[p.Offer] = a.Now.Add(rejectedPause)
		a.Log(slog.LevelError, "instance request rejected as malformed", "type", p.InstanceType, "zone", p.Zone)
	default:
		a.scope.After(a.Jitter(requestRetryDelay), func() {
			if a.pending[name] != nil {
				a.sendRequest(name)
			}
		})
	}
}
