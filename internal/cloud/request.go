package cloud

import (
	"encoding/json"
	"net/http"
	"net/url"

	"yewpass/internal/provider"
)

// listPageSize is the number of machines in a page of the list.
const listPageSize = "500"

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

// EncodeRequest returns the HTTP method, path and body of a request. All are empty for an unknown
// operation.
func EncodeRequest(req provider.Request) (method, path string, body []byte) {
	switch req.Op {
	case provider.Catalog:
		return http.MethodGet, "/catalog", nil
	case provider.ScaleOut:
		return http.MethodPost, "/machines", encode(instanceRequestJSON{
			Name:         req.IdempotencyKey,
			InstanceType: req.InstanceType,
			Zone:         req.Zone,
			Spot:         req.Spot,
			Count:        req.Count,
		})
	case provider.Release:
		return http.MethodPost, "/machines/release", encode(hostsJSON{req.Hosts})
	case provider.List:
		query := url.Values{"limit": {listPageSize}}
		if req.After != "" {
			query.Set("from", req.After)
		}
		return http.MethodGet, "/machines?" + query.Encode(), nil
	}
	return "", "", nil
}

// encode returns the JSON of a plain struct, whose encoding never fails.
func encode(v any) []byte {
	data, _ := json.Marshal(v)
	return data
}
