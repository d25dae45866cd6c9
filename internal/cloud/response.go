package cloud

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"yewpass/internal/provider"
	"yewpass/internal/rpc"
	"yewpass/internal/timeline"
)

// Limits for the values of an instance type.
const (
	minCPUs        = 0.001
	maxAmount      = 1e6
	maxLargeAmount = 1e7 // for memory, prices and boot times
)

// noCapacityError is the part of the cloud's error text that means that no instance of the
// requested type is available.
const noCapacityError = "capacity"

type instanceTypeJSON struct {
	Name         string   `json:"name"`
	CPUs         float64  `json:"vcpus"`
	GPUs         float64  `json:"gpus"`
	MemGB        float64  `json:"memGb"`
	LocalGB      float64  `json:"localGb"`
	ImageGBps    float64  `json:"fetchGbPerS"`
	OnDemandRate float64  `json:"rate"`
	SpotRate     float64  `json:"lowPrice"`
	BootSeconds  float64  `json:"readyS"`
	Zones        []string `json:"halls"`
}

type instanceJSON struct {
	Host         string  `json:"id"`
	InstanceType string  `json:"flavor"`
	Zone         string  `json:"hall"`
	Spot         bool    `json:"reclaimable"`
	Status       string  `json:"status"`
	AgeSeconds   float64 `json:"ageS"`
}

type catalogJSON struct {
	InstanceTypes []instanceTypeJSON `json:"flavors"`
}

type listJSON struct {
	Instances []instanceJSON `json:"hosts"`
	Truncated bool           `json:"truncated"`
}

type errorJSON struct {
	Error string `json:"error"`
}

var unknown = provider.Response{Outcome: rpc.Unknown}

// DecodeResponse decodes the response to a request. A response that the protocol does not allow for
// this request has the outcome rpc.Unknown.
func DecodeResponse(req provider.Request, status int, data []byte) provider.Response {
	switch status {
	case http.StatusOK:
		return decodeSuccess(req, data)
	case http.StatusServiceUnavailable:
		var body errorJSON
		if json.Unmarshal(data, &body) == nil && strings.Contains(body.Error, noCapacityError) {
			return provider.Response{Outcome: rpc.Refused}
		}
		return unknown // an outage; the caller repeats the request
	case http.StatusBadRequest:
		return provider.Response{Outcome: rpc.Invalid}
	}
	return unknown
}

func decodeSuccess(req provider.Request, data []byte) provider.Response {
	switch req.Op {
	case provider.Catalog:
		return decodeCatalog(data)
	case provider.ScaleOut:
		return decodeScaleOut(req, data)
	case provider.List:
		return decodeList(req, data)
	}
	return provider.Response{Outcome: rpc.OK}
}

func decodeCatalog(data []byte) provider.Response {
	var body catalogJSON
	if json.Unmarshal(data, &body) != nil {
		return unknown
	}
	response := provider.Response{Outcome: rpc.OK}
	for i := range body.InstanceTypes {
		t := &body.InstanceTypes[i]
		if !t.valid() {
			return unknown
		}
		response.InstanceTypes = append(response.InstanceTypes, t.decode())
	}
	return response
}

func decodeScaleOut(req provider.Request, data []byte) provider.Response {
	var body hostsJSON
	if json.Unmarshal(data, &body) != nil || len(body.Hosts) > req.Count {
		return unknown
	}
	return provider.Response{Outcome: rpc.OK, Hosts: body.Hosts}
}

// decodeList decodes a page of the list of machines. It checks that the hosts are ascending and
// after req.After; otherwise listing might never end.
func decodeList(req provider.Request, data []byte) provider.Response {
	var body listJSON
	if json.Unmarshal(data, &body) != nil {
		return unknown
	}
	response := provider.Response{Outcome: rpc.OK, More: body.Truncated && len(body.Instances) > 0}
	previous := req.After
	for _, instance := range body.Instances {
		if instance.Host <= previous {
			return unknown
		}
		previous = instance.Host
		response.Instances = append(response.Instances, provider.Instance{
			Host:         instance.Host,
			InstanceType: instance.InstanceType,
			Zone:         instance.Zone,
			Status:       instance.Status,
			Spot:         instance.Spot,
			Age:          timeline.Seconds(instance.AgeSeconds),
		})
	}
	return response
}

func (t *instanceTypeJSON) decode() provider.InstanceType {
	return provider.InstanceType{
		Name:         t.Name,
		Capacity:     timeline.Capacity(t.CPUs, t.GPUs, t.MemGB),
		CPUs:         t.CPUs,
		LocalGB:      t.LocalGB,
		ImageGBps:    t.ImageGBps,
		OnDemandRate: t.OnDemandRate,
		SpotRate:     t.SpotRate,
		BootTime:     timeline.Seconds(t.BootSeconds),
		Zones:        t.Zones,
	}
}

// valid reports whether an instance type has a name and plausible values.
func (t *instanceTypeJSON) valid() bool {
	return t.Name != "" && t.CPUs >= minCPUs &&
		allWithin(maxAmount, t.CPUs, t.GPUs, t.ImageGBps, t.LocalGB) &&
		allWithin(maxLargeAmount, t.MemGB, t.BootSeconds, t.OnDemandRate, t.SpotRate)
}

// allWithin reports whether all amounts are between 0 and limit. It is false for NaN.
func allWithin(limit float64, amounts ...float64) bool {
	return !slices.ContainsFunc(amounts, func(amount float64) bool { return !(amount >= 0 && amount <= limit) })
}
