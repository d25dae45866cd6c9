// Package provider holds the requests to the cloud that instances are rented from, and its
// responses. Package cloud maps them to the cloud's protocol.
package provider

import (
	"time"
	"yewpass/internal/rpc"
	"yewpass/internal/timeline"
)

// InstanceType is a machine type of the catalog.
type InstanceType struct {
	Name         string
	Capacity     timeline.Resources
	CPUs         float64
	LocalGB      float64
	ImageGBps    float64
	OnDemandRate float64 // per hour
	SpotRate     float64 // per hour, reclaimable
	BootTime     time.Duration
	Zones        []string
}

// Instance is a machine in the cloud's list.
type Instance struct {
	Host, InstanceType, Zone, Status string
	Spot                             bool
	Age                              time.Duration
}

// Response answers a Request.
type Response struct {
	Ref           uint64
	Outcome       rpc.Outcome
	Hosts         []string
	InstanceTypes []InstanceType
	Instances     []Instance
	More          bool
}

// Op is a kind of call to the cloud.
type Op int

// The calls to the cloud.
const (
	Catalog Op = iota
	ScaleOut
	Release
	List
)

// Request asks the cloud for something.
type Request struct {
	Ref          uint64
	Op           Op
	RequestName  string
	InstanceType string
	Zone         string
	Spot         bool
	Count        int
	Hosts        []string
	After        string
	Timeout      time.Duration
}
