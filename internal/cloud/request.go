package cloud

import (
	"encoding/json"
	"net/http"
	"net/url"

	"yewpass/internal/provider"
)

// listLimit is how many machines a page of the list has.
const listLimit = "500"

type instanceRequestJSON struct {
	Name         string `json:"rental"`
	InstanceType string `json:"flavor"`
	Zone         string `json:"hall"`
	Spot         bool   `json:"reclaimable"`
	Count        int    `json:"howMany"`
}

type hostsJSON struct {
	Hosts []string `json:"hosts"`
}

// Request returns a call as the cloud's protocol has it.
func Request(call provider.Request) (method, path string, body []byte) {
	switch call.Op {
	case provider.Catalog:
		return http.MethodGet, "/catalog", nil
	case provider.ScaleOut:
		return http.MethodPost, "/machines", encode(instanceRequestJSON{
			Name:         call.IdempotencyKey,
			InstanceType: call.InstanceType,
			Zone:         call.Zone,
			Spot:         call.Spot,
			Count:        call.Count,
		})
	case provider.Release:
		return http.MethodPost, "/machines/release", encode(hostsJSON{call.Hosts})
	case provider.List:
		query := url.Values{"limit": {listLimit}}
		if call.After != "" {
			query.Set("from", call.After)
		}
		return http.MethodGet, "/machines?" + query.Encode(), nil
	}
	return "", "", nil
}

// encode returns the JSON of a plain struct of this package, which always has one.
func encode(v any) []byte {
	data, _ := json.Marshal(v)
	return data
}
