package node

import (
	"yewpass/internal/api"
	"yewpass/internal/peermsg"
	"yewpass/internal/request"
)

// later holds users' calls back behind everything else. When the node falls
// behind, reports keep leases, answers of the state service keep the grant, and
// what either of them waits for must not stand behind submissions and polls.
type later struct {
	calls   []any
	between int // other inputs since a call was last taken
}

const (
	laterMost  = 256 // calls that wait; more are sent away at once
	laterEvery = 8   // other inputs that go before a call at the most
)

// userCall reports whether an input is a user's call, our own or a peer's.
func userCall(in any) bool {
	switch x := in.(type) {
	case api.Call:
		_, ok := x.Input.(request.Request)
		return ok
	case peermsg.Received:
		return x.Msg.Kind == peermsg.Request
	}
	return false
}

// add keeps a call; false when too many wait.
func (l *later) add(in any) bool {
	if len(l.calls) >= laterMost {
		return false
	}
	l.calls = append(l.calls, in)
	return true
}

// due returns the call whose turn it is, or nil while other inputs go first.
func (l *later) due(nothingElse bool) any {
	if len(l.calls) == 0 {
		return nil
	}
	if l.between++; !nothingElse && l.between <= laterEvery {
		return nil
	}
	in := l.calls[0]
	l.calls[0] = nil
	l.calls, l.between = l.calls[1:], 0
	return in
}
