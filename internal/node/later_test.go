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
		api.Call{Input: heartbeat.Received{}.Ref}:                      false,
		peermsg.Received{Msg: peermsg.Message{Kind: peermsg.Request}}:  true,
		peermsg.Received{Msg: peermsg.Message{Kind: peermsg.Ack}}:      false,
		peermsg.Received{Msg: peermsg.Message{Kind: peermsg.Response}}: false,
		core.Tick{}: false,
	} {
		if userCall(in) != want {
			t.Errorf("%T %v: not %v", in, in, want)
		}
	}
	if !userCall(api.Call{Input: request.Request{Op: request.Get}}) {
		t.Error("a poll is no user's call")
	}
	var l later
	if l.due(true) != nil {
		t.Error("due before anything waits")
	}
	for i := range laterMost {
		if !l.add(i) {
			t.Fatal("turned away at", i)
		}
	}
	if l.add(laterMost) {
		t.Error("no bound")
	}
	if got := l.due(true); got != 0 {
		t.Error("first", got)
	}
	for i := range laterEvery {
		if got := l.due(false); got != nil {
			t.Errorf("%v goes before input %d", got, i)
		}
	}
	if got := l.due(false); got != 1 {
		t.Error("starved:", got)
	}
	if !l.add(0) {
		t.Error("room that came free is not used")
	}
}
