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
	// maxListed ends a list that never ends: it would be read and remembered for ever.
	// No fleet comes near it.
	maxListed = 100_000
	// maxReleasesPerCall is how many instances one call to the cloud releases.
	maxReleasesPerCall = 100
)

// ListInstances reads the cloud's list of instances, now and regularly from then on. It shows
// instances that an earlier leader or a late request has rented, and those that have failed.
func (a *Autoscaler) ListInstances() { a.listInstances("", nil) }

// listInstances reads the list from after a host on; listed is what was read before.
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

// releases is the instances to be returned to the cloud.
type releases struct {
	toRelease       []string // hosts whose release is not confirmed yet
	releaseInFlight bool
}

// Release returns a machine. Once the cloud has confirmed it, the machine and all that was
// on it are gone.
func (a *Autoscaler) Release(m *fleet.Machine) {
	if m.Releasing {
		return
	}
	m.Releasing = true
	a.toRelease = append(a.toRelease, m.Host)
	a.inventory.DropReservations(m)
}

// SendReleases calls the cloud for the machines that are to be returned.
func (a *Autoscaler) SendReleases() {
	if a.releaseInFlight || len(a.toRelease) == 0 || !a.state.CanAct() || !a.callLimit.AllowN(a.Now, 1) {
		return
	}
	a.releaseInFlight = true
	hosts := slices.Clone(a.toRelease[:min(len(a.toRelease), maxReleasesPerCall)])
	a.scope.CallCloud(provider.Request{Op: provider.Release, Hosts: hosts}, func(r provider.Response) {
		a.releaseInFlight = false
		if r.Outcome != rpc.OK {
			return // they stay listed, and are tried again
		}
		for _, h := range hosts {
			a.toRelease = slices.DeleteFunc(a.toRelease, func(x string) bool { return x == h })
			a.inventory.InstanceReleased(h)
		}
		a.SendReleases()
	})
}
