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
	// page.
	maxListed          = 100_000
	maxReleasesPerCall = 100
)

// ListInstances reads the cloud's list of instances now and every listInterval. The list reveals
// instances requested by an earlier leader or by a request that timed out, and instances that have
// failed.
func (a *Autoscaler) ListInstances() { a.listInstances("", nil) }

// listInstances reads the page of the list that follows the host after. listed holds the entries of
// the previous pages.
func (a *Autoscaler) listInstances(after string, listed []provider.Instance) {
	a.scope.CallCloud(provider.Request{Op: provider.List, After: after}, func(r provider.Response) {
		if r.Outcome != rpc.OK {
			a.scope.After(a.Jitter(listInterval), a.ListInstances)
			return
		}
		listed = append(listed, r.Instances...)
		if r.More && len(listed) < maxListed {
			a.listInstances(r.Instances[len(r.Instances)-1].Host, listed)
			return
		}
		for _, i := range listed {
			a.inventory.InstanceListed(i)
		}
		a.scope.After(listInterval, a.ListInstances)
	})
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
