package autoscaler

import (
	"log/slog"
	"time"

	"yewpass/internal/provider"
	"yewpass/internal/rpc"
)

// Catalog caches the cloud's instance types and prices.
type Catalog struct {
	InstanceTypes []provider.InstanceType
	CatalogLoaded bool // read during this term; until then types may be missing here
	unreadable    bool // the last read failed
}

// InstanceType returns the named instance type, or nil if it is not known.
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

// RefreshCatalog reads the instance types and prices now and every catalogInterval. A failed or
// empty read keeps the previous types and is retried after catalogRetryDelay.
func (a *Autoscaler) RefreshCatalog() {
	a.scope.CallCloud(provider.Request{Op: provider.Catalog}, func(r provider.Response) {
		if r.Outcome != rpc.OK || len(r.InstanceTypes) == 0 {
			if !a.unreadable {
				a.unreadable = true
				a.Log(slog.LevelWarn, "reading the instance type catalog failed, retrying", "known", len(a.InstanceTypes))
			}
			a.scope.After(a.Jitter(catalogRetryDelay), a.RefreshCatalog)
			return
		}
		a.unreadable = false
		a.InstanceTypes, a.CatalogLoaded = r.InstanceTypes, true
		a.inventory.InstanceTypesChanged()
		a.scope.After(catalogInterval, a.RefreshCatalog)
	})
}
