// Package cloud speaks the protocol of the cloud API.
package cloud

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"yewpass/internal/provider"
	"yewpass/internal/rpc"
	"yewpass/internal/timeline"
	"yewpass/internal/wire"
)

// Client is the actor that calls the cloud; replies go to the core's inbox.
type Client struct {
	caller *wire.Caller
	inbox  chan<- any
}

// New returns a client of the cloud at addr that delivers to inbox.
func New(addr string, inbox chan<- any) *Client {
	return &Client{wire.NewCaller(addr, 2*time.Second, 4, 1<<20), inbox}
}

// Do makes the call and delivers its reply.
func (c *Client) Do(call provider.Request) {
	go func() {
		r := c.call(call)
		r.Ref = call.Ref
		c.inbox <- r
	}()
}

type flavorJSON struct {
	Name      string   `json:"name"`
	VCPUs     float64  `json:"vcpus"`
	GPUs      float64  `json:"gpus"`
	MemGB     float64  `json:"memGb"`
	LocalGB   float64  `json:"localGb"`
	FetchGBps float64  `json:"fetchGbPerS"`
	Rate      float64  `json:"rate"`
	LowPrice  float64  `json:"lowPrice"`
	ReadyS    float64  `json:"readyS"`
	Halls     []string `json:"halls"`
}

type hostJSON struct {
	ID          string  `json:"id"`
	Flavor      string  `json:"flavor"`
	Hall        string  `json:"hall"`
	Reclaimable bool    `json:"reclaimable"`
	Status      string  `json:"status"`
	AgeS        float64 `json:"ageS"`
}

type rentJSON struct {
	Rental      string `json:"rental"`
	Flavor      string `json:"flavor"`
	Hall        string `json:"hall"`
	Reclaimable bool   `json:"reclaimable"`
	HowMany     int    `json:"howMany"`
}

type hostsJSON struct {
	Hosts []string `json:"hosts"`
}

const listLimit = "500"

func (c *Client) call(call provider.Request) provider.Response {
	method, path, body := Request(call)
	status, data, ok := c.caller.Call(method, path, body, call.Timeout)
	if !ok {
		return provider.Response{Outcome: rpc.Unknown}
	}
	return Decode(call, status, data)
}

// Request writes a call as the cloud's protocol has it.
func Request(call provider.Request) (method, path string, body []byte) {
	var v any
	switch call.Op {
	case provider.Catalog:
		method, path = http.MethodGet, "/catalog"
	case provider.ScaleOut:
		method, path = http.MethodPost, "/machines"
		v = rentJSON{call.RequestName, call.InstanceType, call.Zone, call.Spot, call.Count}
	case provider.Release:
		method, path, v = http.MethodPost, "/machines/release", hostsJSON{call.Hosts}
	case provider.List:
		q := url.Values{"limit": {listLimit}}
		if call.After != "" {
			q.Set("from", call.After)
		}
		method, path = http.MethodGet, "/machines?"+q.Encode()
	}
	if v != nil {
		body, _ = json.Marshal(v) // plain structs of ours: cannot fail
	}
	return method, path, body
}

// Decode reads an answer. Whatever is not what the protocol promises is an
// unknown outcome.
func Decode(call provider.Request, status int, data []byte) provider.Response {
	unknown := provider.Response{Outcome: rpc.Unknown}
	switch status {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		var e struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(data, &e) == nil && strings.Contains(e.Error, "capacity") {
			return provider.Response{Outcome: rpc.Refused}
		}
		return unknown // an outage: the same request is sent again
	case http.StatusBadRequest:
		return provider.Response{Outcome: rpc.Invalid}
	default:
		return unknown
	}
	r := provider.Response{Outcome: rpc.OK}
	switch call.Op {
	case provider.Catalog:
		var a struct {
			Flavors []flavorJSON `json:"flavors"`
		}
		if json.Unmarshal(data, &a) != nil {
			return unknown
		}
		for _, f := range a.Flavors {
			if !f.sound() {
				return unknown
			}
			r.InstanceTypes = append(r.InstanceTypes, provider.InstanceType{Name: f.Name, Capacity: timeline.Capacity(f.VCPUs, f.GPUs, f.MemGB),
				CPUs: f.VCPUs, LocalGB: f.LocalGB, ImageGBps: f.FetchGBps, OnDemandRate: f.Rate, SpotRate: f.LowPrice,
				BootTime: timeline.Seconds(f.ReadyS), Zones: f.Halls})
		}
	case provider.ScaleOut:
		var a hostsJSON
		if json.Unmarshal(data, &a) != nil || len(a.Hosts) > call.Count {
			return unknown
		}
		r.Hosts = a.Hosts
	case provider.List:
		var a struct {
			Hosts     []hostJSON `json:"hosts"`
			Truncated bool       `json:"truncated"`
		}
		if json.Unmarshal(data, &a) != nil {
			return unknown
		}
		r.More = a.Truncated && len(a.Hosts) > 0
		after := call.After
		for _, h := range a.Hosts {
			// In order and behind what was asked for, or the list might never end.
			if h.ID <= after {
				return unknown
			}
			after = h.ID
			r.Instances = append(r.Instances, provider.Instance{Host: h.ID, InstanceType: h.Flavor, Zone: h.Hall, Status: h.Status,
				Spot: h.Reclaimable, Age: timeline.Seconds(h.AgeS)})
		}
	}
	return r
}

// sound reports whether a machine type has amounts that a machine can have.
func (f *flavorJSON) sound() bool {
	within := func(most float64, xs ...float64) bool {
		return !slices.ContainsFunc(xs, func(x float64) bool { return !(x >= 0 && x <= most) })
	}
	return f.Name != "" && f.VCPUs >= 0.001 && within(1e6, f.VCPUs, f.GPUs, f.FetchGBps, f.LocalGB) && within(1e7, f.MemGB, f.ReadyS, f.Rate, f.LowPrice)
}
