package autoscaler

import (
	"log/slog"
	"time"

	"yewpass/internal/provider"
	"yewpass/internal/rpc"
)

// Catalog is what is known of the cloud's instance types.
type Catalog struct {
	InstanceTypes []provider.InstanceType
	Loaded        bool // read in this leadership: only then does a type that it lacks not exist
	unreadable    bool // it could not be read last time
}

// InstanceType returns the instance type of a name, or nil.
func (c *Catalog) InstanceType(name string) *provider.InstanceType {
	for i := range c.InstanceTypes {
		if c.InstanceTypes[i].Name == name {
			return &c.InstanceTypes[i]
		}
	}
	return nil
}

const (
	catalogInterval   = 30 * time.Second
	catalogRetryDelay = time.Second
)

// RefreshCatalog reads the instance types and their prices, now and regularly from then on.
func (a *Autoscaler) RefreshCatalog() {
	a.scope.CallCloud(provider.Request{Op: provider.Catalog}, func(r provider.Response) {
		if r.Outcome != rpc.OK || len(r.InstanceTypes) == 0 {
			if !a.unreadable {
				a.unreadable = true
				a.Log(slog.LevelWarn, "instance types cannot be read", "known", len(a.InstanceTypes))
			}
			a.scope.After(a.Jitter(catalogRetryDelay), a.RefreshCatalog)
			return
		}
		a.unreadable = false
		a.InstanceTypes, a.Loaded = r.InstanceTypes, true
		a.inventory.InstanceTypesChanged()
		a.scope.After(catalogInterval, a.RefreshCatalog)
	})
}
