// Package provider defines the requests to the cloud provider and its responses. Package cloud
// implements the provider's protocol.
package provider

import (
	"time"

	"yewpass/internal/rpc"
	"yewpass/internal/timeline"
)

// InstanceType is an entry of the provider's catalog.
type InstanceType struct {
	Name         string
	Capacity     timeline.Resources
	CPUs         float64
	LocalGB      float64 // local storage
	ImageGBps    float64 // image download rate in GB per second
	OnDemandRate float64 // price per hour of an on-demand instance
	SpotRate     float64 // price per hour of a spot instance
	BootTime     time.Duration
	Zones        []string
}

// Instance is a rented instance as listed by the provider.
type Instance struct {
	Host, InstanceType, Zone, Status string
	Spot                             bool
	Age                              time.Duration
}

// Response is the provider's response to the Request with the same Ref.
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

// Kinds of requests.
const (
	Catalog  Op = iota // list the instance types
	ScaleOut           // rent instances
	Release            // return instances
	List               // list the rented instances
)

// Request is a request to the provider. Op determines which fields it uses.
type Request struct {
	Ref            uint64
	Op             Op
	IdempotencyKey string // ScaleOut: a repeated key returns the instances of the first request
	InstanceType   string
	Zone           string
	Spot           bool
	Count          int
	Hosts          []string
	After          string // List: the last host of the previous page
	Timeout        time.Duration
}
