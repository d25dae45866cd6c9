// Package provider defines the requests to the cloud provider that instances are rented from,
// and its responses. Package cloud maps them to the provider's protocol.
package provider

import (
	"time"

	"yewpass/internal/rpc"
	"yewpass/internal/timeline"
)

// InstanceType is an instance type of the catalog.
type InstanceType struct {
	Name         string
	Capacity     timeline.Resources
	CPUs         float64
	LocalGB      float64 // of local storage
	ImageGBps    float64 // at which images are fetched
	OnDemandRate float64 // per hour, of an on-demand instance
	SpotRate     float64 // per hour, of a spot instance
	BootTime     time.Duration
	Zones        []string
}

// Instance is an instance in the provider's list.
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

// Op is a kind of request.
type Op int

// The kinds of requests.
const (
	Catalog  Op = iota // read the instance types
	ScaleOut           // start instances
	Release            // return instances
	List               // list the instances
)

// Request is a request to the provider. Which fields it uses depends on Op.
type Request struct {
	Ref            uint64
	Op             Op
	IdempotencyKey string // of a ScaleOut: a repeated name gets the instances of the first time
	InstanceType   string
	Zone           string
	Spot           bool
	Count          int
	Hosts          []string
	After          string // List begins after this host
	Timeout        time.Duration
}
