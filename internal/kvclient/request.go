package kvclient

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"yewpass/internal/kv"
	"yewpass/internal/recordcodec"
)

// transactionJSON is a compare-and-swap transaction: its writes are applied atomically if all
// conditions hold.
type transactionJSON struct {
	Conditions []conditionJSON `json:"when"`
	Writes     []writeJSON     `json:"then"`
}

type conditionJSON struct {
	Key      string `json:"k"`
	Revision uint64 `json:"keyRev"`
}

// writeJSON sets a key, optionally attached to a lease, or removes a key.
type writeJSON struct {
	Write   string `json:"write,omitempty"`
	Value   any    `json:"v,omitempty"`
	LeaseID uint64 `json:"grant,omitempty"`
	Remove  string `json:"drop,omitempty"`
}

// leaseJSON requests a lease, which the protocol calls a grant, or its renewal.
type leaseJSON struct {
	TTLMS int64 `json:"ttlMs"`
}

// EncodeRequest returns the HTTP method, path and body of a request. All are empty for an unknown
// operation.
func EncodeRequest(req kv.Request) (method, path string, body []byte) {
	switch req.Op {
	case kv.Get:
		return http.MethodGet, "/store/" + req.Key, nil
	case kv.List:
		return http.MethodGet, "/store?" + listQuery(req).Encode(), nil
	case kv.Watch:
		return http.MethodGet, "/follow?" + watchQuery(req).Encode(), nil
	case kv.Txn:
		return http.MethodPost, "/multi", encode(encodeTransaction(req))
	case kv.GrantLease:
		return http.MethodPost, "/grants", encode(leaseJSON{req.TTL.Milliseconds()})
	case kv.KeepAlive:
		return http.MethodPost, fmt.Sprintf("/grants/%d/extend", req.LeaseID), encode(leaseJSON{req.TTL.Milliseconds()})
	case kv.RevokeLease:
		return http.MethodDelete, fmt.Sprintf("/grants/%d", req.LeaseID), nil
	}
	return "", "", nil
}

func listQuery(req kv.Request) url.Values {
	query := url.Values{"under": {req.Key}, "limit": {strconv.Itoa(req.Limit)}}
	if req.From != "" {
		query.Set("from", req.From)
	}
	return query
}

func watchQuery(req kv.Request) url.Values {
	return url.Values{
		"under":   {req.Key},
		"from":    {strconv.FormatUint(req.FromRev, 10)},
		"blockMs": {strconv.FormatInt(req.WatchTimeout.Milliseconds(), 10)},
	}
}

func encodeTransaction(req kv.Request) transactionJSON {
	t := transactionJSON{
		Conditions: make([]conditionJSON, 0, len(req.Conditions)),
		Writes:     make([]writeJSON, 0, len(req.Writes)),
	}
	for _, condition := range req.Conditions {
		t.Conditions = append(t.Conditions, conditionJSON{condition.Key, condition.Rev})
	}
	for _, write := range req.Writes {
		if write.Value == nil {
			t.Writes = append(t.Writes, writeJSON{Remove: write.Key})
		} else {
			t.Writes = append(t.Writes, writeJSON{Write: write.Key, Value: recordcodec.StoredForm(write.Value), LeaseID: write.LeaseID})
		}
	}
	return t
}

// encode returns the JSON of a plain struct, whose encoding never fails.
func encode(v any) []byte {
	data, _ := json.Marshal(v)
	return data
}
