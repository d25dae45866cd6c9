package node

import (
	"yewpass/internal/api"
	"yewpass/internal/peermsg"
	"yewpass/internal/request"
)

// userQueue gives user requests a lower priority than all other inputs, so that on an overloaded
// node the renewal of worker leases and the leader lease does not wait behind them.
type userQueue struct {
	requests           []any
	inputsSinceRequest int // other inputs since the last user request was served
}

const (
	maxQueuedRequests = 256 // further requests are rejected
	inputsPerRequest  = 8   // other inputs served before a waiting user request gets its turn
)

// isUserRequest reports whether an input is a user's request, received directly or forwarded by a
// peer.
func isUserRequest(in any) bool {
	switch x := in.(type) {
	case api.Exchange:
		_, ok := x.Input.(request.Request)
		return ok
	case peermsg.Received:
		return x.Msg.Kind == peermsg.Request
	}
	return false
}

// add queues a request. It returns false when the queue is full.
func (q *userQueue) add(in any) bool {
	if len(q.requests) >= maxQueuedRequests {
		return false
	}
	q.requests = append(q.requests, in)
	return true
}

// next returns the request to serve now, or nil while other inputs take precedence or the queue is
// empty. inboxEmpty means that no other input is waiting.
func (q *userQueue) next(inboxEmpty bool) any {
	if len(q.requests) == 0 {
		return nil
	}
	if q.inputsSinceRequest++; !inboxEmpty && q.inputsSinceRequest <= inputsPerRequest {
		return nil
	}
	in := q.requests[0]
	q.requests[0] = nil
	q.requests, q.inputsSinceRequest = q.requests[1:], 0
	return in
}
