package autoscaler

import (
	"slices"
	"time"

	"yewpass/internal/fleet"
	"yewpass/internal/provider"
	"yewpass/internal/rpc"
)

const (
	listInterval = 6 * time.Second
	// maxListed bounds the instances read per listing, in case the cloud always reports another
	// page. No fleet comes near it.
	maxListed          = 100_000
	maxReleasesPerCall = 100
	// maxListLagFactor times the usual lag is the largest lag of the cloud's list.
	maxListLagFactor = 2
)

// ListInstances reads the cloud's list of instances now and every listInterval. The list reveals
// instances requested by an earlier leader or by a request that timed out, and instances that have
// failed.
func (a *Autoscaler) ListInstances() { a.listInstances(&listing{startedAt: a.Now}, "") }

// listing is a listing of the instances, page by page.
type listing struct {
	startedAt time.Time
	instances []provider.Instance
}

// listInstances reads the page of the list that follows the host after.
func (a *Autoscaler) listInstances(l *listing, after string) {
	a.scope.CallCloud(provider.Request{Op: provider.List, After: after}, func(r provider.Response) {
		if r.Outcome != rpc.OK {
			a.scope.After(a.Jitter(listInterval), a.ListInstances)
			return
		}
		l.instances = append(l.instances, r.Instances...)
		if r.More && len(l.instances) < maxListed {
			a.listInstances(l, r.Instances[len(r.Instances)-1].Host)
			return
		}
		a.applyListing(l, !r.More)
		a.scope.After(listInterval, a.ListInstances)
	})
}

func (a *Autoscaler) applyListing(l *listing, complete bool) {
	listed := map[string]bool{}
	for _, i := range l.instances {
		a.inventory.InstanceListed(i)
		listed[i.Host] = true
	}
	if complete {
		exists := func(host string) bool { return listed[host] }
		a.inventory.InstancesMissing(exists, l.startedAt.Add(-maxListLagFactor*a.listLag))
	}
}

type releases struct {
	toRelease       []string // hosts whose release the cloud has not confirmed
	releaseInFlight bool
}

// Release queues a machine to be released by SendReleases. It is removed from the inventory once
// the cloud confirms the release. Repeated calls for a machine have no effect.
func (a *Autoscaler) Release(m *fleet.Machine) {
	if m.Releasing {
		return
	}
	m.Releasing = true
	a.toRelease = append(a.toRelease, m.Host)
	a.inventory.DropReservations(m)
}

// SendReleases asks the cloud to release up to maxReleasesPerCall queued machines, unless a call is
// in flight. The next call retries unconfirmed releases.
func (a *Autoscaler) SendReleases() {
	if a.releaseInFlight || len(a.toRelease) == 0 || !a.state.IsActive() || !a.callLimit.AllowN(a.Now, 1) {
		return
	}
	a.releaseInFlight = true
	hosts := slices.Clone(a.toRelease[:min(len(a.toRelease), maxReleasesPerCall)])
	a.scope.CallCloud(provider.Request{Op: provider.Release, Hosts: hosts}, func(r provider.Response) {
		a.releaseInFlight = false
		if r.Outcome != rpc.OK {
			return // the hosts stay in toRelease
		}
		for _, h := range hosts {
			a.toRelease = slices.DeleteFunc(a.toRelease, func(x string) bool { return x == h })
			a.inventory.InstanceReleased(h)
		}
		a.SendReleases()
	})
}
