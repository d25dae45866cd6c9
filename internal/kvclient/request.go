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

// transactionJSON is a transaction: the writes are applied if all keys have the revisions
// of the conditions.
type transactionJSON struct {
	Conditions []conditionJSON `json:"when"`
	Writes     []writeJSON     `json:"then"`
}

type conditionJSON struct {
	Key      string `json:"k"`
	Revision uint64 `json:"keyRev"`
}

// writeJSON sets a key, under a lease if there is one, or removes it.
type writeJSON struct {
	Write   string `json:"write,omitempty"`
	Value   any    `json:"v,omitempty"`
	LeaseID uint64 `json:"grant,omitempty"`
	Remove  string `json:"drop,omitempty"`
}

// leaseJSON asks for a lease, which the protocol calls a grant, or for its renewal.
type leaseJSON struct {
	TTLMS int64 `json:"ttlMs"`
}

// Request returns a call as the store's protocol has it.
func Request(call kv.Request) (method, path string, body []byte) {
	switch call.Op {
	case kv.Get:
		return http.MethodGet, "/store/" + call.Key, nil
	case kv.List:
		return http.MethodGet, "/store?" + listQuery(call).Encode(), nil
	case kv.Watch:
		return http.MethodGet, "/follow?" + watchQuery(call).Encode(), nil
	case kv.Txn:
		return http.MethodPost, "/multi", encode(encodeTransaction(call))
	case kv.GrantLease:
		return http.MethodPost, "/grants", encode(leaseJSON{call.TTL.Milliseconds()})
	case kv.KeepAlive:
		return http.MethodPost, fmt.Sprintf("/grants/%d/extend", call.LeaseID), encode(leaseJSON{call.TTL.Milliseconds()})
	case kv.RevokeLease:
		return http.MethodDelete, fmt.Sprintf("/grants/%d", call.LeaseID), nil
	}
	return "", "", nil
}

func listQuery(call kv.Request) url.Values {
	query := url.Values{"under": {call.Key}, "limit": {strconv.Itoa(call.Limit)}}
	if call.From != "" {
		query.Set("from", call.From)
	}
	return query
}

func watchQuery(call kv.Request) url.Values {
	return url.Values{
		"under":   {call.Key},
		"from":    {strconv.FormatUint(call.FromRev, 10)},
		"blockMs": {strconv.FormatInt(call.WatchTimeout.Milliseconds(), 10)},
	}
}

func encodeTransaction(call kv.Request) transactionJSON {
	t := transactionJSON{
		Conditions: make([]conditionJSON, 0, len(call.Conditions)),
		Writes:     make([]writeJSON, 0, len(call.Writes)),
	}
	for _, condition := range call.Conditions {
		t.Conditions = append(t.Conditions, conditionJSON{condition.Key, condition.Rev})
	}
	for _, write := range call.Writes {
		if write.Value == nil {
			t.Writes = append(t.Writes, writeJSON{Remove: write.Key})
		} else {
			t.Writes = append(t.Writes, writeJSON{Write: write.Key, Value: recordcodec.StoredForm(write.Value), LeaseID: write.LeaseID})
		}
	}
	return t
}

// encode returns the JSON of a plain struct of this package, which always has one.
func encode(v any) []byte {
	data, _ := json.Marshal(v)
	return data
}
