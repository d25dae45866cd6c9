package node

import (
	"testing"

	"yewpass/internal/api"
	"yewpass/internal/core"
	"yewpass/internal/heartbeat"
	"yewpass/internal/peermsg"
	"yewpass/internal/request"
)

// TestLater: users' calls wait behind other inputs, in order, not for ever, and
// not without bound.
func TestLater(t *testing.T) {
	for in, want := range map[any]bool{
		api.Exchange{Input: heartbeat.Received{}.Ref}:                  false,
		peermsg.Received{Msg: peermsg.Message{Kind: peermsg.Request}}:  true,
		peermsg.Received{Msg: peermsg.Message{Kind: peermsg.Ack}}:      false,
		peermsg.Received{Msg: peermsg.Message{Kind: peermsg.Response}}: false,
		core.Tick{}: false,
	} {
		if isUserRequest(in) != want {
			t.Errorf("%T %v: not %v", in, in, want)
		}
	}
	if !isUserRequest(api.Exchange{Input: request.Request{Op: request.Get}}) {
		t.Error("a poll is no user's call")
	}
	var l userQueue
	if l.next(true) != nil {
		t.Error("due before anything waits")
	}
	for i := range maxQueuedRequests {
		if !l.add(i) {
			t.Fatal("turned away at", i)
		}
	}
	if l.add(maxQueuedRequests) {
		t.Error("no bound")
	}
	if got := l.next(true); got != 0 {
		t.Error("first", got)
	}
	for i := range inputsPerRequest {
		if got := l.next(false); got != nil {
			t.Errorf("%v goes before input %d", got, i)
		}
	}
	if got := l.next(false); got != 1 {
		t.Error("starved:", got)
	}
	if !l.add(0) {
		t.Error("room that came free is not used")
	}
}
