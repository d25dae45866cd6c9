package node

import (
	"yewpass/internal/api"
	"yewpass/internal/peermsg"
	"yewpass/internal/request"
)

// userQueue holds users' calls back behind everything else. When the node falls
// behind, heartbeats keep worker leases, the store's responses keep the leader lease, and
// what either of them waits for must not stand behind submissions and polls.
type userQueue struct {
	requests      []any
	servedBetween int // other inputs since a call was last taken
}

const (
	maxQueuedRequests = 256 // calls that wait; more are sent away at once
	inputsPerRequest  = 8   // other inputs that go before a call at the most
)

// isUserRequest reports whether an input is a user's call, our own or a peer's.
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

// add keeps a call; false when too many wait.
func (l *userQueue) add(in any) bool {
	if len(l.requests) >= maxQueuedRequests {
		return false
	}
	l.requests = append(l.requests, in)
	return true
}

// next returns the call whose turn it is, or nil while other inputs go first.
func (l *userQueue) next(nothingElse bool) any {
	if len(l.requests) == 0 {
		return nil
	}
	if l.servedBetween++; !nothingElse && l.servedBetween <= inputsPerRequest {
		return nil
	}
	in := l.requests[0]
	l.requests[0] = nil
	l.requests, l.servedBetween = l.requests[1:], 0
	return in
}
