package autoscaler

import (
	"cmp"
	"fmt"
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
	// maxInstancesPerRequest is how many instances one request asks for at the most.
	maxInstancesPerRequest = 50
	// noCapacityPause is for how long an offer without capacity is not requested again, on
	// average; rejectedPause is that for one that the cloud calls malformed.
	noCapacityPause = 10 * time.Second
	rejectedPause   = time.Minute
	// requestRetryDelay is when a request whose outcome is unknown is sent again, on average.
	requestRetryDelay = 2 * time.Second
	// minCPUs stands for the CPUs of tasks that take none: they need a machine all the same.
	minCPUs = 0.001
	// bootCostSeconds is the boot time that doubles what an instance type seems to cost.
	bootCostSeconds = 120
)

// Offer is a kind of instance that can be rented.
type Offer struct {
	InstanceType string
	Zone         string
	Spot         bool
}

// requests is the requests for instances and what came of them.
type requests struct {
	noCapacityUntil map[Offer]time.Time
	pending         map[string]*pendingRequest // requests whose outcome is not known, by name
	requestCount    uint64                     // with the term and the era it makes names that never repeat
	atCapacity      bool                       // the controllers cannot serve more machines
}

// pendingRequest is a request whose outcome is not known.
type pendingRequest struct {
	Offer
	count       int
	cpus        float64
	requestedAt time.Time
}

// requirement is what instances are requested for.
type requirement struct {
	spec   *spec.Job // that an instance must suit
	cpus   float64
	urgent bool // on-demand instances will do as well as spot instances
	probe  bool // to see whether a lost zone is back
}

// AtCapacity reports whether no more instances are requested because the controllers could
// not serve them.
func (r *requests) AtCapacity() bool { return r.atCapacity }

// requested returns how many instances the pending requests may bring.
func (r *requests) requested() (n int) {
	for _, p := range r.pending {
		n += p.count
	}
	return n
}

// MayHaveCapacity reports whether some zone may have capacity for instances of a type.
func (a *Autoscaler) MayHaveCapacity(t *provider.InstanceType, allowSpot bool) bool {
	for _, z := range t.Zones {
		if a.Now.After(a.noCapacityUntil[Offer{InstanceType: t.Name, Zone: z}]) || allowSpot && a.Now.After(a.noCapacityUntil[Offer{InstanceType: t.Name, Zone: z, Spot: true}]) {
			return true
		}
	}
	return false
}

// RequestProbe requests one instance in a zone that is lost, to see whether it is back.
func (a *Autoscaler) RequestProbe(zone string) {
	a.request(requirement{spec: &spec.Job{Zone: zone, AllowSpot: true}, urgent: true, probe: true})
}

// request sends one request for instances that suit a requirement, of the cheapest kind;
// false if none could be sent.
func (a *Autoscaler) request(want requirement) bool {
	room := a.state.MaxMachines() - len(a.state.Machines()) - a.requested()
	a.noteCapacity(room)
	if room <= 0 {
		return false
	}
	want.cpus = max(want.cpus, minCPUs)
	candidates := a.candidates(want)
	if len(candidates) == 0 || !a.callLimit.AllowN(a.Now, 1) {
		return false
	}
	best := slices.MinFunc(candidates, compareCandidates)
	n := min(int(math.Ceil(want.cpus/best.cpus)), maxInstancesPerRequest, room)
	name := a.nextRequestName()
	a.pending[name] = &pendingRequest{Offer: best.Offer, count: n, cpus: float64(n) * best.cpus, requestedAt: a.Now}
	a.sendRequest(name)
	return true
}

// noteCapacity logs when the controllers cannot serve more machines, and when they can again.
// More machines than they have connections for would serve nobody: they would crowd out each
// other, and users.
func (a *Autoscaler) noteCapacity(room int) {
	if a.atCapacity == (room <= 0) {
		return
	}
	machines, most := len(a.state.Machines()), a.state.MaxMachines()
	if a.atCapacity = room <= 0; a.atCapacity {
		a.Log(slog.LevelWarn, "not scaling out, controllers are at capacity", "machines", machines, "most", most, "reason", "the controllers cannot serve more")
	} else {
		a.Log(slog.LevelInfo, "scaling out again", "machines", machines, "most", most)
	}
}

// candidate is an offer that suits a requirement.
type candidate struct {
	Offer
	cpus float64 // of one instance
	cost float64 // of all that is required, to compare by
}

// candidates returns the offers that suit a requirement and may have capacity. In a zone that
// is cut off none does but a probe.
func (a *Autoscaler) candidates(want requirement) (list []candidate) {
	s := want.spec
	have := map[Offer]int{}
	for _, m := range a.state.Machines() {
		have[Offer{InstanceType: m.TypeName, Zone: m.Zone, Spot: m.Spot}]++
	}
	for i := range a.InstanceTypes {
		t := &a.InstanceTypes[i]
		if !fleet.AllowsInstanceType(s, t.Name) || !(s.Need() == timeline.Resources{} || s.Need().Fits(t.Capacity)) || t.CPUs <= 0 {
			continue
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
				// Among equals the kind goes first of which there are fewer.
				cost := rentalCost(t, spot, want.cpus) + 1e-9*float64(have[o])
				list = append(list, candidate{Offer: o, cpus: t.CPUs, cost: cost})
			}
		}
	}
	return list
}

// rentalCost is the price of a CPU on instances of a type that make up so many CPUs, raised
// for their boot time.
func rentalCost(t *provider.InstanceType, spot bool, cpus float64) float64 {
	price := t.OnDemandRate
	if spot {
		price = t.SpotRate
	}
	n := math.Ceil(cpus / t.CPUs)
	used := min(cpus, n*t.CPUs)
	return price * n / used * (1 + t.BootTime.Seconds()/bootCostSeconds)
}

// compareCandidates orders spot instances before on-demand instances, and both by cost.
func compareCandidates(a, b candidate) int {
	if a.Spot != b.Spot {
		if a.Spot {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.cost, b.cost)
}

// nextRequestName returns a name that no request has had: the cloud answers one that it knows
// with the instances of that time. Terms rise for as long as they are on record; where all of
// it is lost they may begin again, and then the era differs.
func (a *Autoscaler) nextRequestName() string {
	a.requestCount++
	term, era := a.state.Term()
	return fmt.Sprintf("t%d-%d-%x", term, a.requestCount, era)
}

// sendRequest sends a request, and again under the same name while its outcome is unknown.
func (a *Autoscaler) sendRequest(name string) {
	p := a.pending[name]
	call := provider.Request{Op: provider.ScaleOut, IdempotencyKey: name, InstanceType: p.InstanceType, Zone: p.Zone, Spot: p.Spot, Count: p.count}
	a.scope.CallCloud(call, func(r provider.Response) { a.handleOutcome(name, p, r) })
}

// handleOutcome takes in what came of a request.
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
		a.inventory.Dispatch()
	case rpc.Refused:
		delete(a.pending, name)
		a.state.Zone(p.Zone).ProbeRefused(a.Now)
		a.noCapacityUntil[p.Offer] = a.Now.Add(a.Jitter(noCapacityPause))
		a.Log(slog.LevelInfo, "instance request refused, no capacity", "type", p.InstanceType, "zone", p.Zone, "spot", p.Spot, "wanted", p.count)
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
