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

// responseJSON is the union of the store's responses. Pointers tell what is missing,
// because a response without what it must hold is no success.
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

// Decode reads a response. Whatever is not what the protocol promises for this very call
// is an unknown outcome: between us and the store there may be something that answers in
// its place, and what is believed here decides who leads and what exists.
func Decode(call kv.Request, status int, data []byte) kv.Response {
	var body responseJSON
	parsed := json.Unmarshal(data, &body) == nil
	switch status {
	case http.StatusOK:
		if call.Op == kv.RevokeLease {
			return success
		}
		if !parsed {
			return unknown
		}
		return decodeSuccess(call, &body)
	case http.StatusConflict:
		if call.Op == kv.Txn && parsed && len(body.Failed) > 0 {
			return kv.Response{Outcome: rpc.Conflict, FailedKeys: body.Failed}
		}
	case http.StatusNotFound:
		return decodeNotFound(call, &body, parsed)
	case http.StatusGone:
		return kv.Response{Outcome: rpc.NotFound}
	case http.StatusBadRequest:
		return kv.Response{Outcome: rpc.Invalid}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return kv.Response{Outcome: rpc.Refused}
	}
	return unknown
}

// decodeNotFound reads a response with status 404. That a record does not exist is
// believed from the store alone, which adds its revision.
func decodeNotFound(call kv.Request, body *responseJSON, parsed bool) kv.Response {
	if call.Op != kv.Get {
		return kv.Response{Outcome: rpc.NotFound}
	}
	if !parsed || body.StoreRevision == nil {
		return unknown
	}
	return kv.Response{Outcome: rpc.NotFound, Rev: *body.StoreRevision}
}

// decodeSuccess reads a response with status 200.
func decodeSuccess(call kv.Request, body *responseJSON) kv.Response {
	response := kv.Response{Outcome: rpc.OK, More: body.Truncated}
	if body.StoreRevision != nil {
		response.Rev = *body.StoreRevision
	}
	switch call.Op {
	case kv.Get:
		return decodeGet(call, body, response)
	case kv.List:
		return decodeList(call, body, response)
	case kv.GrantLease, kv.KeepAlive:
		return decodeLease(call, body, response)
	case kv.Txn, kv.Watch:
		if body.StoreRevision == nil {
			return unknown
		}
	}
	return response
}

func decodeGet(call kv.Request, body *responseJSON, response kv.Response) kv.Response {
	if body.Key != call.Key || body.Revision == 0 {
		return unknown
	}
	entry := body.decode()
	if body.LeaseID != nil {
		entry.LeaseID = *body.LeaseID
	}
	response.Entries = []kv.Entry{entry}
	return response
}

// decodeList reads a page of a list. Its keys are in order and behind the key that was
// asked for: a page that is not would have us read for ever, or pass records over.
func decodeList(call kv.Request, body *responseJSON, response kv.Response) kv.Response {
	if body.Entries == nil && body.StoreRevision == nil {
		return unknown
	}
	previous := call.From
	for i := range body.Entries {
		entry := &body.Entries[i]
		if entry.Key <= previous || !strings.HasPrefix(entry.Key, call.Key) {
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

func decodeLease(call kv.Request, body *responseJSON, response kv.Response) kv.Response {
	if body.LeaseID == nil || call.Op == kv.KeepAlive && *body.LeaseID != call.LeaseID {
		return unknown
	}
	response.LeaseID = *body.LeaseID
	return response
}

// decode reads an entry; its value is nil when it is no record of ours.
func (e *entryJSON) decode() kv.Entry {
	return kv.Entry{Key: e.Key, Value: recordcodec.Decode(e.Key, e.Value), Rev: e.Revision}
}
