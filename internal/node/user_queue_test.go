package node

import (
	"testing"

	"yewpass/internal/api"
	"yewpass/internal/core"
	"yewpass/internal/heartbeat"
	"yewpass/internal/peermsg"
	"yewpass/internal/request"
)

// TestUserQueue checks that user requests yield to other inputs, keep their order, do not starve,
// and are bounded in number.
func TestUserQueue(t *testing.T) {
	for in, want := range map[any]bool{
		api.Exchange{Input: heartbeat.Received{}.Ref}:                  false,
		peermsg.Received{Msg: peermsg.Message{Kind: peermsg.Request}}:  true,
		peermsg.Received{Msg: peermsg.Message{Kind: peermsg.Ack}}:      false,
		peermsg.Received{Msg: peermsg.Message{Kind: peermsg.Response}}: false,
		core.Tick{}: false,
	} {
		if isUserRequest(in) != want {
			t.Errorf("isUserRequest(%T %v) is not %v", in, in, want)
		}
	}
	if !isUserRequest(api.Exchange{Input: request.Request{Op: request.Get}}) {
		t.Error("isUserRequest = false for a get request, want true")
	}
	var q userQueue
	if q.next(true) != nil {
		t.Error("next returned a request from an empty queue")
	}
	for i := range maxQueuedRequests {
		if !q.add(i) {
			t.Fatalf("add rejected request %d, want it queued", i)
		}
	}
	if q.add(maxQueuedRequests) {
		t.Error("add accepted a request beyond maxQueuedRequests")
	}
	if got := q.next(true); got != 0 {
		t.Errorf("first request is %v, want 0", got)
	}
	for i := range inputsPerRequest {
		if got := q.next(false); got != nil {
			t.Errorf("next returned %v before other input %d, want nil", got, i)
		}
	}
	if got := q.next(false); got != 1 {
		t.Errorf("next returned %v after inputsPerRequest other inputs, want 1", got)
	}
	if !q.add(0) {
		t.Error("add rejected a request although the queue has room")
	}
}
