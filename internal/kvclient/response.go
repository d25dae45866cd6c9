package kvclient

import (
	"encoding/json"
	"net/http"
	"strings"

	"yewpass/internal/kv"
	"yewpass/internal/recordcodec"
	"yewpass/internal/rpc"
)

type entryJSON struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"v,omitempty"`
	Revision uint64          `json:"keyRev"`
}

// responseJSON has the fields of all responses of the store. Pointers distinguish missing fields: a
// response without a required field is not a success.
type responseJSON struct {
	entryJSON
	StoreRevision *uint64     `json:"storeRev"`
	LeaseID       *uint64     `json:"grant"`
	Failed        []string    `json:"failed"`
	Entries       []entryJSON `json:"entries"`
	Truncated     bool        `json:"truncated"`
}

var (
	unknown = kv.Response{Outcome: rpc.Unknown}
	success = kv.Response{Outcome: rpc.OK}
)

// DecodeResponse decodes the response to a request. A response that the protocol does not allow for
// this request has the outcome rpc.Unknown: it may come from a proxy, and acting on it could elect
// a second leader or lose records.
func DecodeResponse(req kv.Request, status int, data []byte) kv.Response {
	var body responseJSON
	parsed := json.Unmarshal(data, &body) == nil
	switch status {
	case http.StatusOK:
		if req.Op == kv.RevokeLease {
			return success
		}
		if !parsed {
			return unknown
		}
		return decodeSuccess(req, &body)
	case http.StatusConflict:
		if req.Op == kv.Txn && parsed && len(body.Failed) > 0 {
			return kv.Response{Outcome: rpc.Conflict, FailedKeys: body.Failed}
		}
	case http.StatusNotFound:
		return decodeNotFound(req, &body, parsed)
	case http.StatusGone:
		return kv.Response{Outcome: rpc.NotFound}
	case http.StatusBadRequest:
		return kv.Response{Outcome: rpc.Invalid}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return kv.Response{Outcome: rpc.Refused}
	}
	return unknown
}

// decodeNotFound decodes a response with status 404. It reports a missing key only if the response
// has the store revision; otherwise it may come from a proxy.
func decodeNotFound(req kv.Request, body *responseJSON, parsed bool) kv.Response {
	if req.Op != kv.Get {
		return kv.Response{Outcome: rpc.NotFound}
	}
	if !parsed || body.StoreRevision == nil {
		return unknown
	}
	return kv.Response{Outcome: rpc.NotFound, Rev: *body.StoreRevision}
}

func decodeSuccess(req kv.Request, body *responseJSON) kv.Response {
	response := kv.Response{Outcome: rpc.OK, More: body.Truncated}
	if body.StoreRevision != nil {
		response.Rev = *body.StoreRevision
	}
	switch req.Op {
	case kv.Get:
		return decodeGet(req, body, response)
	case kv.List:
		return decodeList(req, body, response)
	case kv.GrantLease, kv.KeepAlive:
		return decodeLease(req, body, response)
	case kv.Txn, kv.Watch:
		if body.StoreRevision == nil {
			return unknown
		}
	}
	return response
}

func decodeGet(req kv.Request, body *responseJSON, response kv.Response) kv.Response {
	if body.Key != req.Key || body.Revision == 0 {
		return unknown
	}
	entry := body.decode()
	if body.LeaseID != nil {
		entry.LeaseID = *body.LeaseID
	}
	response.Entries = []kv.Entry{entry}
	return response
}

// decodeList decodes a page of a list. It checks that the keys are ascending, after req.From and
// under the prefix; otherwise the caller could read forever or skip records.
func decodeList(req kv.Request, body *responseJSON, response kv.Response) kv.Response {
	if body.Entries == nil && body.StoreRevision == nil {
		return unknown
	}
	previous := req.From
	for i := range body.Entries {
		entry := &body.Entries[i]
		if entry.Key <= previous || !strings.HasPrefix(entry.Key, req.Key) {
			return unknown
		}
		previous = entry.Key
		response.Entries = append(response.Entries, entry.decode())
	}
	if response.More && len(response.Entries) == 0 {
		return unknown
	}
	return response
}

func decodeLease(req kv.Request, body *responseJSON, response kv.Response) kv.Response {
	if body.LeaseID == nil || req.Op == kv.KeepAlive && *body.LeaseID != req.LeaseID {
		return unknown
	}
	response.LeaseID = *body.LeaseID
	return response
}

// decode returns an entry. Its value is nil if it is not a known record.
func (e *entryJSON) decode() kv.Entry {
	return kv.Entry{Key: e.Key, Value: recordcodec.Decode(e.Key, e.Value), Rev: e.Revision}
}
